"""Announcements that this instance received from backend servers directly."""

import math

from hyssopfold.core.membership import messages


class ReceivedAnnouncements:
    """The newest announcement of each server, and when it was received.

    Used by the gossip protocol and by the monitoring of servers.

    Args:
        lease_s: Seconds without an announcement after which a server is
            silent.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._announcements: dict[str, messages.Server] = {}
        self._received_at: dict[str, float] = {}

    def get(self, server_id: str) -> messages.Server | None:
        """Return a server's newest announcement to this instance."""
        return self._announcements.get(server_id)

    def record(self, server: messages.Server, now: float) -> bool:
        """Record an announcement.

        Args:
            server: The announcement.
            now: Monotonic time in seconds.

        Returns:
            Whether the server announces itself here regularly: the previous
            announcement of this incarnation is no older than the lease.
        """
        previous = self._announcements.get(server.server_id)
        silent_s = self.silent_s(server.server_id, now)
        self._announcements[server.server_id] = server
        self._received_at[server.server_id] = now
        if previous is None or previous.incarnation != server.incarnation:
            return False
        return silent_s <= self._lease_s

    def expect(self, server_id: str, now: float) -> None:
        """Count the silence of a server from now, if it never announced itself.

        Args:
            server_id: The server.
            now: Monotonic time in seconds.
        """
        self._received_at.setdefault(server_id, now)

    def silent_s(self, server_id: str, now: float) -> float:
        """Return the seconds since an announcement, infinite without one."""
        return now - self._received_at.get(server_id, -math.inf)

    def newer_than(
        self, server: messages.Server, now: float
    ) -> messages.Server | None:
        """Return an announcement within its lease that is newer than `server`.

        None if there is no such announcement.
        """
        if self.silent_s(server.server_id, now) > self._lease_s:
            return None
        announcement = self._announcements.get(server.server_id)
        if announcement is None or not is_newer(announcement, server):
            return None
        return announcement


def is_newer(announcement: messages.Server, other: messages.Server) -> bool:
    """Return whether a server sent `announcement` after `other`."""
    version = (announcement.incarnation, announcement.sequence)
    return version > (other.incarnation, other.sequence)
