"""The quarantine on disk, which survives a power failure of all instances.

Each control instance writes the reports it received, without a consensus. After
a start it sends the reports that it reads back to the other instances.
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
# Seconds for which changes are collected into one write.
BATCH_S = 0.2


class _StoredReports(NamedTuple):
    """Reports, and the UTC in seconds since 1970 at which they were written."""

    written_at: float
    reports: tuple[quarantine.Report, ...]


class QuarantineRecords:
    """Writes the quarantine of a control instance to the data folder.

    Args:
        data: The data folder.
        utc_s: Returns UTC in seconds since 1970.
        run_blocking: Runs a blocking call without blocking other tasks.
    """

    def __init__(
        self,
        data: folder.DataFolder,
        utc_s: Callable[[], float],
        run_blocking: instance.RunBlocking = trio.to_thread.run_sync,
    ) -> None:
        self._data = data
        self._utc_s = utc_s
        self._run_blocking = run_blocking
        self._changed = trio.Event()
        self._table: quarantine.Quarantine | None = None

    def load(self) -> tuple[quarantine.Report, ...]:
        """Return the stored reports, with their age at this time.

        An unreadable record counts as empty, since no acknowledgement depends
        on it.
        """
        try:
            record = self._data.read(RECORD)
            if record is None:
                return ()
            stored = msgspec.msgpack.decode(record, type=_StoredReports)
        except (errors.CorruptStorageError, msgspec.DecodeError) as exc:
            logger.warning(logs.Event("quarantine-not-read", error=exc))
            return ()
        elapsed_s = max(0.0, self._utc_s() - stored.written_at)
        return tuple(
            report._replace(age_s=report.age_s + elapsed_s)
            for report in stored.reports
        )

    def schedule_write(self, table: quarantine.Quarantine) -> None:
        """Write the changed quarantine after `BATCH_S`.

        Args:
            table: The quarantine.
        """
        self._table = table
        self._changed.set()

    async def run(self) -> None:
        """Write changes until cancelled."""
        while True:
            await self._changed.wait()
            await trio.sleep(BATCH_S)
            self._changed = trio.Event()
            await self._write()

    async def _write(self) -> None:
        assert self._table is not None
        reports = tuple(self._table.shared(trio.current_time()))
        record = msgspec.msgpack.encode(_StoredReports(self._utc_s(), reports))
        try:
            # A disk that hangs must not block the votes.
            await self._run_blocking(self._data.write, RECORD, record)
        except errors.StorageWriteError as exc:
            logger.warning(logs.Event("quarantine-not-kept", error=exc))
