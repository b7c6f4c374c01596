"""The wait for a caller's close after the last answer of its connection."""

import math

import trio

from hyssopfold.serving import ending
from hyssopfold.serving import limits as limits_module


class Linger:
    """Decides how long a connection waits for its caller's close.

    A caller closes its side once it has read the last answer. Closing the
    socket before would make the kernel answer later input with a reset, which
    discards what it still has to send, and with which the caller may lose what
    it has received and not yet read (RFC 9112, 9.6).

    Args:
        sock: Socket of the connection.
        limits: Limits of the listener.

    Attributes:
        has_begun: Whether the last answer was written.
        deadline: Monotonic time in seconds of the end, unless it is extended.
    """

    def __init__(
        self, sock: trio.socket.SocketType, limits: limits_module.Limits
    ) -> None:
        self._sock = sock
        self._limits = limits
        self.has_begun = False
        self.deadline = math.inf
        self._latest_end = math.inf
        self._unsent_bytes = 0

    def begin(self, now: float) -> None:
        """Begin to wait."""
        self.has_begun = True
        self._latest_end = now + self._limits.stall_timeout_s
        self._unsent_bytes = ending.socket_queues(self._sock).unsent
        self.deadline = now + self._limits.linger_timeout_s

    def extend(self, now: float) -> bool:
        """Wait longer if the caller has taken more; return whether it has."""
        unsent_bytes = ending.socket_queues(self._sock).unsent
        has_taken_more = 0 < unsent_bytes < self._unsent_bytes
        if not has_taken_more or now >= self._latest_end:
            return False
        self._unsent_bytes = unsent_bytes
        self.deadline = now + self._limits.linger_timeout_s
        return True

    def is_delivered(self) -> bool:
        """Return whether the caller has received the last answer."""
        if not self.has_begun or self._sock.fileno() < 0:
            return False
        # The end of the stream counts as one byte until it is acknowledged.
        return ending.socket_queues(self._sock).unsent <= 1
