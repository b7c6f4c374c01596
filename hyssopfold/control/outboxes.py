"""Queues of messages to the other control instances, one for each address."""

from collections.abc import AsyncIterator
from collections.abc import Callable
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
_QUEUE = 64
_MAX_OUTBOXES = 32
# Calls under way to one peer: enough that a message need not wait for the
# round trip of the one before it.
_WORKERS = 3


class Client(Protocol):
    """Calls to one peer."""

    async def call(self, method: rpc.Method, req: Any, timeout_s: float) -> Any:
        """Return the peer's answer."""


class _Item(NamedTuple):
    message: messages.Message
    queued_at: float


class Outboxes:
    """Send messages without waiting; what cannot be sent in time is lost.

    Args:
        sender: Id under which this instance votes.
        connect: Returns a client to the instance at an address.
    """

    def __init__(self, sender: str, connect: Callable[[str], Client]) -> None:
        self._sender = sender
        self._connect = connect
        self._queues: dict[str, trio.MemorySendChannel[_Item]] = {}
        self._nursery: trio.Nursery | None = None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the senders; what is sent at any other time is lost."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                yield
            finally:
                self._nursery = None
                self._queues.clear()
                nursery.cancel_scope.cancel()

    def send(self, to: messages.Endpoint, message: messages.Message) -> None:
        """Queue a message; a full queue loses it, as the wire may."""
        queue = self._queue(to.address)
        if queue is None:
            return
        try:
            queue.send_nowait(_Item(message, trio.current_time()))
        except trio.WouldBlock:
            logger.debug(logs.Event("outbox-full", to=to.name))

    def _queue(self, address: str) -> trio.MemorySendChannel[_Item] | None:
        queue = self._queues.get(address)
        if queue is not None:
            return queue
        if self._nursery is None or len(self._queues) >= _MAX_OUTBOXES:
            return None
        queue, receive = trio.open_memory_channel[_Item](_QUEUE)
        self._queues[address] = queue
        client = self._connect(address)
        for _ in range(_WORKERS):
            self._nursery.start_soon(self._run, client, address, receive)
        return queue

    async def _run(
        self,
        client: Client,
        address: str,
        receive: trio.MemoryReceiveChannel[_Item],
    ) -> None:
        async for item in receive:
            # Behind a silent connection messages pile up; the old ones belong
            # to rounds that are over, and would only delay the new.
            if trio.current_time() - item.queued_at > SEND_TIMEOUT_S:
                continue
            envelope = consensus_wire.wrap(self._sender, item.message)
            try:
                await client.call(
                    consensus_wire.DELIVER, envelope, SEND_TIMEOUT_S
                )
            except errors.PeerUnavailableError as exc:
                logger.debug(logs.Event("send-failed", to=address, error=exc))
