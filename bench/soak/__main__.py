"""Command `python -m bench.soak`: simulate sites under random faults."""

from concurrent import futures
import sys

import click

from bench.soak import soak_run


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the first run.")
@click.option("--days", default=4, show_default=True)
@click.option("--seconds", default=40.0, show_default=True)
@click.option("--load", default=0.8, show_default=True)
@click.option("--evacuations/--no-evacuations", default=True)
@click.option("--limits/--no-limits", default=True)
@click.option("--workers", default=None, type=int, help="Parallel runs.")
@click.option("--site", "site_names", multiple=True, default=soak_run.ALL_SITES)
def main(
    seed: int,
    days: int,
    seconds: float,
    load: float,
    evacuations: bool,
    limits: bool,
    workers: int | None,
    site_names: tuple[str, ...],
) -> None:
    """Simulate runs with random faults; the same seed gives the same run."""
    failed = 0
    with futures.ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(
                soak_run.execute,
                soak_run.SoakRun(
                    site, seed + number, seconds, load, evacuations, limits
                ),
            )
            for number in range(days)
            for site in site_names
        ]
        for job in jobs:
            result = job.result()
            failed += bool(result.findings)
            click.echo(result.summary)
            for finding in result.findings:
                click.echo(f"  FAULT {finding}")
    click.echo(f"{len(jobs)} runs, {failed} with findings")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
