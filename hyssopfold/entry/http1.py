"""A client's HTTP/1.1 connection to a backend server, parsed by h11."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import socket
from typing import NamedTuple

import h11
import trio

from hyssopfold import http

# An answer or a body that makes no progress for this time is given up.
STALL_TIMEOUT_S = 60.0
# How often a blocked upload checks whether the server has already answered.
EARLY_ANSWER_CHECK_S = 0.25
# More answers 100 or 103 before the answer itself are a fault of the server.
MAX_INFORMATIONAL_ANSWERS = 100
# Events of an answer that may be handled before other tasks run.
_MAX_EVENTS_PER_TURN = 64
_MAX_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 100 * 1024


class LostError(Exception):
    """The connection of an attempt failed.

    How far the request got is tracked by the state machine of its attempts.
    """


class Request(NamedTuple):
    """A request to send to a backend server.

    `body` is None if the request has none.
    """

    method: str
    target: bytes
    headers: http.Headers
    body: AsyncIterator[bytes] | None


class Answer(NamedTuple):
    """An answer of which the head was read; `body` yields the parts as read."""

    status: int
    headers: http.Headers
    body: AsyncIterator[bytes]


class _AnsweredEarlyError(Exception):
    """The server stopped reading the request; its answer may have arrived."""


async def _always() -> bool:
    return True


class Connection:
    """One connection, which carries one request at a time.

    Args:
        sock: Connected non-blocking socket. The connection owns it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._is_idle = True
        self._may_send: Callable[[], Awaitable[bool]] = _always
        self._on_first_byte: Callable[[], None] | None = None

    def is_clean(self) -> bool:
        """Return whether it is open, idle, and has no unread bytes.

        Bytes after the end of an answer would be read as the beginning of the
        next request's answer.
        """
        return (
            self._is_idle
            and self._sock.fileno() >= 0
            and not self._parser.trailing_data[0]
            and not self._is_readable()
        )

    async def send(
        self,
        request: Request,
        on_first_byte: Callable[[], None],
        may_send: Callable[[], Awaitable[bool]] = _always,
    ) -> Answer:
        """Send a request and return its answer, of which the head was read.

        Args:
            request: The request.
            on_first_byte: Called once the first byte is passed to the network.
            may_send: Awaited just before that; returns whether the server may
                still get the request. The first part of the body may have taken
                seconds to come.

        Raises:
            LostError: when no answer began.
        """
        self._is_idle = False
        self._may_send = may_send
        self._on_first_byte = on_first_byte
        try:
            # A server that refuses an upload answers and stops reading.
            with contextlib.suppress(_AnsweredEarlyError):
                await self._send_request(request)
            head = await self._receive_head()
        except (OSError, trio.TooSlowError, h11.ProtocolError) as exc:
            raise LostError(describe(exc)) from exc
        return Answer(
            head.status_code, head.headers.raw_items(), self._body_parts()
        )

    def finish(self) -> None:
        """End the exchange after the complete answer.

        The connection is idle afterwards, unless the answer was incomplete or
        announced the close of the connection.
        """
        states = (self._parser.our_state, self._parser.their_state)
        if states == (h11.DONE, h11.DONE):
            self._parser.start_next_cycle()
            self._is_idle = True

    def close(self) -> None:
        """Close the connection."""
        if self._sock.fileno() >= 0:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    async def _send_request(self, request: Request) -> None:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        # The head is sent in one write with the first part of the body.
        unsent = self._parser.send(head) or b""
        if request.body is not None:
            async for part in request.body:
                unsent += self._parser.send(h11.Data(data=part)) or b""
                await self._write(unsent, has_body=True)
                unsent = b""
        unsent += self._parser.send(h11.EndOfMessage()) or b""
        await self._write(unsent, has_body=request.body is not None)

    async def _write(self, data: bytes, has_body: bool) -> None:
        view = memoryview(data)
        if self._on_first_byte is not None and not await self._may_send():
            raise LostError("the request may no longer be sent")
        deadline = trio.current_time() + STALL_TIMEOUT_S
        while view:
            if has_body and self._is_readable():
                raise _AnsweredEarlyError
            sent_bytes = await self._write_some(view)
            if sent_bytes:
                deadline = trio.current_time() + STALL_TIMEOUT_S
                self._record_sent()
            elif trio.current_time() >= deadline:
                raise trio.TooSlowError(
                    f"no byte accepted for {STALL_TIMEOUT_S:g} s"
                )
            view = view[sent_bytes:]

    def _record_sent(self) -> None:
        if self._on_first_byte is not None:
            self._on_first_byte()
            self._on_first_byte = None

    async def _write_some(self, view: memoryview) -> int:
        try:
            return self._sock.send(view)
        except BlockingIOError:
            with trio.move_on_after(EARLY_ANSWER_CHECK_S):
                await trio.lowlevel.wait_writable(self._sock)
        except OSError as exc:
            raise _AnsweredEarlyError from exc
        return 0

    async def _receive_head(self) -> h11.Response:
        informational_answers = 0
        while informational_answers <= MAX_INFORMATIONAL_ANSWERS:
            event = self._parser.next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self._receive()
            else:
                informational_answers += 1
        raise LostError(
            f"over {MAX_INFORMATIONAL_ANSWERS} informational answers"
        )

    async def _body_parts(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer in parts.

        Raises:
            LostError: when the answer ends early.
        """
        try:
            for number in itertools.count(1):
                event = self._parser.next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif event is h11.NEED_DATA:
                    await self._receive()
                else:
                    return
                if number % _MAX_EVENTS_PER_TURN == 0:
                    await trio.lowlevel.checkpoint()
        except (OSError, trio.TooSlowError, h11.ProtocolError) as exc:
            raise LostError(describe(exc)) from exc

    async def _receive(self) -> None:
        """Pass received bytes, or the end of the stream, to the parser."""
        data = self._receive_at_once()
        if data is not None:
            # If bytes always wait, this is where other tasks run.
            await trio.lowlevel.checkpoint()
        else:
            with trio.fail_after(STALL_TIMEOUT_S):
                while data is None:
                    await trio.lowlevel.wait_readable(self._sock)
                    data = self._receive_at_once()
        if not data and self._parser.their_state is h11.SEND_RESPONSE:
            raise ConnectionResetError("closed without an answer")
        self._parser.receive_data(data)

    def _receive_at_once(self) -> bytes | None:
        """Return received bytes, b"" at the end, or None if there are none."""
        try:
            return self._sock.recv(_MAX_READ_BYTES)
        except BlockingIOError:
            return None

    def _is_readable(self) -> bool:
        """Return whether bytes, the end of the stream or an error wait."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


def describe(exc: Exception) -> str:
    """Return the class and the message of an error."""
    return f"{type(exc).__name__} {exc}".strip()
