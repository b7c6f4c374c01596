"""Check that the documentation builds without warnings."""

import pathlib
import sys
import tempfile

from sphinx.cmd import build

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> int:
    """Build into a temporary folder; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        return build.main(
            ["-q", "-W", "--keep-going", "-b", "html", "-d", f"{folder}/trees",
             str(ROOT / "docs"), f"{folder}/html"]
        )  # fmt: skip


if __name__ == "__main__":
    sys.exit(main())
