"""A request on a caller's connection with HTTP/1.1 pipelining.

Requests of a connection may run concurrently. Their answers are written one
after another, in the order of the requests.
"""

import math
from typing import Any
from typing import NamedTuple
from typing import Protocol
import urllib.parse
import wsgiref.handlers

import h11
import trio

from hyssopfold.serving import ending
from hyssopfold.serving import refusals

# Keys of the extensions of a request's ASGI scope: its `PipelinePosition`, and
# the `Caller` of its connection.
PLACE = "hyssop.place"
CALLER = "hyssop.caller"
# Statuses of answers that have no body.
_BODILESS_STATUSES = (204, 304)


class PipelinePosition:
    """Position and times of a request on its connection.

    An entry uses it to log and measure how long a request waited for others.

    Attributes:
        arrived_at: Monotonic time in seconds at which the last bytes of the
            head arrived, whether or not they were read then.
        unread_s: Seconds for which the bytes that were read last then had
            waited in the socket.
        requests_ahead: Earlier requests that were unanswered at that time.
        started_at: Time at which the app was called.
        ready_at: Time at which the answer began to wait for earlier ones; if
            it did not wait, `arrived_at`.
        due_at: Time at which that wait ended; if it did not wait, `arrived_at`.
        answer_by: Time by which the answer has to be complete, since the
            connection is closed then.
        cut_by: Why the connection ended before the answer was complete; None
            while it has not.
    """

    def __init__(
        self, arrived_at: float, requests_ahead: int, unread_s: float = 0.0
    ) -> None:
        self.arrived_at = arrived_at
        self.unread_s = unread_s
        self.requests_ahead = requests_ahead
        self.started_at = arrived_at
        self.ready_at = arrived_at
        self.due_at = arrived_at
        self.answer_by = math.inf
        self.cut_by: ending.EndReason | None = None

    @property
    def behind_s(self) -> float:
        """Return the seconds that the request waited for earlier ones."""
        before_start_s = self.started_at - self.arrived_at
        return before_start_s + self.due_at - self.ready_at


class ConnectionEndpoints(NamedTuple):
    """Addresses of both ends of a connection, in ASGI's form."""

    client: tuple[str, int]
    server: tuple[str, int]


class Caller(Protocol):
    """What an app can ask about the caller of a request."""

    def has_input_ended(self) -> bool:
        """Return whether the caller is known to have ended its side."""

    def has_pipelined(self) -> bool:
        """Return whether several requests of the connection are unanswered."""

    async def confirm_waiting(self) -> None:
        """Return if the caller may still wait for the answer.

        A caller that has ended its side may have left. It is then asked, which
        takes a round trip; if it has left, the request is cancelled.
        """


class ConnectionWriter(Protocol):
    """The methods of a connection that its requests use."""

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer that is due."""

    async def feed_body(self, request: "PipelinedRequest") -> None:
        """Wait for more of a request's body and pass it to its parser."""

    def on_body_complete(self, request: "PipelinedRequest") -> None:
        """Record that a request's body is complete."""

    def closes_after(self, request: "PipelinedRequest") -> bool:
        """Return whether a request's answer is the last of the connection."""

    def on_answered(self, request: "PipelinedRequest") -> None:
        """Record that a request's answer was written."""


