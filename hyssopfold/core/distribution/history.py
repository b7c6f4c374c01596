"""The recent revisions of a value, from which polls are answered."""

import collections
from typing import NamedTuple

from hyssopfold.core import compression
from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows

MAX_REVISIONS = 600
MAX_ROWS = 200_000
# Updates kept to answer followers of the same revision alike. After an edit
# nearly all followers have one of the last few revisions, or none.
MAX_CACHED_UPDATES = 8


class _StoredRevision(NamedTuple):
    revision: int
    digest: bytes
    rows: rows.Rows
    row_count: int


class History:
    """Recent revisions of a value; they share their equal rows.

    A day's 410 changes fit, so that an instance that was away for a day gets
    one difference as its update. Used by `transport.publisher.Publisher`.

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
        self._stored: collections.deque[_StoredRevision] = collections.deque()
        self._row_count = 0
        self._cached_updates: dict[tuple[int, bool], messages.Update] = {}
        self.revision = 0
        self.value = b""
        self.digest = rows.digest(b"")

    def add(
        self, revision: int, value: bytes, split: rows.Rows | None = None
    ) -> bool:
        """Store a revision newer than all; return whether it was stored.

        Args:
            revision: Number of the revision.
            value: The value.
            split: Its rows, if the caller has split it, which share the
                objects of the rows of the last revision.

        Raises:
            AssertionError: if the newest revision comes with other bytes.
        """
        digest = rows.digest(value)
        if revision <= self.revision:
            is_same = revision < self.revision or digest == self.digest
            assert is_same, f"revision {revision} has two values"
            return False
        if split is None:
            last = self._stored[-1].rows if self._stored else rows.EMPTY
            split = rows.shared(rows.split(value), last)
        count = sum(len(section) for section in split.sections)
        self._stored.append(_StoredRevision(revision, digest, split, count))
        self._row_count += count
        self._cached_updates.clear()
        self.revision, self.value, self.digest = revision, value, digest
        self._trim()
        return True

    def _trim(self) -> None:
        while len(self._stored) > 1 and (
            len(self._stored) > self._max_revisions
            or self._row_count > self._max_rows
        ):
            self._row_count -= self._stored.popleft().row_count

    def update_since(
        self, have: int, digest: bytes, compress: bool = False
    ) -> messages.Update:
        """Return the update that brings a follower to the newest revision.

        It is a difference if the follower's revision is stored here with the
        same digest and the difference is shorter; else the whole value.

        Args:
            have: The follower's revision.
            digest: Digest of its value.
            compress: Whether the follower accepts a compressed payload.
        """
        if have >= self.revision:
            return messages.Update(self.revision, self.digest)
        base = self._find(have, digest)
        key = (have if base is not None else 0, compress)
        update = self._cached_updates.get(key)
        if update is None:
            update = self._make_update(have, base)
            if compress:
                update = _compressed(update)
            if len(self._cached_updates) >= MAX_CACHED_UPDATES:
                self._cached_updates.pop(next(iter(self._cached_updates)))
            self._cached_updates[key] = update
        return update

    def _make_update(
        self, have: int, base: _StoredRevision | None
    ) -> messages.Update:
        if base is not None:
            change = difference.between(base.rows, self._stored[-1].rows)
            if len(change) < len(self.value):
                return messages.Update(self.revision, self.digest, have, change)
        return messages.Update(self.revision, self.digest, 0, self.value)

    def _find(self, revision: int, digest: bytes) -> _StoredRevision | None:
        for stored in reversed(self._stored):
            if stored.revision == revision:
                return stored if stored.digest == digest else None
            if stored.revision < revision:
                return None
        return None


def _compressed(update: messages.Update) -> messages.Update:
    if len(update.payload) < compression.MIN_COMPRESSED_BYTES:
        return update
    payload = compression.compress(update.payload)
    return update._replace(payload=payload, is_compressed=True)
