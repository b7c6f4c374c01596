"""Uploads of any size over plain sockets, at a rate."""

import time

import trio

from bench.datapath import fleet

PART = b"\0" * 65_536


async def upload(address: str, size: int, bytes_per_s: float = 0) -> float:
    """Upload `size` bytes; return the time at which the answer was whole.

    Args:
        address: IP number and port to send to.
        size: Bytes of the body.
        bytes_per_s: Rate to keep to; as fast as it goes when 0.

    Raises:
        ValueError: when the answer is not the whole one expected.
    """
    host, port = address.split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"PUT /upload HTTP/1.1\r\nhost: {fleet.HOST}\r\n"
        f"content-length: {size}\r\nconnection: close\r\n\r\n"
    )
    await stream.send_all(head.encode())
    began, sent = trio.current_time(), 0
    while sent < size:
        part = PART[: size - sent]
        await stream.send_all(part)
        sent += len(part)
        if bytes_per_s:
            await trio.sleep_until(began + sent / bytes_per_s)
    answer = b""
    while data := await stream.receive_some(65_536):
        answer += data
    await stream.aclose()
    expected = f'"received_bytes":{size}'.encode()
    if not answer.startswith(b"HTTP/1.1 200") or expected not in answer:
        raise ValueError(f"not the whole answer: {answer[:300]!r}")
    return time.monotonic()
