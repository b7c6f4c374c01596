"""Standard output for log lines: bounded, and never waited for."""

import collections
import logging
import os
import select

# Standard output. It is not set to non-blocking: that would reach whoever
# else has it open.
STANDARD_OUTPUT = 1
# A pipe that is ready takes so many bytes without waiting (POSIX, PIPE_BUF).
ATOMIC_BYTES = 4096
# Bytes that wait while the reader of standard output stalls; more would only
# be memory, and the newest lines tell most.
MAX_WAITING_BYTES = 262_144
# Lines a second beyond which a process writes none. The ground is processor
# time: a line costs some 50 us, so 400 take 2 % of a core.
LINES_PER_S = 400.0


class BoundedHandler(logging.Handler):
    """Write lines without waiting; count what is left out.

    A pipe whose reader stalls is full after 64 KiB. A write that waited for
    it would hold up every request of the process, since one thread does all.

    Args:
        descriptor: Where to write.
        lines_per_s: Lines a second that are written at most.
    """

    def __init__(
        self, descriptor: int, lines_per_s: float = LINES_PER_S
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._second = 0
        self._in_second = 0
        self._over = 0
        self.left_out = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or leave it out."""
        try:
            if self._has_room(record):
                self._put(self.format(record))
        except Exception:  # noqa: BLE001 - as logging itself does
            self.handleError(record)
        self.flush()

    def _has_room(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._tell_left_out(record)
            self._second, self._in_second = second, 0
        self._in_second += 1
        if self._in_second > self._lines_per_s:
            self._over += 1
            self.left_out += 1
            return False
        return True

    def _tell_left_out(self, record: logging.LogRecord) -> None:
        if not self._over:
            return
        over, self._over = self._over, 0
        told = logging.makeLogRecord(record.__dict__)
        told.levelno, told.levelname = logging.WARNING, "WARNING"
        told.name, told.exc_info = __name__, None
        # Written by the formatter as `event=message text=...`.
        told.msg, told.args = f"lines-left-out count={over}", ()
        self._put(self.format(told))

    def _put(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self._over += 1
            self.left_out += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting and self._poll.poll(0):
            data = self._waiting[0]
            try:
                count = os.write(self._descriptor, data[:ATOMIC_BYTES])
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self._drop_all()
                return
            self._waiting_bytes -= count
            if count < len(data):
                self._waiting[0] = data[count:]
            else:
                self._waiting.popleft()

    def _drop_all(self) -> None:
        self.left_out += len(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0


def to_standard_output(lines_per_s: float) -> BoundedHandler:
    """Return a handler that writes to this process's standard output."""
    return BoundedHandler(STANDARD_OUTPUT, lines_per_s)
