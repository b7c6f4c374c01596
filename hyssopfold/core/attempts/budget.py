"""How many retries an entry may add to its traffic."""

import collections

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0
# What requests have earned may be spent for so long: an entry with a few
# requests a second meets failures in clusters, not evenly.
WINDOW_S = 10.0


class RetryBudget:
    """Allow retries up to a share of requests.

    Without it, servers that are slow for all make every request come three
    times, which is what keeps them slow. A small reserve serves a quiet entry.
    In any `WINDOW_S` no more is spent than the reserve and the share of the
    requests of that time and of as long before it.

    Args:
        ratio: Retries for each request.
        reserve: Retries that may be saved up beyond what was earned lately;
            may be changed at any time.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._ratio = ratio
        self.reserve = reserve
        self.left = reserve
        # Earned in each second of the last `WINDOW_S`.
        self._earned: collections.deque[tuple[int, float]] = collections.deque()

    def earn(self, now: float) -> None:
        """Count a request at a time, in seconds."""
        second = int(now)
        while self._earned and self._earned[0][0] <= second - WINDOW_S:
            self._earned.popleft()
        if self._earned and self._earned[-1][0] == second:
            self._earned[-1] = (second, self._earned[-1][1] + self._ratio)
        else:
            self._earned.append((second, self._ratio))
        saved = sum(amount for _, amount in self._earned)
        self.left = min(self.reserve + saved, self.left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
