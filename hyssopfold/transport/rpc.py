"""Unary gRPC calls between our processes, with a deadline on every call."""

from collections.abc import Awaitable
from collections.abc import Callable
import errno
import logging
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
from hyssopfold.transport import codec

logger = logging.getLogger(__name__)

_PREFIX = "/hyssopfold.v1.Peer/"


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
            try:
                req = await stream.recv_message()
            except msgspec.DecodeError as exc:
                # A peer that sends garbage is told so and dropped; the
                # message never reaches a decision.
                logger.warning(
                    logs.Event("bad-message", method=method.name, error=exc)
                )
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.INVALID_ARGUMENT, "not a message"
                ) from exc
            answer = await trio_asyncio.trio_as_aio(handler)(req)
            await stream.send_message(answer)

        return call


async def serve(
    address: str,
    handlers: dict[Method, Handler],
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
        codec=codec.MsgpackCodec(),
    )
    try:
        await trio_asyncio.aio_as_trio(server.start)(host, int(port))
    except OSError as exc:
        if exc.errno == errno.EADDRINUSE:
            raise errors.PortBusyError(address) from exc
        raise
    try:
        task_status.started()
        await trio.sleep_forever()
    finally:
        server.close()


class Client:
    """Calls to one peer over one kept connection.

    Args:
        address: IP number and port of the peer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._channel: grpclib.client.Channel | None = None

    async def call(self, method: Method, req: Any, timeout_s: float) -> Any:
        """Return the peer's answer.

        Raises:
            PeerUnavailableError: when no answer came within `timeout_s`.
        """
        channel = self._open()
        stub: Any = grpclib.client.UnaryUnaryMethod(
            channel, method.path, method.request, method.answer
        )
        try:
            return await trio_asyncio.aio_as_trio(stub)(req, timeout=timeout_s)
        except (
            OSError,  # includes TimeoutError
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
            msgspec.DecodeError,
        ) as exc:
            # A connection that timed out may have been forgotten by
            # something between the ends: it swallows all that is sent.
            # A new one is opened for the next call.
            self.close()
            detail = str(exc) or type(exc).__name__
            raise errors.PeerUnavailableError(self.address, detail) from exc

    def _open(self) -> grpclib.client.Channel:
        if self._channel is None:
            host, _, port = self.address.rpartition(":")
            self._channel = grpclib.client.Channel(
                host, int(port), codec=codec.MsgpackCodec()
            )
        return self._channel

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None