class PipelinedRequest:
    """A request of a connection, and its answer.

    The connection creates it; `receive` and `send` are the ASGI callables that
    the app gets.

    Args:
        writer: The connection.
        parser: Parser that read the head; it also encodes the answer.
        scope: ASGI scope of the request.
        body_complete: Whether the request has no body.

    Attributes:
        body_complete: Whether the body was read to its end.
        cancel_scope: Scope in which the app runs.
        answer_due: Set once all earlier answers are written.
        answer_begun: Whether bytes of the answer may have been written.
        answer_complete: Whether the app has sent the end of the answer.
        answer_finished: Whether the complete answer was written.
        error_status: Status with which to answer if the body is malformed,
            else 0.
    """

    def __init__(
        self,
        writer: ConnectionWriter,
        parser: h11.Connection,
        scope: dict[str, Any],
        body_complete: bool,
    ) -> None:
        self._writer = writer
        self.parser = parser
        self.scope = scope
        self.body_complete = body_complete
        self.cancel_scope = trio.CancelScope()
        self.answer_due = trio.Event()
        self.answer_begun = False
        self.answer_complete = False
        self.answer_finished = False
        self.error_status = 0
        self._start_message: dict[str, Any] | None = None
        self._is_answer_bodiless = False
        self._body_requested = False
        self._body_end_delivered = False

    @property
    def position(self) -> PipelinePosition:
        """Return the position of the request on its connection."""
        position: PipelinePosition = self.scope["extensions"][PLACE]
        return position

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body as an ASGI message."""
        if not self._body_requested:
            self._body_requested = True
            await self._send_continue()
        if not self.body_complete:
            return await self._read_body_part()
        if self._body_end_delivered:
            return await self._wait_for_disconnect()
        self._body_end_delivered = True
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _read_body_part(self) -> dict[str, Any]:
        try:
            while (event := self.parser.next_event()) is h11.NEED_DATA:
                await self._writer.feed_body(self)
        except h11.RemoteProtocolError as exc:
            self.error_status = exc.error_status_hint
            self.cancel_scope.cancel()
            await trio.sleep_forever()
        if isinstance(event, h11.Data):
            body = bytes(event.data)
            return {"type": "http.request", "body": body, "more_body": True}
        self.body_complete = True
        self._body_end_delivered = True
        self._writer.on_body_complete(self)
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _wait_for_disconnect(self) -> dict[str, Any]:
        if not self.answer_finished:
            # A disconnect of the caller cancels its requests.
            await trio.sleep_forever()
        return {"type": "http.disconnect"}

    async def _send_continue(self) -> None:
        """Send `100 Continue` if the caller expects it."""
        if self.parser.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self.parser.send(head))

    async def send(self, message: dict[str, Any]) -> None:
        """Write an ASGI message of the answer once the answer is due."""
        if message["type"] == "http.response.start":
            # Sent in one write with the first part of the body.
            self._start_message = message
            return
        if not message.get("more_body", False):
            self.answer_complete = True
        if not self.answer_due.is_set():
            self.position.ready_at = trio.current_time()
            await self.answer_due.wait()
            self.position.due_at = trio.current_time()
        if self.cancel_scope.cancel_called and not self.answer_begun:
            # A write that is cancelled half-way would cut the connection.
            await trio.lowlevel.checkpoint()
        data = self._encode_start() + self._encode_body(message)
        if data:
            await self._write(data)
        if not message.get("more_body", False):
            self.answer_finished = True
            self._writer.on_answered(self)

    def _encode_body(self, message: dict[str, Any]) -> bytes:
        data = b""
        body = message.get("body", b"")
        if body and not self._is_answer_bodiless:
            data = self.parser.send(h11.Data(data=body)) or b""
        if not message.get("more_body", False):
            data += self.parser.send(h11.EndOfMessage()) or b""
        return data

    def _encode_start(self) -> bytes:
        start_message, self._start_message = self._start_message, None
        if start_message is None:
            return b""
        self.answer_begun = True
        status = start_message["status"]
        self._is_answer_bodiless = (
            self.scope["method"] == "HEAD" or status in _BODILESS_STATUSES
        )
        headers = list(start_message.get("headers", ()))
        if not any(name == b"date" for name, _ in headers):
            headers.append((b"date", _http_date()))
        if self._writer.closes_after(self):
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=status, headers=headers)
        return self.parser.send(head) or b""

    async def _write(self, data: bytes | None) -> None:
        await self._writer.write(data or b"")

    async def refuse(self, status: int, reached_app: bool) -> None:
        """Answer with an error of the listener itself.

        Args:
            status: Status of the answer.
            reached_app: Whether the app got the request.
        """
        for message in refusals.messages(status, reached_app):
            await self.send(message)


def asgi_scope(
    head: h11.Request,
    endpoints: ConnectionEndpoints,
    position: PipelinePosition,
    caller: Caller,
) -> dict[str, Any]:
    """Return the ASGI scope of a request."""
    path, _, query = head.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"spec_version": "2.1", "version": "3.0"},
        "http_version": head.http_version.decode(),
        "method": head.method.decode("ascii").upper(),
        "scheme": "http",
        "path": urllib.parse.unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        # Upgrades are not supported, so the header is not forwarded.
        "headers": [
            header for header in head.headers if header[0] != b"upgrade"
        ],
        "client": endpoints.client,
        "server": endpoints.server,
        "extensions": {PLACE: position, CALLER: caller},
    }


def _http_date() -> bytes:
    return wsgiref.handlers.format_date_time(None).encode("ascii")
