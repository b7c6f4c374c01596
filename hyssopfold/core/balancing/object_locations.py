"""Which servers are likely to have an object cached.

A server that handled an object recently takes a third of the time for it. When
servers join, leave and return, the ranking tells which servers shall handle an
object, but not which ones have it cached. This module derives that from the
answers that this entry received.
"""

from collections.abc import Collection

# A server caches some dozens of objects; an object that was not requested in
# this time has likely been evicted.
CACHE_RETENTION_S = 30.0
# Greatest number of tracked objects; the least recently used are dropped.
MAX_OBJECTS = 20_000
# Servers tracked for each object: those that answered last.
MAX_SERVERS = 3

# Server id and incarnation: a server that restarts has lost its cache.
ServerIncarnation = tuple[str, int]


class ObjectLocations:
    """The times at which servers answered for objects.

    Used by `local.Chooser` to estimate run times.
    """

    def __init__(self) -> None:
        self._answered: dict[str, dict[ServerIncarnation, float]] = {}

    def record(
        self, key: str, incarnation: ServerIncarnation, now: float
    ) -> None:
        """Record that a server answered for an object."""
        answered_at = self._answered.pop(key, None)
        if answered_at is None:
            answered_at = {}
            if len(self._answered) >= MAX_OBJECTS:
                del self._answered[next(iter(self._answered))]
        answered_at.pop(incarnation, None)
        answered_at[incarnation] = now
        if len(answered_at) > MAX_SERVERS:
            del answered_at[next(iter(answered_at))]
        self._answered[key] = answered_at

    def is_cached(
        self, key: str, incarnation: ServerIncarnation, now: float
    ) -> bool:
        """Return whether a server is likely to have an object cached."""
        answered_at = self._answered.get(key)
        return (
            answered_at is not None
            and now - answered_at.get(incarnation, -CACHE_RETENTION_S)
            < CACHE_RETENTION_S
        )

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for key, answered_at in list(self._answered.items()):
            remaining = {
                incarnation: at
                for incarnation, at in answered_at.items()
                if incarnation[0] in server_ids
            }
            if remaining:
                self._answered[key] = remaining
            else:
                del self._answered[key]
