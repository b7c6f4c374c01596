"""How long a request takes, from what answers took here before.

Slots and queues say little by themselves: nine requests before one are a tenth
of a second where they take 0.1 s each, and more than its goal where they take
two. Few numbers are kept for each route and pool, and each answer moves them a
little, so that what changes is followed and old answers are forgotten.
"""

from typing import NamedTuple

# Before there are answers: a server that knows the object takes about half of
# the goal, one that does not three times as long.
PRIOR_CACHED = 0.45
PRIOR_UNCACHED = 1.4
# A quantile moves by this share of itself with each answer.
QUANTILE_STEP = 0.1
CACHED_QUANTILE = 0.5
# One that must not end too late is planned for slow runs too.
UNCACHED_QUANTILE = 0.7
# Answers that took so many times as long as at a server that knows the object
# are taken for those of one that did not.
UNCACHED_RATIO = 1.7
# Share of a new answer in a pool's mean run.
MEAN_GAIN = 0.05
# A goal where the table names none, in seconds.
DEFAULT_GOAL_S = 0.5


class RequestKind(NamedTuple):
    """Requests that take alike: of one route, to servers of one region."""

    route: str
    region: str


class AnswerSample(NamedTuple):
    """What an answer told: `waits` if requests waited at its server then."""

    kind: RequestKind
    pool: str
    goal_s: float
    took_s: float
    was_cached: bool
    had_queue: bool


class Estimates:
    """Running figures of the requests of one entry."""

    def __init__(self) -> None:
        self._cached_s: dict[RequestKind, float] = {}
        self._uncached_s: dict[RequestKind, float] = {}
        self._mean_run_s: dict[str, float] = {}

    def run_s(self, kind: RequestKind, goal_s: float, is_cached: bool) -> float:
        """Return the time that a request takes at a server without a queue."""
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
        """Return the wait behind `requests` at a server with `slots`."""
        before = max(0.0, requests + 1 - slots)
        mean_s = self._mean_run_s.get(
            pool, PRIOR_CACHED * (goal_s or DEFAULT_GOAL_S)
        )
        return before * mean_s / max(1, slots)

    def observe(self, answer: AnswerSample) -> None:
        """Take in what an answer took."""
        kind = answer.kind
        cached_s = self.run_s(kind, answer.goal_s, is_cached=True)
        seems_uncached = answer.took_s > UNCACHED_RATIO * cached_s
        is_uncached = seems_uncached and not answer.was_cached
        if not answer.had_queue:
            # With requests waiting at the server, a part of it was a wait.
            self._move_quantile(answer, is_uncached)
        run_s = self.run_s(kind, answer.goal_s, is_cached=not is_uncached)
        mean_s = self._mean_run_s.get(answer.pool, run_s)
        self._mean_run_s[answer.pool] = mean_s + MEAN_GAIN * (run_s - mean_s)

    def _move_quantile(self, answer: AnswerSample, is_uncached: bool) -> None:
        held = self._uncached_s if is_uncached else self._cached_s
        quantile = UNCACHED_QUANTILE if is_uncached else CACHED_QUANTILE
        old = held.get(answer.kind)
        if old is None:
            held[answer.kind] = answer.took_s
            return
        above = answer.took_s > old
        held[answer.kind] = old * (
            1 + QUANTILE_STEP * (quantile - (not above)) * 2
        )
