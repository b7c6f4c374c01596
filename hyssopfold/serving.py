"""HTTP connections of callers: limits, back-pressure, cuts and planned stops.

hypercorn parses and writes HTTP/1.1; the task of each connection is ours,
since its own stop closes kept-alive connections while a request may be under
way to us, and it neither limits connections nor tells a cut answer from a
whole one where the end of the connection is the end of the answer.
"""

from collections import Counter
import contextlib
import logging
import socket
import struct
from typing import Any
from typing import NamedTuple

import h11
import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.events
import hypercorn.protocol.h11
import hypercorn.trio.task_group
import hypercorn.trio.worker_context
import msgspec
import trio

from hyssopfold import logs

logger = logging.getLogger(__name__)


def _refusal(error: str, remedy: str) -> bytes:
    fields = {"error": error, "outcome": "not-run", "remedy": remedy}
    return msgspec.json.encode(fields)


MAX_READ_BYTES = 65_536
# Parts of a body that wait for the app; more would only be memory.
QUEUED_PARTS = 2
_REFUSED = {
    400: _refusal("bad-request", "send well-formed HTTP/1.1"),
    408: _refusal("too-slow", "send the whole request head at once"),
    431: _refusal("head-too-large", "send shorter headers or a shorter target"),
    501: _refusal("not-implemented", "use no transfer coding but chunked"),
}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Limits(NamedTuple):
    """What one caller may take; times are in seconds.

    `header_s` is the time for a whole request head, `idle_s` how long a
    connection may wait between requests, `stall_s` how long an upload or a
    download may make no progress, `linger_s` how long the rest of a request
    is read away after an early answer.
    """

    header_bytes: int = 16_384
    header_s: float = 10.0
    idle_s: float = 75.0
    stall_s: float = 60.0
    linger_s: float = 5.0
    connections: int = 10_000
    connections_per_caller: int = 1_000


class CutAnswerError(Exception):
    """An answer that has begun can't be made whole."""


class Listener:
    """Open connections of an app, and how they are brought to an end.

    Args:
        app: ASGI application.
        limits: What a caller may take.
    """

    def __init__(self, app: Any, limits: Limits) -> None:
        self.app = app
        self.limits = limits
        self.closing = False
        self.cfg = hypercorn.config.Config()
        self.cfg.accesslog = None
        self.cfg.errorlog = None
        self.cfg.include_server_header = False
        self.cfg.h11_max_incomplete_size = limits.header_bytes
        self.cfg.max_app_queue_size = QUEUED_PARTS
        self.cfg.keep_alive_max_requests = 1 << 62
        self.context = hypercorn.trio.worker_context.WorkerContext(None)
        self._open: set[Connection] = set()
        self._by_caller: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def requests(self) -> int:
        """Return the number of requests under way."""
        return sum(conn.busy for conn in self._open)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        caller = _caller_of(stream)
        mine = self._by_caller[caller]
        full = len(self._open) >= self.limits.connections
        if full or mine >= self.limits.connections_per_caller:
            logger.warning(
                logs.Event("connection-refused", caller=caller, open=mine)
            )
            await trio.aclose_forcefully(stream)
            return
        conn = Connection(self, stream)
        self._open.add(conn)
        self._by_caller[caller] += 1
        try:
            await conn.run()
        finally:
            self._open.discard(conn)
            self._by_caller[caller] -= 1
            if not self._by_caller[caller]:
                del self._by_caller[caller]

    def close_after_answers(self) -> None:
        """Say `connection: close` on each answer from now on.

        A caller may write its next request at any moment on a connection
        that it believes open; closing it then loses a request that nobody
        can prove unsent. Said first, the caller opens another one.
        """
        self.closing = True
        self.cfg.keep_alive_max_requests = 0

    def close_idle(self, idle_s: float, now: float) -> None:
        """Close the connections without a request for `idle_s` seconds."""
        for conn in list(self._open):
            if conn.is_idle() and conn.idle_since + idle_s <= now:
                conn.end()

    def cut_all(self) -> None:
        """Close every connection, whatever is under way on it."""
        for conn in list(self._open):
            conn.end()

    async def sweep(self) -> None:
        """Close connections that are idle for too long, for ever."""
        while True:
            await trio.sleep(min(1.0, self.limits.idle_s / 4))
            self.close_idle(self.limits.idle_s, trio.current_time())


class _Parser(h11.Connection):
    """h11, but for who decides when `100 Continue` goes out."""

    @property
    def they_are_waiting_for_100_continue(self) -> bool:
        """Return False: the connection sends it when the app reads.

        hypercorn would ask for the body of a request that may be refused.
        """
        return False


