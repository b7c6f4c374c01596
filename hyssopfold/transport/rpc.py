"""Unary gRPC calls between our processes, with a deadline on every call."""

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


def _heartbeats(period_s: float, always: bool) -> grpclib.config.Configuration:
    """Return a configuration with HTTP/2 pings.

    A connection that something between the ends has forgotten stays open for
    good: nothing tells either end. Pings find it within twice `period_s`;
    unless `always`, only while calls are under way.
    """
    return grpclib.config.Configuration(
        _keepalive_time=period_s,
        _keepalive_timeout=period_s,
        _keepalive_permit_without_calls=always,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=period_s / 2,
    )


class MessageTooLargeError(Exception):
    """A peer announced a message above the limit."""


_CALL_ERRORS = (
    OSError,  # includes TimeoutError
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    msgspec.DecodeError,
    MessageTooLargeError,
)


class Method(NamedTuple):
    """One call: its name and the types of its request and answer."""

    name: str
    request: type[Any]
    answer: type[Any]

    @property
    def path(self) -> str:
        """Return the path under which the method is served."""
        return _PREFIX + self.name


Handler = Callable[[Any], Awaitable[Any]]


class _Service:
    """Serve a table of methods to grpclib."""

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
            _limit(stream)
            try:
                req = await stream.recv_message()
            except (msgspec.DecodeError, MessageTooLargeError) as exc:
                _refuse(stream, method, exc)
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.INVALID_ARGUMENT, "not a message"
                ) from exc
            answer = await trio_asyncio.trio_as_aio(handler)(req)
            await stream.send_message(answer)

        return call


def _limit(stream: Any) -> None:
    """Refuse to read a message above the limit.

    A peer can announce a message of 4 GiB in its first five bytes; grpclib
    would gather all of it in memory before it looks at any. grpclib has no
    setting for this, hence the reach into its stream.
    """
    inner = stream._stream
    receive = inner.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > codec.MAX_MESSAGE_BYTES:
            raise MessageTooLargeError(f"{size} bytes announced")
        data: bytes = await receive(size)
        return data

    inner.recv_data = receive_bounded


def _refuse(stream: Any, method: Method, exc: Exception) -> None:
    """Log a message that could not be taken; drop a peer that sends rubbish.

    The message never reaches a decision. A well-formed message that does not
    fit its type comes from a program of another version, whose other
    messages may fit: it keeps its connection.
    """
    peer = stream.peer.addr()
    other_version = isinstance(exc, msgspec.ValidationError)
    logger.warning(
        logs.Event(
            "bad-message",
            method=method.name,
            peer=peer,
            error=exc,
            dropped=not other_version,
        )
    )
    if not other_version:
        stream._stream.connection.close()


async def serve(
    address: str,
    handlers: dict[Method, Handler],
    cfg: "ConnectionConfig",
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `handlers` on `address` until cancelled.

    Must run inside a trio-asyncio loop.

    Raises:
        PortBusyError: when another process holds the address.
    """
    host, _, port = address.rpartition(":")
    server = grpclib.server.Server(
        [_Service(handlers)],
        codec=codec.MsgpackCodec(cfg.keyring),
        # The serving end frees what a peer left behind, without haste.
        config=_heartbeats(_SERVER_HEARTBEAT_S, True),
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
    """Run an asyncio loop for grpclib, in which a stray error ends nothing.

    grpclib runs callbacks for each connection in this loop. By default
    trio-asyncio takes the whole process down when one of them fails, or when
    a channel is collected unclosed: what one peer did to its connection would
    end every caller's request.
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
    """What all connections of a process have in common."""

    keyring: auth.Keyring
    rng: random.Random
    heartbeat_s: float = HEARTBEAT_S
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


class _Connection:
    """One channel, and what is known of its life."""

    def __init__(self, address: str, cfg: ConnectionConfig) -> None:
        host, _, port = address.rpartition(":")
        self.heard_at = -math.inf
        self.calls = 0
        self.retired = False
        self.channel = grpclib.client.Channel(
            host,
            int(port),
            codec=codec.MsgpackCodec(cfg.keyring, self._hear),
            config=_heartbeats(cfg.heartbeat_s, False),
            ssl=cfg.client_tls,
        )

    def _hear(self) -> None:
        self.heard_at = trio.current_time()

    def retire(self) -> None:
        """Take no further calls; close after the last one under way."""
        self.retired = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close a retired connection that no call uses."""
        if self.retired and self.calls == 0:
            self.channel.close()


class Client:
    """Calls to one peer over one kept connection.

    Args:
        address: IP number and port of the peer.
        cfg: What all connections of this process have in common.
    """

    def __init__(self, address: str, cfg: ConnectionConfig) -> None:
        self.address = address
        self._cfg = cfg
        self._connection: _Connection | None = None
        self._calls = 0
        self._refusals = 0
        self._retry_at = -math.inf

    async def call(self, method: Method, req: Any, timeout_s: float) -> Any:
        """Return the peer's answer.

        Raises:
            PeerUnavailableError: when no answer came within `timeout_s`, or
                at once when too many calls wait, or the peer was just found
                to refuse connections.
        """
        began = trio.current_time()
        if self._calls >= MAX_CALLS:
            raise errors.PeerUnavailableError(self.address, "too many calls")
        if began < self._retry_at:
            raise errors.PeerUnavailableError(self.address, "connect back-off")
        conn = self._open()
        conn.calls += 1
        self._calls += 1
        try:
            answer = await _exchange(conn.channel, method, req, timeout_s)
            self._refusals = 0
            return answer
        except _CALL_ERRORS as exc:
            self._judge(conn, began, exc)
            detail = str(exc) or type(exc).__name__
            raise errors.PeerUnavailableError(self.address, detail) from exc
        finally:
            self._calls -= 1
            conn.calls -= 1
            conn.close_if_unused()

    def _judge(self, conn: _Connection, began: float, exc: Exception) -> None:
        """Decide whether a failed call speaks against its connection.

        Something between the ends may have forgotten the connection: it
        swallows all that is sent, and a call ends by its time-out. When the
        connection brought any answer since the call began it is alive, and
        only this call was slow. Else the next call opens a new one; calls
        under way on the old one may still be answered and are left alone.
        """
        if isinstance(exc, grpclib.exceptions.GRPCError):
            # The peer answered, if only to refuse.
            return
        if isinstance(exc, TimeoutError) and conn.heard_at > began:
            return
        if isinstance(exc, OSError) and not isinstance(exc, TimeoutError):
            backoff_s = FIRST_BACKOFF_S * 2 ** min(self._refusals, 10)
            self._refusals += 1
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
        """Close the connection after the calls under way."""
        if self._connection is not None:
            self._connection.retire()
            self._connection = None


class Clients:
    """Clients to peers whose addresses are learned while running.

    Args:
        cfg: What all connections of this process have in common.
        max_clients: Most connections kept; the longest unused one is closed.
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
            oldest = next(iter(self._clients))
            self._clients.pop(oldest).close()
        return client


async def _exchange(
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
            _limit(stream)
            answer = await stream.recv_message()
        if answer is None:
            raise grpclib.exceptions.StreamTerminatedError("no answer")
        return answer

    return await trio_asyncio.aio_as_trio(call)()
