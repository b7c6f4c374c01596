"""Attempts at backend servers: sends a request and returns the answer."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import NamedTuple

import httpcore

from hyssopfold.core.membership import messages
from hyssopfold.entry import connections
from hyssopfold.entry import crash_checks

STALL_TIMEOUT_S = 60.0
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)
_TIMEOUTS = {"read": STALL_TIMEOUT_S, "write": STALL_TIMEOUT_S}


class OutgoingRequest(NamedTuple):
    """A request to send to a backend server."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes] | None


class AnswerStream(NamedTuple):
    """An answer of which the head was read, and its connection."""

    conn: connections.Connection
    answer: httpcore.Response


class LostError(Exception):
    """The connection of an attempt failed.

    How far the request got is tracked by the state machine of its attempts.
    """


class Upstream:
    """Sends the requests of an entry to backend servers.

    Args:
        pool: Connections to the servers.
        checks: Checks whether servers crashed when connections failed.
    """

    def __init__(
        self, pool: connections.ConnectionPool, checks: crash_checks.CrashChecks
    ) -> None:
        self.pool = pool
        self.checks = checks

    async def send(
        self,
        server: messages.Server,
        outgoing: OutgoingRequest,
        fresh: bool,
        on_first_byte: Callable[[], None],
    ) -> AnswerStream:
        """Send a request and return the answer, of which the head was read.

        After an error or a cancellation the connection is closed: the server
        sees that the request is cancelled, and no later request can read what
        is left on the connection.

        Args:
            server: The server.
            outgoing: The request.
            fresh: Whether the connection must be new, or proved alive a short
                time ago.
            on_first_byte: Called once the first byte is passed to the network.

        Returns:
            The answer with its connection. Pass it to `finish` or `discard`.

        Raises:
            LostError: when no answer began.
        """
        try:
            conn = await self.pool.acquire(server, fresh)
        except connections.NotOpenedError as exc:
            raise LostError(str(exc)) from exc
        try:
            answer = await _send_request(conn, server, outgoing, on_first_byte)
        except BaseException:
            await self.pool.discard(conn)
            raise
        return AnswerStream(conn, answer)

    async def finish(self, answer_stream: AnswerStream) -> None:
        """Keep the connection of a complete answer if it can be reused."""
        await answer_stream.answer.aclose()
        for key, value in answer_stream.answer.headers:
            if key.lower() == b"keep-alive":
                answer_stream.conn.record_keep_alive(value)
        await self.pool.release(answer_stream.conn)

    async def discard(self, answer_stream: AnswerStream) -> None:
        """Close the connection of an answer that is not needed."""
        await self.pool.discard(answer_stream.conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.pool.aclose()


async def _send_request(
    conn: connections.Connection,
    server: messages.Server,
    outgoing: OutgoingRequest,
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


async def body_parts(answer: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the body of an answer in parts.

    Raises:
        LostError: when the answer ends early.
    """
    try:
        async for part in answer.aiter_stream():
            yield part
    except _FAILURES as exc:
        raise LostError(describe(exc)) from exc


def describe(exc: Exception) -> str:
    """Return the class and the message of an error."""
    return f"{type(exc).__name__} {exc}".strip()
