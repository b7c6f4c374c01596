"""Unary gRPC calls between instances, each with a deadline."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import errno
import functools
import logging
import math
import random
import ssl
from typing import Any
from typing import NamedTuple

import grpclib.client
import grpclib.config
import grpclib.const
import grpclib.exceptions
import grpclib.server
import msgspec
import trio
import trio_asyncio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.transport import auth
from hyssopfold.transport import codec

logger = logging.getLogger(__name__)

_PREFIX = "/hyssopfold.v1.Peer/"

MAX_CALLS = 128
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
HEARTBEAT_S = 3.0

_SERVER_HEARTBEAT_S = 30.0


def _heartbeat_config(
    period_s: float, always: bool
) -> grpclib.config.Configuration:
    """Return a gRPC configuration with HTTP/2 pings.

    If a firewall between both ends drops the state of a connection, neither end
    notices and the connection stays open forever. Pings detect this within
    twice `period_s`.

    Args:
        period_s: Seconds between two pings, and the timeout of each.
        always: Whether to send pings also while no call is pending.
    """
    return grpclib.config.Configuration(
        _keepalive_time=period_s,
        _keepalive_timeout=period_s,
        _keepalive_permit_without_calls=always,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=period_s / 2,
    )


class MessageTooLargeError(Exception):
    """A peer announced a message longer than the limit."""


_CALL_ERRORS = (
    OSError,  # includes TimeoutError
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    msgspec.DecodeError,
    MessageTooLargeError,
)


class Method(NamedTuple):
    """An RPC method: its name and the types of its request and answer."""

    name: str
    request: type[Any]
    answer: type[Any]

    @property
    def path(self) -> str:
        """Return the path under which the method is served."""
        return _PREFIX + self.name


Handler = Callable[[Any], Awaitable[Any]]


class _Service:
    """The handlers of methods, in the form that grpclib serves."""

    def __init__(self, handlers: dict[Method, Handler]) -> None:
        self._handlers = handlers

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            method.path: grpclib.const.Handler(
                self._wrap(method, handler),
                grpclib.const.Cardinality.UNARY_UNARY,
                method.request,
                method.answer,
            )
            for method, handler in self._handlers.items()
        }

    def _wrap(self, method: Method, handler: Handler) -> Any:
        async def call(stream: Any) -> None:
            _limit_message_size(stream)
            try:
                req = await stream.recv_message()
            except (msgspec.DecodeError, MessageTooLargeError) as exc:
                _reject(stream, method, exc)
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.INVALID_ARGUMENT, "invalid message"
                ) from exc
            answer = await trio_asyncio.trio_as_aio(handler)(req)
            await stream.send_message(answer)

        return call


def _limit_message_size(stream: Any) -> None:
    """Make a stream raise `MessageTooLargeError` for a message above the limit.

    A peer can announce a message of 4 GiB in its first five bytes; grpclib
    would read all of it into memory before it decodes it. grpclib has no
    setting for a limit, so this replaces a method of its private stream.
    """
    inner = stream._stream
    receive = inner.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > codec.MAX_MESSAGE_BYTES:
            raise MessageTooLargeError(f"{size} bytes announced")
        data: bytes = await receive(size)
        return data

    inner.recv_data = receive_bounded


def _reject(stream: Any, method: Method, exc: Exception) -> None:
    """Log an invalid message; close the connection unless it is well-formed.

    The message never reaches a handler. A well-formed message of another type
    comes from a program of another version, whose other messages may be valid:
    its connection stays open.
    """
    peer = stream.peer.addr()
    is_well_formed = isinstance(exc, msgspec.ValidationError)
    logger.warning(
        logs.Event(
            "bad-message",
            method=method.name,
            peer=peer,
            error=exc,
            dropped=not is_well_formed,
        )
    )
    if not is_well_formed:
        stream._stream.connection.close()


async def serve(
    address: str,
    handlers: dict[Method, Handler],
    cfg: "ConnectionConfig",
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve methods until cancelled; must run inside `open_loop`.

    Args:
        address: IP address and port to listen on.
        handlers: The methods, each with the function that answers it.
        cfg: Configuration of this process's connections.
        task_status: Reports the start to `nursery.start`.

    Raises:
        PortBusyError: if another process uses the address.
    """
    host, _, port = address.rpartition(":")
    server = grpclib.server.Server(
        [_Service(handlers)],
        codec=codec.MsgpackCodec(cfg.keyring),
        # Frees connections that a peer abandoned; this is not urgent, hence the
        # longer period.
        config=_heartbeat_config(_SERVER_HEARTBEAT_S, True),
    )
    start = functools.partial(server.start, ssl=cfg.server_tls)
    try:
        await trio_asyncio.aio_as_trio(start)(host, int(port))
    except OSError as exc:
        if exc.errno == errno.EADDRINUSE:
            raise errors.PortBusyError(address) from exc
        raise
    try:
        task_status.started()
        await trio.sleep_forever()
    finally:
        server.close()


