"""Compare policies of choosing servers: `python -m bench.emulator`."""

from concurrent import futures
import statistics

import click

from bench.emulator import sites
from bench.emulator import world
from hyssopfold.core.balancing import local
from hyssopfold.entry import local_placement

# A stretch in which servers are slow, in seconds from the start.
SLOW_SPAN_S = (13.0, 22.0)
# A stretch in which more callers come, beside a failure domain being emptied.
BURST_SPAN_S = (20.0, 25.0)
EMPTY_SPAN_S = (10.0, 28.0)


def play(
    site: str,
    load: float,
    seed: int,
    seconds: float,
    slow: tuple[float, float],
    tell_s: float,
    burst: float,
    busy: int,
) -> dict[str, float]:
    """Return the worth of one play."""
    held = world.World(
        sites.SITES[site],
        load,
        seed,
        local.Chooser,
    )
    share, factor = slow
    if share:
        held.slow_down(share, factor, SLOW_SPAN_S)
    if burst > 1:
        held.burst(burst, BURST_SPAN_S)
        held.evacuate(f"{list(held.site.entries)[-1]}-0", EMPTY_SPAN_S)
    if busy:
        held.tell_busy(local_placement.BUSY_BATCH_S, busy)
    if tell_s:
        held.tell_silent(tell_s)
    held.run(seconds)
    return held.worth()


@click.command()
@click.option("--seeds", default=8, show_default=True)
@click.option("--seconds", default=36.0, show_default=True)
@click.option("--loads", default="0.65,1.0,1.3", show_default=True)
@click.option("--site", "names", multiple=True, default=tuple(sites.SITES))
@click.option(
    "--slow",
    type=(float, float),
    default=(0.0, 1.0),
    help="Share of the servers that turn slow, and how many times.",
)
@click.option(
    "--tell-s",
    default=local_placement.SILENCE_REPORT_PERIOD_S,
    show_default=True,
    help="How often entries tell each other who is silent; 0 for never.",
)
@click.option(
    "--busy",
    default=local_placement.NEIGHBOURS_EACH_SIDE,
    show_default=True,
    help="Entries on each side that are told of busy servers; 0 for none.",
)
@click.option(
    "--burst",
    default=1.0,
    show_default=True,
    help="How many times as many callers come for 5 s, a domain being empty.",
)
def main(
    seeds: int,
    seconds: float,
    loads: str,
    names: tuple[str, ...],
    slow: tuple[float, float],
    tell_s: float,
    burst: float,
    busy: int,
) -> None:
    """Print a row for each site and load: means over the seeds."""
    with futures.ProcessPoolExecutor() as pool:
        for site in names:
            for load in map(float, loads.split(",")):
                jobs = [
                    pool.submit(
                        play,
                        site,
                        load,
                        seed,
                        seconds,
                        slow,
                        tell_s,
                        burst,
                        busy,
                    )
                    for seed in range(seeds)
                ]
                found = [job.result() for job in jobs]
                row = "  ".join(
                    f"{key} {statistics.mean(one[key] for one in found):.3f}"
                    for key in found[0]
                )
                click.echo(f"{site:12} load {load:.2f}  {row}")


if __name__ == "__main__":
    main()
