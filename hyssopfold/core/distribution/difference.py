"""Differences between two revisions, row by row."""

from typing import NamedTuple

import msgspec

from hyssopfold.core.distribution import rows


class Run(NamedTuple):
    """A stretch of a section: old rows `first` up to `end`, then new ones."""

    first: int
    end: int
    new: tuple[bytes, ...] = ()


class Difference(NamedTuple):
    """What turns one value into another; a list of runs for each section."""

    shape: tuple[int, ...]
    sections: tuple[tuple[Run, ...], ...]


class MismatchError(Exception):
    """A difference does not fit the value it was applied to."""


def between(old: rows.Rows, new: rows.Rows) -> bytes:
    """Return the encoded difference that turns `old` into `new`."""
    sections = []
    for index, section in enumerate(new.sections):
        known = old.sections[index] if index < len(old.sections) else ()
        sections.append(_runs(known, section))
    return msgspec.msgpack.encode(Difference(new.shape, tuple(sections)))


def apply(value: bytes, encoded: bytes) -> bytes:
    """Return the value that `encoded` makes of `value`.

    Raises:
        MismatchError: if the difference was made for another value or is
            no difference at all.
    """
    try:
        change = msgspec.msgpack.decode(encoded, type=Difference)
        old = rows.split(value)
        sections = [
            _patched(old.sections[index] if index < len(old.sections) else (),
                     runs)
            for index, runs in enumerate(change.sections)
        ]  # fmt: skip
        return rows.join(rows.Rows(change.shape, tuple(sections)))
    except (msgspec.DecodeError, ValueError, IndexError) as exc:
        raise MismatchError(str(exc) or type(exc).__name__) from exc


def _runs(old: rows.Section, new: rows.Section) -> tuple[Run, ...]:
    """Return runs that keep the order of `new` and reuse rows of `old`."""
    places = {row: index for index, row in enumerate(old)}
    first, end = 0, 0
    added: list[bytes] = []
    runs: list[Run] = []
    for row in new:
        place = places.get(row)
        if place is None:
            added.append(row)
        elif place == end and not added:
            end += 1
        else:
            runs.append(Run(first, end, tuple(added)))
            first, end, added = place, place + 1, []
    runs.append(Run(first, end, tuple(added)))
    return tuple(runs)


def _patched(old: rows.Section, runs: tuple[Run, ...]) -> rows.Section:
    patched: list[bytes] = []
    for run in runs:
        if not 0 <= run.first <= run.end <= len(old):
            raise IndexError("a run beyond the rows held")
        patched += old[run.first : run.end]
        patched += run.new
    return tuple(patched)
