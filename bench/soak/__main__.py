"""Command `python -m bench.soak`: days of faults, and whether all came back."""

from concurrent import futures
import sys

import click

from bench.soak import day


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the first day.")
@click.option("--days", default=4, show_default=True)
@click.option("--seconds", default=40.0, show_default=True)
@click.option("--load", default=0.8, show_default=True)
@click.option("--evacuations/--no-evacuations", default=True)
@click.option("--workers", default=None, type=int, help="Days at a time.")
@click.option("--site", "names", multiple=True, default=day.USUAL_SITES)
def main(
    seed: int,
    days: int,
    seconds: float,
    load: float,
    evacuations: bool,
    workers: int | None,
    names: tuple[str, ...],
) -> None:
    """Play days of random faults on the model; the same seed, the same day."""
    failed = 0
    with futures.ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(
                day.play,
                day.Day(site, seed + number, seconds, load, evacuations),
            )
            for number in range(days)
            for site in names
        ]
        for job in jobs:
            played = job.result()
            failed += bool(played.findings)
            click.echo(played.row)
            for finding in played.findings:
                click.echo(f"  FAULT {finding}")
    click.echo(f"{len(jobs)} days, {failed} with a fault")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
