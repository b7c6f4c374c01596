"""Acknowledgement of the announcements of backend servers.

A leaving server stops soon after its announcement is acknowledged. If an
instance that is cut off from the others acknowledged the announcement, entries
would not receive it and would go on sending requests to the server. Therefore
an announcement is acknowledged only if a majority of the control instances is
reachable; otherwise the server announces itself to another instance. The same
holds for a server that asks to be removed by its id, as long as this instance
has just started and may not have received the server's record yet.
"""

import logging

import trio

from hyssopfold import logs
from hyssopfold.control import instance as control_instance
from hyssopfold.control import leave_records
from hyssopfold.core.membership import messages
from hyssopfold.transport import gossip
from hyssopfold.transport import publisher

logger = logging.getLogger(__name__)

# Servers wait one second for an answer; a majority in other regions answers
# within two round trips, some 0.2 s.
CONFIRM_TIMEOUT_S = 0.8
# Largest age of the last confirmation by a majority at which announcements of
# ready servers are acknowledged; instances confirm each second.
MAX_CONFIRMATION_AGE_S = 3.0


class AnnouncementAcks:
    """Spreads announcements and decides whether to acknowledge them.

    An adapter's application calls it for the announcements it receives.

    Args:
        instance: The member of the register that this process runs.
        gossip_service: Spreads announcements.
        confirmations: Time of the last confirmation by a majority.
        records: Writes the servers that left to disk.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        gossip_service: gossip.Gossip,
        confirmations: publisher.Confirmations,
        records: leave_records.LeaveRecords,
    ) -> None:
        self._instance = instance
        self._gossip = gossip_service
        self._confirmations = confirmations
        self._records = records

    async def announce(self, server: messages.Server) -> bool:
        """Spread an announcement; return whether to acknowledge it."""
        known = self._gossip.directory.servers.get(server.server_id)
        self._gossip.announce(server)
        if server.state == "leaving":
            return await self._confirm(server.server_id, known)
        if not self._instance.register.members:
            # No cluster is formed yet, so there is no majority that this
            # instance could be cut off from.
            return True
        return (
            self._confirmations.age_s(trio.current_time())
            <= MAX_CONFIRMATION_AGE_S
        )

    async def dismiss(self, server_id: str) -> bool:
        """Announce that a server is leaving; return whether to acknowledge it.

        Args:
            server_id: The server that is leaving.
        """
        known = self._gossip.directory.servers.get(server_id)
        self._gossip.dismiss(server_id)
        return await self._confirm(server_id, known)

    async def _confirm(
        self, server_id: str, known: messages.Server | None
    ) -> bool:
        """Return whether to acknowledge that a server is leaving; log it.

        Args:
            server_id: The server.
            known: What was known of it before; None if nothing was.
        """
        began = trio.current_time()
        is_confirmed = self._gossip.has_left(server_id)
        if is_confirmed:
            is_confirmed = await self._save_and_confirm(server_id)
        logger.info(
            logs.Event(
                "leave-decision",
                server=server_id,
                acknowledged=is_confirmed,
                took_s=trio.current_time() - began,
                known=known.state if known is not None else "no",
                known_sequence=known.sequence if known is not None else 0,
                age_s=round(self._gossip.age_s, 3),
            )
        )
        return is_confirmed

    async def _save_and_confirm(self, server_id: str) -> bool:
        """Return whether the leave is on disk and a majority answers in time.

        Once it is acknowledged, an announcement that is delivered late must
        not bring the server back, even if all instances lost power meanwhile.
        """
        with trio.move_on_after(CONFIRM_TIMEOUT_S):
            await self._records.wait_until_saved(server_id)
            return await self._instance.confirm()
        return False
