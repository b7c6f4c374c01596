"""The replicated value: both tables and the plans of shifts under way."""

from typing import NamedTuple

import msgspec

from hyssopfold import errors
from hyssopfold import tables as tables_module


class RegionWeight(NamedTuple):
    """Share of a route's traffic that a region serves, from 0 to 1."""

    region: str
    weight: float


class RouteWeights(NamedTuple):
    """Weights of one route, sorted by region; none means nearest first."""

    route: str
    weights: tuple[RegionWeight, ...]


class Layout(NamedTuple):
    """Where the tables of one revision want a pool's traffic.

    `closed_regions` and `closed_domains` are to be emptied; all fields are
    sorted, so equal wishes are equal values.
    """

    routes: tuple[RouteWeights, ...] = ()
    closed_regions: tuple[str, ...] = ()
    closed_domains: tuple[str, ...] = ()


class Part(NamedTuple):
    """A layout and the share of the pool's requests it decides, 0 to 1."""

    layout: Layout
    share: float


class Shift(NamedTuple):
    """A planned move of a pool's traffic from where it is to a new layout.

    Every node works out the shares in force from the plan alone, see
    `hyssopfold.core.steering.plans`. `source` are the parts in force at the
    start, which sum to 1; `start_s` is UTC in seconds since 1970;
    `rate_per_minute` is the share of requests that `target` takes over in a
    minute.
    """

    pool: str
    source: tuple[Part, ...]
    target: Layout
    start_s: float
    rate_per_minute: float


class Row(NamedTuple):
    """A row of an operator's own document, kept as it was sent.

    `table` names the part of the document that it belongs to and `text` is
    its JSON. Kept row by row, an edit of one row is a small difference.
    """

    table: str
    name: str
    text: str


class State(NamedTuple):
    """What every instance must agree on, at one revision.

    `version` is the number that an operator gave the tables, 0 when they
    came without one, and `rows` the document they were made from.
    `evacuated` are failure domains that get no new work, sorted; they belong
    to no version of the tables.
    """

    tables: tables_module.Tables = tables_module.Tables()
    shifts: tuple[Shift, ...] = ()
    version: int = 0
    rows: tuple[Row, ...] = ()
    evacuated: tuple[str, ...] = ()


def encode(state: State) -> bytes:
    """Return the canonical bytes: equal states give equal bytes."""
    return msgspec.json.encode(state, order="deterministic")


def decode(data: bytes) -> State:
    """Return the state in canonical bytes; no bytes are the empty state.

    Raises:
        InvalidDocumentError: if the bytes are no state.
    """
    if not data:
        return State()
    try:
        return msgspec.json.decode(data, type=State)
    except msgspec.DecodeError as exc:
        fault = errors.Fault("state", 1, "canonical", str(exc), "a state")
        raise errors.InvalidDocumentError([fault]) from exc
