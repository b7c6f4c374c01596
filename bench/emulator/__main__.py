"""Command `python -m bench.emulator`: evaluate the server selection.

It prints the scores of the entries' local server selection on simulated
deployments, under load, slow servers, bursts and evacuations.
"""

from concurrent import futures
import statistics

import click

from bench.emulator import simulation
from bench.emulator import sites
from hyssopfold.core.balancing import local
from hyssopfold.entry import local_placement

# Interval in which servers are slow, in seconds from the start.
SLOW_SPAN_S = (13.0, 22.0)
# Intervals of the burst of requests and of the evacuation of a failure domain,
# in seconds from the start.
BURST_SPAN_S = (20.0, 25.0)
EVACUATION_SPAN_S = (10.0, 28.0)


def simulate(
    site: str,
    load: float,
    seed: int,
    seconds: float,
    slow: tuple[float, float],
    silence_report_period_s: float,
    burst_factor: float,
    neighbours_each_side: int,
) -> dict[str, float]:
    """Return the scores of one simulation, by name.

    Args:
        site: Name of the simulated deployment.
        load: Factor on all request rates.
        seed: Seed of the random numbers.
        seconds: Length of the simulation.
        slow: Share of the servers that become slow, and factor on their service
            time.
        silence_report_period_s: Seconds between reports of silent servers; 0
            for none.
        burst_factor: Factor on the request rates during the burst; 1 for no
            burst and no evacuation.
        neighbours_each_side: Entries on each side that receive load reports;
            0 for no reports.
    """
    sim = simulation.Simulation(
        sites.SITES[site],
        load,
        seed,
        local.Chooser,
    )
    share, factor = slow
    if share:
        sim.slow_down(share, factor, SLOW_SPAN_S)
    if burst_factor > 1:
        sim.add_burst(burst_factor, BURST_SPAN_S)
        sim.evacuate(f"{list(sim.site.entries)[-1]}-0", EVACUATION_SPAN_S)
    if neighbours_each_side:
        sim.enable_load_reports(
            local_placement.BUSY_BATCH_S, neighbours_each_side
        )
    if silence_report_period_s:
        sim.enable_silence_reports(silence_report_period_s)
    sim.run(seconds)
    return sim.worth()


@click.command()
@click.option("--seeds", default=8, show_default=True)
@click.option("--seconds", default=36.0, show_default=True)
@click.option("--loads", default="0.65,1.0,1.3", show_default=True)
@click.option("--site", "site_names", multiple=True, default=tuple(sites.SITES))
@click.option(
    "--slow",
    type=(float, float),
    default=(0.0, 1.0),
    help="Share of the servers that become slow, and their slowdown factor.",
)
@click.option(
    "--tell-s",
    "silence_report_period_s",
    default=local_placement.SILENCE_REPORT_PERIOD_S,
    show_default=True,
    help="Seconds between entries' reports of silent servers; 0 for none.",
)
@click.option(
    "--busy",
    "neighbours_each_side",
    default=local_placement.NEIGHBOURS_EACH_SIDE,
    show_default=True,
    help="Entries on each side that receive load reports; 0 for none.",
)
@click.option(
    "--burst",
    default=1.0,
    show_default=True,
    help="Factor on the request rate for 5 s, with a failure domain evacuated.",
)
def main(
    seeds: int,
    seconds: float,
    loads: str,
    site_names: tuple[str, ...],
    slow: tuple[float, float],
    silence_report_period_s: float,
    burst: float,
    neighbours_each_side: int,
) -> None:
    """Print a row for each site and load: the mean scores over the seeds."""
    with futures.ProcessPoolExecutor() as pool:
        for site in site_names:
            for load in map(float, loads.split(",")):
                jobs = [
                    pool.submit(
                        simulate,
                        site,
                        load,
                        seed,
                        seconds,
                        slow,
                        silence_report_period_s,
                        burst,
                        neighbours_each_side,
                    )
                    for seed in range(seeds)
                ]
                scores = [job.result() for job in jobs]
                row = "  ".join(
                    f"{key} {statistics.mean(run[key] for run in scores):.3f}"
                    for key in scores[0]
                )
                click.echo(f"{site:12} load {load:.2f}  {row}")


if __name__ == "__main__":
    main()
