"""The few calls on files that durability rests on."""

import os
import pathlib
from typing import Protocol


class Disk(Protocol):
    """Files that last only once they, and their folder, are synced."""

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return the file's content, or None if there is none."""

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file; it may be lost or torn until it is synced."""

    def sync(self, path: pathlib.Path) -> None:
        """Return once the content of the file would survive a crash."""

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another; lost until the folder is synced."""

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file if it is there."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Return once the names in the folder would survive a crash."""


class OsDisk:
    """The operating system's files."""

    def read(self, path: pathlib.Path) -> bytes | None:
        """Return the file's content, or None if there is none."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def write(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file; it may be lost or torn until it is synced."""
        path.write_bytes(data)

    def sync(self, path: pathlib.Path) -> None:
        """Return once the content of the file would survive a crash."""
        _sync(path)

    def replace(self, source: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another; lost until the folder is synced."""
        os.replace(source, target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file if it is there."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Return once the names in the folder would survive a crash."""
        _sync(path)


def _sync(path: pathlib.Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
