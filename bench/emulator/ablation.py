"""What each mechanism of choosing is worth: `python -m bench.emulator.ablation`.

Each is switched off alone, and the same days are played again on the model: the
usual load, a burst beside an emptied failure domain, and slow servers.
"""

from collections.abc import Callable
from concurrent import futures
import statistics
from typing import Any
from typing import NamedTuple
from unittest import mock

import click

from bench.emulator import sites
from bench.emulator import world
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import object_locations

SECONDS = 36.0
BURST_SPAN_S = (20.0, 25.0)
EMPTY_SPAN_S = (10.0, 28.0)
SLOW_SPAN_S = (13.0, 22.0)
TELL_S = 0.5
_OFF = 1e9


class Case(NamedTuple):
    """A day: `burst` times the callers for a while, a share of servers slow."""

    site: str
    load: float
    burst: float = 1.0
    slow: float = 0.0


class Mechanism(NamedTuple):
    """What replaces an attribute when the mechanism is off."""

    name: str
    target: Any = None
    attribute: str = ""
    off: Any = None
    tell_s: float = TELL_S


def _any_server(
    chooser: Any, req: Any, order: Any, servers: Any, view: Any
) -> Any:
    return chooser._least_loaded(req, servers, view)


def _ignore(*args: Any) -> None:
    """Learn nothing."""


MECHANISMS = (
    Mechanism("all on"),
    Mechanism(
        "objects keep to servers", local.Chooser, "_by_object", _any_server
    ),
    Mechanism("a second server", local, "SERVERS_PER_OBJECT", 1),
    Mechanism("no third server", local, "SERVERS_PER_OBJECT", 3),
    Mechanism("home region first", local, "HOME_REGION_WEIGHT", 1.0),
    Mechanism("bound by time", local, "MAX_GOAL_RATIOS", (_OFF,)),
    Mechanism("bound by priority", local, "MAX_GOAL_RATIOS", (1.5,)),
    Mechanism("run times learned", estimates.Estimates, "observe", _ignore),
    Mechanism(
        "who knows an object",
        object_locations.ObjectLocations,
        "is_cached",
        lambda *_: True,
    ),
    Mechanism("load told by servers", local, "REPORT_MAX_AGE_S", -1.0),
    Mechanism("silent servers left", local, "SILENT_AFTER_GOALS", _OFF),
    Mechanism("silence told to others", tell_s=0.0),
    Mechanism("rest after a refusal", local, "SHED_EJECTION_S", 0.0),
    Mechanism("rest after failures", local, "EJECT_AFTER_FAILURES", _OFF),
)


def _cases() -> list[Case]:
    found = []
    for site in ("casting", "market", "shops"):
        found.append(Case(site, 1.0))
        found.append(Case(site, 1.2, burst=1.7))
        found.append(Case(site, 0.8, slow=0.3))
    return found


def play(mechanism: Mechanism, case: Case, seed: int) -> float:
    """Return the mean of the parts of one play, a mechanism being off."""
    if mechanism.attribute:
        target, name = mechanism.target, mechanism.attribute
        with mock.patch.object(target, name, mechanism.off):
            return _play(mechanism, case, seed)
    return _play(mechanism, case, seed)


def _play(mechanism: Mechanism, case: Case, seed: int) -> float:
    make: Callable[..., Any] = local.Chooser
    held = world.World(sites.SITES[case.site], case.load, seed, make)
    if case.burst > 1:
        held.burst(case.burst, BURST_SPAN_S)
        held.evacuate(f"{list(held.site.entries)[-1]}-0", EMPTY_SPAN_S)
    if case.slow:
        held.slow_down(case.slow, 5.0, SLOW_SPAN_S)
    if mechanism.tell_s:
        held.tell_silent(mechanism.tell_s)
    held.run(SECONDS)
    worth = held.worth()
    parts = ("day", "windows", "kind", "region", "served")
    return statistics.mean(worth[part] for part in parts)


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--processes", default=2, show_default=True)
def main(seeds: int, processes: int) -> None:
    """Print the mean of the parts for each mechanism off, by kind of day."""
    cases = _cases()
    names = ("usual", "burst", "slow")
    click.echo(f"{'off':24} " + " ".join(f"{one:>14}" for one in names))
    with futures.ProcessPoolExecutor(processes) as pool:
        for number in range(len(MECHANISMS)):
            jobs = [
                [pool.submit(_one, number, case, s) for s in range(seeds)]
                for case in cases
            ]
            means = [[job.result() for job in row] for row in jobs]
            cells = []
            for kind in range(len(names)):
                # One mean a seed, over the sites.
                rows = means[kind :: len(names)]
                each = [statistics.mean(one) for one in zip(*rows, strict=True)]
                spread = statistics.stdev(each) if seeds > 1 else 0.0
                cells.append(f"{statistics.mean(each):.3f} +-{spread:.3f}")
            row = " ".join(f"{one:>14}" for one in cells)
            click.echo(f"{MECHANISMS[number].name:24} {row}")


def _one(number: int, case: Case, seed: int) -> float:
    return play(MECHANISMS[number], case, seed)


if __name__ == "__main__":
    main()
