"""Command `python -m bench.capacity`: measure, keep, write the page."""

import importlib
import pkgutil
import sys

import click

from bench import capacity
from bench.capacity import page
from bench.capacity import store

_OURS = ("__main__", "page", "roles", "sizes", "slopes", "store")


def parts() -> list[str]:
    """Return the names of the modules that measure."""
    names = [info.name for info in pkgutil.iter_modules(capacity.__path__)]
    return [name for name in names if name not in _OURS]


@click.command()
@click.option("--part", "only", multiple=True, help="Measure just this part.")
@click.option("--check", is_flag=True, help="Only see if the page is stale.")
@click.option("--write", is_flag=True, help="Only write the page again.")
def main(only: tuple[str, ...], check: bool, write: bool) -> None:
    """Measure the slopes again and write docs/CAPACITY.md from them."""
    measured = store.load()
    if check:
        sys.exit(0 if page.is_current(measured) else 1)
    for part in () if write else only or parts():
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
