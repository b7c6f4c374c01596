"""How a caller's connection ends: the reason, and what is lost with it."""

import contextlib
import enum
import fcntl
import os
import socket
import struct
import termios
from typing import NamedTuple

import trio

# What Linux allows by default; the kernel doubles it.
_STOP_SEND_BUFFER_BYTES = 212_992
# Sending waits only for room in the buffer, not until most of it was sent.
_NO_LOW_WATER_MARK = 2**31 - 1
# Reads of input that is discarded when a socket is closed.
_MAX_DISCARDS = 16
_DISCARD_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


# Callers skip it and wait for the answer itself (RFC 9110, 15.2).
INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class EndReason(enum.Enum):
    """Why a caller's connection ended."""

    # After the answer that announced it.
    ANSWERED = "answered"
    CALLER_CLOSED = "caller-closed"
    CALLER_STALLED = "caller-stalled"
    IDLE = "idle"
    # The caller reset it, or read nothing of an answer for too long.
    WRITE_FAILED = "write-failed"
    ANSWER_CUT = "answer-cut"
    STOP_OVER = "stop-over"
    # The task was cancelled from outside, or an error ended it.
    FAILED = "failed"

    @property
    def is_by_caller(self) -> bool:
        """Return whether the caller ended the connection, not this process."""
        return self in (
            EndReason.CALLER_CLOSED,
            EndReason.CALLER_STALLED,
            EndReason.WRITE_FAILED,
        )


class SocketQueues(NamedTuple):
    """Bytes in a socket's kernel buffers.

    `unsent` counts those that the other end has not acknowledged, `unread`
    those that were received and not read.
    """

    unsent: int
    unread: int


def socket_queues(sock: trio.socket.SocketType) -> SocketQueues:
    """Return the bytes in the buffers of an open socket."""
    return SocketQueues(
        _queued_bytes(sock, termios.TIOCOUTQ),
        _queued_bytes(sock, termios.FIONREAD),
    )


def _queued_bytes(sock: trio.socket.SocketType, request: int) -> int:
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), request, count)
    except (OSError, ValueError):
        # Not every kind of socket tells it.
        return 0
    return int(struct.unpack("i", count)[0])


def has_error(sock: trio.socket.SocketType) -> bool:
    """Return whether the other end has reset the connection of a socket."""
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Make the close of a socket reset its connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def enlarge_send_buffer(sock: trio.socket.SocketType) -> None:
    """Let the kernel take more of an answer than the caller has read.

    The kernel delivers it also after the process has ended.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _NO_LOW_WATER_MARK
        )
        current = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        if current < _STOP_SEND_BUFFER_BYTES:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _STOP_SEND_BUFFER_BYTES
            )


def discard_input(sock: trio.socket.SocketType) -> None:
    """Read and discard what was received.

    If a socket is closed with unread bytes, the kernel resets its connection
    and discards what it still has to send.
    """
    with contextlib.suppress(OSError, ValueError):
        for _ in range(_MAX_DISCARDS):
            if not os.read(sock.fileno(), _DISCARD_BYTES):
                return
