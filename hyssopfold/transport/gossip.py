"""Gossip over UDP: the task that owns the socket and the directory."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import logging
import random
from typing import Any

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.attempts import quarantine
from hyssopfold.core.limits import messages as limits
from hyssopfold.core.membership import broadcasts
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects as effects_module
from hyssopfold.core.membership import gossip_protocol
from hyssopfold.core.membership import messages
from hyssopfold.transport import auth
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import traffic_counter
from hyssopfold.transport import udp

logger = logging.getLogger(__name__)

PERIOD_S = gossip_protocol.PERIOD_S
PROPAGATION_S = gossip_protocol.PROPAGATION_S
_KIND = "Datagram"
_MAX_QUEUED = 4096
_MAX_ADDRESSES = 2000
# Purposes in the count of sent bytes, by type of message; all other messages
# count as placement.
_PURPOSES: dict[type, str] = {
    quarantine.QuarantineUpdate: "quarantine",
    limits.UsageReport: "limits",
    limits.AllowanceUpdate: "limits",
}


def _ignore(address: str, revision: int) -> None:
    """Ignore a sender's revision."""


class Gossip:
    """The gossip of one instance with all others.

    It keeps the directory of servers and instances up to date and transports
    messages between the tasks of different instances, such as those of
    placement. Control instances and entries run one each.

    Args:
        myself: The initial record of this instance.
        seeds: UDP addresses of some other instances.
        lease_s: Seconds without a heartbeat after which a member counts as
            gone.
        keyring: Seals sent datagrams and verifies received ones.
        rng: Draws the peers.

    Attributes:
        on_revision: Called for each gossip datagram with the sender's RPC
            address, empty if unknown, and the revision it has in force.
        directory: The servers and instances that are members.
        received_messages: Messages of the types without a subscription.
    """

    def __init__(
        self,
        myself: messages.Instance,
        seeds: tuple[str, ...],
        lease_s: float,
        keyring: auth.Keyring,
        rng: random.Random,
    ) -> None:
        self._keyring = keyring
        self.on_revision: Callable[[str, int], None] = _ignore
        self.directory = directory.Directory(lease_s)
        self._new_protocol = functools.partial(
            gossip_protocol.GossipProtocol,
            myself,
            seeds,
            self.directory,
            lease_s,
            rng,
        )
        # Created on first use, since it needs the time of its start.
        self._started_protocol: gossip_protocol.GossipProtocol | None = None
        self._socket = udp.DatagramSocket()
        # Received messages for the tasks that handle them: by type for the
        # tasks that subscribed to one, and all others.
        self._inboxes: dict[
            type, trio.MemorySendChannel[datagram_wire.ReceivedMessage]
        ] = {}
        self._received_messages_in, self.received_messages = (
            trio.open_memory_channel[datagram_wire.ReceivedMessage](_MAX_QUEUED)
        )
        # Gossip addresses by instance. They are kept beyond the end of a lease,
        # since an expired instance may still be reachable.
        self._addresses: dict[str, str] = {}
        self._has_news = trio.Event()
        self._traffic_counter = traffic_counter.TrafficCounter(
            myself, self.directory
        )

    @property
    def _protocol(self) -> gossip_protocol.GossipProtocol:
        if self._started_protocol is None:
            self._started_protocol = self._new_protocol(trio.current_time())
        return self._started_protocol

    def subscribe(
        self, kind: type
    ) -> trio.MemoryReceiveChannel[datagram_wire.ReceivedMessage]:
        """Return a channel that receives messages of one type from now on.

        Args:
            kind: The type of the messages.
        """
        inbox, received_messages = trio.open_memory_channel[
            datagram_wire.ReceivedMessage
        ](_MAX_QUEUED)
        self._inboxes[kind] = inbox
        return received_messages

    def announce(self, server: messages.Server) -> None:
        """Record a backend server's announcement and spread it."""
        self._execute(self._protocol.announce(server, trio.current_time()))

    def dismiss(self, server_id: str) -> None:
        """Announce that a server is leaving, on its behalf."""
        self._execute(self._protocol.dismiss(server_id, trio.current_time()))

    def restore_left(self, servers: Iterable[messages.Server]) -> None:
        """Record servers that left before this instance started."""
        self._protocol.restore_left(servers, trio.current_time())

    def has_left(self, server_id: str) -> bool:
        """Return whether a server gets no more requests of this directory."""
        return self._protocol.has_left(server_id, trio.current_time())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the UDP addresses used to find other instances."""
        self._protocol.set_seeds(seeds)

    def update_self(self, **changes: Any) -> None:
        """Change fields of this instance's own record.

        Args:
            **changes: New values of fields of `messages.Instance`.
        """
        self._execute(
            self._protocol.update_self(trio.current_time(), **changes)
        )

    @property
    def myself(self) -> messages.Instance:
        """Return this instance's own record."""
        return self._protocol.myself

    @property
    def highest_revision(self) -> int:
        """Return the highest revision that any sender reported in force."""
        return self._protocol.highest_revision

    def live_instances(self) -> list[messages.Instance]:
        """Return the instances except those suspected to be dead.

        If all others are suspected, this instance is cut off itself and all
        instances are returned.
        """
        now = trio.current_time()
        instances = list(self.directory.instances.records())
        live = [
            instance
            for instance in instances
            if not self._protocol.is_suspect(instance.name, now)
        ]
        return live if len(live) > 1 else instances

    @property
    def sent_bytes(self) -> Mapping[tuple[str, str], int]:
        """Return the bytes of datagrams sent, by purpose and distance."""
        return self._traffic_counter.sent_bytes

    @property
    def age_s(self) -> float:
        """Return the seconds since this instance began to gossip."""
        return self._protocol.age_s(trio.current_time())

    @property
    def ready(self) -> bool:
        """Return whether the directory is complete, or no peer was found."""
        return self._protocol.ready(trio.current_time())

    def post(self, name: str, message: datagram_wire.Message) -> None:
        """Send a message to a task of an instance, without acknowledgement.

        Args:
            name: The instance.
            message: The message, which may be lost.
        """
        self.post_all((name,), message)

    def post_all(
        self, names: Iterable[str], message: datagram_wire.Message
    ) -> None:
        """Send a message to a task of each instance, without acknowledgement.

        Args:
            names: The instances; those without a known address are skipped.
            message: The message, which may be lost.
        """
        sender = self._protocol.myself.name
        data = datagram_wire.encode_message(sender, message)
        purpose = _PURPOSES.get(type(message), "placement")
        for name in names:
            record = self.directory.instances.get(name)
            if record is not None and len(self._addresses) < _MAX_ADDRESSES:
                self._addresses[name] = record.gossip_address
            address = self._addresses.get(name)
            if address is not None:
                self._traffic_counter.count(address, purpose, data)
                self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        self._socket.send(address, self._keyring.seal(_KIND, data))

    def _execute(self, effects: Iterable[effects_module.Effect]) -> None:
        datagram: messages.Datagram | None = None
        encoded: list[bytes] = []
        for effect in effects:
            if isinstance(effect, effects_module.Send):
                if effect.datagram is not datagram:
                    datagram = effect.datagram
                    encoded = datagram_wire.encode(datagram)
                for data in encoded:
                    self._traffic_counter.count(
                        effect.address, effect.purpose, data
                    )
                    self._send(effect.address, data)
            elif isinstance(effect, effects_module.LeaveConflict):
                logger.info(logs.Event("leave-conflict", **effect._asdict()))
            else:
                logger.info(logs.Event("member-changed", **effect._asdict()))
        if self._protocol.has_news:
            self._has_news.set()

    async def run(self) -> None:
        """Send and receive datagrams until cancelled.

        Raises:
            PortBusyError: if another process uses the address.
        """
        self._socket.bind(self._protocol.myself.gossip_address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._socket.run)
                nursery.start_soon(self._tick)
                nursery.start_soon(self._flush)
        finally:
            self._socket.close()

    async def _receive(self) -> None:
        while True:
            for data, sender in await self._socket.receive():
                try:
                    opened = self._keyring.open(_KIND, data)
                    datagram = datagram_wire.decode(opened)
                except msgspec.DecodeError as exc:
                    logger.warning(
                        logs.Event("bad-datagram", sender=sender, error=exc)
                    )
                    continue
                self._handle(datagram)

    def _handle(
        self, datagram: messages.Datagram | datagram_wire.ReceivedMessage
    ) -> None:
        """Process a datagram; log an exception and continue.

        Other instances receive the same datagram, and it arrives again after a
        restart: if the exception ended this task, it would end the task of
        every instance. Only `InvariantError` is raised.
        """
        try:
            if isinstance(datagram, messages.Datagram):
                self._receive_gossip(datagram)
            else:
                self._deliver(datagram)
        except errors.InvariantError:
            raise
        except Exception:
            logger.exception(
                logs.Event("datagram-failed", sender=datagram.sender)
            )

    def _deliver(self, received: datagram_wire.ReceivedMessage) -> None:
        inbox = self._inboxes.get(
            type(received.message), self._received_messages_in
        )
        try:
            inbox.send_nowait(received)
        except trio.WouldBlock:
            logger.warning(logs.Event("parcel-dropped", sender=received.sender))

    def _receive_gossip(self, datagram: messages.Datagram) -> None:
        self._execute(self._protocol.receive(datagram, trio.current_time()))
        sender = self.directory.instances.get(datagram.sender)
        address = sender.rpc_address if sender is not None else ""
        self.on_revision(address, datagram.revision)

    async def _tick(self) -> None:
        while True:
            self._execute(self._protocol.tick(trio.current_time()))
            await trio.sleep(PERIOD_S)

    async def _flush(self) -> None:
        """Send new records in batches."""
        while True:
            await self._has_news.wait()
            await trio.sleep(broadcasts.BATCH_S)
            self._has_news = trio.Event()
            self._execute(self._protocol.flush(trio.current_time()))
