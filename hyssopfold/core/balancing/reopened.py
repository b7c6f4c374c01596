"""Failure domains that were reopened after an evacuation."""

from collections.abc import Collection

from hyssopfold.core.membership import directory


class ReopenedDomains:
    """Treat the servers of a reopened failure domain as cold.

    They got no requests during the evacuation, so they may have become cold,
    and a server's announcement of that can be late or lost. Used by the local
    placement of each entry.

    Args:
        server_directory: The servers' announcements.
    """

    def __init__(self, server_directory: directory.Directory) -> None:
        self._directory = server_directory
        self._evacuated: frozenset[str] = frozenset()
        self._reopened_at: dict[str, float] = {}

    def update(self, evacuated: Collection[str], now: float) -> tuple[str, ...]:
        """Update the set of evacuated failure domains.

        Args:
            evacuated: The domains that are evacuated now.
            now: Monotonic time in seconds.

        Returns:
            The domains that are reopened by this update, sorted.
        """
        evacuated_now = frozenset(evacuated)
        if evacuated_now == self._evacuated:
            return ()
        reopened_now = tuple(sorted(self._evacuated - evacuated_now))
        self._reopened_at |= dict.fromkeys(reopened_now, now)
        self._evacuated = evacuated_now
        return reopened_now

    def is_cold(self, server_id: str, warm_up_s: float, now: float) -> bool:
        """Return whether a server is to be treated as cold.

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
