"""The task that owns the UDP socket and the directory of who is there."""

import errno
import logging
from typing import Any

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.transport import datagram_wire

logger = logging.getLogger(__name__)

PERIOD_S = 1.0
_RECEIVE_BYTES = 65_536


class Gossip:
    """Spread announcements between our processes.

    Args:
        myself: This instance, without its changing fields.
        seeds: UDP addresses of some other processes of ours.
        lease_s: Seconds after which a silent member is taken for gone.
    """

    def __init__(
        self,
        myself: messages.Instance,
        seeds: tuple[str, ...],
        lease_s: float,
    ) -> None:
        self.directory = directory.Directory(lease_s)
        self.highest_revision = 0
        self._myself = myself
        self._seeds = seeds
        # Servers that announced themselves here since the last period.
        self._heard: dict[str, messages.Server] = {}

    def announce(self, server: messages.Server) -> None:
        """Take in what a backend server says of itself, to be spread."""
        now = trio.current_time()
        if self.directory.servers.update(server.server_id, server, now):
            self._heard[server.server_id] = server

    def update_self(self, **changes: Any) -> None:
        """Change what this instance says of itself from now on."""
        self._myself = self._myself._replace(**changes)

    @property
    def myself(self) -> messages.Instance:
        """Return this instance's own word."""
        return self._myself

    async def run(self) -> None:
        """Own the socket; send each period and take in what comes.

        Raises:
            PortBusyError: when another process holds the address.
        """
        address = self._myself.gossip_address
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

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, sender = await sock.recvfrom(_RECEIVE_BYTES)
            except ConnectionError:
                # The kernel reports that an earlier datagram found no one.
                continue
            try:
                datagram = datagram_wire.decode(data)
            except msgspec.DecodeError as exc:
                logger.warning(
                    logs.Event("bad-datagram", sender=sender, error=exc)
                )
                continue
            if isinstance(datagram, messages.Datagram):
                self._take_in(datagram)

    def _take_in(self, datagram: messages.Datagram) -> None:
        now = trio.current_time()
        self.directory.merge(datagram, now)
        self.highest_revision = max(self.highest_revision, datagram.revision)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            self._expire()
            await self._send_period(sock)
            await trio.sleep(PERIOD_S)

    def _expire(self) -> None:
        for word in self.directory.expire(trio.current_time()):
            name = (
                word.server_id
                if isinstance(word, messages.Server)
                else word.name
            )
            logger.warning(
                logs.Event("lease-ended", member=name, region=word.region)
            )

    async def _send_period(self, sock: trio.socket.SocketType) -> None:
        me = self._myself._replace(sequence=self._myself.sequence + 1)
        self._myself = me
        self.directory.instances.update(me.name, me, trio.current_time())
        heard = tuple(self._heard.values())
        self._heard.clear()
        datagram = messages.Datagram(me.name, me.revision, (me,), heard)
        known = {
            instance.gossip_address
            for instance in self.directory.instances.words()
        }
        targets = known.union(self._seeds) - {me.gossip_address}
        for data in datagram_wire.encode(datagram):
            for target in targets:
                host, _, port = target.rpartition(":")
                try:
                    await sock.sendto(data, (host, int(port)))
                except OSError as exc:
                    logger.debug(
                        logs.Event("gossip-failed", to=target, error=exc)
                    )