class _Protocol(hypercorn.protocol.h11.H11Protocol):
    """HTTP/1.1 of hypercorn, without its switches to other protocols."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Stay with HTTP/1.1, whatever `upgrade` or `PRI` asks for."""

    async def _create_stream(self, request: h11.Request) -> None:
        headers = request.headers
        kept = [(name, value) for name, value in headers if name != b"upgrade"]
        if len(kept) < len(headers):
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=kept,
                http_version=request.http_version,
            )
        await super()._create_stream(request)

    async def _send_error_response(self, status_code: int) -> None:
        body = _REFUSED.get(status_code, _REFUSED[400])
        # Once the app has the request, a part of it may be at a server.
        outcome = b"not-run" if self.stream is None else b"unknown"
        body = body.replace(b'"not-run"', b'"' + outcome + b'"')
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"hyssop-outcome", outcome),
            (b"connection", b"close"),
        ]
        head = h11.Response(status_code=status_code, headers=headers)
        await self._send_h11_event(head)
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())


class Connection:
    """One connection of a caller.

    Args:
        listener: What it belongs to.
        stream: The connection, owned from now on.
    """

    def __init__(self, listener: Listener, stream: trio.SocketStream) -> None:
        self._listener = listener
        self._limits = listener.limits
        self._stream = stream
        self._send_lock = trio.Lock()
        self._group = hypercorn.trio.task_group.TaskGroup()
        self._scope = trio.CancelScope()
        self._request_scope: trio.CancelScope | None = None
        self._request: _Request
        self._read_limit = trio.CancelScope()
        self._lingering = False
        self._linger_by = float("inf")
        self._ending = False
        self._cut = False
        self.idle_since = trio.current_time()
        self.busy = False
        self.holding = False
        self._held = b""

    async def run(self) -> None:
        """Read requests and run the app until the connection ends."""
        sock = self._stream.socket
        wrapped = hypercorn.app_wrappers.ASGIWrapper(self._run_app)
        try:
            self._protocol = _Protocol(
                wrapped,
                self._listener.cfg,
                self._listener.context,
                self._group,
                {},  # type: ignore[arg-type]
                False,
                sock.getpeername()[:2],
                sock.getsockname()[:2],
                self._on_event,
            )
            self._parser = _Parser(
                h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
            )
            self._protocol.connection = self._parser
            with self._scope:
                async with self._group:
                    await self._read()
        except OSError:
            pass
        finally:
            self._abort_if_cut()
            await trio.aclose_forcefully(self._stream)

    def end(self) -> None:
        """Close the connection now."""
        self._scope.cancel()

    def is_idle(self) -> bool:
        """Return whether no byte of a request has come on it."""
        if self.busy or self._parser.trailing_data[0]:
            return False
        sock = self._stream.socket
        # One that has just ended is closed, but not yet out of the set; to
        # ask its socket would fail, and end the listener with all others.
        return sock.fileno() >= 0 and not sock.is_readable()

    async def _read(self) -> None:
        head_by = float("inf")
        while True:
            head_by = self._head_deadline(head_by)
            with trio.move_on_at(self._read_by(head_by)) as limit:
                self._read_limit = limit
                data = await self._receive()
            if limit.cancelled_caught or not data:
                break
            self.idle_since = trio.current_time()
            if self._lingering:
                continue
            await self._protocol.handle(hypercorn.events.RawData(bytes(data)))
        if limit.cancelled_caught and not self._lingering:
            await self._say_too_slow()
        # The caller has left or stalled: its request is cancelled, and with
        # it the connection to the backend server, which sees it close.
        if self._request_scope is not None:
            self._request_scope.cancel()
        if not self._lingering:
            await self._protocol.handle(hypercorn.events.Closed())
        else:
            self._scope.cancel()

    async def _receive(self) -> bytes | bytearray:
        count = MAX_READ_BYTES
        if self._parser.their_state is h11.IDLE:
            # h11 bounds only a head that is not whole yet; read no more than
            # shows it to be too long.
            held = len(self._parser.trailing_data[0])
            count = max(1, self._limits.header_bytes + 1 - held)
        try:
            return await self._stream.receive_some(count)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    def _head_deadline(self, head_by: float) -> float:
        parser = self._parser
        begun = bool(parser.trailing_data[0])
        if parser.their_state is not h11.IDLE or not begun:
            return float("inf")
        return min(head_by, trio.current_time() + self._limits.header_s)

    def _read_by(self, head_by: float) -> float:
        now = trio.current_time()
        if self._lingering:
            return self._linger_by
        if self._parser.their_state is h11.SEND_BODY:
            return now + self._limits.stall_s
        return head_by

    async def _say_too_slow(self) -> None:
        if self._parser.our_state is h11.IDLE:
            await self._protocol._send_error_response(408)

    async def _on_event(self, event: hypercorn.events.Event) -> None:
        match event:
            case hypercorn.events.RawData():
                if self.holding:
                    self._held += event.data
                else:
                    await self._write(event.data)
            case hypercorn.events.Closed():
                await self.flush()
                await self._close()
            case hypercorn.events.Updated():
                await self.flush()
                self.busy = not event.idle
                self.idle_since = trio.current_time()

    async def flush(self) -> None:
        """Write what was held back to leave in one piece."""
        self.holding = False
        if self._held:
            held, self._held = self._held, b""
            await self._write(held)

    async def _write(self, data: bytes) -> None:
        async with self._send_lock:
            try:
                with trio.fail_after(self._limits.stall_s):
                    await self._stream.send_all(data)
            except (
                trio.TooSlowError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                self._cut = True
                self._scope.cancel()

    async def _close(self) -> None:
        """Close after an answer; let an early one be read first.

        To close with bytes of the request unread makes the kernel send a
        reset, which can destroy the answer before the caller has read it.
        """
        parser = self._parser
        if self._request_scope is not None and not self._request.finished:
            self._request_scope.cancel()
        unread = parser.their_state in (h11.SEND_BODY, h11.ERROR)
        whole = parser.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        if not whole or not (unread or parser.trailing_data[0]):
            self._ending = True
            self._end_if_app_done()
            return
        self._lingering = True
        self._linger_by = trio.current_time() + self._limits.linger_s
        self._read_limit.deadline = self._linger_by
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._scope.cancel()

    def _end_if_app_done(self) -> None:
        if self._ending and self._request_scope is None:
            self._scope.cancel()

    def _abort_if_cut(self) -> None:
        """End a cut answer by a reset.

        The orderly end of a connection is the end of an answer without a
        length (to HTTP/1.0 callers): a cut one would pass for whole.
        """
        unfinished = self._parser.our_state is h11.SEND_BODY
        if not (self._cut or unfinished):
            return
        with contextlib.suppress(OSError):
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    async def _run_app(self, scope: Any, receive: Any, send: Any) -> None:
        request = _Request(self, scope, receive, send)
        self._request = request
        self._request_scope = trio.CancelScope()
        try:
            with self._request_scope:
                await self._listener.app(scope, request.receive, request.send)
            if request.started and not request.finished:
                self._cut_answer("cancelled")
        except CutAnswerError as exc:
            self._cut_answer(str(exc))
        except Exception:
            logger.exception(logs.Event("app-failed", path=scope["path"]))
            if request.started:
                self._cut_answer("app failed")
        finally:
            self._request_scope = None
            request.discard_rest()
            self._end_if_app_done()

    def _cut_answer(self, reason: str) -> None:
        logger.warning(logs.Event("answer-cut", reason=reason))
        self._cut = True
        self._scope.cancel()

    def spawn_discard(self, receive: Any) -> None:
        """Read away what is left of a request's body."""
        self._group.spawn(_discard, receive)

    async def ask_for_body(self) -> None:
        """Send `100 Continue` if the caller waits for it."""
        if self._parser.client_is_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._protocol._send_h11_event(head)


class _Request:
    """One request's ways in and out of the app."""

    def __init__(
        self, conn: Connection, scope: Any, receive: Any, send: Any
    ) -> None:
        self._conn = conn
        self._receive = receive
        self._send = send
        self._read = False
        self._discarding = False
        names = {name for name, _ in scope["headers"]}
        self._whole = not names & {b"content-length", b"transfer-encoding"}
        self.started = False
        self.finished = False

    async def receive(self) -> Any:
        if not self._read:
            self._read = True
            await self._conn.ask_for_body()
        message = await self._receive()
        if not message.get("more_body", False):
            self._whole = True
        return message

    async def send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            self.started = True
            # Head and body of a short answer are one write, not three.
            self._conn.holding = True
            if not self._whole:
                # The rest of the body won't be read: no more requests here.
                message["headers"] = [
                    *message["headers"],
                    (b"connection", b"close"),
                ]
        elif not message.get("more_body", False):
            self.finished = True
            self.discard_rest()
        await self._send(message)
        if message.get("more_body", False):
            await self._conn.flush()

    def discard_rest(self) -> None:
        """Keep the reader of the connection from waiting for the app.

        hypercorn's queue is bounded: with the app gone it would fill, and the
        connection would neither read nor end any more.
        """
        if not self._whole and not self._discarding:
            self._discarding = True
            self._conn.spawn_discard(self._receive)


async def _discard(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _caller_of(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return "unknown"
