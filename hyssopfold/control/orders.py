"""Carry operators' orders into the replicated state."""

import functools
import logging
import time
from typing import NamedTuple

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold import state as state_module
from hyssopfold.control import instance as control_instance
from hyssopfold.core.consensus import messages
from hyssopfold.core.membership import directory
from hyssopfold.core.orders import orders

logger = logging.getLogger(__name__)

# Orders that race for a revision are tried on the next one: eight at once,
# each of which may lose to all others, and one more for a change of members.
MAX_TRIES = 9


class Accepted(NamedTuple):
    """The order is in the durable state, as `revision` or an earlier one."""

    revision: int


class Rejected(NamedTuple):
    """The order is certain never to take effect, and why."""

    error: errors.HyssopError


class Unsettled(NamedTuple):
    """No majority answered in time.

    `unknown` tells that the order may still take effect; else it will not.
    """

    unknown: bool
    reason: str


class Elsewhere(NamedTuple):
    """This instance decides no orders; that at `address` (HTTP) does."""

    address: str


Result = Accepted | Rejected | Unsettled | Elsewhere


class Orders:
    """Decide orders one after another, each on the newest state.

    Args:
        instance: The member of the register that this process runs.
        known: Directory of the control instances.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        known: directory.Directory | None = None,
    ) -> None:
        self._instance = instance
        self._directory = known

    async def carry_out(self, change_id: str, order: orders.Order) -> Result:
        """Return what became of an order.

        The same order may be sent again under the same `change_id`, to any
        control instance: once accepted, it is accepted for good.
        """
        began = trio.current_time()
        result = self._elsewhere() or await self._settle(change_id, order)
        logger.info(
            logs.Event(
                "order-decision",
                change_id=change_id,
                order=type(order).__name__,
                result=type(result).__name__,
                detail=_detail(result),
                revision=self._instance.register.revision,
                took_s=trio.current_time() - began,
            )
        )
        return result

    def _elsewhere(self) -> Elsewhere | None:
        """Return a voter to ask, unless this instance votes itself."""
        replica = self._instance.node.replica
        if self._directory is None or replica.is_blank or replica.is_voter:
            return None
        voters = {member.address for member in replica.register.members}
        for word in self._directory.instances.records():
            if word.rpc_address in voters and word.state == "ready":
                return Elsewhere(word.address)
        return None

    async def _settle(self, change_id: str, order: orders.Order) -> Result:
        # What this instance has learned is newest nearly always: an edit on
        # it is safe, since it only wins if no other revision came between.
        register = self._instance.register
        is_newest = False
        for _ in range(MAX_TRIES):
            if register.accepted_change(change_id) is not None:
                return Accepted(register.revision)
            found = self._try(order, register)
            if isinstance(found, bytes):
                result = await self._instance.edit(
                    change_id, register.revision, found
                )
                if not isinstance(result, messages.EditConflict):
                    return _of_edit(result)
            elif is_newest:
                return found
            read = await self._instance.read()
            if not isinstance(read, messages.ReadDone):
                return _unsettled(read)
            register, is_newest = read.register, True
        return Unsettled(False, "other orders won each time")

    def _try(
        self, order: orders.Order, register: messages.Register
    ) -> bytes | Result:
        """Return the value to propose, or what is certain without a round."""
        try:
            held = state_module.decode(register.value)
            new = orders.apply(order, held, time.time())
        except errors.HyssopError as exc:
            return Rejected(exc)
        if new == held:
            return Accepted(register.revision)
        return state_module.encode(new)

    async def read(self) -> state_module.State | None:
        """Return the newest state, or None without a majority."""
        result = await self._instance.read()
        if isinstance(result, messages.ReadDone):
            return state_module.decode(result.register.value)
        return None


@functools.singledispatch
def _of_edit(result: messages.Result) -> Result:
    raise TypeError(f"no such result of an edit: {result!r}")


@_of_edit.register
def _(result: messages.EditAccepted) -> Result:
    return Accepted(result.revision)


@_of_edit.register(messages.EditNotAccepted)
@_of_edit.register(messages.OutcomeUnknown)
def _(result: messages.Result) -> Result:
    return _unsettled(result)


def _unsettled(result: messages.Result) -> Unsettled:
    if isinstance(result, messages.EditNotAccepted):
        return Unsettled(False, result.reason)
    return Unsettled(True, "no majority answered in time")


def _detail(result: Result) -> str:
    match result:
        case Rejected():
            return result.error.summary
        case Unsettled():
            return result.reason
        case Elsewhere():
            return result.address
    return ""
