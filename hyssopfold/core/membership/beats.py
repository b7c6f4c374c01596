"""Signs of life of instances, counted and packed for a datagram."""

from collections.abc import Iterable
import random
import struct
from typing import NamedTuple
import zlib

from hyssopfold.core.membership import directory

MAX_BEATS = 90
LATELY_S = 3.0
MAX_BURIED = 1000
_PACKED = struct.Struct("<IHI")


class _Count(NamedTuple):
    incarnation: int
    beats: int
    changed_at: float


class Beats:
    """Newest sign of life of each instance, known by a hash of its name.

    A sign counts only for the life that the directory knows: one of an
    earlier life, delayed on its way, does not keep an instance alive.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._names: dict[int, str] = {}
        self._buried: dict[str, _Count] = {}

    def advance(self, name: str, incarnation: int, now: float) -> None:
        """Count one more sign of life of this instance itself."""
        held = self._counts.get(name)
        count = 1 if held is None else held.beats + 1
        self._counts[name] = _Count(incarnation, count, now)
        self._names[_hash(name)] = name

    def learn(self, known: directory.Directory) -> None:
        """Follow the directory: new lives count anew, dropped ones go."""
        words = {word.name: word for word in known.instances.words()}
        for name, word in words.items():
            held = self._counts.get(name)
            if held is None or held.incarnation != word.incarnation:
                self._counts[name] = _Count(word.incarnation, 0, 0.0)
                self._names[_hash(name)] = name
        for name in self._counts.keys() - words.keys():
            held = self._counts[name]
            self._buried.setdefault(name, held)
        for name in self._buried.keys() & words.keys():
            del self._buried[name]
        while len(self._buried) > MAX_BURIED:
            name = next(iter(self._buried))
            del self._buried[name]
            self._counts.pop(name, None)
            self._names.pop(_hash(name), None)

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Return whether a word of an instance may be taken in.

        The word of one that was dropped goes round for a while among those
        that have not dropped it yet; only a newer sign of life counts.
        """
        buried = self._buried.get(name)
        if buried is None or buried.incarnation != incarnation:
            return True
        return self._counts[name].beats > buried.beats

    def silent_s(self, name: str, now: float) -> float:
        """Return the seconds since an instance's last sign of life.

        0 for one that has only just been told of.
        """
        held = self._counts.get(name)
        return now - held.changed_at if held is not None and held.beats else 0.0

    def pack(self, me: str, rng: random.Random, now: float) -> bytes:
        """Return this instance's sign of life and some that changed lately.

        Chosen by chance when there are many: the same few would else go round
        and the others fall silent.
        """
        lately = [
            name
            for name, held in self._counts.items()
            if now - held.changed_at <= LATELY_S
            and name != me
            and name not in self._buried
        ]
        chosen = rng.sample(lately, min(len(lately), MAX_BEATS - 1))
        return b"".join(self._pack(name) for name in (me, *chosen))

    def _pack(self, name: str) -> bytes:
        held = self._counts[name]
        return _PACKED.pack(
            _hash(name), held.incarnation & 0xFFFF, held.beats & 0xFFFFFFFF
        )

    def merge(self, packed: bytes, now: float) -> Iterable[str]:
        """Take in signs of life; return the names that made a new one."""
        fresh = []
        usable = len(packed) - len(packed) % _PACKED.size
        for key, tag, count in _PACKED.iter_unpack(packed[:usable]):
            name = self._names.get(key)
            if name is None:
                continue
            held = self._counts[name]
            if tag != held.incarnation & 0xFFFF or count <= held.beats:
                continue
            self._counts[name] = _Count(held.incarnation, count, now)
            fresh.append(name)
        return fresh


def _hash(name: str) -> int:
    return zlib.crc32(name.encode())
