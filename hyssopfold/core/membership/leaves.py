"""Servers that leave: their dismissals, and those that left before a start."""

from collections.abc import Iterable

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import received_announcements

# Seconds for which a dismissal waits for the record of its server. An
# announcement may be delivered some seconds late. A server that starts again
# under its id takes longer than this, since it first finishes its requests.
DISMISSAL_S = 10.0


class Leaves:
    """Decides how servers leave, for the gossip protocol.

    A server that asks to be removed names only its id. An instance that has
    just started may not have its record yet, which other instances still have:
    the dismissal waits for it.

    Args:
        me: Name of this instance.
        member_directory: The directory to update.
        received: Announcements that this instance received.
    """

    def __init__(
        self,
        me: str,
        member_directory: directory.Directory,
        received: received_announcements.ReceivedAnnouncements,
    ) -> None:
        self._me = me
        self._directory = member_directory
        self._received = received
        # When the dismissals that wait for a record expire.
        self._expires_at: dict[str, float] = {}

    def dismiss(self, server_id: str, now: float) -> messages.Server | None:
        """Return the announcement that a dismissed server leaves.

        The server numbers its announcements itself, and other instances may
        have received newer ones than this instance. The number after the
        newest one known here is still newer than any that was broadcast,
        since a server's unchanged announcements are not forwarded.

        Args:
            server_id: The server.
            now: Monotonic time in seconds.

        Returns:
            The announcement; None if there is nothing to announce, or without
            a record. In that case the first record that arrives is marked.
        """
        record = self._directory.servers.get(server_id)
        if record is None:
            self._add(server_id, now)
            return None
        if record.state == "gone":
            left = record._replace(state="leaving")
            self._directory.servers.update(server_id, left, now)
        if record.state != "ready":
            return None
        newest = record
        last = self._received.get(server_id)
        if last is not None and received_announcements.is_newer(last, record):
            newest = last
        return newest._replace(
            state="leaving", sequence=newest.sequence + 1, monitor=""
        )

    def _add(self, server_id: str, now: float) -> None:
        self._expires_at = {
            key: expires_at
            for key, expires_at in self._expires_at.items()
            if expires_at > now
        }
        self._expires_at[server_id] = now + DISMISSAL_S

    def take_dismissal(self, server_id: str, now: float) -> bool:
        """Return whether a dismissal waits for this server, and remove it."""
        return self._expires_at.pop(server_id, 0.0) > now

    def has_left(self, server: messages.Server) -> bool:
        """Return whether this incarnation of a server is known to leave."""
        record = self._directory.servers.get(server.server_id)
        if record is None or record.state != "leaving":
            return False
        return record.incarnation == server.incarnation

    def restore(self, servers: Iterable[messages.Server], now: float) -> None:
        """Record servers that left before this instance started.

        Args:
            servers: Their last known records.
            now: Monotonic time in seconds.
        """
        for server in servers:
            left = server._replace(state="leaving")
            self._directory.servers.update(server.server_id, left, now)
            self.expect_announcements(left, now)

    def expect_announcements(self, server: messages.Server, now: float) -> None:
        """Count the silence of a server whose monitor this instance is.

        The record may name an earlier incarnation of this instance as the
        monitor. The others renew the server's lease for as long as this
        instance is a member, so it must notice when the server is silent.

        Args:
            server: The record that another instance sent, or a restored one.
            now: Monotonic time in seconds.
        """
        if server.monitor == self._me:
            self._received.expect(server.server_id, now)
