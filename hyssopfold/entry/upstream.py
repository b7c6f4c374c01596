"""One attempt at a backend server: send, and hand out the answer's stream."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import NamedTuple

import httpcore

from hyssopfold.core.membership import messages
from hyssopfold.entry import connections
from hyssopfold.entry import crash_checks

STALL_S = 60.0
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)
_TIMEOUTS = {"read": STALL_S, "write": STALL_S}


class Outgoing(NamedTuple):
    """A request as it goes to a backend server."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes] | None


class Answering(NamedTuple):
    """An answer that has begun, and the connection that it comes on."""

    conn: connections.Connection
    answer: httpcore.Response


class LostError(Exception):
    """An attempt that broke; how far it got is known from its events."""


class Upstream:
    """Attempts at the backend servers.

    Args:
        pool: Keeps the connections.
        checks: Checks servers whose connections broke.
    """

    def __init__(
        self, pool: connections.ConnectionPool, checks: crash_checks.CrashChecks
    ) -> None:
        self.pool = pool
        self.checks = checks

    async def send(
        self,
        server: messages.Server,
        outgoing: Outgoing,
        fresh: bool,
        on_first_byte: Callable[[], None],
    ) -> Answering:
        """Return the server's answer, its body still to be read.

        A connection on which something went wrong, cancellation too, is
        closed: the server sees that nobody waits any more, and no later
        request can meet what is left on it.

        Args:
            server: Where to send.
            outgoing: What to send.
            fresh: Whether a new connection must be used.
            on_first_byte: Called before the server can have seen anything.

        Raises:
            LostError: when no answer began.
        """
        try:
            conn = await self.pool.acquire(server, fresh)
        except connections.NotOpenedError as exc:
            raise LostError(str(exc)) from exc
        try:
            answer = await _begin(conn, server, outgoing, on_first_byte)
        except BaseException:
            await self.pool.discard(conn)
            raise
        return Answering(conn, answer)

    async def finish(self, answering: Answering) -> None:
        """Keep the connection of an answer that is whole, if it is clean."""
        await answering.answer.aclose()
        for key, value in answering.answer.headers:
            if key.lower() == b"keep-alive":
                answering.conn.record_keep_alive(value)
        await self.pool.release(answering.conn)

    async def discard(self, answering: Answering) -> None:
        """Close the connection of an answer that nobody waits for."""
        await self.pool.discard(answering.conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.pool.aclose()


async def _begin(
    conn: connections.Connection,
    server: messages.Server,
    outgoing: Outgoing,
    on_first_byte: Callable[[], None],
) -> httpcore.Response:
    url = httpcore.URL(f"http://{server.address}")
    url.target = outgoing.target
    req = httpcore.Request(
        outgoing.method,
        url,
        headers=outgoing.headers,
        content=outgoing.body,
        extensions={"timeout": _TIMEOUTS},
    )
    conn.stream.on_first_byte = on_first_byte
    conn.stream.body_follows = outgoing.body is not None
    try:
        return await conn.http.handle_async_request(req)
    except _FAILURES as exc:
        raise LostError(describe(exc)) from exc


async def parts(answer: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield an answer's body.

    Raises:
        LostError: when it ends before it is whole.
    """
    try:
        async for part in answer.aiter_stream():
            yield part
    except _FAILURES as exc:
        raise LostError(describe(exc)) from exc


def describe(exc: Exception) -> str:
    """Return what happened in a few words."""
    return f"{type(exc).__name__} {exc}".strip()
