"""Attempts at backend servers: sends a request and returns the answer."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from hyssopfold.core.membership import messages
from hyssopfold.entry import connections
from hyssopfold.entry import crash_checks
from hyssopfold.entry import http1


class AnswerStream(NamedTuple):
    """An answer of which the head was read, and its connection."""

    conn: connections.Connection
    answer: http1.Answer


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
        outgoing: http1.Request,
        fresh: bool,
        on_first_byte: Callable[[], None],
        may_send: Callable[[], Awaitable[bool]],
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
            may_send: Returns, just before that, whether the server may still
                get the request.

        Returns:
            The answer with its connection. Pass it to `finish` or `discard`.

        Raises:
            LostError: when no answer began.
        """
        try:
            conn = await self.pool.acquire(server, fresh)
        except connections.NotOpenedError as exc:
            raise http1.LostError(str(exc)) from exc
        try:
            answer = await conn.http.send(outgoing, on_first_byte, may_send)
        except BaseException:
            self.pool.discard(conn)
            raise
        return AnswerStream(conn, answer)

    def finish(self, answer_stream: AnswerStream) -> None:
        """Keep the connection of a complete answer if it can be reused."""
        answer_stream.conn.http.finish()
        for key, value in answer_stream.answer.headers:
            if key.lower() == b"keep-alive":
                answer_stream.conn.record_keep_alive(value)
        self.pool.release(answer_stream.conn)

    def discard(self, answer_stream: AnswerStream) -> None:
        """Close the connection of an answer that is not needed."""
        self.pool.discard(answer_stream.conn)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()
