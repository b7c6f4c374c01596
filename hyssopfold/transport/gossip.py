"""The task that owns the UDP socket and the directory of who is there."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import errno
import functools
import logging
import random
from typing import Any

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.attempts import quarantine
from hyssopfold.core.membership import broadcasts
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects as effects_module
from hyssopfold.core.membership import gossip_protocol
from hyssopfold.core.membership import messages
from hyssopfold.transport import auth
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import traffic

logger = logging.getLogger(__name__)

PERIOD_S = gossip_protocol.PERIOD_S
SPREAD_S = gossip_protocol.PROPAGATION_S
_RECEIVE_BYTES = 65_536
_KIND = "Datagram"
_QUEUE = 4096
_MAX_ADDRESSES = 2000
# What the bytes of messages are spent on, where that is not placement.
_PURPOSES: dict[type, str] = {quarantine.QuarantineUpdate: "quarantine"}


def _ignore(address: str, revision: int) -> None:
    """Take no note of a sender's revision."""


class Gossip:
    """Spread announcements between our processes, and carry placement.

    Args:
        myself: This instance, without its changing fields.
        seeds: UDP addresses of some other processes of ours.
        lease_s: Seconds after which a silent member is taken for gone.
        keyring: Seals what is sent and opens what comes.
        rng: Source of the choice of peers.
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
        # Told of each sender's revision: the address to ask, the revision.
        self.on_revision: Callable[[str, int], None] = _ignore
        self.directory = directory.Directory(lease_s)
        self._spread = functools.partial(
            gossip_protocol.GossipProtocol,
            myself,
            seeds,
            self.directory,
            lease_s,
            rng,
        )
        self._started: gossip_protocol.GossipProtocol | None = None
        self._outbox_in, self._outbox = trio.open_memory_channel[
            tuple[str, bytes]
        ](_QUEUE)
        # Messages that came, for the tasks that handle them: by their kind
        # for those that subscribed, and all others.
        self._inboxes: dict[
            type, trio.MemorySendChannel[datagram_wire.Parcel]
        ] = {}
        self._parcels_in, self.parcels = trio.open_memory_channel[
            datagram_wire.Parcel
        ](_QUEUE)
        # Kept beyond a lease: one that is silent may still be reached.
        self._addresses: dict[str, str] = {}
        self._news = trio.Event()
        self._traffic = traffic.Traffic(myself, self.directory)

    @property
    def _core(self) -> gossip_protocol.GossipProtocol:
        if self._started is None:
            self._started = self._spread(trio.current_time())
        return self._started

    def subscribe(
        self, kind: type
    ) -> trio.MemoryReceiveChannel[datagram_wire.Parcel]:
        """Return a channel on which messages of one kind come from now on."""
        inbox, parcels = trio.open_memory_channel[datagram_wire.Parcel](_QUEUE)
        self._inboxes[kind] = inbox
        return parcels

    def announce(self, server: messages.Server) -> None:
        """Take in what a backend server says of itself, to be spread."""
        self._carry(self._core.announce(server, trio.current_time()))

    def dismiss(self, server_id: str) -> None:
        """Take out a server that leaves without a word of its own."""
        self._carry(self._core.dismiss(server_id, trio.current_time()))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Look for others at these addresses from now on."""
        self._core.set_seeds(seeds)

    def update_self(self, **changes: Any) -> None:
        """Change what this instance says of itself from now on."""
        self._carry(self._core.update_self(trio.current_time(), **changes))

    @property
    def myself(self) -> messages.Instance:
        """Return this instance's own word."""
        return self._core.myself

    @property
    def highest_revision(self) -> int:
        """Return the highest revision that any sender has in force."""
        return self._core.highest_revision

    def live_instances(self) -> list[messages.Instance]:
        """Return the instances without those that may be dead.

        All of them when all others may be: then this one is cut off.
        """
        now = trio.current_time()
        known = list(self.directory.instances.records())
        live = [
            one for one in known if not self._core.is_suspect(one.name, now)
        ]
        return live if len(live) > 1 else known

    @property
    def sent_bytes(self) -> Mapping[tuple[str, str], int]:
        """Return the bytes of datagrams sent, by purpose and distance."""
        return self._traffic.sent_bytes

    @property
    def ready(self) -> bool:
        """Return whether it is known who is there."""
        return self._core.ready(trio.current_time())

    def post(self, name: str, message: datagram_wire.Message) -> None:
        """Send a message to a task of an instance; it may be lost."""
        self.post_all((name,), message)

    def post_all(
        self, names: Iterable[str], message: datagram_wire.Message
    ) -> None:
        """Send a message to a task of each instance; it may be lost."""
        sender = self._core.myself.name
        data = datagram_wire.encode_message(sender, message)
        purpose = _PURPOSES.get(type(message), "placement")
        for name in names:
            held = self.directory.instances.get(name)
            if held is not None and len(self._addresses) < _MAX_ADDRESSES:
                self._addresses[name] = held.gossip_address
            address = self._addresses.get(name)
            if address is not None:
                self._traffic.count(address, purpose, data)
                self._queue(address, data)

    def _queue(self, address: str, data: bytes) -> None:
        try:
            self._outbox_in.send_nowait((address, data))
        except trio.WouldBlock:
            # Lost like on the wire; whoever waits for it asks again.
            logger.warning(logs.Event("datagram-dropped", to=address))

    def _carry(self, effects: Iterable[effects_module.Effect]) -> None:
        datagram: messages.Datagram | None = None
        encoded: list[bytes] = []
        for effect in effects:
            if isinstance(effect, effects_module.Send):
                if effect.datagram is not datagram:
                    datagram = effect.datagram
                    encoded = datagram_wire.encode(datagram)
                for data in encoded:
                    self._traffic.count(effect.address, effect.purpose, data)
                    self._queue(effect.address, data)
            else:
                logger.info(logs.Event("member-changed", **effect._asdict()))
        if self._core.has_news:
            self._news.set()

    async def run(self) -> None:
        """Own the socket; send each period and take in what comes.

        Raises:
            PortBusyError: when another process holds the address.
        """
        address = self._core.myself.gossip_address
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        with sock:
            try:
                await sock.bind((host, int(port)))
            except OSError as exc:
                if exc.errno == errno.EADDRINUSE:
                    raise errors.PortBusyError(address) from exc
                raise
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send, sock)
                nursery.start_soon(self._tick)
                nursery.start_soon(self._flush)

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, sender = await sock.recvfrom(_RECEIVE_BYTES)
            except ConnectionError:
                # The kernel reports that an earlier datagram found no one.
                continue
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
        self, datagram: messages.Datagram | datagram_wire.Parcel
    ) -> None:
        """Take a datagram in; one that fails is left out.

        It goes to other instances too, and comes again after a restart: ending
        this task by it would end all of them.
        """
        try:
            if isinstance(datagram, messages.Datagram):
                self._take_in(datagram)
            else:
                self._deliver(datagram)
        except errors.InvariantError:
            raise
        except Exception:
            logger.exception(
                logs.Event("datagram-failed", sender=datagram.sender)
            )

    def _deliver(self, parcel: datagram_wire.Parcel) -> None:
        inbox = self._inboxes.get(type(parcel.message), self._parcels_in)
        try:
            inbox.send_nowait(parcel)
        except trio.WouldBlock:
            logger.warning(logs.Event("parcel-dropped", sender=parcel.sender))

    def _take_in(self, datagram: messages.Datagram) -> None:
        self._carry(self._core.receive(datagram, trio.current_time()))
        sender = self.directory.instances.get(datagram.sender)
        address = sender.rpc_address if sender is not None else ""
        self.on_revision(address, datagram.revision)

    async def _tick(self) -> None:
        while True:
            self._carry(self._core.tick(trio.current_time()))
            await trio.sleep(PERIOD_S)

    async def _flush(self) -> None:
        """Send news in batches."""
        while True:
            await self._news.wait()
            await trio.sleep(broadcasts.BATCH_S)
            self._news = trio.Event()
            self._carry(self._core.flush(trio.current_time()))

    async def _send(self, sock: trio.socket.SocketType) -> None:
        async for address, data in self._outbox:
            host, _, port = address.rpartition(":")
            sealed = self._keyring.seal(_KIND, data)
            try:
                await sock.sendto(sealed, (host, int(port)))
            except (OSError, ValueError, OverflowError) as exc:
                # The last two: what an instance tells as its address is none.
                logger.debug(logs.Event("gossip-failed", to=address, error=exc))
