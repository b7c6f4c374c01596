"""Buffers the log lines of a request until it ends, then writes or drops them.

Most requests succeed and their lines are never read; a failed request is looked
up by its id. So the lines of a request are buffered until its end: those of a
failed or refused request are all written, those of successful requests are
sampled within a budget of lines. The sample is drawn from a hash of the request
id, so all processes choose the same requests. Buffered lines are lost if the
process dies.
"""

import logging
import time
from typing import NamedTuple
import zlib

from hyssopfold import logs

# Share of the line budget for successful requests; the rest is for failures and
# for events that change the state of the process.
SUCCESS_SHARE = 0.5
# Number of values of the hash that selects requests, CRC-32.
_HASH_RANGE = float(1 << 32)


class _Line(NamedTuple):
    time_s: float
    logger: logging.Logger
    event: logs.Event


class Sampler:
    """Decides which successful requests to write, within a budget of lines.

    `left_out` counts the lines that were not written.

    Args:
        lines_per_s: Largest number of lines that the process writes in a
            second.
    """

    def __init__(self, lines_per_s: float) -> None:
        self._budget = lines_per_s * SUCCESS_SHARE
        self._second = 0
        self._lines = 0
        self._sample_rate = 1.0
        self.left_out = 0

    def should_write(self, request_id: str, lines: int, now: float) -> bool:
        """Return whether to write the lines of a successful request.

        Args:
            request_id: ID of the request. A process writes the requests whose
                hash is below its sample rate, so a request with a low hash is
                written by more processes than one with a high hash.
            lines: Number of lines of the request.
            now: Time in seconds.
        """
        second = int(now)
        if second != self._second:
            lines_per_s = self._lines / max(1, second - self._second)
            self._sample_rate = min(
                1.0, self._budget / lines_per_s if lines_per_s else 1.0
            )
            self._second, self._lines = second, 0
        self._lines += lines
        if (
            self._lines * self._sample_rate > self._budget
            or not self._is_sampled(request_id)
        ):
            self.left_out += lines
            return False
        return True

    def _is_sampled(self, request_id: str) -> bool:
        position = zlib.crc32(request_id.encode()) / _HASH_RANGE
        return position < self._sample_rate


class RequestLog:
    """The buffered log lines of one request.

    Args:
        request_id: ID of the request, put on each line.
        sampler: Decides which successful requests are written.
    """

    def __init__(self, request_id: str, sampler: Sampler) -> None:
        self._id = request_id
        self._sampler = sampler
        self._lines: list[_Line] = []

    def add(self, logger: logging.Logger, event: str, **fields: object) -> None:
        """Record an event; it is formatted only when it is written."""
        log_event = logs.Event(event, request=self._id, **fields)
        self._lines.append(_Line(time.time(), logger, log_event))

    def end(self, succeeded: bool) -> None:
        """Write the lines or drop them.

        Args:
            succeeded: Whether the request succeeded; its lines may then be
                dropped.
        """
        now = time.time()
        if succeeded and not self._sampler.should_write(
            self._id, len(self._lines), now
        ):
            return
        for line in self._lines:
            _write(line)


def _write(line: _Line) -> None:
    if not line.logger.isEnabledFor(logging.INFO):
        return
    record = line.logger.makeRecord(
        line.logger.name, logging.INFO, "", 0, line.event, (), None
    )
    record.created = line.time_s
    record.msecs = (line.time_s - int(line.time_s)) * 1000
    line.logger.handle(record)
