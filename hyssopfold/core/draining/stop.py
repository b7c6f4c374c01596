"""Phases of an entry's planned stop: when to close connections and to exit."""

import enum
from typing import NamedTuple


class Phase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    DONE = "done"


class Observed(NamedTuple):
    """Numbers of open connections and of requests under way."""

    connections: int
    requests: int


class Stop:
    """State machine of an entry's planned stop.

    Callers cache look-ups, so a leaving entry accepts requests until the last
    look-up that returned it has expired: `lookup_ttl_s` after all other entries
    know that it leaves, which takes `propagation_s`. Only then are connections
    closed, and only those without a request under way.

    Args:
        lookup_ttl_s: Seconds for which callers may cache a look-up.
        propagation_s: Seconds until other entries stop returning this one in
            look-ups.
        max_s: Longest duration of a stop in seconds.
        serve_s: Seconds for which new requests are accepted, if the stop must
            not wait for the look-ups to expire. The connections of later
            callers are closed before their request is read, and they use
            another entry.

    Attributes:
        phase: The current phase.
        rejects_callers: Whether later callers are rejected, see `serve_s`.
        cut_requests: Requests that were under way when the stop was forced.
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

    @property
    def ends_at(self) -> float:
        """Return the monotonic time in seconds at which the stop is forced."""
        return self._began_at + self._max_s

    def begin(self, now: float) -> None:
        """Begin to stop; further calls have no effect."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.LEAVING
            self._began_at = now

    def force(self, observed: Observed) -> None:
        """End the stop at once, aborting the requests under way."""
        self.phase = Phase.DONE
        self.cut_requests = observed.requests

    def tick(self, observed: Observed, now: float) -> Phase:
        """Update and return the phase.

        Args:
            observed: Open connections and requests under way.
            now: Monotonic time in seconds.
        """
        if self.phase is Phase.LEAVING and now >= self._began_at + self._wait_s:
            self.phase = Phase.DRAINING
        if self.phase is Phase.DRAINING and observed.connections == 0:
            self.phase = Phase.DONE
        is_overdue = now >= self.ends_at
        if self.phase in (Phase.LEAVING, Phase.DRAINING) and is_overdue:
            self.force(observed)
        return self.phase
