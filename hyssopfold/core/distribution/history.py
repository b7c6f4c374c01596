"""The recent revisions of a value, from which followers are answered."""

import collections
from typing import NamedTuple

from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows

MAX_REVISIONS = 600
MAX_ROWS = 200_000


class _Held(NamedTuple):
    revision: int
    digest: bytes
    rows: rows.Rows
    row_count: int


class History:
    """Keep recent revisions; their equal rows are kept once.

    A day's 410 changes fit, so that one answer brings an instance that was
    away for a day up to date by a difference.

    Args:
        max_revisions: Most revisions kept.
        max_rows: Most rows kept, a row in two revisions counting twice
            (as a reference of 8 bytes).
    """

    def __init__(
        self, max_revisions: int = MAX_REVISIONS, max_rows: int = MAX_ROWS
    ) -> None:
        self._max_revisions = max_revisions
        self._max_rows = max_rows
        self._held: collections.deque[_Held] = collections.deque()
        self._row_count = 0
        self.revision = 0
        self.value = b""
        self.digest = rows.digest(b"")

    def add(self, revision: int, value: bytes) -> bool:
        """Take a revision in; return whether it is newer than all held.

        Raises:
            AssertionError: if the newest revision comes with other bytes.
        """
        mark = rows.digest(value)
        if revision <= self.revision:
            same = revision < self.revision or mark == self.digest
            assert same, f"revision {revision} has two values"
            return False
        last = self._held[-1].rows if self._held else rows.Rows((), ())
        split = _shared(rows.split(value), last)
        count = sum(len(section) for section in split.sections)
        self._held.append(_Held(revision, mark, split, count))
        self._row_count += count
        self.revision, self.value, self.digest = revision, value, mark
        self._trim()
        return True

    def _trim(self) -> None:
        while len(self._held) > 1 and (
            len(self._held) > self._max_revisions
            or self._row_count > self._max_rows
        ):
            self._row_count -= self._held.popleft().row_count

    def update_since(self, have: int, digest: bytes) -> messages.Update:
        """Return what brings a follower at `have` to the newest revision.

        A difference, when the follower's revision is still held and its
        digest fits and a difference is shorter; else the whole value.
        """
        if have >= self.revision:
            return messages.Update(self.revision, self.digest)
        base = self._find(have, digest)
        if base is not None:
            change = difference.between(base.rows, self._held[-1].rows)
            if len(change) < len(self.value):
                return messages.Update(self.revision, self.digest, have, change)
        return messages.Update(self.revision, self.digest, 0, self.value)

    def _find(self, revision: int, digest: bytes) -> _Held | None:
        for held in reversed(self._held):
            if held.revision == revision:
                return held if held.digest == digest else None
            if held.revision < revision:
                return None
        return None


def _shared(new: rows.Rows, last: rows.Rows) -> rows.Rows:
    """Return `new` with the row objects of `last` where they are equal."""
    known = {row: row for section in last.sections for row in section}
    sections = tuple(
        tuple(known.get(row, row) for row in section)
        for section in new.sections
    )
    return rows.Rows(new.shape, sections)
