"""A caller's HTTP/1.1 connection: reads requests, orders their answers.

Each request has its own parser, which also encodes its answer: requests that
may be repeated are read and served while earlier ones are still unanswered.
One task reads, a separate task serves each request, and only the task whose
answer is due writes.
"""

import collections
import logging
import os
from typing import Any
from typing import Protocol

import h11
import trio

from hyssopfold import logs
from hyssopfold.serving import ending
from hyssopfold.serving import limits as limits_module
from hyssopfold.serving import linger
from hyssopfold.serving import pipelined_request
from hyssopfold.serving import received
from hyssopfold.serving import tcp_info

logger = logging.getLogger(__name__)

MAX_READ_BYTES = 65_536
_NEVER = float("inf")
# Time between two looks whether a caller that has ended its side, or from which
# nothing is read at the moment, is gone.
_PROBE_PERIOD_S = 0.05
# Of an answer that can't be completed.
_CUT_STATUS = 502


class ListenerState(Protocol):
    """The attributes of a listener that its connections use."""

    app: Any
    limits: limits_module.Limits
    closing: bool
    closing_since: float
    draining: bool
    answer_by: float

    def may_run_concurrently(self, scope: dict[str, Any]) -> bool:
        """Return whether a request may run concurrently with others."""


class Connection:
    """A caller's connection to a listener, which creates and runs it.

    Args:
        listener: The listener that accepted the connection.
        stream: The accepted stream, which the connection owns and closes.

    Attributes:
        idle_since: Time at which bytes last arrived or an answer was complete.
    """

    def __init__(
        self, listener: ListenerState, stream: trio.SocketStream
    ) -> None:
        self._listener = listener
        self._limits = listener.limits
        self._stream = stream
        # A TLS stream has to encrypt what is written to its socket.
        self._is_plain = isinstance(stream, trio.SocketStream)
        self._send_lock = trio.Lock()
        self._cancel_scope = trio.CancelScope()
        self._nursery: trio.Nursery
        self._endpoints: pipelined_request.ConnectionEndpoints
        self._caller = "unknown"
        self.idle_since = trio.current_time()
        # Bytes that were read and not yet passed to a parser.
        self._unparsed = received.ReceivedBytes()
        self._parser = self._new_parser()
        # Seconds for which the bytes read last had waited in the socket.
        self._unread_s = 0.0
        # Bytes of the current head that were passed to the parser.
        self._parser_bytes = 0
        self._head_deadline = _NEVER
        # A request with a complete head that may not start yet.
        self._waiting_request: pipelined_request.PipelinedRequest | None = None
        # The request whose body is still being read.
        self._uploading_request: pipelined_request.PipelinedRequest | None = (
            None
        )
        # Started and unanswered requests, in the order of their answers.
        self._unanswered: collections.deque[
            pipelined_request.PipelinedRequest
        ] = collections.deque()
        self._running_requests = 0
        # Whether no further requests are accepted.
        self._is_closing = False
        # Once it has begun, input is only discarded.
        self._linger = linger.Linger(stream.socket, listener.limits)
        self._read_scope = trio.CancelScope()
        self._data_arrived = trio.Event()
        self._buffer_drained = trio.Event()
        self._is_cut = False
        # Whether the caller has reset the connection, or ended its side of it.
        self._is_reset = False
        self._is_input_ended = False
        # Whether the end of the input had been received, read or not, when bytes
        # were read last.
        self._is_end_received = False
        # Whether the caller is asked if it still waits; set once it answers.
        self._is_asked = False
        self._waiting_confirmed = trio.Event()
        self._end_reason: ending.EndReason | None = None
        # Bytes of the answer that is due that the socket accepted, and bytes
        # of input that were discarded after the last answer was announced.
        self._answer_bytes = 0
        self._discarded_bytes = 0

    @property
    def requests(self) -> int:
        """Return the number of started and unanswered requests."""
        return len(self._unanswered)

    async def run(self) -> None:
        """Read and serve requests until the connection ends."""
        sock = self._stream.socket
        try:
            self._endpoints = pipelined_request.ConnectionEndpoints(
                sock.getpeername()[:2], sock.getsockname()[:2]
            )
            self._caller = "{}:{}".format(*self._endpoints.client)
            with self._cancel_scope:
                async with trio.open_nursery() as self._nursery:
                    await self._read()
        except OSError as exc:
            logger.debug(logs.Event("connection-lost", error=repr(exc)))
        finally:
            self._abort_if_cut()
            self._log_end()
            ending.discard_input(self._stream.socket)
            await trio.aclose_forcefully(self._stream)

    def close(self, reason: ending.EndReason) -> None:
        """Close the connection at once, and cancel its requests."""
        if self._end_reason is None:
            self._end_reason = reason
            for request in self._unanswered:
                request.position.cut_by = reason
        self._cancel_scope.cancel()

    def prepare_stop(self) -> None:
        """Let an answer that waits for the caller go on to the kernel."""
        if self._send_lock.locked():
            ending.enlarge_send_buffer(self._stream.socket)

    def refuse_unfinished(self) -> None:
        """Cancel requests without an answer, and answer that they are cut.

        Complete answers that wait for them are then sent.
        """
        for request in list(self._unanswered):
            if not request.answer_begun and not request.answer_complete:
                request.error_status = _CUT_STATUS
                request.position.cut_by = ending.EndReason.STOP_OVER
                request.cancel_scope.cancel()

    def is_delivered(self) -> bool:
        """Return whether the caller has received the last answer."""
        return self._end_reason is None and self._linger.is_delivered()

    def is_idle(self) -> bool:
        """Return whether a request may come, and none runs or has begun."""
        if (
            self._linger.has_begun
            or self._running_requests
            or self._waiting_request
            or self._unparsed
            or self._parser_bytes
        ):
            return False
        sock = self._stream.socket
        # A connection that has just ended is closed but still in the
        # listener's set. Polling its socket would raise an error that ends the
        # listener and all other connections.
        if sock.fileno() < 0 or sock.is_readable():
            return False
        # A caller that has not received the last answer has not left.
        return not ending.socket_queues(sock).unsent

    # Reading.

    async def _read(self) -> None:
        while True:
            with trio.CancelScope(deadline=self._read_deadline()) as read_scope:
                self._read_scope = read_scope
                await self._read_until_end()
            if not read_scope.cancelled_caught:
                reason = await self._answer_sent_requests()
                break
            if self._linger.has_begun:
                if self._linger.extend(trio.current_time()):
                    continue
                break
            if self._uploading_request is not None:
                reason = ending.EndReason.CALLER_STALLED
                break
            self._refuse(408)
        if self._linger.has_begun:
            reason = ending.EndReason.ANSWERED
        # Cancelling the requests also closes their connections to backend
        # servers.
        self.close(reason)

    async def _read_until_end(self) -> None:
        """Read and process data until the caller has sent all of it."""
        while data := await self._receive():
            self._process_data(data)
            while self._is_buffer_full():
                self._buffer_drained = trio.Event()
                self._read_scope.deadline = _NEVER
                with trio.move_on_after(_PROBE_PERIOD_S):
                    await self._buffer_drained.wait()
                # While nothing is read, only the kernel knows of an end.
                if tcp_info.read(self._stream.socket).has_input_ended:
                    self._ask_caller()
            self._read_scope.deadline = self._read_deadline()

    async def _answer_sent_requests(self) -> ending.EndReason:
        """Answer the requests of a caller that has ended its side."""
        if self._is_reset or self._uploading_request or not self._unanswered:
            return ending.EndReason.CALLER_CLOSED
        self._is_input_ended = True
        self._ask_caller()
        while self._running_requests or self._waiting_request is not None:
            await trio.sleep(_PROBE_PERIOD_S)
        return ending.EndReason.ANSWERED

    def _ask_caller(self) -> None:
        """Find out whether a caller that has ended its side still waits.

        It may wait for the answers, or have left. That looks the same until
        something is written: the kernel of a caller that waits acknowledges it,
        that of a caller that has left resets the connection.
        """
        if self._is_asked:
            return
        self._is_asked = True
        if self._can_probe():
            self._nursery.start_soon(self._watch_caller)
        else:
            self._close_departed()

    async def _watch_caller(self) -> None:
        sock = self._stream.socket
        # A caller that can't be reached acknowledges nothing.
        gives_up_at = trio.current_time() + self._limits.linger_timeout_s
        while True:
            await trio.sleep(_PROBE_PERIOD_S)
            # Before the queue, which a reset may have emptied.
            is_reset = tcp_info.read(sock).state is tcp_info.State.CLOSED
            if is_reset or ending.has_error(sock):
                self._close_departed()
                return
            if not ending.socket_queues(sock).unsent:
                self._waiting_confirmed.set()
            is_overdue = trio.current_time() >= gives_up_at
            if is_overdue and not self._waiting_confirmed.is_set():
                self._close_departed()
                return

    def _close_departed(self) -> None:
        event = logs.Event(
            "caller-left",
            caller=self._caller,
            unanswered=len(self._unanswered),
            unread_s=f"{self._unread_s:.3f}",
        )
        logger.info(event)
        self.close(ending.EndReason.CALLER_CLOSED)

    def _can_probe(self) -> bool:
        """Write to a caller that has ended its side; return whether it could.

        An interim answer may precede each answer. If one has begun, the bytes
        of it that are on their way serve as well.
        """
        if self._is_reset or not self._unanswered:
            return False
        due = self._unanswered[0]
        if due.answer_begun:
            return ending.socket_queues(self._stream.socket).unsent > 0
        if due.scope.get("http_version") != "1.1":
            return False
        return self._write_at_once(ending.INTERIM_ANSWER) > 0

    def _is_buffer_full(self) -> bool:
        return len(self._unparsed) >= self._limits.max_buffered_bytes

    async def _receive(self) -> bytes | bytearray:
        try:
            data = await self._stream.receive_some(MAX_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            logger.debug(logs.Event("connection-lost", error=repr(exc)))
            self._is_reset = True
            return b""
        if data:
            info = tcp_info.read(self._stream.socket)
            self._unread_s = info.since_data_s
            self._is_end_received = info.has_input_ended
        return data

    def _process_data(self, data: bytes | bytearray) -> None:
        self.idle_since = trio.current_time()
        if self._linger.has_begun or (
            self._is_closing and self._uploading_request is None
        ):
            # The answer with `connection: close` tells the caller that this
            # data is not processed.
            self._discarded_bytes += len(data)
            return
        self._unparsed.append(data, trio.current_time() - self._unread_s)
        self._data_arrived.set()
        self._start_requests()

    def _read_deadline(self) -> float:
        if self._linger.has_begun:
            return self._linger.deadline
        if self._uploading_request is None:
            return self._head_deadline
        if self._waiting_request is not None or self._is_buffer_full():
            # The upload waits for earlier requests or for its server; the
            # caller is not stalled.
            return _NEVER
        return trio.current_time() + self._limits.stall_timeout_s

    # Parsing.

    def _start_requests(self) -> None:
        """Parse the received bytes and start the requests that may start."""
        while self._waiting_request is not None or self._parse_head():
            request = self._waiting_request
            if request is None or not self._may_start(request):
                break
            self._waiting_request = None
            self._start(request)
        self._read_scope.deadline = self._read_deadline()

    def _parse_head(self) -> bool:
        """Parse the next head, and return whether it is complete."""
        if self._is_closing or self._uploading_request is not None:
            return False
        if not self._unparsed and not self._parser_bytes:
            return False
        # h11 limits the size of an incomplete head only, so it is passed at
        # most one byte more than the limit.
        room = self._limits.max_header_bytes + 1 - self._parser_bytes
        part = self._unparsed.take(room)
        self._parser_bytes += len(part)
        try:
            if part:
                self._parser.receive_data(part)
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint)
            return False
        if not isinstance(event, h11.Request):
            if self._head_deadline == _NEVER:
                now = trio.current_time()
                self._head_deadline = now + self._limits.header_timeout_s
            return False
        self._waiting_request = self._new_request(event)
        return True

    def _new_request(
        self, head: h11.Request
    ) -> pipelined_request.PipelinedRequest:
        """Return a request whose head was read."""
        parser, is_bodiless = self._parser, _is_bodiless(head)
        if is_bodiless:
            parser.next_event()
            self._replace_parser(parser)
        position = pipelined_request.PipelinePosition(
            self._unparsed.last_taken_at(),
            len(self._unanswered),
            self._unread_s,
        )
        scope = pipelined_request.asgi_scope(
            head, self._endpoints, position, self
        )
        request = pipelined_request.PipelinedRequest(
            self, parser, scope, body_complete=is_bodiless
        )
        if not is_bodiless:
            self._uploading_request = request
        self._head_deadline = _NEVER
        return request

    def _replace_parser(self, parser: h11.Connection) -> None:
        """Create a parser for the next request after a complete one."""
        trailing_data, _ = parser.trailing_data
        self._unparsed.put_back(trailing_data)
        if not _allows_next_request(parser):
            self._is_closing = True
        self._parser = self._new_parser()
        self._parser_bytes = 0

    def _new_parser(self) -> h11.Connection:
        max_bytes = self._limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)

    def _may_start(self, request: pipelined_request.PipelinedRequest) -> bool:
        """Return whether a request may start now.

        A request that may not be repeated starts once all earlier ones are
        answered, and later ones wait for it, since the caller may expect them
        to see its effects. None starts behind an answer that has begun and may
        still be cut, since that would end the connection without its answer.
        During a planned stop no further requests start:
        `connection: close` on the last answer then tells the caller that all
        later requests were not processed.
        """
        if not self._unanswered:
            return True
        due = self._unanswered[0]
        if (
            self._listener.draining
            or (due.answer_begun and not due.answer_complete)
            or len(self._unanswered) > self._limits.max_pipelined
        ):
            return False
        may_run_concurrently = self._listener.may_run_concurrently
        return may_run_concurrently(request.scope) and may_run_concurrently(
            self._unanswered[-1].scope
        )

    def _start(self, request: pipelined_request.PipelinedRequest) -> None:
        request.position.started_at = trio.current_time()
        request.position.answer_by = self._listener.answer_by
        self._queue(request)
        self._nursery.start_soon(self._serve, request)
        self._buffer_drained.set()

    def _queue(self, request: pipelined_request.PipelinedRequest) -> None:
        self._running_requests += 1
        self._unanswered.append(request)
        if self._unanswered[0] is request:
            request.answer_due.set()

    def _refuse(self, status: int) -> None:
        """Answer malformed input in its position, and read no more requests."""
        self._is_closing = True
        self._unparsed.clear()
        self._parser_bytes = 0
        self._head_deadline = _NEVER
        position = pipelined_request.PipelinePosition(
            trio.current_time(), len(self._unanswered)
        )
        scope = {
            "method": "GET",
            "extensions": {pipelined_request.PLACE: position},
        }
        request = pipelined_request.PipelinedRequest(
            self, self._parser, scope, body_complete=False
        )
        self._queue(request)
        self._nursery.start_soon(self._serve_refusal, request, status)

    # Serving.

    async def _serve(self, request: pipelined_request.PipelinedRequest) -> None:
        reason = "no complete answer"
        status = 500
        try:
            with request.cancel_scope:
                if self.has_input_ended():
                    await self.confirm_waiting()
                await self._listener.app(
                    request.scope, request.receive, request.send
                )
        except limits_module.CutAnswerError as exc:
            reason, status = str(exc), _CUT_STATUS
        except Exception:
            path = request.scope["path"]
            logger.exception(logs.Event("app-failed", path=path))
        if not request.answer_finished:
            await self._handle_failure(
                request, request.error_status or status, reason
            )
        self._on_request_done()

    async def _serve_refusal(
        self, request: pipelined_request.PipelinedRequest, status: int
    ) -> None:
        await request.refuse(status, reached_app=False)
        self._on_request_done()

    async def _handle_failure(
        self,
        request: pipelined_request.PipelinedRequest,
        status: int,
        reason: str,
    ) -> None:
        """Answer in place of the app, or cut an answer that has begun."""
        event = "answer-cut" if request.answer_begun else "answer-replaced"
        logger.warning(logs.Event(event, reason=reason, status=status))
        if request.answer_begun:
            self._is_cut = True
            self.close(ending.EndReason.ANSWER_CUT)
        else:
            await request.refuse(status, reached_app=True)

    def _on_request_done(self) -> None:
        self._running_requests -= 1
        if not self._is_closing or self._running_requests:
            return
        if self._linger.has_begun:
            return
        self._unparsed.clear()
        self._buffer_drained.set()
        self._linger.begin(trio.current_time())
        self._read_scope.deadline = self._linger.deadline
        self._nursery.start_soon(self._shut_down_sending)

    async def _shut_down_sending(self) -> None:
        """Shut down the sending side; input is discarded from now on."""
        async with self._send_lock:
            try:
                await self._stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                logger.debug(logs.Event("connection-lost", error=repr(exc)))
                self.close(ending.EndReason.WRITE_FAILED)

    # Called by apps (pipelined_request.Caller).

    def has_input_ended(self) -> bool:
        """Return whether the caller is known to have ended its side."""
        return self._is_asked or self._is_end_received

    def has_pipelined(self) -> bool:
        """Return whether several requests of the connection are unanswered."""
        return len(self._unanswered) > 1

    async def confirm_waiting(self) -> None:
        """Return if the caller may still wait for its answers.

        What the kernel knows counts, not what was read: a request that was
        just read may have waited, and its caller's close stands behind it.
        """
        info = tcp_info.read(self._stream.socket)
        if info.state is tcp_info.State.CLOSED:
            self._close_departed()
            await trio.lowlevel.checkpoint()
        elif info.has_input_ended:
            self._ask_caller()
        if self._is_asked:
            await self._waiting_confirmed.wait()

    # Called by the requests (pipelined_request.ConnectionWriter).

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer that is due."""
        written_bytes = self._write_at_once(data)
        self._answer_bytes += written_bytes
        data = data[written_bytes:]
        if not data:
            return
        if self._listener.closing:
            ending.enlarge_send_buffer(self._stream.socket)
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
                self._is_cut = True
                self.close(ending.EndReason.WRITE_FAILED)
                await trio.lowlevel.checkpoint()
            self._answer_bytes += len(data)

    def _write_at_once(self, data: bytes) -> int:
        """Write what the socket accepts without waiting; return the bytes.

        Most answers fit into the socket's buffer: their tasks need not be
        scheduled again to write them. Errors are left to the regular write.
        """
        if not self._is_plain or self._send_lock.locked():
            return 0
        try:
            return os.write(self._stream.socket.fileno(), data)
        except OSError:
            return 0

    async def feed_body(
        self, request: pipelined_request.PipelinedRequest
    ) -> None:
        """Wait for more of a request's body and pass it to its parser."""
        while not self._unparsed:
            self._data_arrived = trio.Event()
            await self._data_arrived.wait()
        request.parser.receive_data(self._unparsed.take(len(self._unparsed)))
        self._buffer_drained.set()

    def on_body_complete(
        self, request: pipelined_request.PipelinedRequest
    ) -> None:
        """Continue with the request after a complete upload."""
        self._uploading_request = None
        self._replace_parser(request.parser)
        self._start_requests()

    def closes_after(self, request: pipelined_request.PipelinedRequest) -> bool:
        """Return whether a request's answer is the last of the connection.

        Requests that have started after it are answered first: only the last
        answer announces the close.
        """
        if request is not self._unanswered[-1]:
            return False
        if _allows_next_request(request.parser) and not self._is_last_request():
            return False
        self._is_closing = True
        if self._waiting_request is not None:
            self._waiting_request = self._uploading_request = None
        return True

    def _is_last_request(self) -> bool:
        """Return whether no other request follows.

        One that has arrived is still served while a planned stop takes
        requests.
        """
        if self._listener.draining:
            return True
        is_ending = self._listener.closing or self._is_input_ended
        return is_ending and self._waiting_request is None

    def on_answered(self, request: pipelined_request.PipelinedRequest) -> None:
        """Let the next answer be written and the next request start."""
        self._unanswered.popleft()
        self._answer_bytes = 0
        self.idle_since = trio.current_time()
        if self._unanswered:
            self._unanswered[0].answer_due.set()
        self._start_requests()

    def _abort_if_cut(self) -> None:
        """Reset the connection if an answer was cut.

        An orderly close marks the end of an answer without a length (to
        HTTP/1.0 callers), so a cut answer would be taken for a complete one.
        """
        is_unfinished = (
            bool(self._unanswered) and self._unanswered[0].answer_begun
        )
        if self._is_cut or is_unfinished:
            ending.reset_on_close(self._stream.socket)

    def _log_end(self) -> None:
        """Log what the end of the connection takes with it, if anything."""
        reason = self._end_reason or (
            ending.EndReason.ANSWERED
            if self._linger.has_begun
            else ending.EndReason.FAILED
        )
        is_closing = self._listener.closing
        if not is_closing and (not self._unanswered or reason.is_by_caller):
            return
        queues = ending.socket_queues(self._stream.socket)
        discarded_bytes = self._discarded_bytes + len(self._unparsed)
        if not (self._unanswered or discarded_bytes or any(queues)):
            return
        now = trio.current_time()
        is_due_begun = (
            bool(self._unanswered) and self._unanswered[0].answer_begun
        )
        closing_s = now - self._listener.closing_since
        event = logs.Event(
            "connection-ended",
            caller=self._caller,
            reason=reason.value,
            closing_s=f"{closing_s:.3f}" if is_closing else "no",
            unanswered=len(self._unanswered),
            answer_bytes=self._answer_bytes if is_due_begun else 0,
            unsent_bytes=queues.unsent,
            unread_bytes=queues.unread,
            discarded_bytes=discarded_bytes,
            reset=self._is_cut or is_due_begun or bool(queues.unread),
        )
        logger.info(event)


def _allows_next_request(parser: h11.Connection) -> bool:
    """Return whether another request may follow on the connection.

    None may follow an incomplete request, a request with `connection: close`,
    or an offer to switch protocols, since the next bytes could belong to that
    protocol.
    """
    return parser.their_state is h11.DONE


def _is_bodiless(head: h11.Request) -> bool:
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return False
        if name == b"content-length" and int(value):
            return False
    return True
