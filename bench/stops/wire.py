"""HTTP/1.1 messages of the callers, the servers and the operator."""

import json
import os
import pathlib
from typing import Any
from typing import NamedTuple

import trio

RECEIVE_BYTES = 65_536


class Answer(NamedTuple):
    """A whole answer; status 0 means that none came."""

    status: int
    headers: dict[str, str]
    body: bytes


class Record:
    """Appends JSON lines to a file; lines are written at once."""

    def __init__(self, path: str | pathlib.Path) -> None:
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND
        self._file = os.open(path, flags, 0o644)

    def write(self, fields: dict[str, Any]) -> None:
        """Append one line."""
        os.write(self._file, json.dumps(fields).encode() + b"\n")


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return first, {name.lower(): value.strip() for name, _, value in pairs}


def encode_head(first: str, headers: dict[str, Any]) -> bytes:
    """Return the bytes of a first line and headers."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Reader:
    """Reads messages from a stream."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.buffer = bytearray()

    async def more(self) -> None:
        """Receive more bytes.

        Raises:
            EOFError: The stream has ended.
        """
        data = await self._stream.receive_some(RECEIVE_BYTES)
        if not data:
            raise EOFError
        self.buffer += data

    async def head(self) -> tuple[str, dict[str, str]]:
        """Return the next first line and headers."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            await self.more()
        head = bytes(self.buffer[:end])
        del self.buffer[: end + 4]
        return parse_head(head)

    async def exactly(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        while len(self.buffer) < size:
            await self.more()
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    async def body(self, headers: dict[str, str]) -> bytes:
        """Return a body with a length or in chunks."""
        if "chunked" not in headers.get("transfer-encoding", ""):
            return await self.exactly(int(headers.get("content-length", "0")))
        parts = []
        while True:
            while (end := self.buffer.find(b"\r\n")) < 0:
                await self.more()
            size = int(bytes(self.buffer[:end]), 16)
            del self.buffer[: end + 2]
            part = await self.exactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Send one request on a new connection, and return the answer."""
    content = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address, "Connection": "close", **(headers or {})}
    if method != "GET":
        fields["Content-Length"] = str(len(content))
    answer = Answer(0, {}, b"")
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(*split(address))
            async with stream:
                first = f"{method} {path} HTTP/1.1"
                await stream.send_all(encode_head(first, fields) + content)
                reader = Reader(stream)
                line, received = await reader.head()
                status = int(line.split()[1])
                answer = Answer(status, received, await reader.body(received))
        except (OSError, EOFError, ValueError, trio.BrokenResourceError):
            pass
    return answer
