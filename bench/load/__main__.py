"""Command `python -m bench.load`: run load scenarios, compare their results."""

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
    """Send load to entries or servers and report the latency of the answers."""


@cli.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--seed", type=int, help="Overrides the scenario's seed.")
@click.option(
    "--entry",
    "entries",
    multiple=True,
    help="Overrides the scenario's entries; repeatable.",
)
@click.option(
    "--rate", type=float, help="Overrides the scenario's rate, in 1/s."
)
@click.option("--callers", type=int, help="Overrides the number of callers.")
@click.option(
    "--seconds", type=float, help="Overrides the duration, in seconds."
)
@click.option("--json", "path", help="File to write the result to, as JSON.")
def run(file: str, path: str | None, **overrides: object) -> None:
    """Run the scenario in FILE and print its latency table."""
    try:
        scenario = scenarios.load(file)
    except errors.InvalidDocumentError as exc:
        click.echo(str(exc), err=True)
        sys.exit(exc.exit_status)
    changes = {key: value for key, value in overrides.items() if value}
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
    """Print each figure of the result AFTER divided by that of BEFORE."""
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
