"""How many retries an entry may add to its traffic."""

RATIO = 0.1
RESERVE = 10.0


class Budget:
    """Allow retries up to a share of requests.

    Without it, servers that are slow for all make every request come three
    times, which is what keeps them slow. A small reserve serves a quiet entry.

    Args:
        ratio: Retries for each request.
        reserve: Retries that may be saved up; may be changed at any time.
    """

    def __init__(self, ratio: float = RATIO, reserve: float = RESERVE) -> None:
        self._ratio = ratio
        self.reserve = reserve
        self.left = reserve

    def earn(self) -> None:
        """Count a request."""
        self.left = min(self.reserve, self.left + self._ratio)

    def spend(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
