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
from hyssopfold.control import held_values
from hyssopfold.control import outboxes
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.transport import consensus_wire

logger = logging.getLogger(__name__)

_MAX_QUEUED_EVENTS = 256
# Seconds between two attempts to write after a failed write.
_STORAGE_RETRY_S = 5.0
# Seconds that an answer may take beyond the timeout of the operation.
_ANSWER_MARGIN_S = 2.0


class Records(Protocol):
    """Storage of a member's votes; a save returns after it is synced."""

    def save_promise(self, promised: messages.Ballot) -> None:
        """Write and sync a promise."""

    def save_register(
        self, accepted: messages.Ballot, register: messages.Register
    ) -> None:
        """Write and sync an accepted register."""

    def save_observed_starts(
        self, observed_starts: tuple[messages.ObservedStart, ...]
    ) -> None:
        """Write and sync the observed starts of other members."""

    def save_all(self, durable: messages.DurableState) -> None:
        """Write and sync all votes."""


class _Request(NamedTuple):
    operation: messages.Operation
    answer_channel: trio.MemorySendChannel[messages.Result]


Save = Callable[..., None]
RunBlocking = Callable[..., Awaitable[Any]]


class Instance:
    """Runs a member of the register: its disk, messages and operations.

    The API and the orders of a control instance call its operations.

    Args:
        node: Makes the member's decisions.
        records: Stores its votes.
        connect: Returns a client for the instance at an address.
        operation_timeout_s: Seconds after which the member gives up an
            operation.
        run_blocking: Runs a blocking call without blocking other tasks.

    Attributes:
        listeners: Called with the revision and value of each learned register.
        register: The newest register learned.
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
        self._held_values = held_values.HeldValues()
        self.hold(node.durable.register)
        events_in, self._events = trio.open_memory_channel[
            _Request | messages.Received
        ](_MAX_QUEUED_EVENTS)
        self._inbox = events_in
        self._answer_channels: dict[
            int, trio.MemorySendChannel[messages.Result]
        ] = {}
        self._answer_timeout_s = operation_timeout_s + _ANSWER_MARGIN_S
        self._last_request = 0
        self._storage_retry_at: float | None = None
        self._has_run = False
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
            change_id: Id of the edit; a resent edit gets its first answer.
            expect: Revision that the edit is based on.
            value: The encoded state to put in force.
            digest: Distinguishes the edit from another one with the same id.
            floor: Lowest revision to assign.
        """
        return await self._ask(
            lambda request: messages.Edit(
                request, change_id, expect, value, digest, floor
            )
        )

    async def read(self) -> messages.Result:
        """Return the register as it was at some time after this call began."""
        return await self._ask(messages.Read)

    async def add_member(self, name: str) -> messages.Result:
        """Make an instance a member; it votes from then on.

        Args:
            name: An instance that has learned the current revision.
        """
        return await self._ask(
            lambda request: messages.AddMember(request, name)
        )

    async def remove_member(self, name: str) -> messages.Result:
        """Remove a member, which doesn't vote any more.

        Args:
            name: The member.
        """
        return await self._ask(
            lambda request: messages.RemoveMember(request, name)
        )

    async def _ask(
        self, make_operation: Callable[[int], messages.Operation]
    ) -> messages.Result:
        self._last_request += 1
        operation = make_operation(self._last_request)
        send, receive = trio.open_memory_channel[messages.Result](1)
        try:
            self._inbox.send_nowait(_Request(operation, send))
        except trio.WouldBlock:
            return messages.EditNotAccepted("too many operations wait")
        # A disk that hangs during a sync blocks the member; the operator must
        # get an answer nevertheless.
        with trio.move_on_after(self._answer_timeout_s):
            return await receive.receive()
        return messages.OutcomeUnknown()

    async def deliver(
        self, envelope: consensus_wire.Envelope
    ) -> consensus_wire.Ack:
        """Queue a message of another member.

        Args:
            envelope: The message and its sender.
        """
        try:
            message = consensus_wire.unwrap(envelope, self._held_values.find)
        except consensus_wire.ValueMissingError:
            return consensus_wire.ACK._replace(is_value_missing=True)
        except msgspec.DecodeError as exc:
            logger.warning(
                logs.Event("bad-message", sender=envelope.sender, error=exc)
            )
            return consensus_wire.ACK
        value = consensus_wire.large_value(message)
        if value:
            # Equal values of several messages are kept once.
            held = self._held_values.add(value)
            message = consensus_wire.with_value(message, held)
        received = messages.Received(envelope.sender, message)
        try:
            self._inbox.send_nowait(received)
        except trio.WouldBlock:
            # As if lost by the network: the sender repeats its round.
            logger.warning(logs.Event("inbox-full", sender=envelope.sender))
        return consensus_wire.ACK

    async def run(self) -> None:
        """Process one event after another and execute its effects."""
        if self._has_run:
            # The previous run may have failed between a vote and its write.
            await self._restore_storage()
        self._has_run = True
        try:
            async with self._outboxes.running():
                while True:
                    await self._handle(await self._next_event())
        finally:
            self._answer_pending_unknown()

    async def _handle(self, event: messages.Event) -> None:
        effects = self.node.handle(event, trio.current_time())
        for index, effect in enumerate(effects):
            try:
                await _execute(effect, self)
            except errors.StorageWriteError as exc:
                logger.error(  # noqa: TRY400 - the cause is in the event
                    logs.Event("storage-failed", error=exc)
                )
                self._drop_effects(effects[index + 1 :])
                self._storage_retry_at = trio.current_time() + _STORAGE_RETRY_S
                await self._handle(messages.StorageFailed(str(exc)))
                return

    def _drop_effects(self, effects: list[messages.Effect]) -> None:
        """Drop the effects that follow a failed save; answer their operations.

        No message may leave this instance that depends on the lost write. The
        outcome of an edit answered in the same batch is unknown.

        Args:
            effects: The effects that were not executed.
        """
        for effect in effects:
            if isinstance(effect, messages.Reply):
                self.reply(effect.request, messages.OutcomeUnknown())

    async def _restore_storage(self) -> None:
        try:
            await self.save(self._records.save_all, self.node.durable)
        except errors.StorageWriteError as exc:
            self._storage_retry_at = trio.current_time() + _STORAGE_RETRY_S
            await self._handle(messages.StorageFailed(str(exc)))
            return
        self._storage_retry_at = None
        logger.info(logs.Event("storage-mended"))
        await self._handle(messages.StorageRecovered())

    async def _next_event(self) -> messages.Event:
        now = trio.current_time()
        if self._storage_retry_at is not None and now >= self._storage_retry_at:
            await self._restore_storage()
        deadline = self.node.next_deadline()
        if self._storage_retry_at is not None:
            deadline = min(deadline, self._storage_retry_at)
        with trio.move_on_after(max(0.0, deadline - trio.current_time())):
            received = await self._events.receive()
            if isinstance(received, _Request):
                self._answer_channels[received.operation.request] = (
                    received.answer_channel
                )
                return received.operation
            return received
        return messages.Tick()

    def _answer_pending_unknown(self) -> None:
        for request in list(self._answer_channels):
            self.reply(request, messages.OutcomeUnknown())

    def max_message_bytes(self) -> int:
        """Return the size of the largest message that all members read.

        A member that has acknowledged no message so far is not considered.
        """
        voters = self.node.replica.register.voters()
        return self._outboxes.max_message_bytes(
            [voter.address for voter in voters]
        )

    async def confirm(self) -> bool:
        """Return whether a majority confirms the learned revision.

        If run each second, it also fetches revisions that were chosen while
        this instance was down or cut off.
        """
        return isinstance(await self.read(), messages.ReadDone)

    async def save(self, save: Save, *values: Any) -> None:
        """Write and sync without blocking other tasks.

        Args:
            save: A method of `records`.
            *values: Its arguments.

        Raises:
            StorageWriteError: if the write fails.
        """
        await self._run_blocking(save, *values)

    @property
    def records(self) -> Records:
        """Return the storage of the votes."""
        return self._records

    def send(self, to: messages.Endpoint, message: messages.Message) -> None:
        """Queue a message to another instance; if the queue is full, drop it.

        Args:
            to: The receiver.
            message: The message, which the network may lose too.
        """
        value = consensus_wire.large_value(message)
        digest = b""
        # A value that this instance has just made is new to its peers.
        if value and (
            not isinstance(message, messages.Accept)
            or value in self._held_values
        ):
            self._held_values.add(value)
            digest = self._held_values.digest(value)
        self._outboxes.send(to, message, digest)

    def hold(self, register: messages.Register) -> None:
        """Hold the value of an accepted register, unless it is small."""
        if len(register.value) >= consensus_wire.MIN_OMITTED_BYTES:
            self._held_values.add(register.value)

    async def learn(self, register: messages.Register) -> None:
        """Put a chosen register in force and call the listeners."""
        self.register = register
        for listener in self.listeners:
            listener(register.revision, register.value)
        logger.info(
            logs.Event(
                "revision-in-force",
                revision=register.revision,
                epoch=register.epoch,
                members=len(register.members),
                value_bytes=len(register.value),
            )
        )

    def reply(self, request: int, result: messages.Result) -> None:
        """Return the result of an operation to its caller.

        Args:
            request: Number of the operation.
            result: Its result.
        """
        answer_channel = self._answer_channels.pop(request, None)
        if answer_channel is not None:
            answer_channel.send_nowait(result)