@contextlib.asynccontextmanager
async def open_loop() -> AsyncIterator[None]:
    """Run an asyncio loop for grpclib that logs errors of callbacks.

    grpclib runs callbacks for each connection in this loop. By default
    trio-asyncio ends the whole process when one of them fails, or when a
    channel is garbage-collected unclosed. A fault on the connection to one peer
    would then end the requests of all callers.
    """
    async with trio_asyncio.open_loop() as loop:
        loop.set_exception_handler(_log_stray_error)
        yield


def _log_stray_error(loop: Any, context: dict[str, Any]) -> None:
    logger.error(
        logs.Event(
            "stray-asyncio-error",
            message=context.get("message", ""),
            error=repr(context.get("exception")),
            remedy="report it with the lines before",
        )
    )


class ConnectionConfig(NamedTuple):
    """Configuration of all gRPC connections of a process.

    Attributes:
        keyring: Seals and verifies messages.
        rng: Draws the jitter of the back-off.
        heartbeat_s: Seconds between two pings of a client during calls.
        server_tls: TLS of the served address; None for plain connections.
        client_tls: TLS of connections to peers; None for plain connections.
    """

    keyring: auth.Keyring
    rng: random.Random
    heartbeat_s: float = HEARTBEAT_S
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


class _Connection:
    """One channel, its pending calls and the time of its last message."""

    def __init__(self, address: str, cfg: ConnectionConfig) -> None:
        host, _, port = address.rpartition(":")
        self.last_received_at = -math.inf
        self.pending_calls = 0
        self.retired = False
        self.channel = grpclib.client.Channel(
            host,
            int(port),
            codec=codec.MsgpackCodec(cfg.keyring, self._record_received),
            config=_heartbeat_config(cfg.heartbeat_s, False),
            ssl=cfg.client_tls,
        )

    def _record_received(self) -> None:
        self.last_received_at = trio.current_time()

    def retire(self) -> None:
        """Close the connection after its last pending call."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the connection if it is retired and has no pending call."""
        if self.retired and self.pending_calls == 0:
            self.channel.close()


