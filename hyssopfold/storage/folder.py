"""Store records in a locked data folder, checksummed and synced.

Each record is a file that is replaced atomically.
"""

import fcntl
import os
import pathlib
from typing import Any
import zlib

from hyssopfold import errors
from hyssopfold.storage import disk

FORMAT = 1
_MAGIC = b"HYSSOP"
_HEADER_BYTES = len(_MAGIC) + 2 + 4
_TEMPORARY_SUFFIX = ".new"


class DataFolder:
    """A folder of records that survive a crash once `write` has returned.

    Used by `records.MemberRecords` and by other parts that keep records.

    Args:
        path: Folder of this instance alone; created if missing.
        files: File operations, by default those of the operating system.

    Raises:
        StorageBusyError: if another process has locked the folder.
        StorageWriteError: if the folder cannot be created.
    """

    def __init__(self, path: str, files: disk.Disk | None = None) -> None:
        self.path = pathlib.Path(path)
        self._files = files or disk.OsDisk()
        try:
            self._create()
        except OSError as exc:
            raise errors.StorageWriteError(path, str(exc)) from exc
        self._lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock)
            raise errors.StorageBusyError(path) from exc

    def _create(self) -> None:
        if self.path.exists():
            return
        self.path.mkdir(parents=True)
        # The folder's own name is durable only once its parent is synced.
        self._files.sync_folder(self.path.parent)

    def read(self, name: str) -> bytes | None:
        """Return the record with the name `name`, or None if it is missing.

        Raises:
            CorruptStorageError: if the checksum is wrong or the disk cannot
                read the record.
            StorageFormatError: if the record has another format.
        """
        path = self.path / name
        try:
            data = self._files.read(path)
        except OSError as exc:
            raise errors.CorruptStorageError(str(path), str(exc)) from exc
        return None if data is None else _decode(str(path), data)

    def write(self, name: str, record: bytes) -> None:
        """Replace the record with the name `name`; return once it is synced.

        The new content is synced under a temporary name, which is then renamed
        over the old record, and then the folder is synced. A crash leaves
        either the old or the new record, never a torn one.

        Raises:
            StorageWriteError: if the disk is full or broken; the folder then
                contains either the old or the new record.
        """
        path = self.path / name
        temporary = self.path / f"{name}{_TEMPORARY_SUFFIX}"
        try:
            self._files.write(temporary, _encode(record))
            self._files.sync(temporary)
            self._files.replace(temporary, path)
            self._files.sync_folder(self.path)
        except OSError as exc:
            self._remove(temporary)
            raise errors.StorageWriteError(str(path), str(exc)) from exc

    def _remove(self, path: pathlib.Path) -> None:
        # On a full disk the partly written file would occupy the space that
        # the next attempt needs.
        try:
            self._files.remove(path)
        except OSError:
            return

    def close(self) -> None:
        """Release the lock, so that another process can open the folder."""
        os.close(self._lock)

    def __enter__(self) -> "DataFolder":
        return self

    def __exit__(self, *exc: Any) -> None:
        self.close()


def _encode(record: bytes) -> bytes:
    header = _MAGIC + FORMAT.to_bytes(2, "big")
    return header + zlib.crc32(record).to_bytes(4, "big") + record


def _decode(path: str, data: bytes) -> bytes:
    if len(data) < _HEADER_BYTES or not data.startswith(_MAGIC):
        raise errors.CorruptStorageError(path, "it has no valid header")
    version = int.from_bytes(data[len(_MAGIC) : len(_MAGIC) + 2], "big")
    if version != FORMAT:
        raise errors.StorageFormatError(path, version, FORMAT)
    record = data[_HEADER_BYTES:]
    checksum = int.from_bytes(data[_HEADER_BYTES - 4 : _HEADER_BYTES], "big")
    if zlib.crc32(record) != checksum:
        raise errors.CorruptStorageError(path, "its checksum does not match")
    return record
