"""Heartbeats of instances, counted and packed for a datagram."""

from collections.abc import Iterable
import random
import struct
from typing import NamedTuple
import zlib

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# As many as fit into a datagram beside the sender's own record.
MAX_HEARTBEATS = 180
# Heartbeats that changed within this time are sent to other instances.
RECENT_S = 1.0
MAX_TOMBSTONES = 1000
# A hash of name and incarnation, and the low bits of the count.
_PACKED = struct.Struct("<IH")
_COUNT_MASK = 0xFFFF
_HALF = 0x8000


class _Count(NamedTuple):
    incarnation: int
    heartbeats: int
    changed_at: float


class Heartbeats:
    """Newest heartbeat count of each instance, used by the gossip protocol.

    A packed heartbeat names its instance by a hash of name and incarnation.
    Only heartbeats of the incarnation in the directory count: a delayed one
    of an earlier incarnation does not keep an instance alive.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._names: dict[int, str] = {}
        self._tombstones: dict[str, _Count] = {}
        self._directory_changes = -1
        self._suspected: set[str] = set()

    def advance(self, name: str, incarnation: int, now: float) -> None:
        """Count one more heartbeat of this instance itself."""
        count = self._counts.get(name)
        heartbeats = 1 if count is None else count.heartbeats + 1
        self._counts[name] = _Count(incarnation, heartbeats, now)
        self._names[_hash(name, incarnation)] = name

    def follow(self, member_directory: directory.Directory) -> None:
        """Update the counts from the directory.

        A new incarnation is counted from 0. An instance that the directory
        has dropped gets a tombstone.
        """
        if self._directory_changes == member_directory.instances.changes:
            return
        self._directory_changes = member_directory.instances.changes
        records = {
            record.name: record
            for record in member_directory.instances.records()
        }
        for name, record in records.items():
            count = self._counts.get(name)
            if count is None or count.incarnation != record.incarnation:
                if count is not None:
                    self._names.pop(_hash(name, count.incarnation), None)
                self._counts[name] = _Count(record.incarnation, 0, 0.0)
                self._suspected.discard(name)
                self._names[_hash(name, record.incarnation)] = name
        for name in self._counts.keys() - records.keys():
            count = self._counts[name]
            self._tombstones.setdefault(name, count)
        for name in self._tombstones.keys() & records.keys():
            del self._tombstones[name]
        while len(self._tombstones) > MAX_TOMBSTONES:
            name = next(iter(self._tombstones))
            dropped = self._tombstones.pop(name)
            self._counts.pop(name, None)
            self._names.pop(_hash(name, dropped.incarnation), None)

    def is_alive(self, name: str, incarnation: int) -> bool:
        """Return whether a received record of an instance may be accepted.

        Instances that have not yet dropped another one go on sending its
        record. After it was dropped here, the record is accepted again only
        when a newer heartbeat came.
        """
        tombstone = self._tombstones.get(name)
        if tombstone is None or tombstone.incarnation != incarnation:
            return True
        return self._counts[name].heartbeats > tombstone.heartbeats

    def silent_s(self, name: str, now: float) -> float:
        """Return the seconds since an instance's last heartbeat.

        0 for an instance of which no heartbeat was received yet.
        """
        count = self._counts.get(name)
        return (
            now - count.changed_at
            if count is not None and count.heartbeats
            else 0.0
        )

    def suspicion(self, name: str) -> messages.Suspicion:
        """Suspect an instance until its next heartbeat.

        Returns:
            The suspicion, to be sent to the other instances.
        """
        count = self._counts[name]
        self._suspected.add(name)
        return messages.Suspicion(name, count.incarnation, count.heartbeats)

    def suspect(self, suspicion: messages.Suspicion) -> bool:
        """Apply another instance's suspicion, unless a newer heartbeat came.

        Returns:
            Whether the instance was not suspected before and is now.
        """
        count = self._counts.get(suspicion.name)
        if count is None or count.incarnation != suspicion.incarnation:
            return False
        newer = (count.heartbeats - suspicion.heartbeats) & _COUNT_MASK
        if 0 < newer < _HALF or suspicion.name in self._suspected:
            return False
        self._suspected.add(suspicion.name)
        return True

    def is_suspected(self, name: str) -> bool:
        """Return whether an instance is suspected, with no heartbeat since."""
        return name in self._suspected

    def pack(self, me: str, rng: random.Random, now: float) -> bytes:
        """Return this instance's heartbeat and some that changed recently.

        If there are more than fit into a datagram, they are chosen at random:
        if the same instances were always chosen, all others would seem silent.
        """
        recent = [
            name
            for name, count in self._counts.items()
            if now - count.changed_at <= RECENT_S
            and count.heartbeats
            and name != me
            and name not in self._tombstones
        ]
        chosen = rng.sample(recent, min(len(recent), MAX_HEARTBEATS - 1))
        return b"".join(self._pack(name) for name in (me, *chosen))

    def _pack(self, name: str) -> bytes:
        count = self._counts[name]
        key = _hash(name, count.incarnation)
        return _PACKED.pack(key, count.heartbeats & _COUNT_MASK)

    def merge(self, packed: bytes, now: float) -> Iterable[str]:
        """Merge received heartbeats.

        Args:
            packed: Heartbeats as `pack` returns them.
            now: Monotonic time in seconds.

        Returns:
            The names of the instances that have a new heartbeat.
        """
        updated = []
        usable_bytes = len(packed) - len(packed) % _PACKED.size
        for key, low_bits in _PACKED.iter_unpack(packed[:usable_bytes]):
            name = self._names.get(key)
            if name is None:
                continue
            count = self._counts[name]
            newer = (low_bits - count.heartbeats) & _COUNT_MASK
            if count.heartbeats and not 0 < newer < _HALF:
                continue
            # For an incarnation without heartbeats so far, any count is new.
            # Low bits of 0 count as 65,536, since 0 means no heartbeat.
            total = (
                count.heartbeats + newer
                if count.heartbeats
                else low_bits or _HALF * 2
            )
            self._counts[name] = _Count(count.incarnation, total, now)
            self._suspected.discard(name)
            updated.append(name)
        return updated


def _hash(name: str, incarnation: int) -> int:
    return zlib.crc32(f"{name} {incarnation}".encode())
