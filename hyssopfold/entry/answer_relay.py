"""Relays the answer of a backend server to the caller."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import trio

from hyssopfold import http
from hyssopfold.entry import answers
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import http1

# Longer answers are relayed as they arrive.
MAX_BUFFERED_BYTES = 64 * 1024
# With other unanswered requests on the connection longer ones are buffered, too:
# if an answer that was begun is cut, the connection ends with all of them.
MAX_PIPELINED_BYTES = 1024 * 1024
# Of all such answers together; what a process may use for them.
MAX_RESERVED_BYTES = 32_000_000

# After the limit of a request, seconds for which its server may send nothing of
# an answer that has begun.
MAX_SILENCE_S = 0.25

# Waits until a part of a body may be sent over the link to the server. Takes
# the part, and the length of the whole body in bytes or None if not known.
LinkWait = Callable[[bytes, int | None], Awaitable[None]]


class OverdueError(Exception):
    """The caller no longer waits for the rest of an answer."""


class BufferSpace:
    """Memory of a process for long answers that are buffered.

    Args:
        max_bytes: Largest number of bytes that may be reserved.
    """

    def __init__(self, max_bytes: int = MAX_RESERVED_BYTES) -> None:
        self._left = max_bytes

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return whether there was room for them."""
        if size > self._left:
            return False
        self._left -= size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes."""
        self._left += size


class AnswerRelay:
    """Relays one answer: a short one in one piece, a long one as it arrives.

    Args:
        answer: The answer, of which the head was read.
        exchange: The request.
        wait_for_link: Waits for capacity on the link to the server.
        space: Memory for a long answer.
        limit_at: Monotonic time in seconds at which the request's limit passes.
    """

    def __init__(
        self,
        answer: http1.Answer,
        exchange: exchange_module.Exchange,
        wait_for_link: LinkWait,
        space: BufferSpace,
        limit_at: float,
    ) -> None:
        self._answer = answer
        self._exchange = exchange
        self._wait_for_link = wait_for_link
        self._length = answers.content_length(answer)
        self._stream = answer.body
        self._buffered: list[bytes] = []
        self._is_complete = False
        self._space = space
        self._limit_at = limit_at
        self._reserved_bytes = 0

    def close(self) -> None:
        """Return the memory of the answer."""
        self._space.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def buffer_short_answer(self) -> None:
        """Read a short answer completely before its head is relayed.

        If it is cut, the request can then be retried at another server instead
        of relaying a cut answer. The caller gets it in one piece.

        Raises:
            LostError: when the answer ends early.
        """
        if (
            self._length is None
            and not self._exchange.dialect.accepts_unframed_answers
        ):
            # It may be a stream: the caller waits for each part.
            return
        max_bytes = self._reserve()
        if self._length is not None and self._length > max_bytes:
            return
        buffered_bytes = 0
        async for part in self._stream:
            self._buffered.append(part)
            buffered_bytes += len(part)
            if buffered_bytes > max_bytes:
                return
        self._is_complete = True

    def _reserve(self) -> int:
        """Return how many bytes to buffer; reserve those of a long answer."""
        caller = self._exchange.caller
        # An answer without a length may be a stream.
        size = self._length or 0
        is_long = MAX_BUFFERED_BYTES < size <= MAX_PIPELINED_BYTES
        if not is_long or caller is None or not caller.has_pipelined():
            return MAX_BUFFERED_BYTES
        if not self._space.reserve(size):
            return MAX_BUFFERED_BYTES
        self._reserved_bytes = size
        return size

    async def run(self, release: Callable[[], None]) -> None:
        """Send the answer to the caller.

        Args:
            release: Releases the slot and the connection. It is called before
                the caller has the complete answer and can send its next
                request.

        Raises:
            LostError: when the answer ends early.
            OverdueError: when it has no end by the caller's deadline, or its
                server is silent beyond the request's limit.
        """
        self._exchange.status = self._answer.status
        start = {
            "type": "http.response.start",
            "status": self._answer.status,
            "headers": self._headers(),
        }
        if self._is_complete:
            body = b"".join(self._buffered)
            await self._wait_for_link(body, self._length)
            release()
            await self._exchange.send(start)
            await self._send(body)
            return
        await self._exchange.send(start)
        await self._send(b"", more=True)
        with trio.move_on_at(self._deadline()) as scope:
            await self._relay_stream()
        if scope.cancelled_caught:
            raise OverdueError("no end by the caller's deadline")
        release()
        await self._send(b"")

    def _deadline(self) -> float:
        """Return the time until which the rest is relayed.

        An answer with a length has an end, for which a slow caller may wait.
        """
        if self._length is not None:
            return math.inf
        return answers.relay_deadline(self._exchange)

    def _headers(self) -> http.Headers:
        answer, dialect = self._answer, self._exchange.dialect
        headers = exchange_module.end_to_end_headers(answer.headers, dialect)
        if answer.status in answers.BODILESS_STATUSES:
            headers = [
                header for header in headers if header[0] != b"content-length"
            ]
        own_headers = self._exchange.answer_headers()
        own_names = {name for name, _ in own_headers}
        return [
            header for header in headers if header[0] not in own_names
        ] + own_headers

    async def _relay_stream(self) -> None:
        if self._buffered:
            await self._relay_part(b"".join(self._buffered))
        while (part := await self._next_part()) is not None:
            await self._relay_part(part)

    async def _next_part(self) -> bytes | None:
        """Return the next part, or None at the end.

        The time that the caller takes to read is no silence of the server.
        """
        earliest = trio.current_time() + MAX_SILENCE_S
        with trio.move_on_at(max(self._limit_at, earliest)):
            return await anext(self._stream, None)
        raise OverdueError("the server is silent beyond the request's limit")

    async def _relay_part(self, part: bytes) -> None:
        await self._wait_for_link(part, self._length)
        await self._send(part, more=True)

    async def _send(self, body: bytes, more: bool = False) -> None:
        message: dict[str, object]
        message = {"type": "http.response.body", "body": body}
        if more:
            message["more_body"] = True
        await self._exchange.send(message)
