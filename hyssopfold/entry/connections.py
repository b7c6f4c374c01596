"""Connections to backend servers: opened, proved live, bounded, closed."""

from collections import defaultdict
from collections.abc import Callable
import socket
from typing import Any

import httpcore
import trio

from hyssopfold.core.membership import messages

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_S = 10.0
MAX_AGE_S = 300.0
# Something between the two ends may forget a connection: what is written to
# it then is never acknowledged, and without these it would hang for minutes.
USER_TIMEOUT_MS = 3_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 3
# A server closes a connection that rested for the time it names, by its own
# clock; resting less here leaves room for the way of the next request.
KEEP_ALIVE_SHARE = 0.7
# How often a blocked upload looks whether the server has answered already.
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
    """No connection could be opened: nothing was sent."""


class RefusedError(NotOpenedError):
    """Nothing accepts connections at the address."""


class Stream(httpcore.AsyncNetworkStream):
    """A socket that knows whether any byte of a request left.

    Args:
        sock: The socket, owned from now on.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self.on_first_byte: Callable[[], None] | None = None
        self.body_follows = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what came, at most `max_bytes` bytes; none at the end."""
        try:
            with trio.fail_after(_timeout_s(timeout)):
                return await self._sock.recv(max_bytes)
        except trio.TooSlowError as exc:
            raise httpcore.ReadTimeout(f"nothing for {timeout} s") from exc
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of `buffer`, or stop when an answer is there already.

        Raises:
            WriteError: when the connection broke, or the server answered
                before the request's end: httpcore then reads the answer.
        """
        view = memoryview(buffer)
        deadline = trio.current_time() + _timeout_s(timeout)
        while view:
            # A server that refuses an upload answers, then reads no more.
            if self.body_follows and self._sock.is_readable():
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
            with trio.move_on_after(EARLY_ANSWER_CHECK_S):
                return await self._sock.send(view)
        except OSError as exc:
            raise httpcore.WriteError(str(exc)) from exc
        return 0

    def _record_sent(self) -> None:
        if self.on_first_byte is not None:
            self.on_first_byte()
            self.on_first_byte = None

    async def aclose(self) -> None:
        """Close the connection."""
        self._sock.close()

    def get_extra_info(self, info: str) -> Any:
        """Return `is_readable`, the one thing httpcore asks for."""
        if info != "is_readable":
            return None
        # A closed one counts as readable: it is not to be used again.
        return self._sock.fileno() < 0 or self._sock.is_readable()


class Connection:
    """One connection to a backend server.

    Args:
        address: IP number and port of the server.
        stream: The open socket.
        now: Time of opening.
    """

    def __init__(self, address: str, stream: Stream, now: float) -> None:
        self.address = address
        self.stream = stream
        self.opened_at = now
        self.last_used_at = now
        # How long it may rest before the server may close it.
        self.max_idle_s = MAX_IDLE_S
        host, port = address.rsplit(":", 1)
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)

    def record_keep_alive(self, value: bytes) -> None:
        """Take in how long the server keeps the connection, if it says so."""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.max_idle_s = min(
                    MAX_IDLE_S, int(number) * KEEP_ALIVE_SHARE
                )

    def is_clean(self) -> bool:
        """Return whether it is open, between requests, with nothing on it.

        A byte beyond an answer's end would be read as the beginning of the
        next request's answer. httpcore keeps such bytes in its parser, where
        only this attribute shows them.
        """
        if not self.http.is_idle() or self.http.has_expired():
            return False
        return not self.http._h11_state.trailing_data[0]

    async def aclose(self) -> None:
        """Close it."""
        await self.http.aclose()


class ConnectionPool:
    """Connections to all servers, each server's within a bound.

    Args:
        bound: Gives the connections that this entry may hold to a server.
        proven_s: Seconds for which a connection that brought a whole answer
            counts as new: it was alive so short a time ago.
        connect_s: Seconds to wait for a new connection. Nothing is sent
            before it is there, so what waits can go to another server.
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
        """Return the connections held to a server."""
        return self._counts[address]

    async def acquire(self, server: messages.Server, fresh: bool) -> Connection:
        """Return a connection to `server` for one request.

        Args:
            server: Where to.
            fresh: Whether it must be a new one, or one just proven alive.

        Raises:
            NotOpenedError: when none can be had.
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
                raise NotOpenedError("connections to the server are spent")
            await self._close(idle.pop(0))
        return await self._open(address)

    async def release(self, conn: Connection) -> None:
        """Keep a connection for the next request if nothing is left on it."""
        now = trio.current_time()
        conn.last_used_at = now
        if self._is_usable(conn, now):
            self._idle[conn.address].append(conn)
        else:
            await self._close(conn)

    async def discard(self, conn: Connection) -> None:
        """Close a connection whose request was cancelled or went wrong."""
        await self._close(conn)

    async def is_refused(self, address: str) -> bool:
        """Return whether nothing accepts connections at an address now."""
        try:
            conn = await self._open(address)
        except RefusedError:
            return True
        except NotOpenedError:
            return False
        await self._close(conn)
        return False

    async def sweep(self) -> None:
        """Close connections idle for too long, for ever."""
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
            sock = trio.socket.socket(
                socket.AF_INET6 if ":" in host else socket.AF_INET
            )
            for option in _OPTIONS:
                sock.setsockopt(*option)
            with trio.fail_after(self._connect_timeout_s):
                await sock.connect((host.strip("[]"), int(port)))
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
