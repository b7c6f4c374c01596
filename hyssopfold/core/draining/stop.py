"""When an entry that stops may close connections, and when it may exit."""

import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """How far a planned stop has come."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    DONE = "done"


class Observed(NamedTuple):
    """Open connections, and requests under way, at this moment."""

    connections: int
    requests: int


class Stop:
    """Decide the steps of a planned stop.

    Callers cache look-ups, so an entry that leaves goes on taking requests
    until the last look-up that may name it has expired: `lookup_ttl_s` after
    all others know that it leaves, which takes `spread_s`. Only then are
    connections closed, and only those without a request.

    Args:
        lookup_ttl_s: Seconds that callers may cache a look-up.
        spread_s: Seconds until other entries stop naming this one.
        max_s: Longest a stop may take in all.
        serve_s: Seconds for which new requests are taken, when a stop must
            not wait for the look-ups: callers that come later are turned away
            unread, and go to another entry.
    """

    def __init__(
        self,
        lookup_ttl_s: float,
        spread_s: float,
        max_s: float,
        serve_s: float | None = None,
    ) -> None:
        self._wait_s = lookup_ttl_s + spread_s
        self.turns_away = serve_s is not None
        if serve_s is not None:
            self._wait_s = min(serve_s, self._wait_s)
        self._max_s = max_s
        self._asked_at = 0.0
        self.phase = Phase.SERVING
        self.cut = 0

    def ask(self, now: float) -> None:
        """Begin to stop; asking again changes nothing."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.LEAVING
            self._asked_at = now

    def force(self, seen: Observed) -> None:
        """End at once, cutting the requests under way."""
        self.phase = Phase.DONE
        self.cut = seen.requests

    def tick(self, seen: Observed, now: float) -> Phase:
        """Return the phase at `now`, given what is open."""
        if self.phase is Phase.LEAVING and now >= self._asked_at + self._wait_s:
            self.phase = Phase.DRAINING
        if self.phase is Phase.DRAINING and seen.connections == 0:
            self.phase = Phase.DONE
        late = now >= self._asked_at + self._max_s
        if self.phase in (Phase.LEAVING, Phase.DRAINING) and late:
            self.force(seen)
        return self.phase
