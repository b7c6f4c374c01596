"""Check that docs/operators/log.md explains every log event."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "log.md"
_EVENT = re.compile(r'logs\.Event\(\s*"([a-z-]+)"')


def logged_events() -> set[str]:
    """Return the names of the events that the code logs."""
    names: set[str] = set()
    for path in (ROOT / "hyssopfold").rglob("*.py"):
        names.update(_EVENT.findall(path.read_text(encoding="utf-8")))
    return names


def main() -> int:
    """Check the page; return the exit status."""
    explained = set(
        re.findall(r"`([a-z-]+)`", PAGE.read_text(encoding="utf-8"))
    )
    missing = sorted(logged_events() - explained)
    for event in missing:
        print(f"docs/operators/log.md does not explain {event}")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