@functools.singledispatch
async def _execute(effect: messages.Effect, instance: Instance) -> None:
    """Execute one effect of the member."""
    raise TypeError(f"unknown effect type: {effect!r}")


@_execute.register
async def _(effect: messages.SavePromise, instance: Instance) -> None:
    await instance.save(instance.records.save_promise, effect.promised)


@_execute.register
async def _(effect: messages.SaveRegister, instance: Instance) -> None:
    instance.hold(effect.register)
    await instance.save(
        instance.records.save_register, effect.accepted, effect.register
    )


@_execute.register
async def _(effect: messages.SaveObservedStarts, instance: Instance) -> None:
    await instance.save(
        instance.records.save_observed_starts, effect.observed_starts
    )


@_execute.register
async def _(effect: messages.Send, instance: Instance) -> None:
    instance.send(effect.to, effect.message)


@_execute.register
async def _(effect: messages.Learned, instance: Instance) -> None:
    await instance.learn(effect.register)


@_execute.register
async def _(effect: messages.MembersLearned, instance: Instance) -> None:
    names = sorted(member.name for member in effect.members)
    logger.info(
        logs.Event(
            "members-in-force", epoch=effect.epoch, members=",".join(names)
        )
    )


@_execute.register
async def _(effect: messages.FaultChanged, instance: Instance) -> None:
    if effect.fault:
        logger.warning(logs.Event("not-voting", reason=effect.fault))
    else:
        logger.info(logs.Event("voting"))


@_execute.register
async def _(effect: messages.Reply, instance: Instance) -> None:
    instance.reply(effect.request, effect.result)
