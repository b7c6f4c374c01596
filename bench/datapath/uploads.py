"""Uploads of a given size over plain sockets, optionally at a fixed rate."""

import time

import trio

from bench.datapath import fleet

CHUNK = b"\0" * 65_536


async def upload(address: str, size: int, bytes_per_s: float = 0) -> float:
    """Upload `size` bytes; return the time at which the answer was complete.

    Args:
        address: IP number and port to send to.
        size: Length of the body in bytes.
        bytes_per_s: Rate limit; 0 for none.

    Raises:
        ValueError: when the answer is incomplete or not the expected one.
    """
    host, port = address.split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"PUT /upload HTTP/1.1\r\nhost: {fleet.HOST}\r\n"
        f"content-length: {size}\r\nconnection: close\r\n\r\n"
    )
    await stream.send_all(head.encode())
    started_at, sent_bytes = trio.current_time(), 0
    while sent_bytes < size:
        chunk = CHUNK[: size - sent_bytes]
        await stream.send_all(chunk)
        sent_bytes += len(chunk)
        if bytes_per_s:
            await trio.sleep_until(started_at + sent_bytes / bytes_per_s)
    answer = b""
    while data := await stream.receive_some(65_536):
        answer += data
    await stream.aclose()
    expected = f'"received_bytes":{size}'.encode()
    if not answer.startswith(b"HTTP/1.1 200") or expected not in answer:
        raise ValueError(f"incomplete or unexpected answer: {answer[:300]!r}")
    return time.monotonic()
