"""Reads the settings of a running process again from their file."""

from collections.abc import Callable
import logging
from typing import Any
from typing import NamedTuple

from hyssopfold import logs

logger = logging.getLogger(__name__)


class Source(NamedTuple):
    """A settings file and the function that loads it.

    `load` raises `InvalidDocumentError` when the file cannot be used.
    """

    path: str
    load: Callable[[], Any]


class SettingsReloader:
    """Applies the settings that may change while a process runs.

    Args:
        cfg: Settings that the process started with.
        source: File to read them from again.
        setters: Function that applies a new value, for each key that may
            change.
    """

    def __init__(
        self,
        cfg: Any,
        source: Source,
        setters: dict[str, Callable[[Any], None]],
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._setters = setters

    def reload(self) -> None:
        """Read the settings again and apply the changes.

        The old settings stay in force if the file cannot be used; changes of
        other keys take effect at the next start.

        Raises:
            InvalidDocumentError: when the file cannot be used.
        """
        new_cfg = self._source.load()
        changed = {
            key: value
            for key, value in new_cfg._asdict().items()
            if getattr(self._cfg, key) != value
        }
        for key in changed.keys() & self._setters.keys():
            self._setters[key](changed[key])
        self._cfg = new_cfg
        needs_restart = sorted(changed.keys() - self._setters.keys())
        logger.info(
            logs.Event(
                "settings-reloaded",
                changed=",".join(sorted(changed)) or "nothing",
                at_restart=",".join(needs_restart) or "nothing",
            )
        )
