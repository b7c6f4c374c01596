"""Command `python -m bench.capacity`: measures, stores, writes the page."""

import importlib
import pkgutil
import sys

import click

from bench import capacity
from bench.capacity import page
from bench.capacity import store

_SUPPORT_MODULES = ("__main__", "page", "roles", "sizes", "slopes", "store")


def measured_parts() -> list[str]:
    """Return the names of the modules that measure."""
    names = [info.name for info in pkgutil.iter_modules(capacity.__path__)]
    return [name for name in names if name not in _SUPPORT_MODULES]


@click.command()
@click.option(
    "--part", "selected_parts", multiple=True, help="Measure only this part."
)
@click.option(
    "--check", is_flag=True, help="Only check whether the page is stale."
)
@click.option(
    "--write", is_flag=True, help="Only write the page from the stored results."
)
def main(selected_parts: tuple[str, ...], check: bool, write: bool) -> None:
    """Measure slopes and figures; write docs/CAPACITY.md from them."""
    measured = store.load()
    if check:
        sys.exit(0 if page.is_current(measured) else 1)
    for part in () if write else selected_parts or measured_parts():
        module = importlib.import_module(f"bench.capacity.{part}")
        if hasattr(module, "measure"):
            measured.slopes[part] = module.measure()
        if hasattr(module, "figures"):
            measured.figures[part] = module.figures()
        click.echo(f"measured {part}")
        store.save(measured)
    page.write(measured)
    click.echo("wrote docs/CAPACITY.md")


if __name__ == "__main__":
    main()
