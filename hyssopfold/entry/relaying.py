"""One answer on its way from a backend server to the caller."""

from collections.abc import Awaitable
from collections.abc import Callable

import httpcore

from hyssopfold import http
from hyssopfold.entry import answers
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import upstream

# Longer answers are passed on as they come.
SHORT_BYTES = 64 * 1024

# Waits until a part of a body, of a stated length or none, may pass a link.
Pace = Callable[[bytes, int | None], Awaitable[None]]


class Relay:
    """Pass an answer on: a short one whole, a long one as it comes.

    Args:
        answer: The answer; its head was read.
        exchange: The request.
        pace: Waits for room on the link to the server.
    """

    def __init__(
        self,
        answer: httpcore.Response,
        exchange: exchange_module.Exchange,
        pace: Pace,
    ) -> None:
        self._answer = answer
        self._exchange = exchange
        self._pace = pace
        self._length = answers.length_of(answer)
        self._stream = upstream.parts(answer)
        self._begun: list[bytes] = []
        self._is_whole = False

    async def read_short(self) -> None:
        """Read a short answer whole before its head is passed on.

        One that is cut can then be asked for again at another server, in
        place of being passed on as cut; and it leaves in one piece.

        Raises:
            LostError: when it ends before it is whole.
        """
        if self._length is None and not self._exchange.dialect.unframed_answers:
            # It may be a stream, whose parts the caller waits for.
            return
        if self._length is not None and self._length > SHORT_BYTES:
            return
        size = 0
        async for part in self._stream:
            self._begun.append(part)
            size += len(part)
            if size > SHORT_BYTES:
                return
        self._is_whole = True

    async def run(self, free: Callable[[], Awaitable[None]]) -> None:
        """Send the answer to the caller.

        Args:
            free: Frees slot and connection. It is called before the caller has
                its answer, and so can send its next request.

        Raises:
            LostError: when it ends before it is whole.
        """
        self._exchange.status = self._answer.status
        start = {
            "type": "http.response.start",
            "status": self._answer.status,
            "headers": self._headers(),
        }
        if self._is_whole:
            body = b"".join(self._begun)
            await self._pace(body, self._length)
            await free()
            await self._exchange.send(start)
            await self._send(body)
            return
        await self._exchange.send(start)
        await self._send(b"", more=True)
        for part in self._begun:
            await self._pass_on(part)
        async for part in self._stream:
            await self._pass_on(part)
        await free()
        await self._send(b"")

    def _headers(self) -> http.Headers:
        answer, names = self._answer, self._exchange.dialect
        headers = exchange_module.end_to_end(answer.headers, names)
        if answer.status in answers.BODILESS:
            headers = [one for one in headers if one[0] != b"content-length"]
        own = self._exchange.answer_headers()
        replaced = {name for name, _ in own}
        return [one for one in headers if one[0] not in replaced] + own

    async def _pass_on(self, part: bytes) -> None:
        await self._pace(part, self._length)
        await self._send(part, more=True)

    async def _send(self, body: bytes, more: bool = False) -> None:
        message: dict[str, object]
        message = {"type": "http.response.body", "body": body}
        if more:
            message["more_body"] = True
        await self._exchange.send(message)
