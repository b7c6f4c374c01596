"""Relay that delays both directions of connections to entries.

Run as `python -m bench.stops.relay SPEC`; the spec maps addresses of entries
to those at which the relay listens.
"""

import contextlib
import json
import pathlib
import socket
import struct
import sys
import time
from typing import Any

import trio

from bench.stops import wire

DELAY_S = 0.008
_BUFFER_BYTES = 8192
_PARTS = 16
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def _forward(target: str, caller: trio.SocketStream) -> None:
    try:
        entry = await trio.open_tcp_stream(*wire.split(target))
    except OSError:
        _reset_on_close(caller)
        await trio.aclose_forcefully(caller)
        return
    for stream in (caller, entry):
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            stream.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
    async with caller, entry, trio.open_nursery() as nursery:
        nursery.start_soon(_copy, caller, entry, nursery)
        nursery.start_soon(_copy, entry, caller, nursery)


async def _copy(
    source: trio.SocketStream,
    destination: trio.SocketStream,
    nursery: trio.Nursery,
) -> None:
    """Copy until the end of the stream; pass on a reset as a reset."""
    send_channel, receive_channel = trio.open_memory_channel[
        tuple[float, bytes]
    ](_PARTS)

    async def receive() -> None:
        while True:
            data = await source.receive_some(_BUFFER_BYTES)
            await send_channel.send((time.monotonic() + DELAY_S, bytes(data)))
            if not data:
                return

    async def send() -> None:
        while True:
            due_at, data = await receive_channel.receive()
            await trio.sleep(max(0.0, due_at - time.monotonic()))
            if not data:
                await destination.send_eof()
                return
            await destination.send_all(data)

    try:
        async with trio.open_nursery() as copying:
            copying.start_soon(receive)
            copying.start_soon(send)
    except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        # What arrived before the reset is passed on first.
        await trio.sleep(DELAY_S)
        _reset_on_close(destination)
        _reset_on_close(source)
        nursery.cancel_scope.cancel()


def _reset_on_close(stream: trio.SocketStream) -> None:
    with contextlib.suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


async def _main(spec: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        for target, address in spec["relays"].items():
            host, port = wire.split(address)
            listeners = await trio.open_tcp_listeners(port, host=host)

            async def serve(
                stream: trio.SocketStream, target: str = target
            ) -> None:
                await _forward(target, stream)

            nursery.start_soon(trio.serve_listeners, serve, listeners)


if __name__ == "__main__":
    trio.run(_main, json.loads(pathlib.Path(sys.argv[1]).read_text()))
