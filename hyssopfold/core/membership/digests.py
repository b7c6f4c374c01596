"""Hashes of the records, for comparison with another instance."""

import struct
import zlib

BUCKETS = 128
_PACKED = struct.Struct(f"<{BUCKETS}I")


class Digests:
    """Hash of each bucket of records, updated with every change.

    A bucket's hash is the exclusive or of the hashes of its records, so that
    the cost of a change does not depend on the number of records. Used by
    the leases, which update it, and by anti-entropy.
    """

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKETS
        self._keys: list[set[str]] = [set() for _ in range(BUCKETS)]

    def put(self, key: str, version: object) -> None:
        """Store the version of the record of `key`."""
        self._clear(key)
        self._hashes[key] = record_hash = zlib.crc32(
            f"{key} {version}".encode()
        )
        self._buckets[_bucket(key)] ^= record_hash
        self._keys[_bucket(key)].add(key)

    def put_tombstone(self, key: str) -> None:
        """Keep `key` among the keys of its bucket, but out of the hash.

        Instances drop a tombstone at different times. If it were hashed,
        their hashes would differ, and they would send it to each other
        forever.
        """
        self._clear(key)
        self._keys[_bucket(key)].add(key)

    def drop(self, key: str) -> None:
        """Remove the record of `key`."""
        self._clear(key)
        self._keys[_bucket(key)].discard(key)

    def _clear(self, key: str) -> None:
        self._buckets[_bucket(key)] ^= self._hashes.pop(key, 0)

    def combined(self) -> int:
        """Return one hash of all records."""
        return zlib.crc32(self.packed())

    def packed(self) -> bytes:
        """Return the hash of each bucket, encoded for a datagram."""
        return _PACKED.pack(*self._buckets)

    def differing(self, packed: bytes) -> list[int]:
        """Return the numbers of the buckets whose hashes differ.

        Args:
            packed: Hashes of another instance, as `packed` returns them.
        """
        if len(packed) != _PACKED.size:
            # The sender runs a version of the program with another number of
            # buckets: all buckets count as different.
            return list(range(BUCKETS))
        pairs = zip(self._buckets, _PACKED.unpack(packed), strict=True)
        return [
            bucket for bucket, (own, other) in enumerate(pairs) if own != other
        ]

    def keys(self, bucket: int) -> list[str]:
        """Return the keys in a bucket, sorted."""
        return sorted(self._keys[bucket])


def _bucket(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKETS
