"""A short queue of requests, ordered by priority and deadline."""

import heapq
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

Item = TypeVar("Item")

# Weight of the newest gap between two slots that came free.
_GAP_GAIN = 0.05


class QueueEntry(NamedTuple, Generic[Item]):
    """An item that waits until `until`, in monotonic seconds."""

    priority: int
    deadline: float
    sequence: int
    item: Item


class Queue(Generic[Item]):
    """Hold what waits for a slot, and say how long it would wait.

    Args:
        limit: Longest queue.
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
        """Note that a slot came free, to learn how often one does."""
        if self._last_free is not None:
            gap = min(1.0, now - self._last_free)
            if self._gap_s is None:
                self._gap_s = gap
            self._gap_s += _GAP_GAIN * (gap - self._gap_s)
        self._last_free = now

    def wait_s(self, priority: int, now: float) -> float:
        """Return the seconds that one of this priority would wait.

        Those that go first count; 0 while nothing is known yet.
        """
        ahead = sum(1 for entry in self._heap if entry.priority <= priority)
        if self._gap_s is None or self._last_free is None:
            return 0.0
        # When long uploads fill the pool, the last gaps promise too much.
        gap = max(self._gap_s, now - self._last_free)
        return (ahead + 1) * gap

    def push(
        self, item: Item, priority: int, deadline: float, now: float
    ) -> bool:
        """Add an item; return False when it could not be served in time."""
        is_full = len(self._heap) >= self._limit
        if is_full or now + self.wait_s(priority, now) > deadline:
            return False
        self._count += 1
        entry = QueueEntry(priority, deadline, self._count, item)
        heapq.heappush(self._heap, entry)
        return True

    def pop(self) -> Item | None:
        """Return and remove the first item."""
        if not self._heap:
            return None
        return heapq.heappop(self._heap).item

    def remove(self, item: Item) -> bool:
        """Remove an item that waits no longer."""
        for index, entry in enumerate(self._heap):
            if entry.item == item:
                del self._heap[index]
                heapq.heapify(self._heap)
                return True
        return False

    def items(self) -> list[Item]:
        """Return what waits, in order."""
        return [entry.item for entry in sorted(self._heap)]

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return what has waited too long."""
        late = [entry.item for entry in self._heap if entry.deadline <= now]
        if late:
            self._heap = [entry for entry in self._heap if entry.deadline > now]
            heapq.heapify(self._heap)
        return late
