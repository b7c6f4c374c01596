"""A short queue of requests, ordered by priority and deadline."""

import heapq
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

Item = TypeVar("Item")

# Weight of the newest gap between two slots that came free.
_GAIN = 0.05


class Waiting(NamedTuple, Generic[Item]):
    """An item that waits until `until`, in monotonic seconds."""

    priority: int
    until: float
    order: int
    item: Item


class Queue(Generic[Item]):
    """Hold what waits for a slot, and say how long it would wait.

    Args:
        limit: Longest queue.
    """

    def __init__(self, limit: int = 256) -> None:
        self._limit = limit
        self._heap: list[Waiting[Item]] = []
        self._order = 0
        self._gap_s: float | None = None
        self._last_free: float | None = None

    def __len__(self) -> int:
        return len(self._heap)

    def freed(self, now: float) -> None:
        """Note that a slot came free, to learn how often one does."""
        if self._last_free is not None:
            gap = min(1.0, now - self._last_free)
            if self._gap_s is None:
                self._gap_s = gap
            self._gap_s += _GAIN * (gap - self._gap_s)
        self._last_free = now

    def wait_s(self, priority: int, now: float) -> float:
        """Return the seconds that one of this priority would wait.

        Those that go first count; 0 while nothing is known yet.
        """
        ahead = sum(1 for one in self._heap if one.priority <= priority)
        if self._gap_s is None or self._last_free is None:
            return 0.0
        # When long uploads fill the pool, the last gaps promise too much.
        gap = max(self._gap_s, now - self._last_free)
        return (ahead + 1) * gap

    def push(self, item: Item, priority: int, until: float, now: float) -> bool:
        """Add an item; return False when it could not be served in time."""
        full = len(self._heap) >= self._limit
        if full or now + self.wait_s(priority, now) > until:
            return False
        self._order += 1
        entry = Waiting(priority, until, self._order, item)
        heapq.heappush(self._heap, entry)
        return True

    def pop(self) -> Item | None:
        """Return and remove the first item."""
        if not self._heap:
            return None
        return heapq.heappop(self._heap).item

    def remove(self, item: Item) -> bool:
        """Remove an item that waits no longer."""
        for at, one in enumerate(self._heap):
            if one.item == item:
                del self._heap[at]
                heapq.heapify(self._heap)
                return True
        return False

    def items(self) -> list[Item]:
        """Return what waits, in order."""
        return [one.item for one in sorted(self._heap)]

    def expired(self, now: float) -> list[Item]:
        """Remove and return what has waited too long."""
        late = [one.item for one in self._heap if one.until <= now]
        if late:
            self._heap = [one for one in self._heap if one.until > now]
            heapq.heapify(self._heap)
        return late
