"""The quarantine on disk: it outlives a loss of power of all instances.

Each control instance keeps what it was told. Nothing is agreed on: what any of
them reads back is told to all again.
"""

from collections.abc import Callable
import logging
from typing import NamedTuple

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.control import instance
from hyssopfold.core.attempts import quarantine
from hyssopfold.storage import folder

logger = logging.getLogger(__name__)

RECORD = "quarantine"
# How long changes are gathered before they are written.
BATCH_S = 0.2


class _Kept(NamedTuple):
    """Reports, and the time of day in seconds at which they were written."""

    written_at: float
    reports: tuple[quarantine.Report, ...]


class QuarantineRecords:
    """Keep a quarantine in the data folder.

    Args:
        data: The data folder.
        time_of_day: Returns the time of day in seconds.
        run_blocking: Runs a blocking call without holding up other tasks.
    """

    def __init__(
        self,
        data: folder.DataFolder,
        time_of_day: Callable[[], float],
        run_blocking: instance.RunBlocking = trio.to_thread.run_sync,
    ) -> None:
        self._data = data
        self._time_of_day = time_of_day
        self._run_blocking = run_blocking
        self._changed = trio.Event()
        self._table: quarantine.Quarantine | None = None

    def load(self) -> tuple[quarantine.Report, ...]:
        """Return what was kept, as old as it is by now.

        A record that cannot be read is left out: no acknowledgement rests on it.
        """
        try:
            record = self._data.read(RECORD)
            if record is None:
                return ()
            kept = msgspec.msgpack.decode(record, type=_Kept)
        except (errors.CorruptStorageError, msgspec.DecodeError) as exc:
            logger.warning(logs.Event("quarantine-not-read", error=exc))
            return ()
        passed_s = max(0.0, self._time_of_day() - kept.written_at)
        return tuple(
            one._replace(age_s=one.age_s + passed_s) for one in kept.reports
        )

    def schedule_write(self, table: quarantine.Quarantine) -> None:
        """Write the quarantine soon: it has changed."""
        self._table = table
        self._changed.set()

    async def run(self) -> None:
        """Write changes, for ever."""
        while True:
            await self._changed.wait()
            await trio.sleep(BATCH_S)
            self._changed = trio.Event()
            await self._write()

    async def _write(self) -> None:
        assert self._table is not None
        reports = tuple(self._table.shared(trio.current_time()))
        record = msgspec.msgpack.encode(_Kept(self._time_of_day(), reports))
        try:
            # A disk that hangs must not hold up the votes.
            await self._run_blocking(self._data.write, RECORD, record)
        except errors.StorageWriteError as exc:
            logger.warning(logs.Event("quarantine-not-kept", error=exc))
