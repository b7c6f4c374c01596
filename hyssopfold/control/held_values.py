"""Large values that an instance holds, found by their digest."""

import collections

from hyssopfold.core.distribution import rows

# A member holds the value that it accepted and one that it has received since.
MAX_VALUES = 2


class HeldValues:
    """The values that were held or received last.

    `instance.Instance` sends a peer the digest of a value in place of one that
    the peer already holds.
    """

    def __init__(self) -> None:
        self._values: collections.OrderedDict[bytes, bytes] = (
            collections.OrderedDict()
        )

    def __contains__(self, value: bytes) -> bool:
        return any(value is held for held in self._values.values())

    def digest(self, value: bytes) -> bytes:
        """Return the digest of a value, without holding the value."""
        for digest, held in self._values.items():
            if value is held:
                return digest
        return rows.digest(value)

    def add(self, value: bytes) -> bytes:
        """Hold a value; return the equal object that is held already."""
        digest = self.digest(value)
        held = self._values.setdefault(digest, value)
        self._values.move_to_end(digest)
        while len(self._values) > MAX_VALUES:
            self._values.popitem(last=False)
        return held

    def find(self, digest: bytes) -> bytes | None:
        """Return the value with a digest, or None if it is not held."""
        return self._values.get(digest)
