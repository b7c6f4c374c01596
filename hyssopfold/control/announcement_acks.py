"""What backend servers tell a control instance, and when it is acknowledged.

A server that leaves stops soon after the acknowledgement. An instance that is
cut off could hear it and tell no one: entries would go on sending to it. So
what a majority of the control instances can't be told is not acknowledged,
and the server asks another instance.
"""

import trio

from hyssopfold.control import instance as control_instance
from hyssopfold.core.membership import messages
from hyssopfold.transport import gossip
from hyssopfold.transport import publisher

# Servers wait a second for an answer; a majority in other regions answers
# within two round trips, some 0.2 s.
CONFIRM_S = 0.8
# How old the last word of a majority may be for a server's usual word: the
# instances ask for it each second.
MAX_AGE_S = 3.0


class AnnouncementAcks:
    """Take in announcements where they can be passed on.

    Args:
        instance: The member of the register that this process runs.
        gossip_service: Spreads announcements.
        confirmed: Tells when a majority was last heard of.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        gossip_service: gossip.Gossip,
        confirmed: publisher.Confirmations,
    ) -> None:
        self._instance = instance
        self._gossip = gossip_service
        self._confirmed = confirmed

    async def announce(self, server: messages.Server) -> bool:
        """Take in a server's word; return whether to acknowledge it."""
        self._gossip.announce(server)
        if server.state == "leaving":
            return await self._confirm()
        if not self._instance.register.members:
            # No cluster is formed yet: nothing can have been missed.
            return True
        return self._confirmed.age_s(trio.current_time()) <= MAX_AGE_S

    async def dismiss(self, server_id: str) -> bool:
        """Take a server out; return whether to acknowledge it."""
        self._gossip.dismiss(server_id)
        return await self._confirm()

    async def _confirm(self) -> bool:
        with trio.move_on_after(CONFIRM_S):
            return await self._instance.confirm()
        return False
