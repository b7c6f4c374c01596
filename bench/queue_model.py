"""Compares placement policies in a small seeded queueing model.

`python -m bench.queue_model --seed N` prints a table; `--plot FILE` plots
latency against load. The model has queues, slots and message delays, but no
network and no processes.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random
from typing import NamedTuple

import click

from bench import queue_model_policies as policies

LOADS = (0.50, 0.70, 0.85, 0.95)
CASES = (
    "steady", "server-lost", "entry-lost", "reports-frozen",
    "reports-lie", "slow-server", "bursts",
)  # fmt: skip
MEAN_SERVICE_S = 0.05
BURST_PERIOD_S = 2.0
BURST_S = 0.4
BURST_FACTOR = 2.0


class Deployment(NamedTuple):
    """A system to simulate.

    `slots` is the number for each server, `delay_s` the one-way delay of a
    message between failure domains.
    """

    name: str
    servers: int
    slots: int
    entries: int
    delay_s: float


DEPLOYMENTS = (
    Deployment("ledger", 12, 3, 10, 0.0005),
    Deployment("catalogue", 20, 3, 10, 0.0005),
    Deployment("inventario", 32, 6, 10, 0.0009),
)


class Score(NamedTuple):
    """Results of one run.

    Latencies are in ms. `refused`, `failed` and `cross_domain` are shares from
    0 to 1, `queued_at_server` counts requests sent to a server without a free
    slot, and `messages` is the mean for each request.
    """

    p50: float
    p99: float
    refused: float
    failed: float
    queued_at_server: int
    cross_domain: float
    messages: float


def arrivals(
    deployment: Deployment, load: float, case: str, seed: int, until_s: float
) -> Iterator[policies.Request]:
    """Yield the requests of a run, the same ones for every policy."""
    rng = random.Random(seed)
    rate = load * deployment.servers * deployment.slots / MEAN_SERVICE_S
    quiet_factor = 1 - (BURST_FACTOR - 1) * BURST_S / (BURST_PERIOD_S - BURST_S)
    now = 0.0
    for number in itertools.count():
        factor = 1.0
        if case == "bursts":
            in_burst = now % BURST_PERIOD_S < BURST_S
            factor = BURST_FACTOR if in_burst else quiet_factor
        now += rng.expovariate(rate * factor)
        if now >= until_s:
            return
        entry = rng.randrange(deployment.entries)
        service_s = rng.expovariate(1 / MEAN_SERVICE_S)
        yield policies.Request(number, now, entry, service_s)


def run(
    deployment: Deployment,
    policy: Callable[[policies.Simulation], policies.Policy],
    load: float,
    case: str,
    seed: int,
    until_s: float,
) -> Score:
    """Simulate one policy in one case; return its score."""
    simulation = policies.Simulation(
        deployment, case, random.Random(seed + 1), until_s
    )
    selected = policy(simulation)
    simulation.run(selected, arrivals(deployment, load, case, seed, until_s))
    latencies_s = sorted(simulation.latencies_s)
    served = max(1, len(latencies_s))
    offered = max(1, served + simulation.refused + simulation.failed)
    return Score(
        latencies_s[int(0.50 * (served - 1))] * 1000 if latencies_s else 0.0,
        latencies_s[int(0.99 * (served - 1))] * 1000 if latencies_s else 0.0,
        simulation.refused / offered,
        simulation.failed / offered,
        simulation.queued_at_server,
        simulation.cross_domain / served,
        simulation.messages / offered,
    )


def _plot(path: str, rows: list[tuple[str, str, float, str, Score]]) -> None:
    # Optional dependency, which only this option needs.
    from matplotlib import pyplot  # noqa: PLC0415

    names = sorted({row[0] for row in rows})
    figure, axes = pyplot.subplots(2, len(names), squeeze=False, sharex=True)
    for column, name in enumerate(names):
        for policy in policies.POLICIES:
            selected = [
                row
                for row in rows
                if row[0] == name and row[1] == policy and row[3] == "steady"
            ]
            loads = [row[2] for row in selected]
            axes[0][column].plot(
                loads, [r[4].p50 for r in selected], label=policy
            )
            axes[1][column].plot(
                loads, [r[4].p99 for r in selected], label=policy
            )
        axes[0][column].set_title(name)
        for row_index, kind in enumerate(("p50", "p99")):
            axes[row_index][column].set_yscale("log")
            axes[row_index][column].set_ylabel(f"{kind} ms")
    axes[0][0].legend(fontsize=6)
    figure.savefig(path)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True)
@click.option(
    "--deployment", "only_deployment", default="all", show_default=True
)
@click.option("--case", "cases", multiple=True, type=click.Choice(CASES))
@click.option("--load", "loads", multiple=True, type=float)
@click.option("--policy", "names", multiple=True)
@click.option(
    "--plot", default="", help="File to write a plot of the steady case to."
)
def main(
    seed: int,
    seconds: float,
    only_deployment: str,
    cases: tuple[str, ...],
    loads: tuple[float, ...],
    names: tuple[str, ...],
    plot: str,
) -> None:
    """Print a table of the scores by deployment, load, case and policy."""
    print(
        "deployment  load  case            policy        p50ms   x    p99ms"
        "    x  refused  failed  over-run  cross  msgs/req"
    )
    rows = []
    for deployment in DEPLOYMENTS:
        if only_deployment not in ("all", deployment.name):
            continue
        for case, load in itertools.product(cases or CASES, loads or LOADS):
            central = run(
                deployment, policies.CentralQueue, load, case, seed, seconds
            )
            for name, policy in policies.POLICIES.items():
                if names and name not in names:
                    continue
                score = run(deployment, policy, load, case, seed, seconds)
                rows.append((deployment.name, name, load, case, score))
                print(
                    f"{deployment.name:11} {load:.2f}  {case:14}  {name:12}"
                    f" {score.p50:6.1f} {score.p50 / central.p50:4.2f}"
                    f" {score.p99:7.1f} {score.p99 / central.p99:5.2f}"
                    f"  {score.refused:6.3f}  {score.failed:6.3f}"
                    f"  {score.queued_at_server:8d}  {score.cross_domain:5.2f}"
                    f"  {score.messages:6.2f}",
                    flush=True,
                )
    if plot:
        _plot(plot, rows)


if __name__ == "__main__":
    main()
