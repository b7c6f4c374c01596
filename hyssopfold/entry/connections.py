"""Connections to backend servers: pooled, limited in number and in age."""

from collections import defaultdict
from collections.abc import Callable
import errno
import os
import select
import socket
from typing import Any

import httpcore
import trio

from hyssopfold.core.membership import messages

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
# How often a blocked upload checks whether the server has already answered.
EARLY_ANSWER_CHECK_S = 0.25
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


class Stream(httpcore.AsyncNetworkStream):
    """A network stream of httpcore that reports a request's first byte.

    Args:
        sock: The socket. The stream takes ownership of it.

    Attributes:
        on_first_byte: Called once the first byte of a request is passed to the
            network.
        body_follows: Whether the request has a body, so that the server may
            answer before its end.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.on_first_byte: Callable[[], None] | None = None
        self.body_follows = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return at most `max_bytes` received bytes, or b"" at the end."""
        try:
            data = _receive(self._sock, max_bytes)
            if data is None:
                with trio.fail_after(_timeout_s(timeout)):
                    data = await self._wait_and_receive(max_bytes)
            return data
        except trio.TooSlowError as exc:
            raise httpcore.ReadTimeout(f"no data for {timeout} s") from exc
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of `buffer`, unless the server has already answered.

        Raises:
            WriteError: when the connection failed, or the server answered
                before the request's end: httpcore then reads the answer.
            WriteTimeout: when no byte was accepted for `timeout` seconds.
        """
        view = memoryview(buffer)
        deadline = trio.current_time() + _timeout_s(timeout)
        while view:
            # A server that refuses an upload answers and stops reading.
            if self.body_follows and _is_readable(self._sock):
                raise httpcore.WriteError("answered before the request's end")
            sent_bytes = await self._write_some(view)
            if sent_bytes:
                deadline = trio.current_time() + _timeout_s(timeout)
                self._record_sent()
            elif trio.current_time() >= deadline:
                raise httpcore.WriteTimeout(f"no progress for {timeout} s")
            view = view[sent_bytes:]

    async def _write_some(self, view: memoryview) -> int:
        try:
            return self._sock.send(view)
        except BlockingIOError:
            with trio.move_on_after(EARLY_ANSWER_CHECK_S):
                await trio.lowlevel.wait_writable(self._sock)
        except OSError as exc:
            raise httpcore.WriteError(str(exc)) from exc
        return 0

    async def _wait_and_receive(self, max_bytes: int) -> bytes:
        while (data := _receive(self._sock, max_bytes)) is None:
            await trio.lowlevel.wait_readable(self._sock)
        return data

    def _record_sent(self) -> None:
        if self.on_first_byte is not None:
            self.on_first_byte()
            self.on_first_byte = None

    async def aclose(self) -> None:
        """Close the connection."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def get_extra_info(self, info: str) -> Any:
        """Return `is_readable`, the only key that httpcore uses."""
        if info != "is_readable":
            return None
        # A closed socket counts as readable, so that it is not reused.
        return self._sock.fileno() < 0 or _is_readable(self._sock)


class Connection:
    """A connection to a backend server.

    Args:
        address: IP address and port of the server.
        stream: The open stream.
        now: Monotonic time in seconds at which it was opened.

    Attributes:
        http: The HTTP/1.1 connection of httpcore.
        max_idle_s: Seconds that it may be idle before the server may close it.
    """

    def __init__(self, address: str, stream: Stream, now: float) -> None:
        self.address = address
        self.stream = stream
        self.opened_at = now
        self.last_used_at = now
        self.max_idle_s = MAX_IDLE_S
        host, port = address.rsplit(":", 1)
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)

    def record_keep_alive(self, value: bytes) -> None:
        """Update the idle limit with the value of a `keep-alive` header."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.max_idle_s = min(
                    MAX_IDLE_S, int(number) * KEEP_ALIVE_SHARE
                )

    def is_clean(self) -> bool:
        """Return whether it is open, idle, and has no unread bytes.

        Bytes after the end of an answer would be read as the beginning of the
        next request's answer. httpcore keeps such bytes in its parser and shows
        them in this private attribute only.
        """
        if not self.http.is_idle() or self.http.has_expired():
            return False
        return not self.http._h11_state.trailing_data[0]

    async def aclose(self) -> None:
        """Close the connection."""
        await self.http.aclose()


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
            await self._close(conn)
        if self._counts[address] >= self._max_connections(server):
            if not idle:
                raise NotOpenedError("connection limit of the server reached")
            await self._close(idle.pop(0))
        return await self._open(address)

    async def release(self, conn: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        now = trio.current_time()
        conn.last_used_at = now
        if self._is_usable(conn, now):
            self._idle[conn.address].append(conn)
        else:
            await self._close(conn)

    async def discard(self, conn: Connection) -> None:
        """Close a connection whose request was cancelled or failed."""
        await self._close(conn)

    async def is_refused(self, address: str) -> bool:
        """Return whether an address currently refuses connections."""
        try:
            conn = await self._open(address)
        except RefusedError:
            return True
        except NotOpenedError:
            return False
        await self._close(conn)
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
                    await self._close(conn)
                if not self._counts[address]:
                    del self._idle[address], self._counts[address]

    async def aclose(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            while idle:
                await self._close(idle.pop())

    def _is_proven(self, conn: Connection, now: float) -> bool:
        return now - conn.last_used_at < self._proven_s

    def _is_usable(self, conn: Connection, now: float) -> bool:
        is_idle_too_long = now - conn.last_used_at > conn.max_idle_s
        is_too_old = now - conn.opened_at > MAX_AGE_S
        return not is_idle_too_long and not is_too_old and conn.is_clean()

    async def _open(self, address: str) -> Connection:
        host, port = address.rsplit(":", 1)
        self._counts[address] += 1
        sock = None
        try:
            sock = socket.socket(
                socket.AF_INET6 if ":" in host else socket.AF_INET
            )
            sock.setblocking(False)
            for option in _OPTIONS:
                sock.setsockopt(*option)
            with trio.fail_after(self._connect_timeout_s):
                await _connect(sock, (host.strip("[]"), int(port)))
        except BaseException as exc:
            self._counts[address] -= 1
            if sock is not None:
                sock.close()
            if isinstance(exc, ConnectionRefusedError):
                raise RefusedError(f"connect: {exc!r}") from exc
            if isinstance(exc, OSError | trio.TooSlowError):
                raise NotOpenedError(f"connect: {exc!r}") from exc
            raise
        return Connection(address, Stream(sock), trio.current_time())

    async def _close(self, conn: Connection) -> None:
        self._counts[conn.address] -= 1
        with trio.CancelScope(shield=True):
            await conn.aclose()


def _timeout_s(timeout: float | None) -> float:
    return float("inf") if timeout is None else timeout


async def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        # The number selects the class of the error, as in ConnectionRefusedError.
        raise OSError(error_number, os.strerror(error_number))


def _receive(sock: socket.socket, max_bytes: int) -> bytes | None:
    """Return received bytes, b"" at the end, or None if there are none now."""
    try:
        return sock.recv(max_bytes)
    except BlockingIOError:
        return None


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