class Client:
    """A client of one peer, which makes its calls over one connection.

    Args:
        address: IP address and port of the peer.
        cfg: Configuration of this process's connections.
    """

    def __init__(self, address: str, cfg: ConnectionConfig) -> None:
        self.address = address
        self._cfg = cfg
        self._connection: _Connection | None = None
        self._pending_calls = 0
        self._connect_failures = 0
        self._retry_at = -math.inf

    async def call(self, method: Method, req: Any, timeout_s: float) -> Any:
        """Return the peer's answer.

        Args:
            method: The method to call.
            req: The request, of the type of the method.
            timeout_s: Deadline of the call, in seconds.

        Raises:
            PeerUnavailableError: if no answer arrived within `timeout_s`; at
                once if `MAX_CALLS` calls are pending, or during the back-off
                after a failed connection.
        """
        began = trio.current_time()
        if self._pending_calls >= MAX_CALLS:
            raise errors.PeerUnavailableError(self.address, "too many calls")
        if began < self._retry_at:
            raise errors.PeerUnavailableError(self.address, "connect back-off")
        conn = self._open()
        conn.pending_calls += 1
        self._pending_calls += 1
        try:
            answer = await _call(conn.channel, method, req, timeout_s)
            self._connect_failures = 0
            return answer
        except _CALL_ERRORS as exc:
            self._handle_failure(conn, began, exc)
            detail = str(exc) or type(exc).__name__
            raise errors.PeerUnavailableError(self.address, detail) from exc
        finally:
            self._pending_calls -= 1
            conn.pending_calls -= 1
            conn.close_if_unused()

    def _handle_failure(
        self, conn: _Connection, began: float, exc: Exception
    ) -> None:
        """Replace the connection of a failed call if it may be dead.

        If a firewall between both ends drops the state of a connection, all
        packets are lost and calls end by their timeout. A connection that
        received any answer since the call began works, and only this call was
        slow. Otherwise the next call opens a new connection; pending calls
        on the old one may still be answered and are not cancelled.

        Args:
            conn: The connection of the call.
            began: Start of the call, in monotonic seconds.
            exc: The error of the call.
        """
        if isinstance(exc, grpclib.exceptions.GRPCError):
            # The peer answered with an error, so the connection works.
            return
        if isinstance(exc, TimeoutError) and conn.last_received_at > began:
            return
        if isinstance(exc, OSError) and not isinstance(exc, TimeoutError):
            backoff_s = FIRST_BACKOFF_S * 2 ** min(self._connect_failures, 10)
            self._connect_failures += 1
            jitter = self._cfg.rng.uniform(0.5, 1.0)
            now = trio.current_time()
            self._retry_at = now + min(backoff_s, MAX_BACKOFF_S) * jitter
        if self._connection is conn:
            self._connection = None
        if not conn.retired:
            logger.debug(
                logs.Event("connection-replaced", to=self.address, error=exc)
            )
            conn.retire()

    def _open(self) -> _Connection:
        if self._connection is None:
            self._connection = _Connection(self.address, self._cfg)
        return self._connection

    def close(self) -> None:
        """Close the connection after the pending calls."""
        if self._connection is not None:
            self._connection.retire()
            self._connection = None


class Clients:
    """Clients to peers whose addresses are discovered at run time.

    Args:
        cfg: Configuration of this process's connections.
        max_clients: Largest number of clients; beyond it the least recently
            used one is closed.
    """

    def __init__(self, cfg: ConnectionConfig, max_clients: int = 16) -> None:
        self._cfg = cfg
        self._max_clients = max_clients
        self._clients: dict[str, Client] = {}

    def client_for(self, address: str) -> Client:
        """Return the client to `address`."""
        client = self._clients.pop(address, None)
        if client is None:
            client = Client(address, self._cfg)
        self._clients[address] = client
        if len(self._clients) > self._max_clients:
            least_recent = next(iter(self._clients))
            self._clients.pop(least_recent).close()
        return client


async def _call(
    channel: grpclib.client.Channel,
    method: Method,
    req: Any,
    timeout_s: float,
) -> Any:
    stub: Any = grpclib.client.UnaryUnaryMethod(
        channel, method.path, method.request, method.answer
    )

    async def call() -> Any:
        async with stub.open(timeout=timeout_s) as stream:
            await stream.send_message(req, end=True)
            _limit_message_size(stream)
            answer = await stream.recv_message()
        if answer is None:
            raise grpclib.exceptions.StreamTerminatedError("no answer")
        return answer

    return await trio_asyncio.aio_as_trio(call)()
