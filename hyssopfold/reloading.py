"""Task that reads files again when they change.

These are the files of keys, tokens, certificates and settings.
"""

from collections.abc import Callable
import logging
import os
from typing import NamedTuple

import trio

from hyssopfold import errors
from hyssopfold import logs

logger = logging.getLogger(__name__)

PERIOD_S = 2.0

Signature = tuple[tuple[int, int, int], ...]


class _WatchedFiles(NamedTuple):
    paths: tuple[str, ...]
    reload: Callable[[], None]
    signature: Signature


class Reloader:
    """Calls the function that reads a file again when the file has changed.

    Args:
        period_s: Seconds between two checks of the files.
    """

    def __init__(self, period_s: float | None = None) -> None:
        self._period_s = PERIOD_S if period_s is None else period_s
        self._watched: list[_WatchedFiles] = []

    def watch(self, paths: tuple[str, ...], reload: Callable[[], None]) -> None:
        """Call `reload` whenever one of `paths` changes from now on."""
        self._watched.append(_WatchedFiles(paths, reload, _signature(paths)))

    async def run(self) -> None:
        """Check the files once a period."""
        while True:
            await trio.sleep(self._period_s)
            self.check()

    def check(self) -> None:
        """Check the files once and reload those that have changed.

        If a file cannot be used, for example because it is half written, the
        content read before stays in use; it is read again when it changes.
        """
        for index, watched in enumerate(self._watched):
            signature = _signature(watched.paths)
            if signature == watched.signature:
                continue
            self._watched[index] = watched._replace(signature=signature)
            names = ",".join(watched.paths)
            try:
                watched.reload()
            except (errors.InvalidDocumentError, OSError) as exc:
                logger.error(  # noqa: TRY400
                    logs.Event("reload-refused", files=names, error=exc)
                )
            except Exception:
                # An error raised here would end the process.
                logger.exception(logs.Event("reload-failed", files=names))
            else:
                logger.info(logs.Event("reloaded", files=names))


def _signature(paths: tuple[str, ...]) -> Signature:
    """Return modification time, size and inode of each file."""
    signature = []
    for path in paths:
        try:
            stat = os.stat(path)
        except OSError:
            signature.append((0, 0, 0))
        else:
            signature.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
    return tuple(signature)
