"""Compare policies of choosing servers: `python -m bench.emulator`."""

from concurrent import futures
import statistics

import click

from bench.emulator import sites
from bench.emulator import world
from hyssopfold.core.balancing import local


def play(site: str, load: float, seed: int, seconds: float) -> dict[str, float]:
    """Return the worth of one play."""
    held = world.World(
        sites.SITES[site],
        load,
        seed,
        local.Chooser,
    )
    held.run(seconds)
    return held.worth()


@click.command()
@click.option("--seeds", default=8, show_default=True)
@click.option("--seconds", default=36.0, show_default=True)
@click.option("--loads", default="0.65,1.0,1.3", show_default=True)
def main(seeds: int, seconds: float, loads: str) -> None:
    """Print a row for each site and load: means over the seeds."""
    with futures.ProcessPoolExecutor() as pool:
        for site in sites.SITES:
            for load in map(float, loads.split(",")):
                jobs = [
                    pool.submit(play, site, load, seed, seconds)
                    for seed in range(seeds)
                ]
                found = [job.result() for job in jobs]
                row = "  ".join(
                    f"{key} {statistics.mean(one[key] for one in found):.3f}"
                    for key in found[0]
                )
                click.echo(f"{site:8} load {load:.2f}  {row}")


if __name__ == "__main__":
    main()
