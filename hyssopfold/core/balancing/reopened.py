"""Failure domains that get work again after an evacuation."""

from collections.abc import Collection

from hyssopfold.core.membership import directory


class ReopenedDomains:
    """Take the servers of a domain that gets work again for cold.

    They had none for a while, so they may have become cold, and a server's own
    word of that can be late or lost.

    Args:
        known: What the servers say of themselves.
    """

    def __init__(self, server_directory: directory.Directory) -> None:
        self._directory = server_directory
        self._evacuated: frozenset[str] = frozenset()
        self._reopened_at: dict[str, float] = {}

    def update(self, evacuated: Collection[str], now: float) -> tuple[str, ...]:
        """Take in which domains are evacuated now.

        Returns:
            The domains that get work again from now on, sorted.
        """
        evacuated_now = frozenset(evacuated)
        if evacuated_now == self._evacuated:
            return ()
        reopened_now = tuple(sorted(self._evacuated - evacuated_now))
        self._reopened_at |= dict.fromkeys(reopened_now, now)
        self._evacuated = evacuated_now
        return reopened_now

    def is_cold(self, server_id: str, warm_up_s: float, now: float) -> bool:
        """Return whether a server is to be taken for cold.

        Args:
            server_id: The server.
            warm_up_s: Seconds for which a server of its pool stays cold.
            now: Monotonic time in seconds.
        """
        announced_until = self._directory.cold_until(server_id)
        if announced_until > now:
            return True
        server = self._directory.servers.get(server_id)
        if server is None:
            return False
        reopened_at = self._reopened_at.get(server.failure_domain)
        if reopened_at is None or announced_until > reopened_at:
            return False
        return now < reopened_at + warm_up_s
