"""Placement by grants: acquires and releases slots of backend servers."""

from collections.abc import Iterable
import functools
import itertools
import logging

import trio

from hyssopfold import logs
from hyssopfold import tables
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import node
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

TICK_S = 0.1


class Placement:
    """Acquire slots that a grantor leases, for the requests of this entry.

    It feeds events to the placement node of this entry and executes the
    effects: it sends messages, answers waiting requests and logs decisions.

    Args:
        core: The placement node, which decides.
        gossip_service: Sends messages to the other instances and receives
            theirs.
    """

    def __init__(self, core: node.Node, gossip_service: gossip.Gossip) -> None:
        self._core = core
        self._gossip = gossip_service
        self._tickets = itertools.count(1)
        # Channels to the requests that wait for a slot, by ticket.
        self._result_senders: dict[
            int, trio.MemorySendChannel[messages.Grant | messages.Refused]
        ] = {}

    def set_pools(self, pools: Iterable[tables.Pool]) -> None:
        """Replace the rows of the pools."""
        self._core.set_pools(tuple(pools))

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Acquire a slot of a server; wait at most one second for it.

        Args:
            req: The request.
            pool: Its pool.

        Returns:
            The granted slot, or why there is none.
        """
        ticket = next(self._tickets)
        result_sender, result_receiver = trio.open_memory_channel[
            messages.Grant | messages.Refused
        ](1)
        self._result_senders[ticket] = result_sender
        self._handle(node.Acquire(ticket, req))
        result: messages.Grant | messages.Refused | None = None
        try:
            result = await result_receiver.receive()
        finally:
            self._result_senders.pop(ticket, None)
            if result is None:
                self._cancel(ticket, result_receiver)
        return result

    def _cancel(
        self,
        ticket: int,
        result_receiver: trio.MemoryReceiveChannel[
            messages.Grant | messages.Refused
        ],
    ) -> None:
        """Cancel a waiting request; release a slot granted in the meantime."""
        self._handle(node.Cancel(ticket))
        try:
            result = result_receiver.receive_nowait()
        except trio.WouldBlock:
            return
        if isinstance(result, messages.Grant):
            self.release(result, messages.AttemptResult("cancelled", 0.0))

    def release(
        self, grant: messages.Grant, attempt_result: messages.AttemptResult
    ) -> None:
        """Release a slot and report how its attempt ended."""
        self._handle(node.Release(grant, attempt_result))

    def in_flight(self) -> dict[str, int]:
        """Return the number of running requests by server id."""
        return self._core.holder.in_flight()

    def leave(self) -> None:
        """Stop granting slots, so that another entry becomes the grantor."""
        self._handle(node.Leave())

    async def run(self) -> None:
        """Handle messages and ticks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._receive)

    async def _tick(self) -> None:
        while True:
            self._handle(node.Tick())
            await trio.sleep(TICK_S)

    async def _receive(self) -> None:
        received: datagram_wire.ReceivedMessage
        async for received in self._gossip.received_messages:
            # Other messages are received by the tasks that subscribed to them.
            if isinstance(received.message, messages.Message):
                self._handle(node.Received(received.sender, received.message))

    def _handle(self, event: node.Event) -> None:
        for effect in self._core.handle(event, trio.current_time()):
            _execute(effect, self)

    def post(self, name: str, message: messages.Message) -> None:
        """Send a message to the instance `name`; it may be lost."""
        self._gossip.post(name, message)

    def answer(
        self, ticket: int, result: messages.Grant | messages.Refused
    ) -> None:
        """Pass the result to the request that waits for a slot.

        If the request no longer waits, a granted slot is released.

        Args:
            ticket: Ticket of the request.
            result: The slot, or why there is none.
        """
        result_sender = self._result_senders.pop(ticket, None)
        if result_sender is not None:
            result_sender.send_nowait(result)
        elif isinstance(result, messages.Grant):
            self.release(result, messages.AttemptResult("cancelled", 0.0))


@functools.singledispatch
def _execute(effect: messages.Effect, placement: Placement) -> None:
    """Execute an effect of the placement node."""
    raise TypeError(f"unknown effect: {effect!r}")


@_execute.register
def _(effect: messages.Send, placement: Placement) -> None:
    placement.post(effect.to, effect.message)


@_execute.register
def _(effect: messages.Answer, placement: Placement) -> None:
    placement.answer(effect.ticket, effect.result)


@_execute.register
def _(effect: messages.LogDecision, placement: Placement) -> None:
    logger.info(logs.Event(effect.event, **dict(effect.fields)))
