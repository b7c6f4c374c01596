"""Write the reference pages of docs/operators/ from the declarations.

With `--write` the pages are written; without, they must be as they would be.
"""

from collections.abc import Sequence
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import setting_fields
from hyssopfold import tables

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs" / "operators"

_TABLES_HEAD = """# The tables

One YAML file holds both tables. `hyssopctl tables check FILE` lists every fault
with its line; `hyssopctl tables apply FILE --expect REV` puts it in force.
Everything an operator does is a row here: a server, a failure domain or a region
is drained by naming it under `drains` of its pool, traffic is moved by `weights`
of a route, and the caps on it are the pool's.
"""
_ERRORS_HEAD = """# What each error means

Each error of a daemon or of `hyssopctl` is one line: its kind, what happened,
and the remedy. `hyssopctl` and the daemons end with the exit status named here.
"""


_SETTINGS_HEAD = """# The settings

Each daemon reads one YAML file, `--settings FILE`; `--check` reads it, prints every
fault with its line and what is allowed, and ends with status 2 if there is one.
Unknown keys are refused. Keys, tokens and certificates are named by file and are
read again when the file changes; all else needs a restart. In a file of keys or
tokens each line is one; a line that begins with `#` is a comment.
"""


def _field_rows(fields: Sequence[documents.Field]) -> list[str]:
    lines = ["| key | default | unit | meaning |", "| --- | --- | --- | --- |"]
    for field in fields:
        default = "required" if field.required else _shown(field.default)
        lines.append(
            f"| `{field.name}` | {default} | {field.unit} | {field.help} |"
        )
    return lines


def _shown(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, tables.Drains):
        return "none"
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value)


def tables_page() -> str:
    """Return the reference of the tables."""
    parts = [_TABLES_HEAD, "## Routes\n"]
    parts += ["\n".join(_field_rows(tables.ROUTE_FIELDS)) + "\n"]
    parts += ["## Pools\n"]
    parts += ["\n".join(_field_rows(tables.POOL_FIELDS)) + "\n"]
    example = (ROOT / "examples" / "mrema.yaml").read_text(encoding="utf-8")
    parts += ["## An example\n", f"```yaml\n{example}```\n"]
    return "\n".join(parts)


def settings_page() -> str:
    """Return the reference of the settings."""
    control = setting_fields.CONTROL_FIELDS
    entry = setting_fields.ENTRY_FIELDS
    shared = [field for field in control if field in entry]
    parts = [_SETTINGS_HEAD, "## Of every daemon\n"]
    parts += ["\n".join(_field_rows(shared)) + "\n"]
    for title, fields in (("hyssop-control", control), ("hyssop-entry", entry)):
        own = [field for field in fields if field not in shared]
        parts += [f"## Of {title} alone\n"]
        parts += ["\n".join(_field_rows(own)) + "\n"]
    return "\n".join(parts)


def errors_page() -> str:
    """Return the list of errors."""
    kinds = [
        kind
        for kind in vars(errors).values()
        if isinstance(kind, type)
        and issubclass(kind, errors.HyssopError)
        and kind is not errors.HyssopError
    ]
    lines = ["| kind | exit status | meaning |", "| --- | --- | --- |"]
    for kind in sorted(kinds, key=lambda kind: kind.kind):
        meaning = (kind.__doc__ or "").partition("\n")[0]
        lines.append(f"| `{kind.kind}` | {kind.exit_status} | {meaning} |")
    return _ERRORS_HEAD + "\n" + "\n".join(lines) + "\n"


def main() -> int:
    """Check or write the pages; return the exit status."""
    pages = {
        PAGES / "tables.md": tables_page(),
        PAGES / "settings.md": settings_page(),
        PAGES / "errors.md": errors_page(),
    }
    stale = []
    for path, text in pages.items():
        if "--write" in sys.argv:
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            stale.append(path.name)
    for name in stale:
        print(f"docs/operators/{name}: scripts/check_reference.py --write")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
