"""A listener on loopback whose app does what each request's path says.

`/safe/NAME/MS/BYTES` may run beside others, `/once/NAME/MS/BYTES` may not; both
answer with NAME after MS thousandths of a second, padded to BYTES.
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
    """What a caller read: `end` is how the connection ended, if it did."""

    status: int
    body: bytes
    closes: bool


class Fixture:
    """The listener, and what its app saw.

    Args:
        limits: What a caller may take.
    """

    def __init__(self, limits=None):
        self.address = loopback.free_address()
        self.listener = serving.Listener(
            self._app,
            limits or serving.Limits(),
            lambda scope: scope["path"].startswith("/safe/"),
        )
        self.stop = trio.Event()
        self.started = []
        self.ended = []
        self.cancelled = []
        self.running = 0
        self.most = 0
        # With which others each request ran at the same time.
        self.beside = {}

    async def _app(self, scope, receive, send):
        kind, name, delay_ms, size = scope["path"].strip("/").split("/")
        under_way = {one for one in self.started if one not in self.ended}
        self.beside[name] = under_way
        for other in under_way:
            self.beside[other].add(name)
        self.started.append(name)
        self.running += 1
        self.most = max(self.most, self.running)
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
    async def running_here(self):
        """Run it."""
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
            WAIT_S,
            self.listener,
            task_status,
        )

    async def connect(self):
        """Return a new connection."""
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))


def head(path, method="GET", *fields):
    """Return a request without a body."""
    lines = [f"{method} {path} HTTP/1.1", "host: a", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def upload(path, body, chunked=False):
    """Return a request with a body."""
    if not chunked:
        return head(path, "POST", f"content-length: {len(body)}") + body
    data = head(path, "POST", "transfer-encoding: chunked")
    for at in range(0, len(body), 7):
        part = body[at : at + 7]
        data += b"%x\r\n%s\r\n" % (len(part), part)
    return data + b"0\r\n\r\n"


class Reader:
    """Read answers off a connection, in order.

    Args:
        stream: The connection.
    """

    def __init__(self, stream):
        self._stream = stream
        self._rest = b""
        self.end = ""

    async def next(self):
        """Return the next answer, or None when the connection ended."""
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
                    one == (b"connection", b"close") for one in event.headers
                )
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._rest = parser.trailing_data[0]
                return Answer(status, b"".join(parts), closes)
            elif isinstance(event, h11.ConnectionClosed):
                return None

    async def all(self):
        """Return the answers until the connection ends."""
        found = []
        while (answer := await self.next()) is not None:
            found.append(answer)
        return found

    async def _receive(self):
        try:
            data = await self._stream.receive_some(65_536)
        except trio.BrokenResourceError:
            self.end = "reset"
            return b""
        if not data:
            self.end = "end"
        return data
