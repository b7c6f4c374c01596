"""Differences between two revisions, row by row."""

from typing import NamedTuple

import msgspec

from hyssopfold.core.distribution import rows


class Run(NamedTuple):
    """Part of a section: the old rows `first` to `end` - 1, then `new`."""

    first: int
    end: int
    new: tuple[bytes, ...] = ()


class Difference(NamedTuple):
    """Difference between two values: their shape, and runs for each section.

    `shape` is that of the new value.
    """

    shape: tuple[int, ...]
    sections: tuple[tuple[Run, ...], ...]


class MismatchError(Exception):
    """A difference is invalid or was made for another value."""


def between(old: rows.Rows, new: rows.Rows) -> bytes:
    """Return the encoded difference that turns `old` into `new`."""
    sections = []
    for index, section in enumerate(new.sections):
        old_section = old.sections[index] if index < len(old.sections) else ()
        sections.append(_runs(old_section, section))
    return msgspec.msgpack.encode(Difference(new.shape, tuple(sections)))


def apply(old: rows.Rows, encoded: bytes) -> rows.Rows:
    """Return the rows of a value with an encoded difference applied.

    Unchanged rows are the same objects as before. A difference made for another
    value may also give wrong rows without an error; the caller compares the
    digest.

    Raises:
        MismatchError: if the difference does not fit the value or is invalid.
    """
    try:
        change = msgspec.msgpack.decode(encoded, type=Difference)
        sections = [
            _patched(old.sections[index] if index < len(old.sections) else (),
                     runs)
            for index, runs in enumerate(change.sections)
        ]  # fmt: skip
        patched = rows.Rows(change.shape, tuple(sections))
        rows.check_shape(patched)
        return patched
    except (msgspec.DecodeError, ValueError, IndexError) as exc:
        raise MismatchError(str(exc) or type(exc).__name__) from exc


def _runs(old: rows.Section, new: rows.Section) -> tuple[Run, ...]:
    """Return runs that keep the order of `new` and reuse rows of `old`."""
    indexes = {row: index for index, row in enumerate(old)}
    first, end = 0, 0
    added: list[bytes] = []
    runs: list[Run] = []
    for row in new:
        old_index = indexes.get(row)
        if old_index is None:
            added.append(row)
        elif old_index == end and not added:
            end += 1
        else:
            runs.append(Run(first, end, tuple(added)))
            first, end, added = old_index, old_index + 1, []
    runs.append(Run(first, end, tuple(added)))
    return tuple(runs)


def _patched(old: rows.Section, runs: tuple[Run, ...]) -> rows.Section:
    patched: list[bytes] = []
    for run in runs:
        if not 0 <= run.first <= run.end <= len(old):
            raise IndexError("run is outside the old rows")
        patched += old[run.first : run.end]
        patched += run.new
    return tuple(patched)
