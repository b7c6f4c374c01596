"""A minimal HTTP/1.1 client connection on h11 and a trio stream."""

from typing import NamedTuple

import h11
import trio

_RECEIVE_BYTES = 65_536
_ZEROS = b"\0" * 65_536
_MAX_KEPT_BYTES = 65_536


class NotConnectedError(ConnectionError):
    """The connection could not be opened; no byte of a request was sent."""


class Answer(NamedTuple):
    """A complete answer; `body` has its first 64 KiB, `length` counts all."""

    status: int
    headers: dict[bytes, bytes]
    length: int
    body: bytes = b""


class Connection:
    """A connection that sends requests to one address, one at a time.

    It is opened by the first request and after each `close`.

    Args:
        address: IP number and port.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        size: int,
        pause_s: float = 0.0,
    ) -> Answer:
        """Send a request whose body is `size` zero bytes; return the answer.

        Args:
            method: Method of the request.
            target: Path and query.
            headers: Headers, without content-length.
            size: Length of the body in bytes.
            pause_s: Seconds to wait after each 64 KiB of the body.

        Raises:
            NotConnectedError: when the connection could not be opened.
            trio.BrokenResourceError: when the connection failed afterwards.
            h11.ProtocolError: when the answer is not HTTP or is incomplete.
        """
        all_headers = (
            [*headers, ("content-length", str(size))] if size else headers
        )
        await self._send_head(method, target, all_headers)
        while size > 0:
            chunk = _ZEROS[:size]
            size -= len(chunk)
            await self._send(h11.Data(data=chunk))
            if pause_s:
                await trio.sleep(pause_s)
        await self._send(h11.EndOfMessage())
        return await self._receive_answer()

    async def send_bytes(
        self, method: str, target: str, host: str, body: bytes
    ) -> Answer:
        """Send a request with this body; return the complete answer.

        Raises:
            NotConnectedError: when the connection could not be opened.
            trio.BrokenResourceError: when the connection failed afterwards.
            h11.ProtocolError: when the answer is not HTTP or is incomplete.
        """
        all_headers = [("host", host), ("content-length", str(len(body)))]
        await self._send_head(method, target, all_headers)
        await self._send(h11.Data(data=body))
        await self._send(h11.EndOfMessage())
        return await self._receive_answer()

    async def _send_head(
        self, method: str, target: str, headers: list[tuple[str, str]]
    ) -> None:
        await self._connect()
        request = h11.Request(method=method, target=target, headers=headers)
        await self._send(request)

    async def _connect(self) -> None:
        if self._stream is not None:
            return
        host, _, port = self.address.rpartition(":")
        try:
            self._stream = await trio.open_tcp_stream(host, int(port))
        except OSError as exc:
            raise NotConnectedError(self.address) from exc
        self._http = h11.Connection(h11.CLIENT)

    async def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data and self._stream is not None:
            await self._stream.send_all(data)

    async def _receive_answer(self) -> Answer:
        status, length, body = 0, 0, b""
        headers: dict[bytes, bytes] = {}
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                length += len(event.data)
                body += bytes(event.data[: _MAX_KEPT_BYTES - len(body)])
            elif isinstance(event, h11.EndOfMessage):
                break
        if self._http.our_state is h11.DONE is self._http.their_state:
            self._http.start_next_cycle()
        else:
            self.close()
        return Answer(status, headers, length, body)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            assert self._stream is not None
            data = await self._stream.receive_some(_RECEIVE_BYTES)
            self._http.receive_data(data)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None
