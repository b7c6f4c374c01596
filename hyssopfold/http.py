"""Small ASGI helpers shared by the daemons."""

from collections.abc import Awaitable
from collections.abc import Callable
import errno
import ssl
from typing import Any
from typing import NamedTuple

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from hyssopfold import certificates
from hyssopfold import errors

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

MAX_BODY_BYTES = 4 * 1024 * 1024


class Answer(NamedTuple):
    """A whole answer of ours."""

    status: int
    body: bytes
    content_type: bytes = b"application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Refusal(NamedTuple):
    """Why a request was not served, and what the caller can do."""

    status: int
    error: str
    outcome: str
    remedy: str
    retry_after_s: float


def json_answer(value: Any, status: int = 200) -> Answer:
    """Return `value` as a JSON answer."""
    return Answer(status, msgspec.json.encode(value))


def refusal_answer(refusal: Refusal) -> Answer:
    """Return the answer that tells a caller of a refusal."""
    body = msgspec.json.encode(
        {
            "error": refusal.error,
            "outcome": refusal.outcome,
            "remedy": refusal.remedy,
        }
    )
    wait = str(max(1, round(refusal.retry_after_s))).encode()
    outcome = refusal.outcome.encode()
    headers = ((b"retry-after", wait), (b"hyssop-outcome", outcome))
    return Answer(refusal.status, body, headers=headers)


def error_answer(exc: errors.HyssopError, status: int) -> Answer:
    """Return the answer that tells an operator of an error."""
    body = {"error": exc.kind, "summary": exc.summary, "remedy": exc.remedy}
    return json_answer(body, status)


async def send_answer(send: Send, answer: Answer, head: bool = False) -> None:
    """Send a whole answer; a HEAD request gets no body."""
    headers = [
        (b"content-type", answer.content_type),
        (b"content-length", str(len(answer.body)).encode()),
        *answer.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    body = b"" if head else answer.body
    await send({"type": "http.response.body", "body": body})


async def read_body(
    receive: Receive, max_bytes: int = MAX_BODY_BYTES
) -> bytes | None:
    """Return the request's whole body, or None when it is cut or too long."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            return None
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def accept_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop messages."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


class _Config(hypercorn.config.Config):
    """Settings of hypercorn that take a TLS context of ours."""

    def __init__(self, tls: certificates.Server | None) -> None:
        super().__init__()
        self._tls = tls

    @property
    def ssl_enabled(self) -> bool:
        """Return whether connections are encrypted."""
        return self._tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context whose certificate can be replaced."""
        if self._tls is None:
            return None
        self._tls.context.set_alpn_protocols(self.alpn_protocols)
        return self._tls.context


async def serve(
    app: App,
    address: str,
    stop: trio.Event,
    grace_s: float,
    tls: certificates.Server | None = None,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` on `address` until `stop` is set.

    Args:
        app: ASGI application.
        address: IP number and port.
        stop: Set to stop accepting and finish what is in flight.
        grace_s: Longest to wait for requests in flight.
        tls: Certificate to show, or None for plain HTTP.
        task_status: Told once the address is bound.

    Raises:
        PortBusyError: when another process holds the address.
    """
    cfg = _Config(tls)
    cfg.bind = [address]
    cfg.graceful_timeout = grace_s
    cfg.accesslog = None
    cfg.errorlog = None
    # Over TLS too, HTTP/1.1 alone is spoken.
    cfg.alpn_protocols = ["http/1.1"]
    cfg.include_server_header = False
    cfg.keep_alive_timeout = 75
    try:
        await hypercorn.trio.serve(
            app,  # type: ignore[arg-type]
            cfg,
            shutdown_trigger=stop.wait,
            task_status=task_status,
            mode="asgi",
        )
    except* OSError as group:
        for exc in _leaves(group):
            if isinstance(exc, OSError) and exc.errno == errno.EADDRINUSE:
                raise errors.PortBusyError(address) from exc
        raise


def _leaves(exc: BaseException) -> list[BaseException]:
    if isinstance(exc, BaseExceptionGroup):
        return [leaf for inner in exc.exceptions for leaf in _leaves(inner)]
    return [exc]
