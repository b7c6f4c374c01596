"""A bounded queue of requests, ordered by priority and deadline."""

import heapq
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

Item = TypeVar("Item")

# Weight of the newest interval between two freed slots in the moving average.
_GAP_GAIN = 0.05


class QueueEntry(NamedTuple, Generic[Item]):
    """A queued item, in the order in which entries are served.

    Attributes:
        priority: A lower number is served first.
        deadline: Monotonic time in seconds until which the item waits.
        sequence: Number of the item, in the order of arrival.
        item: The item.
    """

    priority: int
    deadline: float
    sequence: int
    item: Item


class Queue(Generic[Item]):
    """Queue of the items that wait for a slot, with an estimate of the wait.

    Used by the grantor of a pool for the requests of its holders.

    Args:
        limit: Greatest number of items.
    """

    def __init__(self, limit: int = 256) -> None:
        self._limit = limit
        self._heap: list[QueueEntry[Item]] = []
        self._count = 0
        self._gap_s: float | None = None
        self._last_free: float | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def record_free(self, now: float) -> None:
        """Update the average interval between freed slots."""
        if self._last_free is not None:
            gap = min(1.0, now - self._last_free)
            if self._gap_s is None:
                self._gap_s = gap
            self._gap_s += _GAP_GAIN * (gap - self._gap_s)
        self._last_free = now

    def wait_s(self, priority: int, now: float) -> float:
        """Return the estimated wait in seconds of an item of this priority.

        It counts the items that would be served first. The estimate is 0
        until two slots have been freed.
        """
        ahead = sum(1 for entry in self._heap if entry.priority <= priority)
        if self._gap_s is None or self._last_free is None:
            return 0.0
        # When long uploads occupy the pool, the average interval is too short.
        gap = max(self._gap_s, now - self._last_free)
        return (ahead + 1) * gap

    def push(
        self, item: Item, priority: int, deadline: float, now: float
    ) -> bool:
        """Add an item unless the queue is full or the wait would be too long.

        Args:
            item: The item.
            priority: Its priority; a lower number is served first.
            deadline: Monotonic time in seconds until which it waits.
            now: Monotonic time in seconds.

        Returns:
            Whether the item was added.
        """
        is_full = len(self._heap) >= self._limit
        if is_full or now + self.wait_s(priority, now) > deadline:
            return False
        self._count += 1
        entry = QueueEntry(priority, deadline, self._count, item)
        heapq.heappush(self._heap, entry)
        return True

    def pop(self) -> Item | None:
        """Remove and return the first item, None if the queue is empty."""
        if not self._heap:
            return None
        return heapq.heappop(self._heap).item

    def remove(self, item: Item) -> bool:
        """Remove an item; return False if it is not in the queue."""
        for index, entry in enumerate(self._heap):
            if entry.item == item:
                del self._heap[index]
                heapq.heapify(self._heap)
                return True
        return False

    def items(self) -> list[Item]:
        """Return the items in the order in which they are served."""
        return [entry.item for entry in sorted(self._heap)]

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return the items whose deadline has passed."""
        expired = [entry.item for entry in self._heap if entry.deadline <= now]
        if expired:
            self._heap = [entry for entry in self._heap if entry.deadline > now]
            heapq.heapify(self._heap)
        return expired
