"""What the kernel knows of a TCP connection before this process reads it.

A process that was busy reads late: a request that looks new may have waited in
the socket, and the end of the caller's side may already stand behind it.
"""

import enum
import socket
import struct
from typing import NamedTuple

import trio

# Of `struct tcp_info` in linux/tcp.h, the same on all architectures.
_SIZE_BYTES = 104
_STATE_OFFSET = 0
_LAST_DATA_RECEIVED_OFFSET = 52


class State(enum.IntEnum):
    """States of a connection that are told apart, by the kernel's numbers."""

    OTHER = 0
    ESTABLISHED = 1
    # Ended by a reset.
    CLOSED = 7
    # The other end has shut down its sending side.
    CLOSE_WAIT = 8


class TcpInfo(NamedTuple):
    """A connection as the kernel sees it.

    Attributes:
        state: State of the connection.
        since_data_s: Seconds since the last data arrived, read or not.
    """

    state: State
    since_data_s: float

    @property
    def has_input_ended(self) -> bool:
        """Return whether no more data can arrive."""
        return self.state in (State.CLOSE_WAIT, State.CLOSED)


_UNKNOWN = TcpInfo(State.OTHER, 0.0)


def read(sock: trio.socket.SocketType) -> TcpInfo:
    """Return what the kernel knows of a connected socket.

    A kernel that does not tell it counts as one that has nothing to tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE_BYTES)
    except OSError:
        return _UNKNOWN
    if len(info) < _SIZE_BYTES:
        return _UNKNOWN
    try:
        state = State(info[_STATE_OFFSET])
    except ValueError:
        state = State.OTHER
    (since_data_ms,) = struct.unpack_from(
        "=I", info, _LAST_DATA_RECEIVED_OFFSET
    )
    return TcpInfo(state, since_data_ms / 1000)
