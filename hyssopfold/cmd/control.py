"""Command `hyssop-control`."""

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
    """Run a control instance: durable state and operators' API."""
    daemon.start(settings.load_control, application.run_control, path, check)
