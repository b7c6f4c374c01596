"""Bytes that a connection has read and not yet parsed, with their times."""

import collections
from typing import NamedTuple


class _Part(NamedTuple):
    """Bytes that arrived together.

    Attributes:
        end: Position of their end in the input of the connection.
        arrived_at: Monotonic time in seconds.
    """

    end: int
    arrived_at: float


class ReceivedBytes:
    """A buffer that knows when its bytes arrived.

    Requests that a caller has pipelined are parsed when their turn comes, which
    may be seconds after their bytes arrived.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        # Position in the input of the connection up to which bytes were taken.
        self._taken = 0
        self._parts: collections.deque[_Part] = collections.deque()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes | bytearray, arrived_at: float) -> None:
        """Add bytes that arrived at a monotonic time in seconds."""
        self._data += data
        end = self._taken + len(self._data)
        self._parts.append(_Part(end, arrived_at))

    def take(self, count: int) -> bytes:
        """Remove the first bytes, up to `count` of them, and return them."""
        while self._parts and self._parts[0].end < self._taken:
            self._parts.popleft()
        data = bytes(self._data[:count])
        del self._data[:count]
        self._taken += len(data)
        return data

    def put_back(self, data: bytes) -> None:
        """Add the last bytes of those that were taken last, at the begin."""
        self._data[:0] = data
        self._taken -= len(data)

    def clear(self) -> None:
        """Remove all bytes."""
        self.take(len(self._data))

    def last_taken_at(self) -> float:
        """Return the time at which the last byte arrived that was taken.

        Raises:
            ValueError: when no byte was taken.
        """
        for part in self._parts:
            if part.end >= self._taken > 0:
                return part.arrived_at
        raise ValueError("no byte was taken")
