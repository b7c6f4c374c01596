"""Retry budget: limits the retries that an entry adds to its traffic."""

import collections

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0
# Seconds for which the retries earned by requests may be spent: the failures
# that an entry with a low request rate sees come in clusters, not evenly.
WINDOW_S = 10.0


class RetryBudget:
    """Allow retries up to a share of an entry's requests.

    Without a budget, servers that are slow for all callers would get every
    request three times, which keeps them slow. The reserve allows retries at
    an entry with few requests. In any `WINDOW_S` seconds, the retries don't
    exceed the reserve plus the share of the requests of that window and of the
    window before it.

    Args:
        ratio: Retries earned by each request.
        reserve: Retries that may be saved up beyond those earned in the last
            `WINDOW_S` seconds; may be changed at any time.

    Attributes:
        reserve: As above.
        left: Retries that are left now.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._ratio = ratio
        self.reserve = reserve
        self.left = reserve
        # Retries earned in each second of the last `WINDOW_S`.
        self._earned: collections.deque[tuple[int, float]] = collections.deque()

    def earn(self, now: float) -> None:
        """Count a request at `now`, monotonic time in seconds."""
        second = int(now)
        while self._earned and self._earned[0][0] <= second - WINDOW_S:
            self._earned.popleft()
        if self._earned and self._earned[-1][0] == second:
            self._earned[-1] = (second, self._earned[-1][1] + self._ratio)
        else:
            self._earned.append((second, self._ratio))
        earned = sum(amount for _, amount in self._earned)
        self.left = min(self.reserve + earned, self.left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return False if none was left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
