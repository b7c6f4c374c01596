"""Command `python -m bench.load`."""

import sys

import click
import trio

from bench.load import plots
from bench.load import report
from bench.load import runner
from bench.load import scenario as scenarios
from hyssopfold import errors


@click.group()
def cli() -> None:
    """Load entries or servers and say how long the answers took."""


@cli.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--seed", type=int, help="In place of the scenario's seed.")
@click.option("--entry", "entries", multiple=True, help="In place of its own.")
@click.option("--rate", type=float, help="In place of the scenario's rate.")
@click.option("--callers", type=int, help="In place of its callers.")
@click.option("--seconds", type=float, help="In place of its length.")
@click.option("--json", "path", help="Where to write the result as JSON.")
def run(file: str, path: str | None, **given: object) -> None:
    """Run the scenario in FILE and print a table."""
    try:
        scenario = scenarios.load(file)
    except errors.InvalidDocumentError as exc:
        click.echo(str(exc), err=True)
        sys.exit(exc.exit_status)
    changes = {key: value for key, value in given.items() if value}
    scenario = scenario._replace(**changes)  # type: ignore[arg-type]
    load = runner.Run(scenario)
    seconds = trio.run(load.run)
    result = report.summarize(scenario, load.tally, seconds)
    click.echo(report.table(result))
    if path:
        report.save(result, path)


@cli.command()
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before: str, after: str) -> None:
    """Print the result AFTER as ratios of the result BEFORE."""
    click.echo(report.compare(report.load(before), report.load(after)))


@cli.command()
@click.argument("results", nargs=-1, required=True)
@click.option("--output", required=True, help="PNG file to write.")
def plot(results: tuple[str, ...], output: str) -> None:
    """Draw latency against percentile for RESULTS."""
    plots.latency_plot([report.load(path) for path in results], output)
    click.echo(f"wrote {output}")


if __name__ == "__main__":
    cli()
