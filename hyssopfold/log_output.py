"""Writes log lines to standard output without blocking, within limits."""

import collections
import logging
import os
import select

# File descriptor of standard output. It is not set to non-blocking: that would
# also affect other processes that have it open.
STANDARD_OUTPUT = 1
# A pipe that is ready accepts this many bytes without blocking (POSIX,
# PIPE_BUF).
ATOMIC_BYTES = 4096
# Largest buffer in bytes while the reader of standard output stalls. A larger
# one would only keep more old lines in memory; new lines are more useful.
MAX_BUFFERED_BYTES = 262_144
# Largest number of lines that a process writes in a second. It limits CPU time:
# a line costs about 50 us, so 400 take 2 % of a core.
LINES_PER_S = 400.0
# Share of these lines that one logger may write. Hundreds of servers that
# change at once must not hide the lines of the other parts of the process.
MAX_LOGGER_SHARE = 0.75


class BoundedHandler(logging.Handler):
    """Writes log lines without blocking and counts the lines it drops.

    A pipe whose reader stalls is full after 64 KiB. A blocking write would
    delay every request of the process, as it has a single thread. `left_out` is
    the number of dropped lines since the start.

    Args:
        descriptor: File descriptor to write to.
        lines_per_s: Largest number of lines to write in a second.
    """

    def __init__(
        self, descriptor: int, lines_per_s: float = LINES_PER_S
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._second = 0
        self._lines_in_second = 0
        self._lines_by_logger: collections.Counter[str] = collections.Counter()
        self._unreported = 0
        self.left_out = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or drop it when a limit is reached."""
        try:
            if self._within_rate(record):
                self._enqueue(self.format(record))
        except Exception:  # noqa: BLE001 - as logging.Handler does
            self.handleError(record)
        self.flush()

    def _within_rate(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._write_left_out(record)
            self._second, self._lines_in_second = second, 0
            self._lines_by_logger.clear()
        logger_lines = self._lines_by_logger[record.name]
        if (
            self._lines_in_second >= self._lines_per_s
            or logger_lines >= self._lines_per_s * MAX_LOGGER_SHARE
        ):
            self._unreported += 1
            self.left_out += 1
            return False
        self._lines_in_second += 1
        self._lines_by_logger[record.name] += 1
        return True

    def _write_left_out(self, record: logging.LogRecord) -> None:
        if not self._unreported:
            return
        count, self._unreported = self._unreported, 0
        summary = logging.makeLogRecord(record.__dict__)
        summary.levelno, summary.levelname = logging.WARNING, "WARNING"
        summary.name, summary.exc_info = __name__, None
        # The formatter writes this as `event=message text=...`.
        summary.msg, summary.args = f"lines-left-out count={count}", ()
        self._enqueue(self.format(summary))

    def _enqueue(self, line: str) -> None:
        data = line.encode("utf-8", "replace") + b"\n"
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self._unreported += 1
            self.left_out += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Write buffered lines for as long as the descriptor accepts them."""
        while self._buffer and self._poll.poll(0):
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data[:ATOMIC_BYTES])
            except OSError:
                # The reader has closed the pipe; the error cannot be logged.
                self._drop_all()
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
            else:
                self._buffer.popleft()

    def _drop_all(self) -> None:
        self.left_out += len(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0


def to_standard_output(lines_per_s: float) -> BoundedHandler:
    """Return a handler that writes to this process's standard output."""
    return BoundedHandler(STANDARD_OUTPUT, lines_per_s)
