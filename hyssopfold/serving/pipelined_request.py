"""One request's turn on its connection: its body in, its answer out.

Requests of a connection may be served side by side; their answers leave whole
and in the order in which the requests came.
"""

from typing import Any
from typing import NamedTuple
from typing import Protocol
import urllib.parse
import wsgiref.handlers

import h11
import trio

from hyssopfold.serving import refusals

# Name of a turn's `PipelinePosition` among the extensions of an ASGI scope.
PLACE = "hyssop.place"
# Statuses of answers that have no body.
_BODILESS = (204, 304)


class PipelinePosition:
    """Where a request stood on its connection.

    `read_at` is when its head was whole, `ahead` how many requests before it
    were not answered then, `started_at` when it was handed on, `ready_at` when
    its answer began to wait for theirs, `written_at` when it began to leave.
    Times are monotonic, in seconds.
    """

    def __init__(self, read_at: float, ahead: int) -> None:
        self.read_at = read_at
        self.ahead = ahead
        self.started_at = read_at
        self.ready_at = read_at
        self.written_at = read_at

    @property
    def behind_s(self) -> float:
        """Return for how long the request stood behind others."""
        before = self.started_at - self.read_at
        return before + self.written_at - self.ready_at


class ConnectionEndpoints(NamedTuple):
    """Both ends of a connection, as ASGI names them."""

    client: tuple[str, int]
    server: tuple[str, int]


class ConnectionWriter(Protocol):
    """What a turn asks of its connection."""

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer at the front."""

    async def feed(self, turn: "PipelinedRequest") -> None:
        """Give the turn's parser more of the body, once there is more."""

    def body_read(self, turn: "PipelinedRequest") -> None:
        """Note that the turn's body is whole."""

    def closes_after(self, turn: "PipelinedRequest") -> bool:
        """Return whether the turn's answer is the connection's last."""

    def answered(self, turn: "PipelinedRequest") -> None:
        """Note that the turn's answer has left."""


class PipelinedRequest:
    """One request and its answer.

    Args:
        writer: The connection.
        parser: Read the request's head, and writes its answer.
        scope: The request as ASGI names it.
        whole: Whether the request has no body.
    """

    def __init__(
        self,
        writer: ConnectionWriter,
        parser: h11.Connection,
        scope: dict[str, Any],
        whole: bool,
    ) -> None:
        self._writer = writer
        self.parser = parser
        self.scope = scope
        self.whole = whole
        self.cancel_scope = trio.CancelScope()
        self.front = trio.Event()
        # Whether bytes of the answer may have left, and whether all have.
        self.begun = False
        self.finished = False
        # Status of our own to answer with, when the body can't be read.
        self.fault = 0
        self._start: dict[str, Any] | None = None
        self._is_bodiless = False
        self._asked_for_body = False
        self._told_end = False

    @property
    def place(self) -> PipelinePosition:
        """Return where the request stood on its connection."""
        place: PipelinePosition = self.scope["extensions"][PLACE]
        return place

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body, as ASGI asks for it."""
        if not self._asked_for_body:
            self._asked_for_body = True
            await self._say_continue()
        if not self.whole:
            return await self._next_part()
        if self._told_end:
            return await self._wait_for_end()
        self._told_end = True
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _next_part(self) -> dict[str, Any]:
        try:
            while (event := self.parser.next_event()) is h11.NEED_DATA:
                await self._writer.feed(self)
        except h11.RemoteProtocolError as exc:
            self.fault = exc.error_status_hint
            self.cancel_scope.cancel()
            await trio.sleep_forever()
        if isinstance(event, h11.Data):
            body = bytes(event.data)
            return {"type": "http.request", "body": body, "more_body": True}
        self.whole = True
        self._told_end = True
        self._writer.body_read(self)
        return {"type": "http.request", "body": b"", "more_body": False}

    async def _wait_for_end(self) -> dict[str, Any]:
        if not self.finished:
            # A caller that leaves cancels its requests.
            await trio.sleep_forever()
        return {"type": "http.disconnect"}

    async def _say_continue(self) -> None:
        """Send `100 Continue` if the caller waits for it."""
        if self.parser.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self.parser.send(head))

    async def send(self, message: dict[str, Any]) -> None:
        """Take a part of the answer; return once it has left."""
        if message["type"] == "http.response.start":
            # It leaves with the first part of the body, in one piece.
            self._start = message
            return
        if not self.front.is_set():
            self.place.ready_at = trio.current_time()
            await self.front.wait()
            self.place.written_at = trio.current_time()
        data = self._taken_start() + self._framed(message)
        if data:
            await self._write(data)
        if not message.get("more_body", False):
            self.finished = True
            self._writer.answered(self)

    def _framed(self, message: dict[str, Any]) -> bytes:
        data = b""
        body = message.get("body", b"")
        if body and not self._is_bodiless:
            data = self.parser.send(h11.Data(data=body)) or b""
        if not message.get("more_body", False):
            data += self.parser.send(h11.EndOfMessage()) or b""
        return data

    def _taken_start(self) -> bytes:
        start, self._start = self._start, None
        if start is None:
            return b""
        self.begun = True
        status = start["status"]
        self._is_bodiless = (
            self.scope["method"] == "HEAD" or status in _BODILESS
        )
        headers = list(start.get("headers", ()))
        if not any(name == b"date" for name, _ in headers):
            headers.append((b"date", _date()))
        if self._writer.closes_after(self):
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=status, headers=headers)
        return self.parser.send(head) or b""

    async def _write(self, data: bytes | None) -> None:
        await self._writer.write(data or b"")

    async def refuse(self, status: int, is_known: bool) -> None:
        """Answer with a refusal of ours, in the request's place."""
        for message in refusals.messages(status, is_known):
            await self.send(message)


def asgi_scope(
    req: h11.Request, endpoints: ConnectionEndpoints, place: PipelinePosition
) -> dict[str, Any]:
    """Return a request as ASGI names it."""
    path, _, query = req.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"spec_version": "2.1", "version": "3.0"},
        "http_version": req.http_version.decode(),
        "method": req.method.decode("ascii").upper(),
        "scheme": "http",
        "path": urllib.parse.unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        # What `upgrade` asks for is never done: nothing is to see it.
        "headers": [one for one in req.headers if one[0] != b"upgrade"],
        "client": endpoints.client,
        "server": endpoints.server,
        "extensions": {PLACE: place},
    }


def _date() -> bytes:
    return wsgiref.handlers.format_date_time(None).encode("ascii")
