"""Check that docs/operators/log.md explains every event of the code."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators" / "log.md"
_EVENT = re.compile(r'logs\.Event\(\s*"([a-z-]+)"')


def events() -> set[str]:
    """Return the events that the code writes."""
    found: set[str] = set()
    for path in (ROOT / "hyssopfold").rglob("*.py"):
        found.update(_EVENT.findall(path.read_text(encoding="utf-8")))
    return found


def main() -> int:
    """Return the exit status."""
    explained = set(
        re.findall(r"`([a-z-]+)`", PAGE.read_text(encoding="utf-8"))
    )
    missing = sorted(events() - explained)
    for event in missing:
        print(f"docs/operators/log.md does not explain {event}")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
