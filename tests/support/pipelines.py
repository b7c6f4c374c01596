"""A listener on loopback whose app is controlled by the path of each request.

`/safe/NAME/MS/BYTES` may run concurrently with others, `/once/NAME/MS/BYTES`
may not. Both answer with NAME, padded to BYTES, after MS milliseconds.
"""

import contextlib
from typing import NamedTuple

import h11
import trio

from hyssopfold import http
from hyssopfold import serving
from tests.support import loopback

WAIT_S = 60.0


class Answer(NamedTuple):
    """An answer; `closes` is whether it announces the connection's close."""

    status: int
    body: bytes
    closes: bool


class ListenerFixture:
    """A listener and a record of the requests that its app received.

    Args:
        limits: Limits of the listener, by default the usual ones.
        stop_s: Longest duration of the listener's stop in seconds.
    """

    def __init__(self, limits=None, stop_s=WAIT_S):
        self._stop_s = stop_s
        self.address = loopback.free_address()
        self.listener = serving.Listener(
            self._app,
            limits or serving.Limits(),
            lambda scope: scope["path"].startswith("/safe/"),
        )
        self.stop = trio.Event()
        self.stopped = trio.Event()
        self.started = []
        self.ended = []
        self.cancelled = []
        self.running = 0
        self.max_running = 0
        # For each request the names of those that ran concurrently.
        self.concurrent_with = {}

    async def _app(self, scope, receive, send):
        kind, name, delay_ms, size = scope["path"].strip("/").split("/")
        unfinished = {
            started for started in self.started if started not in self.ended
        }
        self.concurrent_with[name] = unfinished
        for other in unfinished:
            self.concurrent_with[other].add(name)
        self.started.append(name)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            body = await http.read_body(receive) or b""
            await trio.sleep(int(delay_ms) / 1000)
            await self._answer(kind, name, int(size), body, send)
        except trio.Cancelled:
            self.cancelled.append(name)
            raise
        finally:
            self.running -= 1
            self.ended.append(name)

    async def _answer(self, kind, name, size, body, send):
        if name.startswith("broken"):
            raise ValueError("the app is broken")
        text = f"{name}:".encode() + body
        text += b"." * (size - len(text))
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        if name.startswith("cut"):
            raise serving.CutAnswerError("the server died")
        half = len(text) // 2
        if name.startswith("parts"):
            part = {"body": text[:half], "more_body": True}
            await send({"type": "http.response.body", **part})
            text = text[half:]
        await send({"type": "http.response.body", "body": text})

    @contextlib.asynccontextmanager
    async def running_listener(self):
        """Run the listener."""
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(self._serve)
                try:
                    yield self
                finally:
                    nursery.cancel_scope.cancel()

    async def _serve(self, task_status):
        await http.serve(
            self._app,
            self.address,
            self.stop,
            self._stop_s,
            self.listener,
            task_status,
        )
        self.stopped.set()

    async def connect(self):
        """Return a new connection."""
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))


def request_without_body(path, method="GET", *fields):
    """Return a request without a body."""
    lines = [f"{method} {path} HTTP/1.1", "host: a", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def encode(text):
    """Return the requests of a pipeline, given as paths.

    `!close` after a path adds `connection: close` to its request.
    """
    data = b""
    for item in text.split():
        path, _, option = item.partition("!")
        method = "POST" if path.startswith("/once/") else "GET"
        fields = ["connection: close"] if option == "close" else []
        if method == "POST":
            fields.append("content-length: 0")
        data += request_without_body(path, method, *fields)
    return data


def request_with_body(path, body, chunked=False):
    """Return a request with a body."""
    if not chunked:
        return (
            request_without_body(path, "POST", f"content-length: {len(body)}")
            + body
        )
    data = request_without_body(path, "POST", "transfer-encoding: chunked")
    for offset in range(0, len(body), 7):
        part = body[offset : offset + 7]
        data += b"%x\r\n%s\r\n" % (len(part), part)
    return data + b"0\r\n\r\n"


class AnswerReader:
    """Reads the answers of a connection in order.

    Args:
        stream: The connection.

    Attributes:
        end: How the connection ended, `end` or `reset`; empty before.
    """

    def __init__(self, stream):
        self._stream = stream
        self._rest = b""
        self.end = ""

    async def next(self):
        """Return the next answer, or None at the end of the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method="GET", target="/", headers=[("host", "a")])
        )
        parser.send(h11.EndOfMessage())
        if self._rest:
            parser.receive_data(self._rest)
            self._rest = b""
        status, parts, closes = 0, [], False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive()
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
                closes = any(
                    header == (b"connection", b"close")
                    for header in event.headers
                )
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._rest = parser.trailing_data[0]
                return Answer(status, b"".join(parts), closes)
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def all(self):
        """Return all answers up to the end of the connection."""
        answers = []
        while (answer := await self.next()) is not None:
            answers.append(answer)
        return answers

    async def _receive(self):
        try:
            data = await self._stream.receive_some(65_536)
        except trio.BrokenResourceError:
            self.end = "reset"
            return b""
        if not data:
            self.end = "end"
        return data
