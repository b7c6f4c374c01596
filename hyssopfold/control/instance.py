"""The task that owns a member of the replicated register and its disk."""

from collections.abc import Callable
import functools
import logging
import math
from typing import NamedTuple

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.storage import folder
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

RECORD = "register"
_QUEUE = 256
_SEND_TIMEOUT_S = 2.0


def load_durable(data: folder.DataFolder) -> messages.Durable:
    """Return what the data folder holds, or the blank state.

    Raises:
        CorruptStorageError: when the record cannot be trusted.
    """
    record = data.read(RECORD)
    if record is None:
        return consensus_node.BLANK
    try:
        return msgspec.msgpack.decode(record, type=messages.Durable)
    except msgspec.DecodeError as exc:
        raise errors.CorruptStorageError(RECORD, str(exc)) from exc


class _Request(NamedTuple):
    event: messages.Edit | messages.Read
    answer: trio.MemorySendChannel[messages.Result]


class Instance:
    """Carry a member's effects: disk, messages, answers.

    Args:
        node: The member's decisions.
        data: Where its votes are kept.
        peers: Clients to the other members, by name.
    """

    def __init__(
        self,
        node: consensus_node.Node,
        data: folder.DataFolder,
        peers: dict[str, rpc.Client],
    ) -> None:
        self._node = node
        self._data = data
        self._peers = peers
        events, self._events = trio.open_memory_channel[
            _Request | messages.Received
        ](_QUEUE)
        self._inbox = events
        self._outboxes = {
            name: trio.open_memory_channel[messages.Message](_QUEUE)
            for name in peers
        }
        self._answers: dict[int, trio.MemorySendChannel[messages.Result]] = {}
        self._requests = 0
        # Called with each revision and value that is learned.
        self.listeners: list[Callable[[int, bytes], None]] = []
        self.register = node.learned

    async def edit(
        self, change_id: str, expect: int, value: bytes
    ) -> messages.Result:
        """Return the outcome of an edit."""
        self._requests += 1
        event = messages.Edit(self._requests, change_id, expect, value)
        return await self._ask(event)

    async def read(self) -> messages.Result:
        """Return the register, as of a moment after this call."""
        self._requests += 1
        return await self._ask(messages.Read(self._requests))

    async def _ask(
        self, event: messages.Edit | messages.Read
    ) -> messages.Result:
        send, receive = trio.open_memory_channel[messages.Result](1)
        await self._inbox.send(_Request(event, send))
        return await receive.receive()

    async def deliver(
        self, envelope: consensus_wire.Envelope
    ) -> consensus_wire.Ack:
        """Take in a message of another member."""
        try:
            message = consensus_wire.unseal(envelope)
        except msgspec.DecodeError as exc:
            logger.warning(
                logs.Event("bad-message", sender=envelope.sender, error=exc)
            )
            return consensus_wire.Ack()
        received = messages.Received(envelope.sender, message)
        try:
            self._inbox.send_nowait(received)
        except trio.WouldBlock:
            # Lost like on the wire: the sender's round is tried again.
            logger.warning(logs.Event("inbox-full", sender=envelope.sender))
        return consensus_wire.Ack()

    async def run(self) -> None:
        """Own the member: take one event at a time, carry its effects."""
        async with trio.open_nursery() as nursery:
            for name in self._peers:
                nursery.start_soon(self._send_to, name)
            while True:
                event = await self._next_event()
                now = trio.current_time()
                for effect in self._node.handle(event, now):
                    await _carry(effect, self)

    async def _next_event(self) -> messages.Event:
        due = self._node.next_deadline()
        timeout = math.inf if due is None else due - trio.current_time()
        with trio.move_on_after(max(0.0, timeout)):
            item = await self._events.receive()
            if isinstance(item, _Request):
                self._answers[item.event.request] = item.answer
                return item.event
            return item
        return messages.Tick()

    async def confirm(self) -> bool:
        """Return whether a majority answers for the revision learned.

        Run each second, it also brings what was chosen while this instance
        was down or cut off.
        """
        return isinstance(await self.read(), messages.ReadDone)

    async def _send_to(self, name: str) -> None:
        client = self._peers[name]
        _, outbox = self._outboxes[name]
        async for message in outbox:
            envelope = consensus_wire.seal(self._node.name, message)
            try:
                await client.call(
                    consensus_wire.DELIVER, envelope, _SEND_TIMEOUT_S
                )
            except errors.PeerUnavailableError as exc:
                logger.debug(logs.Event("send-failed", to=name, error=exc))

    def persist(self, durable: messages.Durable) -> None:
        """Write and sync a vote."""
        self._data.write(RECORD, msgspec.msgpack.encode(durable))

    def send(self, to: str, message: messages.Message) -> None:
        """Queue a message; a full queue loses it, as the wire may."""
        outbox, _ = self._outboxes[to]
        try:
            outbox.send_nowait(message)
        except trio.WouldBlock:
            logger.debug(logs.Event("outbox-full", to=to))

    async def learn(self, register: messages.Register) -> None:
        """Put a chosen register in force and wake who waits for it."""
        self.register = register
        for listener in self.listeners:
            listener(register.revision, register.value)
        logger.info(logs.Event("revision-in-force", revision=register.revision))

    def reply(self, request: int, result: messages.Result) -> None:
        """Answer the caller of `edit` or `read`."""
        answer = self._answers.pop(request, None)
        if answer is not None:
            answer.send_nowait(result)


@functools.singledispatch
async def _carry(effect: messages.Effect, instance: Instance) -> None:
    """Carry one effect of the member."""
    raise TypeError(f"no such effect: {effect!r}")


@_carry.register
async def _(effect: messages.Persist, instance: Instance) -> None:
    instance.persist(effect.durable)


@_carry.register
async def _(effect: messages.Send, instance: Instance) -> None:
    instance.send(effect.to, effect.message)


@_carry.register
async def _(effect: messages.Learned, instance: Instance) -> None:
    await instance.learn(effect.register)


@_carry.register
async def _(effect: messages.Reply, instance: Instance) -> None:
    instance.reply(effect.request, effect.result)
