"""How a caller's connection ends: the reason, and what is lost with it."""

import contextlib
import enum
import fcntl
import socket
import struct
import termios
from typing import NamedTuple

import trio

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


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


def reset_on_close(sock: trio.socket.SocketType) -> None:
    """Make the close of a socket reset its connection."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
