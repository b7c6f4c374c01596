"""What an operator's order makes of the replicated state."""

from collections.abc import Callable
import functools
from typing import NamedTuple

from hyssopfold import errors
from hyssopfold import state as state_module
from hyssopfold import tables as tables_module
from hyssopfold.core.steering import plans


class Document(NamedTuple):
    """An operator's document: its rows as sent, and the tables they make."""

    rows: tuple[state_module.Row, ...]
    tables: tables_module.Tables


class Edit(NamedTuple):
    """Put a document in force under a version that its operator chose.

    `base` is the version that it builds on, compared with the one in force
    as in a compare-and-set. `build` makes the document from the rows in
    force; a whole document ignores them, a patch edits some. It raises
    `InvalidDocumentError` when the result is none.
    """

    base: int
    version: int
    build: Callable[[tuple[state_module.Row, ...]], Document]


class Evacuate(NamedTuple):
    """Give no more work to the servers of a failure domain."""

    failure_domain: str


class EndEvacuation(NamedTuple):
    """Let the servers of a failure domain have work again."""

    failure_domain: str


Order = Edit | Evacuate | EndEvacuation


@functools.singledispatch
def apply(
    order: Order, held: state_module.State, utc_s: float
) -> state_module.State:
    """Return the state that `order` makes of `held`.

    Args:
        order: What the operator asks for.
        held: The state in force.
        utc_s: UTC in seconds since 1970, the start of shifts that it plans.

    Raises:
        VersionConflictError: when another version is in force than expected.
        InvalidDocumentError: when the order must not be put in force.
    """
    raise TypeError(f"no such order: {order!r}")


@apply.register
def _(
    order: Edit, held: state_module.State, utc_s: float
) -> state_module.State:
    if order.base != held.version:
        raise errors.VersionConflictError(order.base, held.version)
    if order.version <= held.version:
        allowed = f"a version above {held.version}, the one in force"
        _raise_fault("version", str(order.version), allowed)
    document = order.build(held.rows)
    new = plans.after_edit(held, document.tables, utc_s)
    return new._replace(version=order.version, rows=document.rows)


@apply.register
def _(
    order: Evacuate, held: state_module.State, utc_s: float
) -> state_module.State:
    evacuated = {*held.evacuated, order.failure_domain}
    return held._replace(evacuated=tuple(sorted(evacuated)))


@apply.register
def _(
    order: EndEvacuation, held: state_module.State, utc_s: float
) -> state_module.State:
    evacuated = set(held.evacuated) - {order.failure_domain}
    return held._replace(evacuated=tuple(sorted(evacuated)))


def _raise_fault(where: str, value: str, allowed: str) -> None:
    fault = errors.Fault("order", 1, where, value, allowed)
    raise errors.InvalidDocumentError([fault])
