"""Hashes of the words that are held, for comparison with another instance."""

import struct
import zlib

BUCKETS = 128
_PACKED = struct.Struct(f"<{BUCKETS}I")


class Digests:
    """Hash of each bucket of words, kept current with every change.

    A bucket's hash is the exclusive or of the hashes of its words, so that a
    change costs the same however many words there are.
    """

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]

    def put(self, key: str, version: object) -> None:
        """Take in the version of the word of `key`."""
        self._clear(key)
        self._hashes[key] = held = zlib.crc32(f"{key} {version}".encode())
        self._buckets[_bucket(key)] ^= held
        self._keys[_bucket(key)].add(key)

    def put_tombstone(self, key: str) -> None:
        """Keep `key` among those of its bucket, but out of the hash.

        Instances forget a tombstone at different times; in the hash, it would
        make them differ, and pass it round for ever.
        """
        self._clear(key)
        self._keys[_bucket(key)].add(key)

    def drop(self, key: str) -> None:
        """Forget the word of `key`."""
        self._clear(key)
        self._keys[_bucket(key)].discard(key)

    def _clear(self, key: str) -> None:
        self._buckets[_bucket(key)] ^= self._hashes.pop(key, 0)

    def whole(self) -> int:
        """Return one hash of all words."""
        return zlib.crc32(self.packed())

    def packed(self) -> bytes:
        """Return the hash of each bucket, as it travels."""
        return _PACKED.pack(*self._buckets)

    def differing(self, packed: bytes) -> list[int]:
        """Return the buckets in which another instance's hashes differ."""
        if len(packed) != _PACKED.size:
            # A program with another number of buckets: nothing compares.
            return list(range(BUCKETS))
        pairs = zip(self._buckets, _PACKED.unpack(packed), strict=True)
        return [
            number
            for number, (mine, other) in enumerate(pairs)
            if mine != other
        ]

    def keys(self, number: int) -> list[str]:
        """Return the keys in a bucket, in a steady order."""
        return sorted(self._keys[number])


def _bucket(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKETS
