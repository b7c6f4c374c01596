"""Server side of a stand-in's HTTP/1.1 connection, with faulty answers."""

from collections.abc import Callable
import socket
import struct
from typing import NamedTuple

import h11
import trio

Header = tuple[bytes, bytes]

MAX_READ_BYTES = 65_536
STRAY_OPEN_S = 5.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Faults of a server that does not run the request.
BEFORE_RUN = frozenset(
    ("shed", "shed-bare", "shed-other", "die-at-head", "reset-at-head", "early")
)
# Faults of a server that runs the request, then sends a faulty answer or none.
# The fault `hold` stops before the run: the request stays open without answer.
AFTER_RUN = frozenset(
    (
        "die",
        "reset",
        "crash",
        "silent",
        "late",
        "crossed",
        "stray",
        "cut-head",
        "cut-length",
        "cut-long",
        "cut-chunked",
        "cut-unframed",
        "unframed",
        "close-after",
        "hints",
        "unasked-101",
        "wrong-503",
        "hold",
    )
)
FAULTS = BEFORE_RUN | AFTER_RUN


class PeerGoneError(Exception):
    """The other end closed the connection."""


class Request(NamedTuple):
    """Head of a request."""

    method: str
    path: str
    headers: dict[bytes, bytes]

    @property
    def request_id(self) -> str:
        """Return the ID that the entry assigned to the request."""
        return self.headers.get(b"hyssop-request-id", b"").decode("latin-1")

    @property
    def key(self) -> str:
        """Return the caller's idempotency key."""
        return self.headers.get(b"idempotency-key", b"").decode("latin-1")


class Connection:
    """A connection whose requests are served one after the other.

    `sent` counts the body bytes of chunked answers.

    Args:
        stream: The TCP connection; closed by `aclose`.
        idle_s: Time without a request after which the connection ends.
    """

    def __init__(self, stream: trio.SocketStream, idle_s: float) -> None:
        self.stream = stream
        self._idle_s = idle_s
        self._http = h11.Connection(h11.SERVER)
        self._head_only = False
        self.sent = 0

    async def next_request(self) -> Request | None:
        """Return the next request's head, or None at the connection's end."""
        if self._http.our_state is h11.DONE:
            if self._http.their_state is not h11.DONE:
                return None
            self._http.start_next_cycle()
        with trio.move_on_after(self._idle_s):
            event = await self._next_event()
            if not isinstance(event, h11.Request):
                return None
            path = event.target.decode("latin-1")
            headers = {name: value for name, value in event.headers}
            self._head_only = event.method == b"HEAD"
            return Request(event.method.decode("ascii"), path, headers)
        return None

    async def read_body(self) -> int:
        """Read and discard the request's body; return its size in bytes.

        Raises:
            PeerGoneError: when the body is cut.
        """
        if self._http.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(head)
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return size
            else:
                raise PeerGoneError

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise PeerGoneError from exc
            if event is not h11.NEED_DATA:
                return event
            data = await self.stream.receive_some(MAX_READ_BYTES)
            self._http.receive_data(data)

    async def send(self, event: h11.Event) -> None:
        """Send a part of an answer."""
        data = self._http.send(event)
        if data:
            await self.stream.send_all(data)

    async def sleep_while_connected(self, seconds: float) -> None:
        """Sleep for the time of a run, unless the other end disconnects.

        Raises:
            PeerGoneError: when the other end disconnects.
        """
        if not seconds:
            await trio.lowlevel.checkpoint()
            return
        with trio.move_on_after(seconds):
            data = await self.stream.receive_some(MAX_READ_BYTES)
            if data:
                self._http.receive_data(data)
                await trio.sleep(seconds)
            else:
                raise PeerGoneError

    async def answer(
        self, status: int, body: bytes, headers: tuple[Header, ...]
    ) -> bool:
        """Send a whole answer; return whether another request may follow."""
        length = (b"content-length", str(len(body)).encode())
        head = h11.Response(status_code=status, headers=[*headers, length])
        await self.send(head)
        if not self._head_only:
            await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())
        return self._http.our_state is h11.DONE

    async def answer_chunked(self, size: int, echo: Header) -> bool:
        """Send an answer with a chunked body of `size` bytes."""
        coding = (b"transfer-encoding", b"chunked")
        await self.send(h11.Response(status_code=200, headers=[echo, coding]))
        while self.sent < size:
            part = b"a" * min(MAX_READ_BYTES, size - self.sent)
            await self.send(h11.Data(data=part))
            self.sent += len(part)
        await self.send(h11.EndOfMessage())
        return False

    def reset_on_close(self) -> None:
        """Make `aclose` reset the TCP connection instead of closing it."""
        self.stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)


async def send_faulty_refusal(
    conn: Connection, fault: str, echo: Header
) -> bool:
    """Send the faulty answer to a request that is not run, if any.

    Returns:
        Whether another request may follow on the connection.
    """
    not_run = (b"hyssop-outcome", b"not-run")
    match fault:
        case "shed-bare":
            await conn.read_body()
            return await conn.answer(503, b"", ())
        case "shed-other":
            await conn.read_body()
            other = (b"hyssop-request-id", b"other")
            return await conn.answer(503, b"", (other, not_run))
        case "early":
            await conn.answer(413, b"too large", (echo,))
            # Stops reading, like a server that rejects an upload.
            await trio.sleep(2)
        case "reset-at-head":
            conn.reset_on_close()
    return False


async def send_faulty_answer(
    conn: Connection, fault: str, body: bytes, echo: Header
) -> bool:
    """Send the faulty answer to a request that ran.

    Returns:
        Whether another request may follow on the connection.
    """
    if fault in _RAW_ANSWERS:
        await conn.stream.send_all(_RAW_ANSWERS[fault](body, echo[1]))
        if fault == "stray":
            # Stays open, as if it could be reused.
            await trio.sleep(STRAY_OPEN_S)
        return False
    other = (b"hyssop-request-id", b"0" * 32)
    match fault:
        case "late":
            return await conn.answer(200, body, (echo,))
        case "crossed":
            return await conn.answer(200, b"another's", (other,))
        case "wrong-503":
            return await conn.answer(503, body, (echo,))
        case "hints":
            link = [(b"link", b"</style.css>")]
            hints = h11.InformationalResponse(status_code=103, headers=link)
            await conn.send(hints)
            return await conn.answer(200, body, (echo,))
        case "reset":
            conn.reset_on_close()
    return False


def _head(status: bytes, request_id: bytes, *lines: bytes) -> bytes:
    echo = b"hyssop-request-id: " + request_id
    return b"\r\n".join((b"HTTP/1.1 " + status, echo, *lines, b"", b""))


def _with_length(body: bytes, request_id: bytes, extra: int = 0) -> bytes:
    length = b"content-length: %d" % (len(body) + extra)
    return _head(b"200 OK", request_id, length) + body


def _cut_chunked(body: bytes, request_id: bytes) -> bytes:
    coding = b"transfer-encoding: chunked"
    head = _head(b"200 OK", request_id, coding)
    return head + b"%x\r\n" % len(body) + body + b"\r\n"


_RAW_ANSWERS: dict[str, Callable[[bytes, bytes], bytes]] = {
    "cut-head": lambda body, rid: _with_length(body, rid)[:25],
    "cut-length": lambda body, rid: _with_length(body, rid, extra=10),
    "cut-long": lambda body, rid: _with_length(
        b"a" * 100_000, rid, extra=100_000
    ),
    "cut-chunked": _cut_chunked,
    "cut-unframed": lambda body, rid: _head(b"200 OK", rid) + body[:5],
    "unframed": lambda body, rid: _head(b"200 OK", rid) + body,
    "close-after": _with_length,
    "stray": lambda body, rid: (
        _with_length(body, rid)
        + b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nanother's"
    ),
    "unasked-101": lambda body, rid: _head(
        b"101 Switching Protocols",
        rid,
        b"upgrade: other",
        b"connection: upgrade",
    ),
}
