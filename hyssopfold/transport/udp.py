"""A UDP socket whose datagrams are sent and received without task switches."""

import collections
import errno
import logging
import socket

import trio

from hyssopfold import errors
from hyssopfold import logs

logger = logging.getLogger(__name__)

Datagram = tuple[bytes, tuple[str, int]]

_RECEIVE_BYTES = 65_536
# Datagrams that are received before other tasks of the process run again.
_MAX_BATCH = 64
_MAX_QUEUED = 4096


class DatagramSocket:
    """Sends and receives the datagrams of an instance over IPv4.

    Datagrams are sent at once; those that the kernel does not accept are sent
    in order by `run`. Datagrams sent before `bind` are lost.
    """

    def __init__(self) -> None:
        self._sock: socket.socket | None = None
        self._queue: collections.deque[tuple[str, bytes]] = collections.deque()
        self._queue_filled = trio.Event()

    def bind(self, address: str) -> None:
        """Open the socket.

        Args:
            address: IP address and port.

        Raises:
            PortBusyError: if another process uses the address.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((host, int(port)))
        except OSError as exc:
            sock.close()
            if exc.errno == errno.EADDRINUSE:
                raise errors.PortBusyError(address) from exc
            raise
        self._sock = sock

    def close(self) -> None:
        """Close the socket."""
        sock, self._sock = self._sock, None
        if sock is not None:
            trio.lowlevel.notify_closing(sock)
            sock.close()

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost.

        Args:
            address: IP address and port.
            data: Content of the datagram.
        """
        if self._sock is None:
            return
        if self._queue or not _send(self._sock, address, data):
            self._enqueue(address, data)

    def _enqueue(self, address: str, data: bytes) -> None:
        if len(self._queue) >= _MAX_QUEUED:
            # As if lost by the network; a receiver that needs it asks again.
            logger.warning(logs.Event("datagram-dropped", to=address))
            return
        self._queue.append((address, data))
        self._queue_filled.set()

    async def run(self) -> None:
        """Send queued datagrams until cancelled."""
        assert self._sock is not None
        while True:
            await self._queue_filled.wait()
            await trio.lowlevel.wait_writable(self._sock)
            while self._queue and _send(self._sock, *self._queue[0]):
                self._queue.popleft()
            if not self._queue:
                self._queue_filled = trio.Event()

    async def receive(self) -> list[Datagram]:
        """Return the next received datagrams, at least one."""
        assert self._sock is not None
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            if datagrams := _receive(self._sock):
                return datagrams


def _receive(sock: socket.socket) -> list[Datagram]:
    datagrams: list[Datagram] = []
    while len(datagrams) < _MAX_BATCH:
        try:
            datagrams.append(sock.recvfrom(_RECEIVE_BYTES))
        except BlockingIOError:
            break
        except ConnectionError:
            # The kernel reports that no socket received an earlier datagram.
            continue
    return datagrams


def _send(sock: socket.socket, address: str, data: bytes) -> bool:
    """Send a datagram; return False if the kernel does not accept it now."""
    host, _, port = address.rpartition(":")
    try:
        # A host name would be looked up, which blocks.
        socket.inet_aton(host)
        sock.sendto(data, (host, int(port)))
    except BlockingIOError:
        return False
    except (OSError, ValueError, OverflowError) as exc:
        # ValueError and OverflowError: an instance announced an invalid
        # address.
        logger.debug(logs.Event("gossip-failed", to=address, error=exc))
    return True
