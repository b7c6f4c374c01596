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
    all others know that it leaves, which takes `propagation_s`. Only then are
    connections closed, and only those without a request.

    Args:
        lookup_ttl_s: Seconds that callers may cache a look-up.
        propagation_s: Seconds until other entries stop naming this one.
        max_s: Longest a stop may take in all.
        serve_s: Seconds for which new requests are taken, when a stop must
            not wait for the look-ups: callers that come later are turned away
            unread, and go to another entry.
    """

    def __init__(
        self,
        lookup_ttl_s: float,
        propagation_s: float,
        max_s: float,
        serve_s: float | None = None,
    ) -> None:
        self._wait_s = lookup_ttl_s + propagation_s
        self.rejects_callers = serve_s is not None
        if serve_s is not None:
            self._wait_s = min(serve_s, self._wait_s)
        self._max_s = max_s
        self._began_at = 0.0
        self.phase = Phase.SERVING
        self.cut_requests = 0

    def begin(self, now: float) -> None:
        """Begin to stop; asking again changes nothing."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.LEAVING
            self._began_at = now

    def force(self, observed: Observed) -> None:
        """End at once, cutting the requests under way."""
        self.phase = Phase.DONE
        self.cut_requests = observed.requests

    def tick(self, observed: Observed, now: float) -> Phase:
        """Return the phase at `now`, given what is open."""
        if self.phase is Phase.LEAVING and now >= self._began_at + self._wait_s:
            self.phase = Phase.DRAINING
        if self.phase is Phase.DRAINING and observed.connections == 0:
            self.phase = Phase.DONE
        is_overdue = now >= self._began_at + self._max_s
        if self.phase in (Phase.LEAVING, Phase.DRAINING) and is_overdue:
            self.force(observed)
        return self.phase
