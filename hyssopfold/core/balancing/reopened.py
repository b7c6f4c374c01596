"""Failure domains that get work again after an evacuation."""

from collections.abc import Collection

from hyssopfold.core.membership import directory


class Reopened:
    """Take the servers of a domain that gets work again for cold.

    They had none for a while, so they may have become cold, and a server's own
    word of that can be late or lost.

    Args:
        known: What the servers say of themselves.
    """

    def __init__(self, known: directory.Directory) -> None:
        self._known = known
        self._evacuated: frozenset[str] = frozenset()
        self._at: dict[str, float] = {}

    def note(self, evacuated: Collection[str], now: float) -> tuple[str, ...]:
        """Take in which domains are evacuated now.

        Returns:
            The domains that get work again from now on, sorted.
        """
        closed = frozenset(evacuated)
        if closed == self._evacuated:
            return ()
        again = tuple(sorted(self._evacuated - closed))
        self._at |= dict.fromkeys(again, now)
        self._evacuated = closed
        return again

    def is_cold(self, server_id: str, warm_up_s: float, now: float) -> bool:
        """Return whether a server is to be taken for cold.

        Args:
            server_id: The server.
            warm_up_s: Seconds for which a server of its pool stays cold.
            now: Monotonic time in seconds.
        """
        told_until = self._known.cold_until(server_id)
        if told_until > now:
            return True
        server = self._known.servers.get(server_id)
        if server is None:
            return False
        reopened_at = self._at.get(server.failure_domain)
        if reopened_at is None or told_until > reopened_at:
            return False
        return now < reopened_at + warm_up_s
