"""Estimates of run and queueing times from the answers that an entry received.

The length of a queue alone does not determine the wait: at a server of five
slots, nine requests mean a wait of a tenth of a second if they take 0.1 s each,
and one above the latency goal if they take two. The module estimates the run
time for each route and region, and the mean run time for each pool. Each answer
moves the estimates by a small step, so that they follow changes and old answers
lose their weight.
"""

from typing import NamedTuple

# Run times before the first answer, as multiples of the latency goal: a server
# that has the object cached takes about half of the goal, one that does not
# takes three times as long.
PRIOR_CACHED = 0.45
PRIOR_UNCACHED = 1.4
# Each answer moves a quantile estimate by about this share of itself.
QUANTILE_STEP = 0.1
# Quantile of the run times that is estimated: the median if the object is
# cached. If it is not, a higher one, so that a request which must not be late
# allows for slow runs.
CACHED_QUANTILE = 0.5
UNCACHED_QUANTILE = 0.7
# An answer that took longer than this multiple of the run time with the object
# cached counts as one without, unless the server was likely to have it cached.
UNCACHED_RATIO = 1.7
# Weight of a new answer in the moving average of a pool's run time.
MEAN_GAIN = 0.05
# Latency goal of routes without one in their row of the table.
DEFAULT_GOAL_S = 0.5


class RequestKind(NamedTuple):
    """Requests with like run times: of one route, to servers of one region."""

    route: str
    region: str


class AnswerSample(NamedTuple):
    """A measured answer.

    Attributes:
        kind: Kind of the request.
        pool: Pool of the server.
        goal_s: Latency goal in seconds, 0 for none.
        took_s: Seconds from the request to the answer.
        was_cached: Whether the server was likely to have the object cached.
        had_queue: Whether requests were waiting at the server.
    """

    kind: RequestKind
    pool: str
    goal_s: float
    took_s: float
    was_cached: bool
    had_queue: bool


class Estimates:
    """Moving estimates of the run times of one entry's requests.

    Used by `local.Chooser` to compare servers.
    """

    def __init__(self) -> None:
        self._cached_s: dict[RequestKind, float] = {}
        self._uncached_s: dict[RequestKind, float] = {}
        self._mean_run_s: dict[str, float] = {}

    def run_s(self, kind: RequestKind, goal_s: float, is_cached: bool) -> float:
        """Return the seconds that a request takes at a server without a queue.

        Args:
            kind: Kind of the request.
            goal_s: Its latency goal in seconds, 0 for none.
            is_cached: Whether the server is likely to have its object cached.
        """
        goal_s = goal_s or DEFAULT_GOAL_S
        if is_cached:
            return self._cached_s.get(kind, PRIOR_CACHED * goal_s)
        cached_s = self._cached_s.get(kind)
        if cached_s is None:
            return self._uncached_s.get(kind, PRIOR_UNCACHED * goal_s)
        return self._uncached_s.get(
            kind, cached_s * PRIOR_UNCACHED / PRIOR_CACHED
        )

    def wait_s(
        self, pool: str, requests: float, slots: int, goal_s: float
    ) -> float:
        """Return the seconds that a request waits in a server's queue.

        Args:
            pool: Pool of the server.
            requests: Requests running and waiting at the server.
            slots: Slots of the server.
            goal_s: Latency goal in seconds, 0 for none.
        """
        ahead = max(0.0, requests + 1 - slots)
        mean_s = self._mean_run_s.get(
            pool, PRIOR_CACHED * (goal_s or DEFAULT_GOAL_S)
        )
        return ahead * mean_s / max(1, slots)

    def observe(self, answer: AnswerSample) -> None:
        """Update the estimates with a measured answer."""
        kind = answer.kind
        cached_s = self.run_s(kind, answer.goal_s, is_cached=True)
        seems_uncached = answer.took_s > UNCACHED_RATIO * cached_s
        is_uncached = seems_uncached and not answer.was_cached
        if not answer.had_queue:
            # With a queue at the server, a part of the time was waiting.
            self._move_quantile(answer, is_uncached)
        run_s = self.run_s(kind, answer.goal_s, is_cached=not is_uncached)
        mean_s = self._mean_run_s.get(answer.pool, run_s)
        self._mean_run_s[answer.pool] = mean_s + MEAN_GAIN * (run_s - mean_s)

    def _move_quantile(self, answer: AnswerSample, is_uncached: bool) -> None:
        run_times = self._uncached_s if is_uncached else self._cached_s
        quantile = UNCACHED_QUANTILE if is_uncached else CACHED_QUANTILE
        previous_s = run_times.get(answer.kind)
        if previous_s is None:
            run_times[answer.kind] = answer.took_s
            return
        is_above = answer.took_s > previous_s
        run_times[answer.kind] = previous_s * (
            1 + QUANTILE_STEP * (quantile - (not is_above)) * 2
        )
