"""One data folder: locked, checksummed, synced, replaced atomically."""

import fcntl
import os
import pathlib
from typing import Any
import zlib

from hyssopfold import errors
from hyssopfold.storage import disk

FORMAT = 1
_MAGIC = b"HYSSOP"
_HEADER = len(_MAGIC) + 2 + 4
_NEW = ".new"


class DataFolder:
    """Hold records that survive a crash once `write` has returned.

    Args:
        path: Folder of this instance alone; made when missing.
        files: The disk below.

    Raises:
        StorageBusyError: when another process holds the folder.
        StorageWriteError: when the folder cannot be made.
    """

    def __init__(self, path: str, files: disk.Disk | None = None) -> None:
        self.path = pathlib.Path(path)
        self._files = files or disk.OsDisk()
        try:
            self._make()
        except OSError as exc:
            raise errors.StorageWriteError(path, str(exc)) from exc
        self._lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock)
            raise errors.StorageBusyError(path) from exc

    def _make(self) -> None:
        if self.path.exists():
            return
        self.path.mkdir(parents=True)
        # The folder's own name lasts only once its parent is synced.
        self._files.sync_folder(self.path.parent)

    def read(self, name: str) -> bytes | None:
        """Return the record called `name`, or None if there is none.

        Raises:
            CorruptStorageError: when its checksum or format is wrong, or the
                disk cannot read it.
        """
        path = self.path / name
        try:
            data = self._files.read(path)
        except OSError as exc:
            raise errors.CorruptStorageError(str(path), str(exc)) from exc
        return None if data is None else _unwrap(str(path), data)

    def write(self, name: str, record: bytes) -> None:
        """Replace the record called `name`; return once it is synced.

        The new content is synced under another name before it takes the
        place of the old one, and the folder is synced after: a crash leaves
        the old record or the new, never a torn one.

        Raises:
            StorageWriteError: when the disk is full or broken; the record is
                then the old one or the new one.
        """
        path = self.path / name
        temporary = self.path / f"{name}{_NEW}"
        try:
            self._files.write(temporary, _wrap(record))
            self._files.sync(temporary)
            self._files.replace(temporary, path)
            self._files.sync_folder(self.path)
        except OSError as exc:
            self._remove(temporary)
            raise errors.StorageWriteError(str(path), str(exc)) from exc

    def _remove(self, path: pathlib.Path) -> None:
        # On a full disk the half-written file would keep the space that the
        # next try needs.
        try:
            self._files.remove(path)
        except OSError:
            return

    def close(self) -> None:
        """Let another process have the folder."""
        os.close(self._lock)

    def __enter__(self) -> "DataFolder":
        return self

    def __exit__(self, *exc: Any) -> None:
        self.close()


def _wrap(record: bytes) -> bytes:
    head = _MAGIC + FORMAT.to_bytes(2, "big")
    return head + zlib.crc32(record).to_bytes(4, "big") + record


def _unwrap(path: str, data: bytes) -> bytes:
    if len(data) < _HEADER or not data.startswith(_MAGIC):
        raise errors.CorruptStorageError(path, "no header")
    version = int.from_bytes(data[len(_MAGIC) : len(_MAGIC) + 2], "big")
    if version != FORMAT:
        raise errors.StorageFormatError(path, version, FORMAT)
    record = data[_HEADER:]
    checksum = int.from_bytes(data[_HEADER - 4 : _HEADER], "big")
    if zlib.crc32(record) != checksum:
        raise errors.CorruptStorageError(path, "checksum does not match")
    return record
