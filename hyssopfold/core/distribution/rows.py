"""The replicated value as rows, so that two revisions can be compared."""

import hashlib
from typing import NamedTuple

import msgspec

DIGEST_BYTES = 16

Section = tuple[bytes, ...]


class Rows(NamedTuple):
    """A canonical value, split without knowledge of its fields.

    The value is a JSON array. An item that is an array of tables (arrays of
    arrays) is split into a section for each table. An item that is another
    array becomes one section, and an item that is no array becomes a section
    with a single row. `shape` has a number for each item: the number of tables
    plus 1, or 1 for another array, or 0 for an item that is no array. Programs
    of different versions can thus compare values with fields that they do not
    know.
    """

    shape: tuple[int, ...]
    sections: tuple[Section, ...]


EMPTY = Rows((), ())


def digest(value: bytes) -> bytes:
    """Return the digest by which two instances compare their values."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


def split(value: bytes) -> Rows:
    """Return the rows of a canonical value.

    Raises:
        msgspec.DecodeError: if the value is no JSON array.
    """
    shape: list[int] = []
    sections: list[Section] = []
    for raw in _items(value) if value else ():
        if not raw.startswith(b"["):
            shape.append(0)
            sections.append((raw,))
            continue
        parts = _items(raw)
        if parts and all(_is_table(part) for part in parts):
            # An array of tables: all items of a table are arrays, which is
            # not so for a row.
            shape.append(len(parts) + 1)
            sections += [_items(part) for part in parts]
        else:
            shape.append(1)
            sections.append(parts)
    return Rows(tuple(shape), tuple(sections))


def shared(new: Rows, old: Rows) -> Rows:
    """Return `new` with the row objects of `old` where they are equal."""
    old_rows = {row: row for section in old.sections for row in section}
    sections = tuple(
        tuple(old_rows.get(row, row) for row in section)
        for section in new.sections
    )
    return Rows(new.shape, sections)


def check_shape(rows: Rows) -> None:
    """Check that `join` can make a value of the rows.

    Raises:
        ValueError: if they do not match.
    """
    expected = sum(max(1, count - 1) for count in rows.shape)
    if expected != len(rows.sections) or min(rows.shape, default=0) < 0:
        raise ValueError("shape and sections do not match")
    index = 0
    for count in rows.shape:
        if count == 0 and len(rows.sections[index]) != 1:
            raise ValueError("an item that is no array has not one row")
        index += max(1, count - 1)


def join(rows: Rows) -> bytes:
    """Return the value that was split into `rows`.

    Raises:
        ValueError: if shape and sections do not match.
    """
    check_shape(rows)
    if not rows.shape:
        return b""
    sections = iter(rows.sections)
    items = []
    for count in rows.shape:
        if count == 0:
            items.append(next(sections)[0])
        elif count == 1:
            items.append(_array(next(sections)))
        else:
            tables = tuple(_array(next(sections)) for _ in range(count - 1))
            items.append(_array(tables))
    return _array(tuple(items))


def _items(raw: bytes) -> Section:
    return tuple(bytes(item) for item in _ITEMS.decode(raw))


def _is_table(raw: bytes) -> bool:
    return raw == b"[]" or raw.startswith(b"[[")


def _array(items: Section) -> bytes:
    return b"[" + b",".join(items) + b"]"


_ITEMS = msgspec.json.Decoder(list[msgspec.Raw])
