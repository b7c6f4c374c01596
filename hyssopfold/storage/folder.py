"""One data folder: locked, checksummed, synced, replaced atomically."""

import fcntl
import os
import pathlib
from typing import Any
import zlib

from hyssopfold import errors

FORMAT = 1
_MAGIC = b"HYSSOP"
_HEADER = len(_MAGIC) + 2 + 4


class DataFolder:
    """Hold records that survive a crash once `write` has returned.

    Args:
        path: Folder of this instance alone; made when missing.

    Raises:
        StorageBusyError: when another process holds the folder.
    """

    def __init__(self, path: str) -> None:
        self.path = pathlib.Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock)
            raise errors.StorageBusyError(path) from exc

    def read(self, name: str) -> bytes | None:
        """Return the record called `name`, or None if there is none.

        Raises:
            CorruptStorageError: when its checksum or format is wrong.
        """
        path = self.path / name
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return None
        return _unwrap(str(path), data)

    def write(self, name: str, record: bytes) -> None:
        """Replace the record called `name`; return once it is synced.

        The new content is synced under another name before it takes the
        place of the old one, and the folder is synced after: a crash leaves
        the old record or the new, never a torn one.

        Raises:
            StorageWriteError: when the disk is full or broken.
        """
        path = self.path / name
        temporary = self.path / f"{name}.new"
        try:
            with open(temporary, "wb") as file:
                file.write(_wrap(record))
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            self._sync_folder()
        except OSError as exc:
            raise errors.StorageWriteError(str(path), str(exc)) from exc

    def _sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

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
        raise errors.CorruptStorageError(path, f"unknown format {version}")
    record = data[_HEADER:]
    checksum = int.from_bytes(data[_HEADER - 4 : _HEADER], "big")
    if zlib.crc32(record) != checksum:
        raise errors.CorruptStorageError(path, "checksum does not match")
    return record
