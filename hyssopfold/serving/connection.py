"""One caller's connection: reads its requests, keeps their answers in order.

Each request has a parser of its own, which also writes its answer: requests
that may be repeated are read and served while earlier ones are not answered
yet. One task reads, each request is served by a task of its own, and only the
one whose answer is due writes.
"""

import collections
import contextlib
import logging
import socket
import struct
from typing import Any
from typing import Protocol

import h11
import trio

from hyssopfold import logs
from hyssopfold.serving import limits as limits_module
from hyssopfold.serving import pipelined_request

logger = logging.getLogger(__name__)

MAX_READ_BYTES = 65_536
# After an announced close: as long as requests that were on their way need to
# arrive. Closed with bytes unread, the kernel would reset the connection, and
# the caller might lose the answer that it has not read yet.
CLOSE_LINGER_S = 0.5
_NEVER = float("inf")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ListenerState(Protocol):
    """The listener, as a connection sees it."""

    app: Any
    limits: limits_module.Limits
    closing: bool

    def may_run_concurrently(self, scope: dict[str, Any]) -> bool:
        """Return whether a request may be served beside others."""


class Connection:
    """One connection of a caller.

    Args:
        listener: The listener that it belongs to.
        stream: The connection, owned from now on.
    """

    def __init__(
        self, listener: ListenerState, stream: trio.SocketStream
    ) -> None:
        self._listener = listener
        self._limits = listener.limits
        self._stream = stream
        self._send_lock = trio.Lock()
        self._scope = trio.CancelScope()
        self._group: trio.Nursery
        self._peers: pipelined_request.ConnectionEndpoints
        self.idle_since = trio.current_time()
        # Bytes that no parser has taken.
        self._held = bytearray()
        self._parser = self._new_parser()
        self._fed = 0
        self._head_by = _NEVER
        # The request whose head is read and that may not start yet.
        self._waiting: pipelined_request.PipelinedRequest | None = None
        # The request whose body is still being read.
        self._uploading: pipelined_request.PipelinedRequest | None = None
        # Requests started and not answered, in the order of their answers.
        self._turns: collections.deque[pipelined_request.PipelinedRequest] = (
            collections.deque()
        )
        self._running = 0
        # Whether no more requests are taken, and nobody is left to answer.
        self._last = False
        self._lingering = False
        self._linger_by = _NEVER
        self._read_limit = trio.CancelScope()
        self._arrived = trio.Event()
        self._drained = trio.Event()
        self._cut = False

    @property
    def requests(self) -> int:
        """Return the number of requests under way."""
        return len(self._turns)

    async def run(self) -> None:
        """Read requests and have them answered until the connection ends."""
        sock = self._stream.socket
        try:
            self._peers = pipelined_request.ConnectionEndpoints(
                sock.getpeername()[:2], sock.getsockname()[:2]
            )
            with self._scope:
                async with trio.open_nursery() as self._group:
                    await self._read()
        except OSError as exc:
            logger.debug(logs.Event("connection-lost", error=repr(exc)))
        finally:
            self._abort_if_cut()
            await trio.aclose_forcefully(self._stream)

    def end(self) -> None:
        """Close the connection now, and cancel what is under way on it."""
        self._scope.cancel()

    def is_idle(self) -> bool:
        """Return whether no byte of a request has come on it."""
        if self._running or self._waiting or self._held or self._fed:
            return False
        sock = self._stream.socket
        # One that has just ended is closed, but not yet out of the set; to
        # ask its socket would fail, and end the listener with all others.
        return sock.fileno() >= 0 and not sock.is_readable()

    # Reading.

    async def _read(self) -> None:
        while True:
            while len(self._held) >= self._limits.max_buffered_bytes:
                self._drained = trio.Event()
                await self._drained.wait()
            with trio.CancelScope(deadline=self._read_by()) as limit:
                self._read_limit = limit
                data = await self._receive()
            if limit.cancelled_caught:
                if self._lingering or self._uploading is not None:
                    break
                self._refuse(408)
                continue
            if not data:
                break
            self._take(data)
        # The caller has left or stalled: its requests are cancelled, and with
        # them the connections to backend servers, which see them close.
        self.end()

    async def _receive(self) -> bytes | bytearray:
        try:
            return await self._stream.receive_some(MAX_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            logger.debug(logs.Event("connection-lost", error=repr(exc)))
            return b""

    def _take(self, data: bytes | bytearray) -> None:
        self.idle_since = trio.current_time()
        if self._lingering or (self._last and self._uploading is None):
            # The caller is told that none of this is read.
            return
        self._held += data
        self._arrived.set()
        self._advance()

    def _read_by(self) -> float:
        if self._lingering:
            return self._linger_by
        if self._uploading is None:
            return self._head_by
        if self._waiting is not None:
            # A caller whose upload waits for its turn does not stall.
            return _NEVER
        return trio.current_time() + self._limits.stall_timeout_s

    # From bytes to requests.

    def _advance(self) -> None:
        """Start the requests that have come, as far as they may start."""
        while self._waiting is not None or self._parse():
            turn = self._waiting
            if turn is None or not self._may_start(turn):
                break
            self._waiting = None
            self._start(turn)
        self._read_limit.deadline = self._read_by()

    def _parse(self) -> bool:
        """Return whether the head of one more request is whole."""
        if self._last or self._uploading is not None:
            return False
        if not self._held and not self._fed:
            return False
        # h11 bounds only a head that is not whole yet: it gets no more than
        # shows one to be too long.
        room = self._limits.max_header_bytes + 1 - self._fed
        part = bytes(self._held[:room])
        del self._held[:room]
        self._fed += len(part)
        try:
            if part:
                self._parser.receive_data(part)
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint)
            return False
        if not isinstance(event, h11.Request):
            if self._head_by == _NEVER:
                now = trio.current_time()
                self._head_by = now + self._limits.header_timeout_s
            return False
        self._waiting = self._turn(event)
        return True

    def _turn(self, req: h11.Request) -> pipelined_request.PipelinedRequest:
        """Return the turn of a request whose head is read."""
        place = pipelined_request.PipelinePosition(
            trio.current_time(), len(self._turns)
        )
        scope = pipelined_request.asgi_scope(req, self._peers, place)
        turn = pipelined_request.PipelinedRequest(
            self, self._parser, scope, whole=_is_bodiless(req)
        )
        if turn.whole:
            self._parser.next_event()
            self._next_parser(turn)
        else:
            self._uploading = turn
        self._head_by = _NEVER
        return turn

    def _next_parser(self, turn: pipelined_request.PipelinedRequest) -> None:
        """Leave the turn's parser, with its request whole, for a new one."""
        rest, _ = turn.parser.trailing_data
        self._held[:0] = rest
        if not _may_follow(turn):
            self._last = True
        self._parser = self._new_parser()
        self._fed = 0

    def _new_parser(self) -> h11.Connection:
        most = self._limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=most)

    def _may_start(self, turn: pipelined_request.PipelinedRequest) -> bool:
        """Return whether a request may start beside those under way.

        One that may not be repeated starts once all before it are answered,
        and what stands behind it may be meant to see what it did. In a stop
        those under way are the last: only then the close, told with the last
        answer, tells the caller what was not read.
        """
        if not self._turns:
            return True
        if (
            self._listener.closing
            or len(self._turns) > self._limits.max_pipelined
        ):
            return False
        beside = self._listener.may_run_concurrently
        return beside(turn.scope) and beside(self._turns[-1].scope)

    def _start(self, turn: pipelined_request.PipelinedRequest) -> None:
        turn.place.started_at = trio.current_time()
        self._queue(turn)
        self._group.start_soon(self._serve, turn)
        self._drained.set()

    def _queue(self, turn: pipelined_request.PipelinedRequest) -> None:
        self._running += 1
        self._turns.append(turn)
        if self._turns[0] is turn:
            turn.front.set()

    def _refuse(self, status: int) -> None:
        """Answer what is no request in its place; take no more."""
        self._last = True
        self._held.clear()
        self._fed = 0
        self._head_by = _NEVER
        place = pipelined_request.PipelinePosition(
            trio.current_time(), len(self._turns)
        )
        scope = {
            "method": "GET",
            "extensions": {pipelined_request.PLACE: place},
        }
        turn = pipelined_request.PipelinedRequest(
            self, self._parser, scope, whole=False
        )
        self._queue(turn)
        self._group.start_soon(self._serve_refusal, turn, status)

    # Serving.

    async def _serve(self, turn: pipelined_request.PipelinedRequest) -> None:
        reason = "no whole answer"
        status = 500
        try:
            with turn.cancel_scope:
                await self._listener.app(turn.scope, turn.receive, turn.send)
        except limits_module.CutAnswerError as exc:
            reason, status = str(exc), 502
        except Exception:
            path = turn.scope["path"]
            logger.exception(logs.Event("app-failed", path=path))
        if not turn.finished:
            await self._replace(turn, turn.fault or status, reason)
        self._served()

    async def _serve_refusal(
        self, turn: pipelined_request.PipelinedRequest, status: int
    ) -> None:
        await turn.refuse(status, is_known=False)
        self._served()

    async def _replace(
        self, turn: pipelined_request.PipelinedRequest, status: int, reason: str
    ) -> None:
        """Answer for the app, or cut what has begun."""
        event = "answer-cut" if turn.begun else "answer-replaced"
        logger.warning(logs.Event(event, reason=reason, status=status))
        if turn.begun:
            self._cut = True
            self.end()
        else:
            await turn.refuse(status, is_known=True)

    def _served(self) -> None:
        self._running -= 1
        if not self._last or self._running:
            return
        if self._lingering:
            return
        self._lingering = True
        self._held.clear()
        self._drained.set()
        self._linger_by = trio.current_time() + self._linger_s()
        self._read_limit.deadline = self._linger_by
        self._group.start_soon(self._end_sending)

    def _linger_s(self) -> float:
        if self._uploading is not None:
            return self._limits.linger_timeout_s
        return min(CLOSE_LINGER_S, self._limits.linger_timeout_s)

    async def _end_sending(self) -> None:
        """Tell the caller that no more comes; what it still sends is dropped.

        Closed at once instead, with bytes of the caller unread, the kernel
        would reset the connection and could destroy the last answer.
        """
        async with self._send_lock:
            try:
                await self._stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                logger.debug(logs.Event("connection-lost", error=repr(exc)))
                self.end()

    # What turns ask for.

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer at the front."""
        async with self._send_lock:
            try:
                with trio.fail_after(self._limits.stall_timeout_s):
                    await self._stream.send_all(data)
            except (
                trio.TooSlowError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as exc:
                logger.debug(logs.Event("connection-lost", error=repr(exc)))
                self._cut = True
                self.end()
                await trio.lowlevel.checkpoint()

    async def feed(self, turn: pipelined_request.PipelinedRequest) -> None:
        """Give the turn's parser more of the body, once there is more."""
        while not self._held:
            self._arrived = trio.Event()
            await self._arrived.wait()
        turn.parser.receive_data(bytes(self._held))
        self._held.clear()
        self._drained.set()

    def body_read(self, turn: pipelined_request.PipelinedRequest) -> None:
        """Go on with the request behind an upload that is whole."""
        self._uploading = None
        self._next_parser(turn)
        self._advance()

    def closes_after(self, turn: pipelined_request.PipelinedRequest) -> bool:
        """Return whether the turn's answer is the connection's last.

        What was started behind it is answered first, so that the close stands
        behind the last of them.
        """
        if turn is not self._turns[-1]:
            return False
        if _may_follow(turn) and not self._listener.closing:
            return False
        self._last = True
        if self._waiting is not None:
            self._waiting = self._uploading = None
        return True

    def answered(self, turn: pipelined_request.PipelinedRequest) -> None:
        """Let the next answer leave, and the next request start."""
        self._turns.popleft()
        self.idle_since = trio.current_time()
        if self._turns:
            self._turns[0].front.set()
        self._advance()

    def _abort_if_cut(self) -> None:
        """End a cut answer by a reset.

        The orderly end of a connection is the end of an answer without a
        length (to HTTP/1.0 callers): a cut one would pass for whole.
        """
        unfinished = bool(self._turns) and self._turns[0].begun
        if not (self._cut or unfinished):
            return
        with contextlib.suppress(OSError):
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )


def _may_follow(turn: pipelined_request.PipelinedRequest) -> bool:
    """Return whether another request may follow a turn's on its connection.

    None may behind one that is not whole, asks for the close, or offers to
    switch to another protocol: what comes then might belong to that.
    """
    return turn.parser.their_state is h11.DONE


def _is_bodiless(req: h11.Request) -> bool:
    for name, value in req.headers:
        if name == b"transfer-encoding":
            return False
        if name == b"content-length" and int(value):
            return False
    return True
