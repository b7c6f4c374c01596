"""One attempt at a backend server: send, and relay the answer as it comes."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import NamedTuple

import httpcore

from hyssopfold.core.attempts import attempt
from hyssopfold.core.membership import messages

CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 60.0

_HEADERS_STARTED = "http11.send_request_headers.started"


class Outgoing(NamedTuple):
    """A request as it goes to a backend server."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes] | None


class AttemptFailedError(Exception):
    """An attempt that brought no answer.

    Args:
        sent: How far the request may have got.
        reason: What happened.
    """

    def __init__(self, sent: attempt.Sent, reason: str) -> None:
        super().__init__(reason)
        self.sent = sent
        self.reason = reason


class Upstream:
    """Connections to the backend servers."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=256,
            keepalive_expiry=10.0,
        )  # fmt: skip

    @contextlib.asynccontextmanager
    async def send(
        self, server: messages.Server, outgoing: Outgoing, fresh: bool
    ) -> AsyncIterator[httpcore.Response]:
        """Yield the server's answer, its body still to be read.

        Args:
            server: Where to send.
            outgoing: What to send.
            fresh: Whether a new connection must be used.

        Raises:
            AttemptFailedError: when no answer began.
        """
        sent = attempt.Sent.NOT_SENT

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal sent
            if event == _HEADERS_STARTED:
                sent = attempt.Sent.MAYBE_SENT

        extensions = {
            "trace": trace,
            "timeout": {
                "connect": CONNECT_TIMEOUT_S,
                "read": IDLE_TIMEOUT_S,
                "write": IDLE_TIMEOUT_S,
                "pool": CONNECT_TIMEOUT_S,
            },
        }
        url = httpcore.URL(f"http://{server.address}")
        url.target = outgoing.target
        req = httpcore.Request(
            outgoing.method,
            url,
            headers=outgoing.headers,
            content=outgoing.body,
            extensions=extensions,
        )
        async with contextlib.AsyncExitStack() as stack:
            pool = self._pool
            if fresh:
                pool = await stack.enter_async_context(
                    httpcore.AsyncConnectionPool(max_connections=1)
                )
            try:
                answer = await pool.handle_async_request(req)
            except (httpcore.NetworkError, httpcore.TimeoutException,
                    httpcore.ProtocolError) as exc:  # fmt: skip
                reason = f"{type(exc).__name__} {exc}".strip()
                raise AttemptFailedError(sent, reason) from exc
            try:
                yield answer
            finally:
                await answer.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
