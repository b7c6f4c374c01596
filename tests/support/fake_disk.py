"""Fake disks that lose unsynced data, and that fail or crash on demand."""

import errno


class CrashError(Exception):
    """The simulated power failure."""


class _File:
    def __init__(self, data=b""):
        self.data = data
        self.synced = b""


class FakeDisk:
    """Files in memory behind a simulated cache.

    Implements `disk.Disk`.

    Args:
        rng: Chooses what remains of unsynced writes and renames.
    """

    def __init__(self, rng):
        self.rng = rng
        self.operations = 0
        self.crash_at = None
        self.full = False
        self._files = {}
        self._synced_names = {}
        self._renames = []

    def _count_operation(self):
        self.operations += 1
        if self.operations == self.crash_at:
            raise CrashError(self.operations)

    def crash(self):
        """Lose some of the names and contents that were not synced."""
        names = dict(self._synced_names)
        kept_renames = self.rng.randint(0, len(self._renames))
        for name, file in self._renames[:kept_renames]:
            names[name] = file
            if file is None:
                del names[name]
        for file in names.values():
            file.data = self._content_after_crash(file)
            file.synced = file.data
        self._files = dict(names)
        self._synced_names = dict(names)
        self._renames = []
        self.crash_at = None

    def _content_after_crash(self, file):
        if file.data == file.synced:
            return file.synced
        torn = file.data[: self.rng.randint(0, len(file.data))]
        return self.rng.choice((file.synced, torn, file.data))

    def read(self, path):
        """Return a file's content."""
        file = self._files.get(path)
        return None if file is None else file.data

    def write(self, path, data):
        """Write a file into the cache; a crash may leave half of it."""
        file = self._files.get(path)
        if file is None:
            file = _File()
            self._set_name(path, file)
        if self.full:
            file.data = data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "no space left on device")
        file.data = data[: len(data) // 2]
        self._count_operation()
        file.data = data

    def sync(self, path):
        """Sync a file's content."""
        self._count_operation()
        file = self._files[path]
        file.synced = file.data
        self._count_operation()

    def replace(self, source, target):
        """Rename a file."""
        self._count_operation()
        file = self._files[source]
        self._set_name(target, file)
        self._set_name(source, None)
        self._count_operation()

    def remove(self, path):
        """Remove a file."""
        if path in self._files:
            self._set_name(path, None)

    def _set_name(self, path, file):
        self._renames.append((path, file))
        if file is None:
            del self._files[path]
        else:
            self._files[path] = file

    def sync_folder(self, path):
        """Sync the names of a folder."""
        self._count_operation()
        self._synced_names = dict(self._files)
        self._renames = []
        self._count_operation()


class UnsyncedDisk(FakeDisk):
    """A disk whose syncs do nothing, as for a member that never syncs."""

    def sync(self, path):
        """Do nothing."""
        self._count_operation()

    def sync_folder(self, path):
        """Do nothing."""
        self._count_operation()
