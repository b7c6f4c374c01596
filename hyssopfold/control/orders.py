"""Execution of operators' orders on the replicated state."""

import functools
import logging
import time
from typing import NamedTuple

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold import state as state_module
from hyssopfold.control import instance as control_instance
from hyssopfold.control import state_limits
from hyssopfold.core.consensus import messages
from hyssopfold.core.membership import directory
from hyssopfold.core.orders import orders

logger = logging.getLogger(__name__)

# An order that loses a race for a revision is tried again on the next one. Of
# eight concurrent orders each may lose to all others; one more attempt is for a
# change of members.
MAX_ATTEMPTS = 9


class Accepted(NamedTuple):
    """The order is in the durable state since `revision` or an earlier one."""

    revision: int


class Rejected(NamedTuple):
    """The order will never take effect; `error` is the reason."""

    error: errors.HyssopError


class Unsettled(NamedTuple):
    """The order was not accepted, or no majority answered in time.

    Attributes:
        unknown: Whether the order may still take effect.
        reason: Why the order was not accepted.
    """

    unknown: bool
    reason: str


class Elsewhere(NamedTuple):
    """This instance doesn't vote; the one at HTTP `address` executes orders."""

    address: str


Result = Accepted | Rejected | Unsettled | Elsewhere


class Orders:
    """Executes orders, each on the newest state.

    The API and an adapter's application call it.

    Args:
        instance: The member of the register that this process runs.
        instance_directory: Directory of the control instances.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        instance_directory: directory.Directory | None = None,
    ) -> None:
        self._instance = instance
        self._directory = instance_directory

    async def execute(self, change_id: str, order: orders.Order) -> Result:
        """Execute an order and return its result.

        The same order may be sent again under the same `change_id` to any
        control instance; once accepted, it is accepted again each time.

        Args:
            change_id: Id of the order.
            order: The order.
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
        """Return a voter to send the order to, unless this instance votes."""
        replica = self._instance.node.replica
        if self._directory is None or replica.is_blank or replica.is_voter:
            return None
        voters = {member.address for member in replica.register.members}
        # With an empty disk, this instance does not vote although its address
        # is still that of a voter.
        voters.discard(replica.identity.member.address)
        for record in self._directory.instances.records():
            if record.rpc_address in voters and record.state == "ready":
                return Elsewhere(record.address)
        return None

    async def _settle(self, change_id: str, order: orders.Order) -> Result:
        # The register that this instance has learned is nearly always the
        # newest. An edit based on it is safe: it is accepted only if no other
        # revision was chosen since.
        register = self._instance.register
        is_newest = False
        for _ in range(MAX_ATTEMPTS):
            if register.accepted_change(change_id) is not None:
                return Accepted(register.revision)
            applied = self._apply(order, register)
            if isinstance(applied, bytes):
                result = await self._instance.edit(
                    change_id, register.revision, applied
                )
                if not isinstance(result, messages.EditConflict):
                    return _result_of_edit(result)
            elif is_newest:
                return applied
            read = await self._instance.read()
            if not isinstance(read, messages.ReadDone):
                return _unsettled(read)
            register, is_newest = read.register, True
        return Unsettled(False, "other orders were accepted first each time")

    def _apply(
        self, order: orders.Order, register: messages.Register
    ) -> bytes | Result:
        """Return the value to propose, or a result that needs no proposal."""
        try:
            current = state_module.decode(register.value)
            new = orders.apply(order, current, time.time())
            if new == current:
                return Accepted(register.revision)
            value = state_module.encode(new)
            if isinstance(order, orders.Edit):
                state_limits.check(
                    value, register.value, self._instance.max_message_bytes()
                )
        except errors.HyssopError as exc:
            return Rejected(exc)
        return value

    async def read(self) -> state_module.State | None:
        """Return the newest state, or None if no majority answered."""
        result = await self.read_register()
        if isinstance(result, messages.ReadDone):
            return state_module.decode(result.register.value)
        return None

    async def read_register(self) -> messages.Result:
        """Read the register for an operator and log how the read ended."""
        began = trio.current_time()
        result = await self._instance.read()
        reason = ""
        if isinstance(result, messages.EditNotAccepted):
            reason = result.reason
        logger.info(
            logs.Event(
                "configuration-read",
                result=type(result).__name__,
                reason=reason,
                revision=self._instance.register.revision,
                took_s=trio.current_time() - began,
            )
        )
        return result


@functools.singledispatch
def _result_of_edit(result: messages.Result) -> Result:
    raise TypeError(f"unknown result of an edit: {result!r}")


@_result_of_edit.register
def _(result: messages.EditAccepted) -> Result:
    return Accepted(result.revision)


@_result_of_edit.register(messages.EditNotAccepted)
@_result_of_edit.register(messages.OutcomeUnknown)
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
