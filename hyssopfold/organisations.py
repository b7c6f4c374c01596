"""Rows of the table of organisations: keys, limits and allowed regions."""

from collections.abc import Iterator
from collections.abc import Sequence
import re
from typing import NamedTuple

import yaml

from hyssopfold import documents

MAX_KEY_CHARS = 256
_KEY = re.compile(r"[!-~]{1,256}\Z")
# Characters of a key that a masked document shows, and the length from which on
# it shows any.
_SHOWN_KEY_CHARS = 2
_MIN_SHOWN_KEY_CHARS = 12
_MASK = "*" * 8


class Organisation(NamedTuple):
    """A row of the table of organisations: who may send requests, how many.

    `keys` are secrets: a caller that sends one of them belongs to the
    organisation. `rate` is the largest number of requests a second that are
    sent to servers, from all entries together, with bursts of `burst` requests
    above it; a rate of 0 means no limit. `priority` replaces the priority of
    the route, None keeps it. Requests go to `allowed_regions` only; empty
    means any.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Return a text without the keys, for logs and tracebacks."""
        return f"Organisation(name={self.name!r}, keys={len(self.keys)})"


class OrganisationFault(NamedTuple):
    """A fault of the organisation at index `row`; never names a key."""

    row: int
    key: str
    value: str
    allowed: str


def _name(reader: documents.Reader, node: yaml.Node, where: str) -> str:
    value = str(getattr(node, "value", ""))
    if not re.match(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z", value):
        reader.add_fault(
            node, where, "a name of letters, digits, '.', '_', '-'"
        )
    return value


def _key(reader: documents.Reader, node: yaml.Node, where: str) -> str:
    value = str(getattr(node, "value", ""))
    if not _KEY.match(value) or "*" in value:
        # The faulty value may be most of a key, so it is not shown.
        line = node.start_mark.line + 1
        reader.add_fault_at(line, where, "(a key)", _ALLOWED_KEYS)
    return value


_ALLOWED_KEYS = (
    f"1 to {MAX_KEY_CHARS} printable ASCII characters, without spaces and '*'"
)

FIELDS = (
    documents.Field("name", _name, "", True, "a name", help="unique name"),
    documents.Field(
        "keys",
        documents.list_of(_key),
        (),
        True,
        "a list of keys",
        help="secrets, one of which each request carries; a key belongs to one"
        " organisation",
    ),
    documents.Field(
        "rate",
        documents.number(float, 0, 1_000_000),
        0.0,
        unit="requests a second",
        help="requests sent to servers, from all entries; 0 if unlimited",
    ),
    documents.Field(
        "burst",
        documents.number(float, 0, 1_000_000),
        0.0,
        unit="requests",
        help="requests above `rate` that may be sent at once",
    ),
    documents.Field(
        "priority",
        documents.number(int, 0, 9),
        None,
        help="replaces the route's priority; that of the route if omitted",
    ),
    documents.Field(
        "allowed_regions",
        documents.list_of(documents.string()),
        (),
        help="regions whose servers may serve the organisation, besides the"
        " limits of the route; any if omitted",
    ),
)


def faults(rows: Sequence[Organisation]) -> Iterator[OrganisationFault]:
    """Yield faults of organisations and between them."""
    rows_by_key: dict[str, int] = {}
    names: set[str] = set()
    for index, row in enumerate(rows):
        if row.name in names:
            yield OrganisationFault(
                index, "name", repr(row.name), "a unique name"
            )
        names.add(row.name)
        for field, value in (("rate", row.rate), ("burst", row.burst)):
            # This form of the comparison refuses NaN as well.
            if not value >= 0:
                yield OrganisationFault(index, field, f"{value:g}", "0 or more")
        for key in row.keys:
            owner = rows[rows_by_key.setdefault(key, index)]
            if owner is not row:
                allowed = f"keys other than those of {owner.name}"
                yield OrganisationFault(index, "keys", "(a key)", allowed)


def masked_key(key: str) -> str:
    """Return a key made unreadable, to be shown; the tables refuse it."""
    is_long = len(key) >= _MIN_SHOWN_KEY_CHARS
    return (key[:_SHOWN_KEY_CHARS] if is_long else "") + _MASK
