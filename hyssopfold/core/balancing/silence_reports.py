"""Which servers other entries say are silent, and when that is believed."""

from collections.abc import Collection

# Others' word that a server is silent counts for so long, and only when so many
# say it: a single one may be cut off from the server.
REPORT_VALID_S = 1.0
MIN_REPORTERS = 2


class SilenceReports:
    """Keep who waits in vain at which server."""

    def __init__(self) -> None:
        # Until when each entry's word counts, by server.
        self._until: dict[str, dict[str, float]] = {}

    def record(self, server_id: str, sender: str, now: float) -> bool:
        """Take in that `sender` waits in vain; return whether that decides."""
        before = self.is_confirmed(server_id, now)
        self._until.setdefault(server_id, {})[sender] = now + REPORT_VALID_S
        return not before and self.is_confirmed(server_id, now)

    def is_confirmed(self, server_id: str, now: float) -> bool:
        """Return whether enough entries say lately that a server is silent."""
        held = self._until.get(server_id)
        if not held:
            return False
        lately = sum(until > now for until in held.values())
        if not lately:
            del self._until[server_id]
        return lately >= MIN_REPORTERS

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._until.keys() - set(server_ids):
            del self._until[server_id]
