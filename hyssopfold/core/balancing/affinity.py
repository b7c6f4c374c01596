"""In which order the servers of a pool are asked for one object.

Rendezvous hashing: every entry ranks the servers alike without a word, an
object keeps its first servers while they are there, and a server that comes
or goes moves only the objects for which it ranks first.
"""

from collections.abc import Iterable
import hashlib

# Objects whose ranking is kept; the longest unused are dropped.
MAX_KEPT = 20_000


class Ranking:
    """Rank servers by object, for one set of servers at a time."""

    def __init__(self) -> None:
        self._ids: frozenset[str] = frozenset()
        self._kept: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str, ids: frozenset[str]) -> tuple[str, ...]:
        """Return all of `ids`, the one that should serve `key` first."""
        if ids != self._ids:
            self._ids = ids
            self._kept.clear()
        found = self._kept.get(key)
        if found is None:
            found = ranked(key, ids)
            if len(self._kept) >= MAX_KEPT:
                del self._kept[next(iter(self._kept))]
            self._kept[key] = found
        return found


def ranked(key: str, ids: Iterable[str]) -> tuple[str, ...]:
    """Return `ids` by the hash of each with `key`."""
    return tuple(sorted(ids, key=lambda one: _weight(key, one)))


def _weight(key: str, server_id: str) -> bytes:
    text = f"{key}\0{server_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
