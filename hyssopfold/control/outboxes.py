"""Queues of messages to the other control instances, one per address."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
from typing import Any
from typing import NamedTuple
from typing import Protocol

import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.consensus import messages
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import rpc

logger = logging.getLogger(__name__)

SEND_TIMEOUT_S = 2.0
_MAX_QUEUED_MESSAGES = 64
_MAX_OUTBOXES = 32
# Concurrent calls to one peer, so that a message doesn't wait for the round
# trip of the previous one.
_WORKERS = 3


class Client(Protocol):
    """Calls to one peer."""

    async def call(self, method: rpc.Method, req: Any, timeout_s: float) -> Any:
        """Return the peer's answer.

        Raises:
            PeerUnavailableError: if no answer arrived within `timeout_s`.
        """


class _QueuedMessage(NamedTuple):
    message: messages.Message
    queued_at: float
    value_digest: bytes


class Outboxes:
    """Sends messages to other members without waiting.

    Messages that can't be sent within `SEND_TIMEOUT_S` are dropped.

    Args:
        sender: Id under which this instance votes.
        connect: Returns a client for the instance at an address.
    """

    def __init__(self, sender: str, connect: Callable[[str], Client]) -> None:
        self._sender = sender
        self._connect = connect
        self._queues: dict[str, trio.MemorySendChannel[_QueuedMessage]] = {}
        # The last acknowledgement of each peer, by address.
        self._acks: dict[str, consensus_wire.Ack] = {}
        self._nursery: trio.Nursery | None = None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the senders; messages sent at any other time are dropped."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                yield
            finally:
                self._nursery = None
                self._queues.clear()
                nursery.cancel_scope.cancel()

    def send(
        self,
        to: messages.Endpoint,
        message: messages.Message,
        value_digest: bytes = b"",
    ) -> None:
        """Queue a message; if the queue is full, drop it.

        Args:
            to: The receiver.
            message: The message, which the network may lose too.
            value_digest: Digest of the register's value if the receiver may
                hold it; the value is then sent only if it does not.
        """
        queue = self._queue(to.address)
        if queue is None:
            return
        try:
            queue.send_nowait(
                _QueuedMessage(message, trio.current_time(), value_digest)
            )
        except trio.WouldBlock:
            logger.debug(logs.Event("outbox-full", to=to.name))

    def max_message_bytes(self, addresses: Iterable[str]) -> int:
        """Return the size of the largest message that these peers read.

        Args:
            addresses: The peers. Those that have acknowledged no message so
                far are not considered.
        """
        limits = [
            self._acks[address].max_message_bytes
            for address in addresses
            if address in self._acks
        ]
        return min([consensus_wire.MAX_MESSAGE_BYTES, *limits])

    def _queue(
        self, address: str
    ) -> trio.MemorySendChannel[_QueuedMessage] | None:
        queue = self._queues.get(address)
        if queue is not None:
            return queue
        if self._nursery is None or len(self._queues) >= _MAX_OUTBOXES:
            return None
        queue, receive = trio.open_memory_channel[_QueuedMessage](
            _MAX_QUEUED_MESSAGES
        )
        self._queues[address] = queue
        client = self._connect(address)
        for _ in range(_WORKERS):
            self._nursery.start_soon(self._run, client, address, receive)
        return queue

    async def _run(
        self,
        client: Client,
        address: str,
        receive: trio.MemoryReceiveChannel[_QueuedMessage],
    ) -> None:
        async for queued in receive:
            # Messages pile up behind a dead connection. Old messages belong to
            # rounds that have ended and would only delay new messages.
            if trio.current_time() - queued.queued_at > SEND_TIMEOUT_S:
                continue
            try:
                await self._deliver(client, address, queued)
            except errors.PeerUnavailableError as exc:
                logger.debug(logs.Event("send-failed", to=address, error=exc))

    async def _deliver(
        self, client: Client, address: str, queued: _QueuedMessage
    ) -> None:
        last_ack = self._acks.get(address, consensus_wire.Ack())
        digest = queued.value_digest if last_ack.accepts_digests else b""
        while True:
            envelope = consensus_wire.wrap(
                self._sender,
                queued.message,
                last_ack.accepts_compressed,
                digest,
            )
            # A peer that was replaced by an older program accepts less than
            # before.
            last_ack = self._acks[address] = await client.call(
                consensus_wire.DELIVER, envelope, SEND_TIMEOUT_S
            )
            if not digest or (
                last_ack.accepts_digests and not last_ack.is_value_missing
            ):
                return
            digest = b""
