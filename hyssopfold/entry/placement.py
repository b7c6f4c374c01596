"""Slots for callers' requests: ask for one, hold it, give it back."""

from collections.abc import Iterable
import functools
import itertools
import logging

import trio

from hyssopfold import logs
from hyssopfold import tables
from hyssopfold.core.attempts import quarantine
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import node
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

TICK_S = 0.1


class Placement:
    """Carry the effects of placement: messages, answers, decision lines.

    Args:
        core: Decisions of this entry.
        spread: Carries messages to the other instances.
    """

    def __init__(self, core: node.Node, spread: gossip.Gossip) -> None:
        self._core = core
        self._spread = spread
        self._tickets = itertools.count(1)
        self._answers: dict[
            int, trio.MemorySendChannel[messages.Grant | messages.Refused]
        ] = {}

    def set_pools(self, pools: Iterable[tables.Pool]) -> None:
        """Put other rows of pools in force."""
        self._core.set_pools(tuple(pools))

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a slot, or why there is none; wait a second at most."""
        ticket = next(self._tickets)
        send, receive = trio.open_memory_channel[
            messages.Grant | messages.Refused
        ](1)
        self._answers[ticket] = send
        self._handle(node.Acquire(ticket, req))
        answer: messages.Grant | messages.Refused | None = None
        try:
            answer = await receive.receive()
        finally:
            self._answers.pop(ticket, None)
            if answer is None:
                self._abandon(ticket, receive)
        return answer

    def _abandon(
        self,
        ticket: int,
        receive: trio.MemoryReceiveChannel[messages.Grant | messages.Refused],
    ) -> None:
        """Give back what comes for a request that was cancelled meanwhile."""
        self._handle(node.Cancel(ticket))
        try:
            answer = receive.receive_nowait()
        except trio.WouldBlock:
            return
        if isinstance(answer, messages.Grant):
            self.release(answer, messages.AttemptResult("cancelled", 0.0))

    def release(
        self, grant: messages.Grant, done: messages.AttemptResult
    ) -> None:
        """Give a slot back, with how the attempt ended."""
        self._handle(node.Release(grant, done))

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._core.holder.in_flight()

    def leave(self) -> None:
        """Let another entry grant what this one grants."""
        self._handle(node.Leave())

    async def run(self) -> None:
        """Take in messages and pass time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._receive)

    async def _tick(self) -> None:
        while True:
            self._handle(node.Tick())
            await trio.sleep(TICK_S)

    async def _receive(self) -> None:
        parcel: datagram_wire.ReceivedMessage
        async for parcel in self._spread.received_messages:
            # Comes on a channel of its own.
            if not isinstance(parcel.message, quarantine.QuarantineUpdate):
                self._handle(node.Received(parcel.sender, parcel.message))

    def _handle(self, event: node.Event) -> None:
        for effect in self._core.handle(event, trio.current_time()):
            _carry(effect, self)

    def post(self, name: str, message: messages.Message) -> None:
        """Send a message to an instance."""
        self._spread.post(name, message)

    def answer(
        self, ticket: int, result: messages.Grant | messages.Refused
    ) -> None:
        """Wake the request that waits for a slot."""
        waiting = self._answers.pop(ticket, None)
        if waiting is not None:
            waiting.send_nowait(result)
        elif isinstance(result, messages.Grant):
            self.release(result, messages.AttemptResult("cancelled", 0.0))


@functools.singledispatch
def _carry(effect: messages.Effect, placement: Placement) -> None:
    """Carry one effect."""
    raise TypeError(f"no such effect: {effect!r}")


@_carry.register
def _(effect: messages.Send, placement: Placement) -> None:
    placement.post(effect.to, effect.message)


@_carry.register
def _(effect: messages.Answer, placement: Placement) -> None:
    placement.answer(effect.ticket, effect.result)


@_carry.register
def _(effect: messages.LogDecision, placement: Placement) -> None:
    logger.info(logs.Event(effect.event, **dict(effect.fields)))
