"""ASGI types and helpers shared by the daemons."""

from collections.abc import Awaitable
from collections.abc import Callable
import errno
import functools
from typing import Any
from typing import NamedTuple

import msgspec
import trio

from hyssopfold import certificates
from hyssopfold import errors
from hyssopfold import serving

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

MAX_BODY_BYTES = 4 * 1024 * 1024
BACKLOG = 1024
# A stop closes a kept-alive connection only when it has received nothing for
# longer than a request takes to arrive from any region.
IDLE_BEFORE_CLOSE_S = 0.5
FINISH_PERIOD_S = 0.05
# Longest time for which connections that wait are accepted at a stop.
ACCEPT_WAITING_S = 0.1


class Answer(NamedTuple):
    """A complete HTTP answer that a daemon sends itself."""

    status: int
    body: bytes
    content_type: bytes = b"application/json"
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Refusal(NamedTuple):
    """Why a request was not served, and what the caller can do.

    `error` is the reason, `outcome` says whether the request may have run.
    """

    status: int
    error: str
    outcome: str
    remedy: str
    retry_after_s: float


def path_as_sent(scope: Scope) -> str:
    """Return the path of a request without a query, its escapes undecoded."""
    raw_path: bytes = scope["raw_path"]
    return raw_path.decode("ascii")


def json_answer(value: Any, status: int = 200) -> Answer:
    """Return `value` as a JSON answer."""
    return Answer(status, msgspec.json.encode(value))


def refusal_answer(
    refusal: Refusal,
    retry_after: Callable[[float], bytes],
    outcome_header: bytes,
) -> Answer:
    """Return the answer to a caller whose request is refused.

    Args:
        refusal: Status, reason, outcome and remedy.
        retry_after: Formats seconds as the retry-after header's value.
        outcome_header: Name of the header for the outcome; empty for none.
    """
    body = msgspec.json.encode(
        {
            "error": refusal.error,
            "outcome": refusal.outcome,
            "remedy": refusal.remedy,
        }
    )
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if refusal.outcome == "not-run" or outcome_header:
        headers = ((b"retry-after", retry_after(refusal.retry_after_s)),)
    if outcome_header:
        headers += ((outcome_header, refusal.outcome.encode()),)
    return Answer(refusal.status, body, headers=headers)


def error_answer(exc: errors.HyssopError, status: int) -> Answer:
    """Return an error as a JSON answer to an operator or a backend server."""
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
    """Return the request's whole body, or None if it is cut or too long.

    Args:
        receive: ASGI receive function of the request.
        max_bytes: Largest body to accept.
    """
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
    """Acknowledge the ASGI server's startup and shutdown messages."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def serve(
    app: App,
    address: str,
    stop: trio.Event,
    grace_s: float | Callable[[], float],
    listener: serving.Listener | None = None,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    tls: certificates.ServerContext | None = None,
) -> None:
    """Serve `app` on `address` until `stop` is set.

    Args:
        app: ASGI application.
        address: IP address and port.
        stop: Set to stop accepting and to finish requests in flight.
        grace_s: Longest time in seconds to wait for requests in flight, or a
            function that returns it once `stop` is set.
        listener: Serves the connections; created here when left out.
        task_status: Started with the address once it is bound.
        tls: Context with the certificate to present, or None for plain HTTP.

    Raises:
        PortBusyError: when another process uses the address.
    """
    listener = listener or serving.Listener(app, serving.Limits())
    tcp_listeners = await listen(address)
    open_listeners: list[trio.abc.Listener[Any]] = [*tcp_listeners]
    if tls is not None:
        open_listeners = [
            certificates.TlsListener(plain, tls) for plain in tcp_listeners
        ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.sweep)
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    listener.serve,
                    open_listeners,
                    handler_nursery=nursery,
                )
            )
            task_status.started([address])
            await stop.wait()
            await _accept_waiting(tcp_listeners)
            accepting.cancel_scope.cancel()
        time_left_s = grace_s() if callable(grace_s) else grace_s
        await finish(listener, time_left_s)
        nursery.cancel_scope.cancel()


async def _accept_waiting(listeners: list[trio.SocketListener]) -> None:
    """Let the connections be accepted that wait for it.

    The kernel resets those that still wait when the socket is closed.
    """
    with trio.move_on_after(ACCEPT_WAITING_S):
        while any(listener.socket.is_readable() for listener in listeners):
            await trio.lowlevel.checkpoint()


async def listen(address: str) -> list[trio.SocketListener]:
    """Return listeners on `address`, an IP address and port.

    Raises:
        PortBusyError: when another process uses the address.
    """
    host, port = address.rsplit(":", 1)
    try:
        return await trio.open_tcp_listeners(
            int(port), host=host.strip("[]"), backlog=BACKLOG
        )
    except OSError as exc:
        if exc.errno == errno.EADDRINUSE:
            raise errors.PortBusyError(address) from exc
        raise


async def finish(listener: serving.Listener, grace_s: float) -> None:
    """Let the requests finish, for `grace_s` seconds at most.

    Args:
        listener: The listener, which accepts no more connections.
        grace_s: Longest time in seconds.
    """
    listener.drain()
    with trio.move_on_after(max(0.0, grace_s - serving.FINISH_S)):
        while listener.connections:
            listener.close_idle(IDLE_BEFORE_CLOSE_S, trio.current_time())
            await trio.sleep(FINISH_PERIOD_S)
    if listener.requests:
        await listener.finish("the time for the stop is over")
