"""The generated blocks of docs/CAPACITY.md."""

import pathlib
import re

from bench.capacity import roles
from bench.capacity import sizes
from bench.capacity import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
_BLOCK = "<!-- {name}: begin -->\n{text}\n<!-- {name}: end -->"
_BLOCKS = re.compile(r"<!-- (\w+): begin -->\n.*?\n<!-- \1: end -->", re.DOTALL)


def slopes_table(measured: store.Measured) -> str:
    """Return the measured slopes as a Markdown table."""
    lines = [
        "| part | cost | per | slope | at none | points | worst | command |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for part in sorted(measured.slopes):
        for slope in measured.slopes[part]:
            lines.append(
                f"| {part} | {slope.cost} | {slope.per} | {slope.slope:.3g}"
                f" | {slope.intercept:.3g} | {len(slope.points)}"
                f" | {slope.max_relative_error:.0%} | `{slope.command}` |"
            )
    return "\n".join(lines)


def figures_table(measured: store.Measured) -> str:
    """Return the measured figures as a Markdown table."""
    lines = ["| part | what | figure | command |", "| --- | --- | --- | --- |"]
    for part in sorted(measured.figures):
        for figure in measured.figures[part]:
            lines.append(
                f"| {part} | {figure.cost} | {figure.value:.4g}"
                f" | `{figure.command}` |"
            )
    return "\n".join(lines)


def today_table(measured: store.Measured) -> str:
    """Return the costs at today's size as a Markdown table."""
    return roles.table(measured, sizes.TODAY)


def grown_table(measured: store.Measured) -> str:
    """Return the costs at the planned size as a Markdown table."""
    return roles.table(measured, sizes.GROWN)


_TABLES = {
    "slopes": slopes_table,
    "figures": figures_table,
    "today": today_table,
    "grown": grown_table,
}


def render(measured: store.Measured, text: str) -> str:
    """Return the text of a page with every generated block replaced."""

    def render_block(match: re.Match[str]) -> str:
        name = match.group(1)
        return _BLOCK.format(name=name, text=_TABLES[name](measured))

    return _BLOCKS.sub(render_block, text)


def write(measured: store.Measured) -> None:
    """Update the generated blocks of the page."""
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(render(measured, text), encoding="utf-8")


def is_current(measured: store.Measured) -> bool:
    """Return whether the page agrees with the measurements."""
    text = PAGE.read_text(encoding="utf-8")
    return render(measured, text) == text
