"""The task that reads keys, tokens and certificates again when they change."""

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


class _Watched(NamedTuple):
    paths: tuple[str, ...]
    use: Callable[[], None]
    seen: Signature


class Reloader:
    """Call what uses a file again when the file is another.

    Args:
        period_s: Seconds between two looks at the files.
    """

    def __init__(self, period_s: float | None = None) -> None:
        self._period_s = PERIOD_S if period_s is None else period_s
        self._watched: list[_Watched] = []

    def watch(self, paths: tuple[str, ...], use: Callable[[], None]) -> None:
        """Call `use` whenever one of `paths` has changed from now on."""
        self._watched.append(_Watched(paths, use, _signature(paths)))

    async def run(self) -> None:
        """Look at the files each period."""
        while True:
            await trio.sleep(self._period_s)
            self.check()

    def check(self) -> None:
        """Look at the files once.

        A file that cannot be used, half written perhaps, leaves what was
        read before in force; it is tried again when it changes.
        """
        for index, watched in enumerate(self._watched):
            now = _signature(watched.paths)
            if now == watched.seen:
                continue
            self._watched[index] = watched._replace(seen=now)
            names = ",".join(watched.paths)
            try:
                watched.use()
            except (errors.InvalidDocumentError, OSError) as exc:
                logger.error(  # noqa: TRY400
                    logs.Event("reload-refused", files=names, error=exc)
                )
            else:
                logger.info(logs.Event("reloaded", files=names))


def _signature(paths: tuple[str, ...]) -> Signature:
    signature = []
    for path in paths:
        try:
            stat = os.stat(path)
        except OSError:
            signature.append((0, 0, 0))
        else:
            signature.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
    return tuple(signature)
