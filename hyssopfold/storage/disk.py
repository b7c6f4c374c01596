"""File operations with explicit syncs, for durable writes."""

import os
import pathlib
from typing import Protocol


class Disk(Protocol):
    """File operations that `folder.DataFolder` needs.

    A file survives a crash only once its content and its folder are synced.
    """

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return the file's content, or None if it does not exist."""

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file; a crash before `sync` may lose or tear it."""

    def sync(self, path: pathlib.Path) -> None:
        """Sync the file's content, so that it survives a crash."""

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another; durable after `sync_folder`."""

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file if it exists."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Sync the names in the folder, so that they survive a crash."""


class OsDisk:
    """A `Disk` on the files of the operating system."""

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return the file's content, or None if it does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file; a crash before `sync` may lose or tear it."""
        path.write_bytes(data)

    def sync(self, path: pathlib.Path) -> None:
        """Sync the file's content, so that it survives a crash."""
        _sync(path)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another; durable after `sync_folder`."""
        os.replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Sync the names in the folder, so that they survive a crash."""
        _sync(path)


def _sync(path: pathlib.Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
