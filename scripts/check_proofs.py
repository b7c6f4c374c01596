"""Put docs/PROOFS.md together from docs/proofs/ and check what it names.

With `--write` the page is written; without, it must be as it would be written,
and every file that a row names must exist.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRAGMENTS = ROOT / "docs" / "proofs"
PAGE = ROOT / "docs" / "PROOFS.md"
_NAMED = re.compile(
    r"`((?:hyssopfold|tests|spec|bench|docs|scripts)/[\w./-]+)`"
)
_HEAD = """# Proofs

For each point of what must always hold and of what fails: the mechanism, the
file that carries it, the invariant asserted in the program, and what tries to
break it. `scripts/check_proofs.py` checks that every file named here exists;
`make test` runs the features and specifications named.
"""


def page() -> str:
    """Return the page made of all fragments, in the order of their names."""
    parts = [_HEAD]
    for path in sorted(FRAGMENTS.glob("*.md")):
        parts.append(path.read_text(encoding="utf-8").strip() + "\n")
    return "\n".join(parts)


def missing_files(text: str) -> list[str]:
    """Return the files named in `text` that do not exist."""
    named = {match.group(1).rstrip(".") for match in _NAMED.finditer(text)}
    return sorted(name for name in named if not (ROOT / name).exists())


def main() -> int:
    """Check or write the page; return the exit status."""
    text = page()
    if "--write" in sys.argv:
        PAGE.write_text(text, encoding="utf-8")
    faults = [f"no such file: {name}" for name in missing_files(text)]
    if PAGE.read_text(encoding="utf-8") != text:
        faults.append(
            "docs/PROOFS.md is stale: scripts/check_proofs.py --write"
        )
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
