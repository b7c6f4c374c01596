"""Generate docs/PROOFS.md from docs/proofs/ and check the files that it names.

With `--write` the page is written. Without it, the page must be up to date. In
both cases every file named in a row must exist.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRAGMENTS = ROOT / "docs" / "proofs"
PAGE = ROOT / "docs" / "PROOFS.md"
_FILE_NAME = re.compile(
    r"`((?:hyssopfold|tests|spec|bench|docs|scripts)/[\w./-]+)`"
)
_INTRODUCTION = """# Proofs

For each guarantee and each kind of failure: the mechanism, the file that
implements it, the invariant asserted in the program, and the tests that try to
break it. `scripts/check_proofs.py` checks that every file named here exists;
`make test` runs the features and specifications named.
"""


def page() -> str:
    """Return the page: all fragments, sorted by file name."""
    parts = [_INTRODUCTION]
    for path in sorted(FRAGMENTS.glob("*.md")):
        parts.append(path.read_text(encoding="utf-8").strip() + "\n")
    return "\n".join(parts)


def missing_files(text: str) -> list[str]:
    """Return the files named in `text` that do not exist."""
    names = {match.group(1).rstrip(".") for match in _FILE_NAME.finditer(text)}
    return sorted(name for name in names if not (ROOT / name).exists())


def main() -> int:
    """Check or write the page; return the exit status."""
    text = page()
    if "--write" in sys.argv:
        PAGE.write_text(text, encoding="utf-8")
    faults = [f"no such file: {name}" for name in missing_files(text)]
    if PAGE.read_text(encoding="utf-8") != text:
        faults.append(
            "docs/PROOFS.md is stale; run scripts/check_proofs.py --write"
        )
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
