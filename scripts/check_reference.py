"""Generate the reference pages of docs/operators/ from the code.

The pages describe the fields of tables and settings and the errors. With
`--write` they are written; without it, they must be up to date.
"""

from collections.abc import Sequence
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import organisations
from hyssopfold import setting_fields
from hyssopfold import tables

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs" / "operators"

_TABLES_INTRODUCTION = """# The tables

One YAML file contains the tables. `hyssopctl tables check FILE` lists every
fault with its line; `hyssopctl tables diff FILE` prints what it would change;
`hyssopctl tables apply FILE --expect REV` puts the file in force. Operators
control the system through the rows of this file: to drain a server, a failure
domain or a region, name it under `drains` of its pool; to move traffic, set the
`weights` of a route. The caps on a move are fields of the pool.
"""
_ORGANISATIONS_INTRODUCTION = """This table is optional. With it, each request carries the key of an organisation
in the header `hyssop-key`, except on public routes; servers get the name of the
organisation in `hyssop-organisation` and never the key. A request without a
valid key is answered 401, one beyond the limit 429, and neither runs. To replace
a key, add the new one, wait until callers use it, and remove the old one.
`hyssopctl tables get` masks the keys; with `--keys` it prints tables that can be
edited and applied. `hyssopctl organisations` shows the use of the limits.
"""
_ERRORS_INTRODUCTION = """# What each error means

Each error of a daemon or of `hyssopctl` is printed on one line: its kind, what
happened, and the remedy. `hyssopctl` and the daemons end with the exit status
given here.
"""


_SETTINGS_INTRODUCTION = """# The settings

Each daemon reads one YAML file, `--settings FILE`. With `--check` it only
checks the file: it prints every fault with its line and the values allowed, and
ends with status 2 if there is one. Unknown keys are refused. Settings for keys,
tokens and certificates name a file, which is read again when it changes; a
change of any other setting needs a restart. A file of keys or tokens has one
per line; lines that begin with `#` are comments.
"""


def _field_rows(fields: Sequence[documents.Field]) -> list[str]:
    lines = ["| key | default | unit | meaning |", "| --- | --- | --- | --- |"]
    for field in fields:
        default = (
            "required" if field.required else _format_default(field.default)
        )
        lines.append(
            f"| `{field.name}` | {default} | {field.unit} | {field.help} |"
        )
    return lines


def _format_default(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, tables.Drains):
        return "none"
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return str(value)


def tables_page() -> str:
    """Return the reference page of the tables."""
    parts = [_TABLES_INTRODUCTION, "## Routes\n"]
    parts += ["\n".join(_field_rows(tables.ROUTE_FIELDS)) + "\n"]
    parts += ["## Pools\n"]
    parts += ["\n".join(_field_rows(tables.POOL_FIELDS)) + "\n"]
    parts += ["## Organisations\n", _ORGANISATIONS_INTRODUCTION]
    parts += ["\n".join(_field_rows(organisations.FIELDS)) + "\n"]
    parts += ["## Examples\n"]
    for name in ("mrema.yaml", "organisations.yaml"):
        example = (ROOT / "examples" / name).read_text(encoding="utf-8")
        parts += [f"```yaml\n{example}```\n"]
    return "\n".join(parts)


def settings_page() -> str:
    """Return the reference page of the settings."""
    control = setting_fields.CONTROL_FIELDS
    entry = setting_fields.ENTRY_FIELDS
    shared_fields = [field for field in control if field in entry]
    parts = [_SETTINGS_INTRODUCTION, "## Settings of all daemons\n"]
    parts += ["\n".join(_field_rows(shared_fields)) + "\n"]
    for title, fields in (("hyssop-control", control), ("hyssop-entry", entry)):
        specific_fields = [
            field for field in fields if field not in shared_fields
        ]
        parts += [f"## Settings of {title} only\n"]
        parts += ["\n".join(_field_rows(specific_fields)) + "\n"]
    return "\n".join(parts)


def errors_page() -> str:
    """Return the reference page of the errors."""
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
    return _ERRORS_INTRODUCTION + "\n" + "\n".join(lines) + "\n"


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
        print(
            f"docs/operators/{name} is stale;"
            " run scripts/check_reference.py --write"
        )
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
