"""Lines about one request, kept until its end shows whether to write them.

Most requests end well and nobody asks after them; one that fails is asked for
by its id. So the lines of a request wait for its end: a failed or refused one
is written whole, a good one as far as there is room. Which good ones is drawn
by the request's id, alike in every process, so a request that is kept is kept
wherever it went. What waits is lost with the process.
"""

import logging
import time
from typing import NamedTuple
import zlib

from hyssopfold import logs

# Share of the room that good requests may take; the rest is for failures and
# for what changes the process's belief.
GOOD_SHARE = 0.5
_SCALE = float(1 << 32)


class _Line(NamedTuple):
    at: float
    logger: logging.Logger
    event: logs.Event


class Sampler:
    """Decide which good requests are written, within a budget of lines.

    Args:
        lines_per_s: Lines a second that the process may write.
    """

    def __init__(self, lines_per_s: float) -> None:
        self._budget = lines_per_s * GOOD_SHARE
        self._second = 0
        self._lines = 0
        self._share = 1.0
        self.left_out = 0

    def keeps(self, request_id: str, lines: int, now: float) -> bool:
        """Return whether a good request's lines are written.

        Args:
            request_id: Draws its place; a lower one is kept by more processes.
            lines: How many they are.
            now: Time in seconds.
        """
        second = int(now)
        if second != self._second:
            wanted = self._lines / max(1, second - self._second)
            self._share = min(1.0, self._budget / wanted if wanted else 1.0)
            self._second, self._lines = second, 0
        self._lines += lines
        if self._lines * self._share > self._budget or not self._drawn(
            request_id
        ):
            self.left_out += lines
            return False
        return True

    def _drawn(self, request_id: str) -> bool:
        place = zlib.crc32(request_id.encode()) / _SCALE
        return place < self._share


class RequestLog:
    """The lines of one request.

    Args:
        request_id: Its id, put on each line.
        sampler: Draws the good requests that are written.
    """

    def __init__(self, request_id: str, sampler: Sampler) -> None:
        self._id = request_id
        self._sampler = sampler
        self._lines: list[_Line] = []

    def add(self, logger: logging.Logger, event: str, **fields: object) -> None:
        """Note an event; nothing is formatted yet."""
        line = logs.Event(event, request=self._id, **fields)
        self._lines.append(_Line(time.time(), logger, line))

    def end(self, good: bool) -> None:
        """Write the lines, or leave them out."""
        now = time.time()
        if good and not self._sampler.keeps(self._id, len(self._lines), now):
            return
        for line in self._lines:
            _write(line)


def _write(line: _Line) -> None:
    if not line.logger.isEnabledFor(logging.INFO):
        return
    record = line.logger.makeRecord(
        line.logger.name, logging.INFO, "", 0, line.event, (), None
    )
    record.created = line.at
    record.msecs = (line.at - int(line.at)) * 1000
    line.logger.handle(record)
