"""The tables in force, as operators see and edit them."""

from typing import Any

import yaml

from hyssopfold import organisations


def mask_keys(body: dict[str, Any]) -> None:
    """Make the keys of organisations unreadable in an answer of control."""
    for row in body.get("organisations", ()):
        row["keys"] = [organisations.masked_key(key) for key in row["keys"]]


def to_yaml(body: dict[str, Any]) -> str:
    """Return tables as YAML that `apply` accepts.

    Evacuated failure domains are written as comments: they belong to no version
    of the tables and stay evacuated whatever tables are applied.
    """
    table_rows = {
        key: value for key, value in body.items() if key != "evacuated"
    }
    text: str = yaml.safe_dump(table_rows, sort_keys=False)
    for domain in body.get("evacuated", ()):
        text = (
            f"# evacuated: {domain} (end it: evacuate {domain} --end)\n{text}"
        )
    return text
