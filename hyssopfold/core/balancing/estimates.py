"""How long a request takes, from what answers took here before.

Slots and queues say little by themselves: nine requests before one are a tenth
of a second where they take 0.1 s each, and more than its goal where they take
two. Few numbers are kept for each route and pool, and each answer moves them a
little, so that what changes is followed and old answers are forgotten.
"""

from typing import NamedTuple

# Before there are answers: a server that knows the object takes about half of
# the goal, one that does not three times as long.
PRIOR_KNOWN = 0.45
PRIOR_NEW = 1.4
# A quantile moves by this share of itself with each answer.
STEP = 0.1
KNOWN_QUANTILE = 0.5
# One that must not end too late is planned for slow runs too.
NEW_QUANTILE = 0.7
# Answers that took so many times as long as at a server that knows the object
# are taken for those of one that did not.
NEW_FROM = 1.7
# Share of a new answer in a pool's mean run.
MEAN_SHARE = 0.05
# A goal where the table names none, in seconds.
USUAL_GOAL_S = 0.5


class Kind(NamedTuple):
    """Requests that take alike: of one route, to servers of one region."""

    route: str
    region: str


class Answer(NamedTuple):
    """What an answer told: `waits` if requests waited at its server then."""

    kind: Kind
    pool: str
    goal_s: float
    took_s: float
    was_known: bool
    waits: bool


class Estimates:
    """Running figures of the requests of one entry."""

    def __init__(self) -> None:
        self._known: dict[Kind, float] = {}
        self._new: dict[Kind, float] = {}
        self._means: dict[str, float] = {}

    def run_s(self, kind: Kind, goal_s: float, is_known: bool) -> float:
        """Return the time that a request takes at a server without a queue."""
        goal_s = goal_s or USUAL_GOAL_S
        if is_known:
            return self._known.get(kind, PRIOR_KNOWN * goal_s)
        known_s = self._known.get(kind)
        if known_s is None:
            return self._new.get(kind, PRIOR_NEW * goal_s)
        return self._new.get(kind, known_s * PRIOR_NEW / PRIOR_KNOWN)

    def wait_s(
        self, pool: str, requests: float, slots: int, goal_s: float
    ) -> float:
        """Return the wait behind `requests` at a server with `slots`."""
        before = max(0.0, requests + 1 - slots)
        mean_s = self._means.get(pool, PRIOR_KNOWN * (goal_s or USUAL_GOAL_S))
        return before * mean_s / max(1, slots)

    def observe(self, answer: Answer) -> None:
        """Take in what an answer took."""
        kind = answer.kind
        known_s = self.run_s(kind, answer.goal_s, is_known=True)
        seems_new = answer.took_s > NEW_FROM * known_s
        is_new = seems_new and not answer.was_known
        if not answer.waits:
            # With requests waiting at the server, a part of it was a wait.
            self._move(answer, is_new)
        run_s = self.run_s(kind, answer.goal_s, is_known=not is_new)
        mean_s = self._means.get(answer.pool, run_s)
        self._means[answer.pool] = mean_s + MEAN_SHARE * (run_s - mean_s)

    def _move(self, answer: Answer, is_new: bool) -> None:
        held = self._new if is_new else self._known
        quantile = NEW_QUANTILE if is_new else KNOWN_QUANTILE
        old = held.get(answer.kind)
        if old is None:
            held[answer.kind] = answer.took_s
            return
        above = answer.took_s > old
        held[answer.kind] = old * (1 + STEP * (quantile - (not above)) * 2)
