"""One run of a soak test: a simulated site under random faults."""

from typing import NamedTuple

from bench.emulator import simulation
from bench.emulator import sites
from bench.soak import checks
from bench.soak import faults
from hyssopfold.core.balancing import local
from hyssopfold.entry import local_placement

ALL_SITES = tuple(sites.SITES)


class SoakRun(NamedTuple):
    """Parameters of one run; the faults depend on `seed` and `seconds` alone.

    `site` is the name of the simulated deployment, `load` a factor on all its
    request rates. With `evacuations`, failure domains are evacuated too, and
    their servers are cold afterwards. With `limits`, servers limit their
    requests a second too.
    """

    site: str
    seed: int
    seconds: float
    load: float
    evacuations: bool = False
    limits: bool = False


class RunResult(NamedTuple):
    """Result of a run: its summary line and its findings."""

    summary: str
    findings: list[str]


def execute(run: SoakRun) -> RunResult:
    """Simulate a run with its faults and without faults, and compare them."""
    planned = faults.plan(run.seed, run.seconds)
    if run.evacuations:
        planned += faults.plan_evacuations(run.seed, run.seconds)
    if run.limits:
        planned += faults.plan_limits(run.seed, run.seconds)
    sim = simulate(run, planned)
    baseline = simulate(run, [])
    findings = checks.find_cold_overloads(sim)
    findings += checks.find_exceeded_limits(sim)
    findings += checks.find_lost_worth(sim, baseline, run.seconds)
    kinds = ",".join(fault.kind for fault in planned)
    worth_shares = sim.worth()["day"], baseline.worth()["day"]
    summary = (
        f"{run.site:12} seed {run.seed:3}  worth {worth_shares[0]:.3f},"
        f" without faults {worth_shares[1]:.3f}  {kinds}"
    )
    return RunResult(summary, findings)


def simulate(
    run: SoakRun, planned: list[faults.Fault]
) -> simulation.Simulation:
    """Simulate a run with the given faults and return its simulation."""
    site = sites.SITES[run.site]
    sim = simulation.Simulation(site, run.load, run.seed, local.Chooser)
    sim.enable_silence_reports(local_placement.SILENCE_REPORT_PERIOD_S)
    for fault in planned:
        faults.schedule(sim, fault)
    sim.run(run.seconds)
    return sim
