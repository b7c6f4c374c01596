"""One day of a soak: a site, faults from a seed, and what they did."""

from typing import NamedTuple

from bench.emulator import sites
from bench.emulator import world
from bench.soak import checks
from bench.soak import faults
from hyssopfold.core.balancing import local
from hyssopfold.entry import local_placement

USUAL_SITES = tuple(sites.SITES)


class Day(NamedTuple):
    """Which day to play: faults come from `seed` alone.

    With `evacuations`, failure domains are emptied and come back cold.
    """

    site: str
    seed: int
    seconds: float
    load: float
    evacuations: bool = False


class Played(NamedTuple):
    """How a day went: a line to show, and what should not have been."""

    row: str
    findings: list[str]


def play(day: Day) -> Played:
    """Play a day with its faults, and the same one without any."""
    planned = faults.plan(day.seed, day.seconds)
    if day.evacuations:
        planned += faults.plan_evacuations(day.seed, day.seconds)
    held = _play(day, planned)
    calm = _play(day, [])
    findings = checks.cold_floods(held)
    findings += checks.unrecovered(held, calm, day.seconds)
    kinds = ",".join(fault.kind for fault in planned)
    earned = held.worth()["day"], calm.worth()["day"]
    row = (
        f"{day.site:12} seed {day.seed:3}  earned {earned[0]:.3f},"
        f" calm {earned[1]:.3f}  {kinds}"
    )
    return Played(row, findings)


def _play(day: Day, planned: list[faults.Fault]) -> world.World:
    site = sites.SITES[day.site]
    held = world.World(site, day.load, day.seed, local.Chooser)
    held.tell_silent(local_placement.SILENCE_REPORT_PERIOD_S)
    for fault in planned:
        faults.inflict(held, fault)
    held.run(day.seconds)
    return held
