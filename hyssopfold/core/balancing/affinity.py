"""Rank the servers of a pool for an object by weighted rendezvous hashing.

Every entry computes the same ranking without messages. An object keeps its
first servers as long as they are members, and a server that joins or leaves
moves only the objects for which it ranks first. A server of twice the weight
ranks first for twice as many objects.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import math

# Greatest number of cached rankings; the oldest are dropped.
MAX_CACHED_RANKINGS = 20_000
_SCALE = float(1 << 64)


class RankingCache:
    """Cache of rankings by object, for one set of weights at a time.

    Used by `local.Chooser`, one for each pool.
    """

    def __init__(self) -> None:
        self._weights: Mapping[str, float] = {}
        self._rankings: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str, weights: Mapping[str, float]) -> tuple[str, ...]:
        """Return the servers ranked for an object, the first one first.

        Cached rankings are valid for one `weights` object, compared by
        identity: comparing the weights of a large pool on each request would
        cost more than the choice itself.

        Args:
            key: The object.
            weights: Weight of each server.
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
    """Return the servers ranked for `key`, by their weights."""
    return tuple(
        sorted(
            weights,
            key=lambda name: -math.log(_draw(key, name)) / weights[name],
        )
    )


def rank_unweighted(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return `names` ranked for `key`, all with the same weight."""
    return rank_weighted(key, dict.fromkeys(names, 1.0))


def _draw(key: str, name: str) -> float:
    """Return a hash above 0 and below 1, the same in every process."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _SCALE
