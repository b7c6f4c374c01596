"""The servers that left, on disk: they survive a power failure of all instances.

Each control instance writes the servers that its directory has as left. It
writes one that leaves through it before it acknowledges that.
"""

import logging

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.control import instance
from hyssopfold.core.membership import messages
from hyssopfold.storage import folder
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

RECORD = "leaves"
# Seconds between two looks for servers that left through other instances.
PERIOD_S = 0.2

_Record = tuple[messages.Server, ...]
_Key = tuple[str, int]


class LeaveRecords:
    """Writes the servers that left to a control instance's data folder.

    Args:
        data: The data folder.
        gossip_service: Keeps the directory of the servers.
        run_blocking: Runs a blocking call without blocking other tasks.
    """

    def __init__(
        self,
        data: folder.DataFolder,
        gossip_service: gossip.Gossip,
        run_blocking: instance.RunBlocking = trio.to_thread.run_sync,
    ) -> None:
        self._data = data
        self._gossip = gossip_service
        self._run_blocking = run_blocking
        # Set when a server waits for its record to be written.
        self._wanted = trio.Event()
        # Set after the next write.
        self._written = trio.Event()
        # The ids and incarnations in the record on disk.
        self._saved: frozenset[_Key] = frozenset()

    def load(self) -> tuple[messages.Server, ...]:
        """Return the servers in the record.

        An unreadable record counts as empty: the other control instances have
        the same servers in theirs.
        """
        try:
            record = self._data.read(RECORD)
            if record is None:
                return ()
            return msgspec.msgpack.decode(record, type=_Record)
        except (errors.CorruptStorageError, msgspec.DecodeError) as exc:
            logger.warning(logs.Event("leaves-not-read", error=exc))
            return ()

    async def wait_until_saved(self, server_id: str) -> None:
        """Wait until a server that left is on disk.

        Returns at once if there is no record of the server.

        Args:
            server_id: The server.
        """
        record = self._gossip.directory.servers.get(server_id)
        while record is not None and _key(record) not in self._saved:
            self._wanted.set()
            await self._written.wait()

    async def run(self) -> None:
        """Restore the servers in the record, then write changes."""
        self._gossip.restore_left(self.load())
        while True:
            await self._write()
            with trio.move_on_after(PERIOD_S):
                await self._wanted.wait()
            self._wanted = trio.Event()

    async def _write(self) -> None:
        servers = self._gossip.directory.servers.left()
        keys = frozenset(map(_key, servers))
        if keys == self._saved:
            return
        record = msgspec.msgpack.encode(servers)
        try:
            # A disk that hangs must not block the votes.
            await self._run_blocking(self._data.write, RECORD, record)
        except errors.StorageWriteError as exc:
            logger.warning(logs.Event("leaves-not-kept", error=exc))
            return
        self._saved = keys
        written, self._written = self._written, trio.Event()
        written.set()


def _key(server: messages.Server) -> _Key:
    return server.server_id, server.incarnation
