"""Command `hyssop-entry`."""

import click

import hyssopfold
from hyssopfold import application
from hyssopfold import settings
from hyssopfold.cmd import daemon


@click.command()
@click.option("--settings", "path", required=True, help="YAML settings file.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(hyssopfold.__version__)
def main(path: str, check: bool) -> None:
    """Run an entry: look-ups and the data path."""
    daemon.start(settings.load_entry, application.run_entry, path, check)
