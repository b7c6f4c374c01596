"""Ablation study of the server selection: `python -m bench.emulator.ablation`.

Each mechanism is switched off alone, and the same scenarios are simulated
again: usual load, a burst during the evacuation of a failure domain, and slow
servers.
"""

from collections.abc import Callable
from concurrent import futures
import statistics
from typing import Any
from typing import NamedTuple
from unittest import mock

import click

from bench.emulator import simulation
from bench.emulator import sites
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import object_locations

DURATION_S = 36.0
BURST_SPAN_S = (20.0, 25.0)
EVACUATION_SPAN_S = (10.0, 28.0)
SLOW_SPAN_S = (13.0, 22.0)
SILENCE_REPORT_PERIOD_S = 0.5
# A threshold that no value reaches.
_UNREACHABLE = 1e9


class Scenario(NamedTuple):
    """A simulated scenario.

    `load` is a factor on all request rates, `burst` a further factor during an
    interval; `slow` is the share of the servers that become slow.
    """

    site: str
    load: float
    burst: float = 1.0
    slow: float = 0.0


class Mechanism(NamedTuple):
    """A mechanism, and how it is switched off.

    `replacement` replaces the attribute `attribute` of `target`, a module or
    class; `silence_report_period_s` is the period of silence reports, 0 for
    none.
    """

    name: str
    target: Any = None
    attribute: str = ""
    replacement: Any = None
    silence_report_period_s: float = SILENCE_REPORT_PERIOD_S


def _choose_least_loaded(
    chooser: Any, req: Any, order: Any, servers: Any, view: Any
) -> Any:
    return chooser._least_loaded(req, servers, view)


def _ignore(*args: Any) -> None:
    """Do nothing; replaces a method that updates statistics."""


MECHANISMS = (
    Mechanism("all on"),
    Mechanism(
        "object affinity", local.Chooser, "_by_object", _choose_least_loaded
    ),
    Mechanism("second server per object", local, "SERVERS_PER_OBJECT", 1),
    Mechanism("no third server", local, "SERVERS_PER_OBJECT", 3),
    Mechanism("home region weight", local, "HOME_REGION_WEIGHT", 1.0),
    Mechanism(
        "bound on expected time", local, "MAX_GOAL_RATIOS", (_UNREACHABLE,)
    ),
    Mechanism("bound by priority", local, "MAX_GOAL_RATIOS", (1.5,)),
    Mechanism("learned run times", estimates.Estimates, "observe", _ignore),
    Mechanism(
        "cached-object records",
        object_locations.ObjectLocations,
        "is_cached",
        lambda *_: True,
    ),
    Mechanism("servers' load reports", local, "REPORT_MAX_AGE_S", -1.0),
    Mechanism(
        "silent servers avoided", local, "SILENT_AFTER_GOALS", _UNREACHABLE
    ),
    Mechanism("silence reports", silence_report_period_s=0.0),
    Mechanism("ejection after a refusal", local, "SHED_EJECTION_S", 0.0),
    Mechanism(
        "ejection after failures", local, "EJECT_AFTER_FAILURES", _UNREACHABLE
    ),
)


def _scenarios() -> list[Scenario]:
    scenarios = []
    for site in ("casting", "market", "shops"):
        scenarios.append(Scenario(site, 1.0))
        scenarios.append(Scenario(site, 1.2, burst=1.7))
        scenarios.append(Scenario(site, 0.8, slow=0.3))
    return scenarios


def simulate_scenario(
    mechanism: Mechanism, scenario: Scenario, seed: int
) -> float:
    """Return the mean score of a scenario with a mechanism switched off.

    Args:
        mechanism: The mechanism to switch off.
        scenario: The scenario to simulate.
        seed: Seed of the random numbers.
    """
    if mechanism.attribute:
        target, name = mechanism.target, mechanism.attribute
        with mock.patch.object(target, name, mechanism.replacement):
            return _run_simulation(mechanism, scenario, seed)
    return _run_simulation(mechanism, scenario, seed)


def _run_simulation(
    mechanism: Mechanism, scenario: Scenario, seed: int
) -> float:
    make_chooser: Callable[..., Any] = local.Chooser
    sim = simulation.Simulation(
        sites.SITES[scenario.site], scenario.load, seed, make_chooser
    )
    if scenario.burst > 1:
        sim.add_burst(scenario.burst, BURST_SPAN_S)
        sim.evacuate(f"{list(sim.site.entries)[-1]}-0", EVACUATION_SPAN_S)
    if scenario.slow:
        sim.slow_down(scenario.slow, 5.0, SLOW_SPAN_S)
    if mechanism.silence_report_period_s:
        sim.enable_silence_reports(mechanism.silence_report_period_s)
    sim.run(DURATION_S)
    scores = sim.worth()
    score_names = ("day", "windows", "kind", "region", "served")
    return statistics.mean(scores[name] for name in score_names)


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--processes", default=2, show_default=True)
def main(seeds: int, processes: int) -> None:
    """Print the mean score with each mechanism off, by kind of scenario."""
    scenarios = _scenarios()
    columns = ("usual", "burst", "slow")
    click.echo(f"{'off':24} " + " ".join(f"{name:>14}" for name in columns))
    with futures.ProcessPoolExecutor(processes) as pool:
        for mechanism_number in range(len(MECHANISMS)):
            jobs = [
                [
                    pool.submit(_run_task, mechanism_number, scenario, seed)
                    for seed in range(seeds)
                ]
                for scenario in scenarios
            ]
            means = [[job.result() for job in row] for row in jobs]
            cells = []
            for column in range(len(columns)):
                # One mean per seed, over the sites.
                rows = means[column :: len(columns)]
                means_by_seed = [
                    statistics.mean(scores)
                    for scores in zip(*rows, strict=True)
                ]
                deviation = (
                    statistics.stdev(means_by_seed) if seeds > 1 else 0.0
                )
                cells.append(
                    f"{statistics.mean(means_by_seed):.3f} +-{deviation:.3f}"
                )
            row = " ".join(f"{cell:>14}" for cell in cells)
            click.echo(f"{MECHANISMS[mechanism_number].name:24} {row}")


def _run_task(mechanism_number: int, scenario: Scenario, seed: int) -> float:
    return simulate_scenario(MECHANISMS[mechanism_number], scenario, seed)


if __name__ == "__main__":
    main()
