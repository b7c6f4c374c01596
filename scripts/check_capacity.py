"""Check that docs/CAPACITY.md shows the latest measurements."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from bench.capacity import page
from bench.capacity import store


def main() -> int:
    """Check the page; return the exit status."""
    if page.is_current(store.load()):
        return 0
    print("docs/CAPACITY.md is stale; run python -m bench.capacity --write")
    return 1


if __name__ == "__main__":
    sys.exit(main())
