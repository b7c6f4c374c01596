"""The replicated state: both tables and the plans of unfinished shifts."""

from typing import NamedTuple

import msgspec

from hyssopfold import decoding
from hyssopfold import errors
from hyssopfold import tables as tables_module


class RegionWeight(NamedTuple):
    """Share of a route's traffic that a region serves, from 0 to 1."""

    region: str
    weight: float


class RouteWeights(NamedTuple):
    """Weights of one route, sorted by region; empty means nearest first."""

    route: str
    weights: tuple[RegionWeight, ...]


class Layout(NamedTuple):
    """How the tables of one revision distribute a pool's traffic.

    `closed_regions` and `closed_domains` are the regions and failure domains
    to be emptied. All fields are sorted, so equal distributions are equal
    values.
    """

    routes: tuple[RouteWeights, ...] = ()
    closed_regions: tuple[str, ...] = ()
    closed_domains: tuple[str, ...] = ()


class Part(NamedTuple):
    """A layout and the share of the pool's requests that it decides, 0 to 1."""

    layout: Layout
    share: float


class Shift(NamedTuple):
    """The plan that moves a pool's traffic from its mixture to a new layout.

    Every entry computes the planned shares from this plan alone, see
    `hyssopfold.core.steering.plans`. `source` are the parts in force at the
    start, whose shares sum to 1; `start_s` is UTC in seconds since 1970;
    `rate_per_minute` is the share of requests that `target` takes over in a
    minute.
    """

    pool: str
    source: tuple[Part, ...]
    target: Layout
    start_s: float
    rate_per_minute: float


class Row(NamedTuple):
    """A row of an operator's own document, stored as it was sent.

    `table` names the part of the document that contains the row and `text` is
    its JSON. Rows are stored one by one so that the edit of a row is a small
    difference between revisions.
    """

    table: str
    name: str
    text: str

    def __repr__(self) -> str:
        """Return a text without the document, which may contain keys."""
        return f"Row(table={self.table!r}, name={self.name!r})"


class State(NamedTuple):
    """The replicated state, which all instances agree on, at one revision.

    `version` is the number that an operator gave the tables, 0 if they have
    none, and `rows` is the document from which they were made. `evacuated` are
    the failure domains that get no new requests, sorted; they aren't part of
    any version of the tables.
    """

    tables: tables_module.Tables = tables_module.Tables()
    shifts: tuple[Shift, ...] = ()
    version: int = 0
    rows: tuple[Row, ...] = ()
    evacuated: tuple[str, ...] = ()


def encode(state: State) -> bytes:
    """Return the canonical encoding: equal states have equal bytes."""
    value = (tables_module.encodable(state.tables), *state[1:])
    return msgspec.json.encode(value, order="deterministic")


def without_rows(data: bytes) -> bytes:
    """Return the canonical encoding of a state without its document rows.

    Args:
        data: The canonical encoding of the state.
    """
    if not data:
        return data
    fields = decoding.from_json(data, list[msgspec.Raw])
    rows = State._fields.index("rows")
    fields[rows : rows + 1] = [msgspec.Raw(b"[]")] * len(
        fields[rows : rows + 1]
    )
    return msgspec.json.encode(fields)


def decode(data: bytes) -> State:
    """Return the state of a canonical encoding; no bytes are the empty state.

    Raises:
        InvalidDocumentError: if the bytes don't encode a state.
    """
    if not data:
        return State()
    try:
        decoded: State = decoding.from_json(data, State)
    except msgspec.DecodeError as exc:
        fault = errors.Fault("state", 1, "canonical", str(exc), "a state")
        raise errors.InvalidDocumentError([fault]) from exc
    return decoded
