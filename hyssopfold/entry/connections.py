"""Connections to backend servers: pooled, limited in number and in age."""

from collections import defaultdict
from collections.abc import Callable
import errno
import os
import socket

import trio

from hyssopfold import documents
from hyssopfold.core.membership import messages
from hyssopfold.entry import http1

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_S = 10.0
MAX_AGE_S = 300.0
# A middlebox may drop a connection from its table: bytes written to it are then
# never acknowledged. Without these timeouts the connection would hang for
# minutes.
USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 3
# A server closes a connection that was idle for the announced keep-alive time,
# by its own clock. The entry uses it only for this share of that time, so that
# the last request on it still arrives before the server closes it.
KEEP_ALIVE_SHARE = 0.7
_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


class NotOpenedError(Exception):
    """No connection could be opened, so nothing was sent."""


class RefusedError(NotOpenedError):
    """The address refuses connections: no process listens there."""


class Connection:
    """A connection to a backend server.

    Args:
        address: IP address and port of the server.
        sock: Connected non-blocking socket. The connection owns it.
        now: Monotonic time in seconds at which it was opened.

    Attributes:
        http: The HTTP/1.1 connection over the socket.
        max_idle_s: Seconds that it may be idle before the server may close it.
    """

    def __init__(self, address: str, sock: socket.socket, now: float) -> None:
        self.address = address
        self.opened_at = now
        self.last_used_at = now
        self.max_idle_s = MAX_IDLE_S
        self.http = http1.Connection(sock)

    def record_keep_alive(self, value: bytes) -> None:
        """Update the idle limit with the value of a `keep-alive` header."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.max_idle_s = min(
                    MAX_IDLE_S, int(number) * KEEP_ALIVE_SHARE
                )


class ConnectionPool:
    """The connections of an entry to all servers.

    Args:
        max_connections: Returns the number of connections that this entry may
            have to a server.
        proven_s: Seconds for which a connection counts as new after a complete
            answer, since it was alive at that time.
        connect_timeout_s: Seconds to wait for a new connection. Nothing is sent
            before, so the request can go to another server.
    """

    def __init__(
        self,
        max_connections: Callable[[messages.Server], int],
        proven_s: float = 0.0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._max_connections = max_connections
        self._proven_s = proven_s
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._counts: dict[str, int] = defaultdict(int)

    def count(self, address: str) -> int:
        """Return the number of connections to a server."""
        return self._counts[address]

    async def acquire(self, server: messages.Server, fresh: bool) -> Connection:
        """Return a connection to `server` for one request.

        Args:
            server: The server.
            fresh: Whether it must be new, or proved alive a short time ago.

        Raises:
            NotOpenedError: when no connection is available.
        """
        address = server.address
        idle = self._idle[address]
        now = trio.current_time()
        while idle and (not fresh or self._is_proven(idle[-1], now)):
            conn = idle.pop()
            if self._is_usable(conn, now):
                return conn
            self._close(conn)
        if self._counts[address] >= self._max_connections(server):
            if not idle:
                raise NotOpenedError("connection limit of the server reached")
            self._close(idle.pop(0))
        return await self._open(address)

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        now = trio.current_time()
        conn.last_used_at = now
        if self._is_usable(conn, now):
            self._idle[conn.address].append(conn)
        else:
            self._close(conn)

    def discard(self, conn: Connection) -> None:
        """Close a connection whose request was cancelled or failed."""
        self._close(conn)

    async def is_refused(self, address: str) -> bool:
        """Return whether an address currently refuses connections."""
        try:
            conn = await self._open(address)
        except RefusedError:
            return True
        except NotOpenedError:
            return False
        self._close(conn)
        return False

    async def sweep(self) -> None:
        """Close connections beyond their idle limit or age, until cancelled."""
        while True:
            await trio.sleep(MAX_IDLE_S / 4)
            now = trio.current_time()
            for address, idle in list(self._idle.items()):
                unusable = [
                    conn for conn in idle if not self._is_usable(conn, now)
                ]
                idle[:] = [conn for conn in idle if conn not in unusable]
                for conn in unusable:
                    self._close(conn)
                if not self._counts[address]:
                    del self._idle[address], self._counts[address]

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            while idle:
                self._close(idle.pop())

    def _is_proven(self, conn: Connection, now: float) -> bool:
        return now - conn.last_used_at < self._proven_s

    def _is_usable(self, conn: Connection, now: float) -> bool:
        is_idle_too_long = now - conn.last_used_at > conn.max_idle_s
        is_too_old = now - conn.opened_at > MAX_AGE_S
        return not is_idle_too_long and not is_too_old and conn.http.is_clean()

    async def _open(self, address: str) -> Connection:
        self._counts[address] += 1
        try:
            sock = await connect(address, self._connect_timeout_s)
        except BaseException:
            self._counts[address] -= 1
            raise
        return Connection(address, sock, trio.current_time())

    def _close(self, conn: Connection) -> None:
        self._counts[conn.address] -= 1
        conn.http.close()


async def connect(address: str, timeout_s: float) -> socket.socket:
    """Return a non-blocking socket that is connected to a server.

    Args:
        address: IP address and port.
        timeout_s: Seconds to wait.

    Raises:
        RefusedError: when the address refuses connections.
        NotOpenedError: when there is no connection for another reason.
    """
    if not documents.is_address(address):
        raise NotOpenedError(f"connect: {address!r} is no IP address and port")
    host, port = address.rsplit(":", 1)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family)
    try:
        sock.setblocking(False)
        for option in _OPTIONS:
            sock.setsockopt(*option)
        with trio.fail_after(timeout_s):
            await _connect(sock, (host.strip("[]"), int(port)))
    except BaseException as exc:
        sock.close()
        if isinstance(exc, ConnectionRefusedError):
            raise RefusedError(f"connect: {exc!r}") from exc
        if isinstance(exc, OSError | trio.TooSlowError):
            raise NotOpenedError(f"connect: {exc!r}") from exc
        raise
    return sock


async def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        # Python selects the class, such as ConnectionRefusedError, by number.
        raise OSError(error_number, os.strerror(error_number))
