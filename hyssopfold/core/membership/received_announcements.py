"""Announcements of backend servers that came to this instance itself."""

import math

from hyssopfold.core.membership import messages


class ReceivedAnnouncements:
    """Keep the newest announcement of each server, and when it came.

    Args:
        lease_s: Seconds after which a server that says nothing is silent.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._words: dict[str, messages.Server] = {}
        self._came_at: dict[str, float] = {}

    def get(self, server_id: str) -> messages.Server | None:
        """Return a server's newest announcement to this instance."""
        return self._words.get(server_id)

    def take(self, server: messages.Server, now: float) -> bool:
        """Take in an announcement; return whether the server has settled here.

        One that came before within the lease has: it comes time and again.
        """
        last = self._words.get(server.server_id)
        silent_s = self.silent_s(server.server_id, now)
        self._words[server.server_id] = server
        self._came_at[server.server_id] = now
        if last is None or last.incarnation != server.incarnation:
            return False
        return silent_s <= self._lease_s

    def silent_s(self, server_id: str, now: float) -> float:
        """Return the seconds since an announcement, infinite without one."""
        return now - self._came_at.get(server_id, -math.inf)

    def newer(
        self, server: messages.Server, now: float
    ) -> messages.Server | None:
        """Return a fresh announcement here that is newer than `server`."""
        if self.silent_s(server.server_id, now) > self._lease_s:
            return None
        word = self._words[server.server_id]
        return word if is_newer(word, server) else None


def is_newer(one: messages.Server, other: messages.Server) -> bool:
    """Return whether a server said `one` after `other`."""
    mine = (one.incarnation, one.sequence)
    return mine > (other.incarnation, other.sequence)
