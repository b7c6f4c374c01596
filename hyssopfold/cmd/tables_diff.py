"""Differences between the tables in force and those of a file.

Keys of organisations are counted and never shown.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

_TABLES = ("routes", "pools", "organisations")
_SECRETS = ("keys",)

Row = Mapping[str, Any]


def lines(in_force: Mapping[str, Any], edited: Mapping[str, Any]) -> list[str]:
    """Return one line for each field that differs, and for each row.

    Args:
        in_force: Tables in the format for operators.
        edited: Tables in the same format.
    """
    return [
        line
        for table in _TABLES
        for line in _table_lines(
            table, _by_name(in_force, table), _by_name(edited, table)
        )
    ]


def _by_name(tables: Mapping[str, Any], table: str) -> dict[str, Row]:
    return {row["name"]: row for row in tables.get(table, ())}


def _table_lines(
    table: str, old_rows: Mapping[str, Row], new_rows: Mapping[str, Row]
) -> Iterator[str]:
    for name in sorted(old_rows.keys() | new_rows.keys()):
        where = f"{table}.{name}"
        if name not in new_rows:
            yield f"- {where}"
        elif name not in old_rows:
            yield f"+ {where}"
        else:
            yield from _row_lines(where, old_rows[name], new_rows[name])


def _row_lines(where: str, old: Row, new: Row) -> Iterator[str]:
    # Fields in the order of the table.
    for field in dict.fromkeys((*old, *new)):
        before, after = old.get(field), new.get(field)
        if before == after:
            continue
        if field in _SECRETS:
            yield f"~ {where}.{field}: {_describe_keys(before, after)}"
        else:
            yield f"~ {where}.{field}: {_show(before)} -> {_show(after)}"


def _describe_keys(before: Any, after: Any) -> str:
    old, new = set(before or ()), set(after or ())
    if old == new:
        return "other order"
    return f"{len(new - old)} added, {len(old - new)} removed"


def _show(value: Any) -> str:
    return "none" if value is None else str(value)
