"""In which order the servers of a pool are asked for one object.

Weighted rendezvous hashing: every entry ranks the servers alike without a
word, an object keeps its first servers while they are there, and a server
that comes or goes moves only the objects for which it ranks first. A server
of twice the weight ranks first for twice as many objects.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

# Objects whose ranking is kept; the longest unused are dropped.
MAX_CACHED_RANKINGS = 20_000
_SCALE = float(1 << 64)


class Ranking:
    """Rank servers by object, for one set of servers at a time."""

    def __init__(self) -> None:
        self._weights: Mapping[str, float] = {}
        self._rankings: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str, weights: Mapping[str, float]) -> tuple[str, ...]:
        """Return the servers of `weights`, the best for `key` first.

        What is kept holds for one object of weights: comparing those of a
        large pool with each request would cost more than the choice itself.
        """
        if weights is not self._weights:
            self._weights = weights
            self._rankings.clear()
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = rank_weighted(key, weights)
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                del self._rankings[next(iter(self._rankings))]
            self._rankings[key] = ranking
        return ranking


def rank_weighted(key: str, weights: Mapping[str, float]) -> tuple[str, ...]:
    """Return the servers by weight and by the hash of each with `key`."""
    return tuple(
        sorted(
            weights,
            key=lambda name: -math.log(_draw(key, name)) / weights[name],
        )
    )


def rank_unweighted(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return `names` by the hash of each with `key`, all of one weight."""
    return rank_weighted(key, dict.fromkeys(names, 1.0))


def _draw(key: str, name: str) -> float:
    """Return a number above 0 and below 1, alike in every process."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _SCALE
