"""Which servers answered for which objects lately, as far as seen here.

A server that handled an object lately takes a third of the time for it. Where
servers come, go and return, the order of ranking says where an object belongs,
not where it is known.
"""

from collections.abc import Collection

# A server remembers some dozens of objects; one not asked for in this time has
# likely made room for others.
CACHE_RETENTION_S = 30.0
# Objects that are kept track of; the longest unused are dropped.
MAX_OBJECTS = 20_000
# Servers kept of one object, those that answered last.
MAX_SERVERS = 3

# A life of a server: its id and incarnation. It forgets all when it restarts.
ServerIncarnation = tuple[str, int]


class ObjectLocations:
    """Keep who answered for which object."""

    def __init__(self) -> None:
        self._answered: dict[str, dict[ServerIncarnation, float]] = {}

    def record(
        self, key: str, incarnation: ServerIncarnation, now: float
    ) -> None:
        """Take in that a server answered for an object."""
        held = self._answered.pop(key, None)
        if held is None:
            held = {}
            if len(self._answered) >= MAX_OBJECTS:
                del self._answered[next(iter(self._answered))]
        held.pop(incarnation, None)
        held[incarnation] = now
        if len(held) > MAX_SERVERS:
            del held[next(iter(held))]
        self._answered[key] = held

    def is_cached(
        self, key: str, incarnation: ServerIncarnation, now: float
    ) -> bool:
        """Return whether a server answered for an object lately."""
        held = self._answered.get(key)
        return (
            held is not None
            and now - held.get(incarnation, -CACHE_RETENTION_S)
            < CACHE_RETENTION_S
        )

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for key, held in list(self._answered.items()):
            kept = {
                incarnation: at
                for incarnation, at in held.items()
                if incarnation[0] in server_ids
            }
            if kept:
                self._answered[key] = kept
            else:
                del self._answered[key]
