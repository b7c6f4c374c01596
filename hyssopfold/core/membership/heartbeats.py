"""Signs of life of instances, counted and packed for a datagram."""

from collections.abc import Iterable
import random
import struct
from typing import NamedTuple
import zlib

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# As many as fit into a datagram beside the sender's own word.
MAX_HEARTBEATS = 180
LATELY_S = 1.0
MAX_BURIED = 1000
# A hash of the name and the life, and the low bits of the count.
_PACKED = struct.Struct("<IH")
_COUNT_MASK = 0xFFFF
_HALF = 0x8000


class _Count(NamedTuple):
    incarnation: int
    heartbeats: int
    changed_at: float


class Heartbeats:
    """Newest sign of life of each instance, known by a hash of its life.

    A sign counts only for the life that the directory knows: one of an
    earlier life, delayed on its way, does not keep an instance alive.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._names: dict[int, str] = {}
        self._buried: dict[str, _Count] = {}
        self._learned = -1
        self._suspected: set[str] = set()

    def advance(self, name: str, incarnation: int, now: float) -> None:
        """Count one more sign of life of this instance itself."""
        held = self._counts.get(name)
        count = 1 if held is None else held.heartbeats + 1
        self._counts[name] = _Count(incarnation, count, now)
        self._names[_hash(name, incarnation)] = name

    def learn(self, member_directory: directory.Directory) -> None:
        """Follow the directory: new lives count anew, dropped ones go."""
        if self._learned == member_directory.instances.changes:
            return
        self._learned = member_directory.instances.changes
        words = {
            word.name: word for word in member_directory.instances.records()
        }
        for name, word in words.items():
            held = self._counts.get(name)
            if held is None or held.incarnation != word.incarnation:
                if held is not None:
                    self._names.pop(_hash(name, held.incarnation), None)
                self._counts[name] = _Count(word.incarnation, 0, 0.0)
                self._suspected.discard(name)
                self._names[_hash(name, word.incarnation)] = name
        for name in self._counts.keys() - words.keys():
            held = self._counts[name]
            self._buried.setdefault(name, held)
        for name in self._buried.keys() & words.keys():
            del self._buried[name]
        while len(self._buried) > MAX_BURIED:
            name = next(iter(self._buried))
            dropped = self._buried.pop(name)
            self._counts.pop(name, None)
            self._names.pop(_hash(name, dropped.incarnation), None)

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Return whether a word of an instance may be taken in.

        The word of one that was dropped goes round for a while among those
        that have not dropped it yet; only a newer sign of life counts.
        """
        buried = self._buried.get(name)
        if buried is None or buried.incarnation != incarnation:
            return True
        return self._counts[name].heartbeats > buried.heartbeats

    def silent_s(self, name: str, now: float) -> float:
        """Return the seconds since an instance's last sign of life.

        0 for one that has only just been told of.
        """
        held = self._counts.get(name)
        return (
            now - held.changed_at
            if held is not None and held.heartbeats
            else 0.0
        )

    def suspicion(self, name: str) -> messages.Suspicion:
        """Suspect an instance until a newer sign of life; return it to tell."""
        held = self._counts[name]
        self._suspected.add(name)
        return messages.Suspicion(name, held.incarnation, held.heartbeats)

    def suspect(self, told: messages.Suspicion) -> bool:
        """Take in another's suspicion, unless a newer sign of life came.

        Returns:
            Whether the instance was not suspected before and is now.
        """
        held = self._counts.get(told.name)
        if held is None or held.incarnation != told.incarnation:
            return False
        newer = (held.heartbeats - told.heartbeats) & _COUNT_MASK
        if 0 < newer < _HALF or told.name in self._suspected:
            return False
        self._suspected.add(told.name)
        return True

    def is_suspected(self, name: str) -> bool:
        """Return whether no sign of life came since an instance was suspected."""
        return name in self._suspected

    def pack(self, me: str, rng: random.Random, now: float) -> bytes:
        """Return this instance's sign of life and some that changed lately.

        Chosen by chance when there are many: the same few would else go round
        and the others fall silent.
        """
        lately = [
            name
            for name, held in self._counts.items()
            if now - held.changed_at <= LATELY_S
            and held.heartbeats
            and name != me
            and name not in self._buried
        ]
        chosen = rng.sample(lately, min(len(lately), MAX_HEARTBEATS - 1))
        return b"".join(self._pack(name) for name in (me, *chosen))

    def _pack(self, name: str) -> bytes:
        held = self._counts[name]
        key = _hash(name, held.incarnation)
        return _PACKED.pack(key, held.heartbeats & _COUNT_MASK)

    def merge(self, packed: bytes, now: float) -> Iterable[str]:
        """Take in signs of life; return the names that made a new one."""
        fresh = []
        usable = len(packed) - len(packed) % _PACKED.size
        for key, count in _PACKED.iter_unpack(packed[:usable]):
            name = self._names.get(key)
            if name is None:
                continue
            held = self._counts[name]
            newer = (count - held.heartbeats) & _COUNT_MASK
            if held.heartbeats and not 0 < newer < _HALF:
                continue
            # Of a life not heard of before, any count is the first.
            total = (
                held.heartbeats + newer
                if held.heartbeats
                else count or _HALF * 2
            )
            self._counts[name] = _Count(held.incarnation, total, now)
            self._suspected.discard(name)
            fresh.append(name)
        return fresh


def _hash(name: str, incarnation: int) -> int:
    return zlib.crc32(f"{name} {incarnation}".encode())
