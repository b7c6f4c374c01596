"""Reports of other entries that a server is silent."""

from collections.abc import Collection

# Seconds for which a report counts, and the number of entries whose reports are
# needed before a server gets no more requests: a single entry may be cut off
# from a server that all others reach.
REPORT_VALID_S = 1.0
MIN_REPORTERS = 2


class SilenceReports:
    """Record which entries report which servers as silent.

    Used by `local.Chooser` for the reports of other entries.
    """

    def __init__(self) -> None:
        # Time until which each entry's report counts, by server.
        self._until: dict[str, dict[str, float]] = {}

    def record(self, server_id: str, sender: str, now: float) -> bool:
        """Record the report of an entry that a server is silent.

        Args:
            server_id: The server.
            sender: Name of the reporting entry.
            now: Monotonic time in seconds.

        Returns:
            Whether the server is confirmed as silent by this report, and was
            not before.
        """
        was_confirmed = self.is_confirmed(server_id, now)
        self._until.setdefault(server_id, {})[sender] = now + REPORT_VALID_S
        return not was_confirmed and self.is_confirmed(server_id, now)

    def is_confirmed(self, server_id: str, now: float) -> bool:
        """Return whether enough valid reports say that a server is silent."""
        reports = self._until.get(server_id)
        if not reports:
            return False
        recent = sum(until > now for until in reports.values())
        if not recent:
            del self._until[server_id]
        return recent >= MIN_REPORTERS

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._until.keys() - set(server_ids):
            del self._until[server_id]
