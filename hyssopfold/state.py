"""The replicated value: both tables and the plans of shifts under way."""

from typing import NamedTuple

import msgspec

from hyssopfold import errors
from hyssopfold import tables as tables_module


class Shift(NamedTuple):
    """A planned move of a pool's traffic from region to region.

    Every node works out the share in force from the plan alone, see
    `hyssopfold.core.steering`. `source` and `target` are the shares of the
    regions before and after; `start_s` is UTC in seconds since 1970.
    """

    pool: str
    source: dict[str, float]
    target: dict[str, float]
    start_s: float
    rate_per_minute: float


class State(NamedTuple):
    """What every instance must agree on, at one revision."""

    tables: tables_module.Tables = tables_module.Tables()
    shifts: tuple[Shift, ...] = ()


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
