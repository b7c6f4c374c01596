"""The task that owns a member of the replicated register and its disk."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
from typing import Any
from typing import NamedTuple
from typing import Protocol

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.control import outboxes
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.transport import consensus_wire

logger = logging.getLogger(__name__)

_QUEUE = 256
_MEND_S = 5.0
_ANSWER_MARGIN_S = 2.0


class Records(Protocol):
    """Where votes are kept; each save returns once it is synced."""

    def save_promise(self, promised: messages.Ballot) -> None:
        """Write and sync a promise."""

    def save_register(
        self, accepted: messages.Ballot, register: messages.Register
    ) -> None:
        """Write and sync an accepted register."""

    def save_observed_starts(
        self, observed_starts: tuple[messages.ObservedStart, ...]
    ) -> None:
        """Write and sync what was seen of others."""

    def save_all(self, durable: messages.DurableState) -> None:
        """Write and sync all votes."""


class _Request(NamedTuple):
    event: messages.Operation
    answer: trio.MemorySendChannel[messages.Result]


Save = Callable[..., None]
RunBlocking = Callable[..., Awaitable[Any]]


class Instance:
    """Carry a member's effects: disk, messages, answers.

    Args:
        node: The member's decisions.
        records: Where its votes are kept.
        connect: Returns a client to the instance at an address.
        operation_timeout_s: Time until the member gives an operation up.
        run_blocking: Runs a blocking call without holding up other tasks.
    """

    def __init__(
        self,
        node: consensus_node.Node,
        records: Records,
        connect: Callable[[str], outboxes.Client],
        operation_timeout_s: float = 8.0,
        run_blocking: RunBlocking = trio.to_thread.run_sync,
    ) -> None:
        self.node = node
        self._records = records
        self._run_blocking = run_blocking
        self._outboxes = outboxes.Outboxes(node.replica.id, connect)
        events, self._events = trio.open_memory_channel[
            _Request | messages.Received
        ](_QUEUE)
        self._inbox = events
        self._answers: dict[int, trio.MemorySendChannel[messages.Result]] = {}
        self._answer_timeout_s = operation_timeout_s + _ANSWER_MARGIN_S
        self._requests = 0
        self._mend_at: float | None = None
        self._ran = False
        # Called with each revision and value that is learned.
        self.listeners: list[Callable[[int, bytes], None]] = []
        self.register = node.learned

    async def edit(
        self,
        change_id: str,
        expect: int,
        value: bytes,
        digest: str = "",
        floor: int = 0,
    ) -> messages.Result:
        """Return the outcome of an edit.

        Args:
            change_id: Name of the edit; a resent one gets its first answer.
            expect: Revision that was edited.
            value: The state to put in force.
            digest: Tells the edit from another under the same name.
            floor: Least revision to give.
        """
        return await self._ask(
            lambda request: messages.Edit(
                request, change_id, expect, value, digest, floor
            )
        )

    async def read(self) -> messages.Result:
        """Return the register, as of a moment after this call."""
        return await self._ask(messages.Read)

    async def add_member(self, name: str) -> messages.Result:
        """Let an instance vote that has caught up."""
        return await self._ask(
            lambda request: messages.AddMember(request, name)
        )

    async def remove_member(self, name: str) -> messages.Result:
        """Let a member vote no more."""
        return await self._ask(
            lambda request: messages.RemoveMember(request, name)
        )

    async def _ask(
        self, make: Callable[[int], messages.Operation]
    ) -> messages.Result:
        self._requests += 1
        event = make(self._requests)
        send, receive = trio.open_memory_channel[messages.Result](1)
        try:
            self._inbox.send_nowait(_Request(event, send))
        except trio.WouldBlock:
            return messages.EditNotAccepted("too many operations wait")
        # A disk that hangs in the middle of a sync holds the member up; the
        # operator must get an answer all the same.
        with trio.move_on_after(self._answer_timeout_s):
            return await receive.receive()
        return messages.OutcomeUnknown()

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
        if self._ran:
            # What failed may have come between a vote and its write.
            await self._mend()
        self._ran = True
        try:
            async with self._outboxes.running():
                while True:
                    await self._handle(await self._next_event())
        finally:
            self._abandon_answers()

    async def _handle(self, event: messages.Event) -> None:
        effects = self.node.handle(event, trio.current_time())
        for index, effect in enumerate(effects):
            try:
                await _carry(effect, self)
            except errors.StorageWriteError as exc:
                logger.error(  # noqa: TRY400 - the cause is in the event
                    logs.Event("storage-failed", error=exc)
                )
                self._drop(effects[index + 1 :])
                self._mend_at = trio.current_time() + _MEND_S
                await self._handle(messages.StorageFailed(str(exc)))
                return

    def _drop(self, effects: list[messages.Effect]) -> None:
        """Answer what would have been told after a save that failed.

        Nothing that rests on the lost write may leave this instance; an edit
        answered in the same batch may or may not survive.
        """
        for effect in effects:
            if isinstance(effect, messages.Reply):
                self.reply(effect.request, messages.OutcomeUnknown())

    async def _mend(self) -> None:
        try:
            await self.save(self._records.save_all, self.node.durable)
        except errors.StorageWriteError as exc:
            self._mend_at = trio.current_time() + _MEND_S
            await self._handle(messages.StorageFailed(str(exc)))
            return
        self._mend_at = None
        logger.info(logs.Event("storage-mended"))
        await self._handle(messages.StorageRecovered())

    async def _next_event(self) -> messages.Event:
        now = trio.current_time()
        if self._mend_at is not None and now >= self._mend_at:
            await self._mend()
        due = self.node.next_deadline()
        if self._mend_at is not None:
            due = min(due, self._mend_at)
        with trio.move_on_after(max(0.0, due - trio.current_time())):
            item = await self._events.receive()
            if isinstance(item, _Request):
                self._answers[item.event.request] = item.answer
                return item.event
            return item
        return messages.Tick()

    def _abandon_answers(self) -> None:
        for request in list(self._answers):
            self.reply(request, messages.OutcomeUnknown())

    async def confirm(self) -> bool:
        """Return whether a majority answers for the revision learned.

        Run each second, it also brings what was chosen while this instance
        was down or cut off.
        """
        return isinstance(await self.read(), messages.ReadDone)

    async def save(self, save: Save, *values: Any) -> None:
        """Write and sync without holding up other tasks."""
        await self._run_blocking(save, *values)

    @property
    def records(self) -> Records:
        """Return where votes are kept."""
        return self._records

    def send(self, to: messages.Endpoint, message: messages.Message) -> None:
        """Queue a message; a full queue loses it, as the wire may."""
        self._outboxes.send(to, message)

    async def learn(self, register: messages.Register) -> None:
        """Put a chosen register in force and wake who waits for it."""
        self.register = register
        for listener in self.listeners:
            listener(register.revision, register.value)
        logger.info(
            logs.Event(
                "revision-in-force",
                revision=register.revision,
                epoch=register.epoch,
                members=len(register.members),
            )
        )

    def reply(self, request: int, result: messages.Result) -> None:
        """Answer the caller of an operation."""
        answer = self._answers.pop(request, None)
        if answer is not None:
            answer.send_nowait(result)


@functools.singledispatch
async def _carry(effect: messages.Effect, instance: Instance) -> None:
    """Carry one effect of the member."""
    raise TypeError(f"no such effect: {effect!r}")


@_carry.register
async def _(effect: messages.SavePromise, instance: Instance) -> None:
    await instance.save(instance.records.save_promise, effect.promised)


@_carry.register
async def _(effect: messages.SaveRegister, instance: Instance) -> None:
    await instance.save(
        instance.records.save_register, effect.accepted, effect.register
    )


@_carry.register
async def _(effect: messages.SaveObservedStarts, instance: Instance) -> None:
    await instance.save(
        instance.records.save_observed_starts, effect.observed_starts
    )


@_carry.register
async def _(effect: messages.Send, instance: Instance) -> None:
    instance.send(effect.to, effect.message)


@_carry.register
async def _(effect: messages.Learned, instance: Instance) -> None:
    await instance.learn(effect.register)


@_carry.register
async def _(effect: messages.FaultChanged, instance: Instance) -> None:
    if effect.fault:
        logger.warning(logs.Event("not-voting", reason=effect.fault))
    else:
        logger.info(logs.Event("voting"))


@_carry.register
async def _(effect: messages.Reply, instance: Instance) -> None:
    instance.reply(effect.request, effect.result)
