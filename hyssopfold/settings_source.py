"""Where a process got its settings, to read them again while it runs."""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

from hyssopfold import logs

logger = logging.getLogger(__name__)


class Source(NamedTuple):
    """A settings file and how to read it.

    `load` raises `InvalidDocumentError` when the file cannot be used.
    """

    path: str
    load: Callable[[], Any]


class SettingsReloader:
    """Put settings in force that may change while a process runs.

    Args:
        cfg: Settings that the process started with.
        source: Where to read them again.
        uses: For each key that may change, what takes its new value.
    """

    def __init__(
        self,
        cfg: Any,
        source: Source,
        uses: dict[str, Callable[[Any], None]],
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._uses = uses

    def reload(self) -> None:
        """Read the settings again; keep the old ones if they are faulty.

        Raises:
            InvalidDocumentError: when the file cannot be used.
        """
        new = self._source.load()
        changed = {
            key: value
            for key, value in new._asdict().items()
            if getattr(self._cfg, key) != value
        }
        for key in changed.keys() & self._uses.keys():
            self._uses[key](changed[key])
        self._cfg = new
        waiting = sorted(changed.keys() - self._uses.keys())
        logger.info(
            logs.Event(
                "settings-reloaded",
                changed=",".join(sorted(changed)) or "nothing",
                at_restart=",".join(waiting) or "nothing",
            )
        )
