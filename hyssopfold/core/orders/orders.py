"""Apply the orders of operators to the replicated state."""

from collections.abc import Callable
import functools
from typing import NamedTuple

from hyssopfold import errors
from hyssopfold import state as state_module
from hyssopfold import tables as tables_module
from hyssopfold.core.steering import plans


class Document(NamedTuple):
    """An operator's document: its rows as sent and the tables that result."""

    rows: tuple[state_module.Row, ...]
    tables: tables_module.Tables


class Edit(NamedTuple):
    """Order to put a document in force under a version chosen by the operator.

    Attributes:
        base: The version that the edit is based on. It must be the one in
            force, as in a compare-and-set.
        version: The new version.
        build: Returns the document, given the rows in force: a complete
            document ignores them, a patch edits some. Raises
            `InvalidDocumentError` when the result is no valid document.
    """

    base: int
    version: int
    build: Callable[[tuple[state_module.Row, ...]], Document]


class Evacuate(NamedTuple):
    """Order to send no more requests to the servers of a failure domain."""

    failure_domain: str


class EndEvacuation(NamedTuple):
    """Order to send requests to the servers of a failure domain again."""

    failure_domain: str


Order = Edit | Evacuate | EndEvacuation


@functools.singledispatch
def apply(
    order: Order, current: state_module.State, utc_s: float
) -> state_module.State:
    """Return the state after an order.

    Args:
        order: The operator's order.
        current: The state in force.
        utc_s: UTC in seconds since 1970, the start of the shifts that result.

    Raises:
        VersionConflictError: when another version is in force than expected.
        InvalidDocumentError: when the resulting document or version is not
            valid.
    """
    raise TypeError(f"unknown order type: {order!r}")


@apply.register
def _(
    order: Edit, current: state_module.State, utc_s: float
) -> state_module.State:
    if order.base != current.version:
        raise errors.VersionConflictError(order.base, current.version)
    if order.version <= current.version:
        allowed = f"a version above {current.version}, the one in force"
        _raise_fault("version", str(order.version), allowed)
    document = order.build(current.rows)
    new = plans.after_edit(current, document.tables, utc_s)
    return new._replace(version=order.version, rows=document.rows)


@apply.register
def _(
    order: Evacuate, current: state_module.State, utc_s: float
) -> state_module.State:
    evacuated = {*current.evacuated, order.failure_domain}
    return current._replace(evacuated=tuple(sorted(evacuated)))


@apply.register
def _(
    order: EndEvacuation, current: state_module.State, utc_s: float
) -> state_module.State:
    evacuated = set(current.evacuated) - {order.failure_domain}
    return current._replace(evacuated=tuple(sorted(evacuated)))


def _raise_fault(where: str, value: str, allowed: str) -> None:
    fault = errors.Fault("order", 1, where, value, allowed)
    raise errors.InvalidDocumentError([fault])
