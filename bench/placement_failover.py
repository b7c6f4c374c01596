"""How long no slots are granted when the grantor changes, and who is refused.

`python -m bench.placement_failover --seed N` runs entries' placement cores in
virtual time, at 85 % load on 12 servers of 3 slots under 10 entries.
"""

import itertools
import random
import statistics
from typing import NamedTuple

import click

from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import node
from tests.support import fake_entries

SERVICE_S = 0.2
RATE = 0.85 * 36 / SERVICE_S
STEP_S = 0.01
BEFORE_S = 2.0
AFTER_S = 8.0
RESTART_S = 5.0
CASES = ("leaves", "killed", "frozen", "killed, control cut off")
KEY = messages.PoolRegion("ledger", "dar")


class Outcome(NamedTuple):
    """Seconds without a grant; shares refused before and after a restart."""

    gap_s: float
    refused_until_restart: float
    refused_after: float
    withheld: int


class _Load:
    """Requests at a steady rate, each held for its service time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = fake_entries.FakeEntries(seed, 10, 12)
        self.world.run(4)
        self.due: list[tuple[float, str, int]] = []
        self.waiting: list[tuple[str, int]] = []
        self.grants: list[float] = []
        self.refusals: list[float] = []

    def step(self) -> None:
        """Let one step's requests come, and others end."""
        world = self.world
        live = [
            name
            for name, entry in world.entries.items()
            if name not in world.dead and not entry.frozen
        ]
        count = RATE * STEP_S
        arrivals = int(count) + (self.rng.random() < count % 1)
        for _ in range(arrivals):
            name = self.rng.choice(live)
            self.waiting.append((name, world.request_slot(name)))
        world.run(STEP_S)
        self._collect(live)

    def _collect(self, live: list[str]) -> None:
        world = self.world
        left = []
        for name, ticket in self.waiting:
            answer = world.entries[name].answers.get(ticket)
            if isinstance(answer, messages.Grant):
                self.grants.append(world.now)
                end = world.now + self.rng.expovariate(1 / SERVICE_S)
                self.due.append((end, name, ticket))
            elif isinstance(answer, messages.Refused):
                self.refusals.append(world.now)
            elif name in live:
                left.append((name, ticket))
        self.waiting = left
        ended = [one for one in self.due if one[0] <= world.now]
        self.due = [one for one in self.due if one[0] > world.now]
        for _, name, ticket in ended:
            if ticket in world.entries[name].grants and name in live:
                world.release(name, ticket)

    def run(self, seconds: float) -> None:
        """Go on for some time."""
        for _ in range(round(seconds / STEP_S)):
            self.step()


def run(case: str, seed: int) -> Outcome:
    """Return what one change of the grantor costs."""
    load = _Load(seed)
    load.run(BEFORE_S)
    world = load.world
    (old,) = world.grantors()
    began = world.now
    if case.endswith("cut off"):
        world.separate(list(world.entries), list(world.control_names))
    if case == "leaves":
        world.submit(old, node.Leave())
    elif case == "frozen":
        world.freeze(old)
    else:
        world.kill(old)
    load.run(RESTART_S)
    restarted = world.now
    withheld = [
        world.entries[name].node.own_grantor(KEY).ledger.withheld()
        for name in world.grantors()
        if name != old
    ]
    if case == "frozen":
        world.thaw(old)
    elif case != "leaves":
        world.heal()
        world.start(old)
    load.run(AFTER_S)
    return Outcome(
        _longest_gap(load.grants, began),
        _refused(load, began, restarted),
        _refused(load, restarted + 3, world.now),
        max(withheld, default=0),
    )


def _longest_gap(grants: list[float], since: float) -> float:
    times = [since, *(at for at in grants if at >= since)]
    return max(b - a for a, b in itertools.pairwise(times))


def _refused(load: _Load, since: float, until: float) -> float:
    granted = sum(since < at <= until for at in load.grants)
    refused = sum(since < at <= until for at in load.refusals)
    return refused / max(1, granted + refused)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=5, show_default=True)
def main(seed: int, runs: int) -> None:
    """Print a table of the cases."""
    print(
        "case                     gap s: median  worst  refused first 5 s"
        "  from 3 s after restart  withheld"
    )
    for case in CASES:
        found = [run(case, seed + number) for number in range(runs)]
        gaps = [one.gap_s for one in found]
        print(
            f"{case:24} {statistics.median(gaps):14.2f}  {max(gaps):5.2f}"
            f"  {statistics.mean(o.refused_until_restart for o in found):17.3f}"
            f"  {statistics.mean(o.refused_after for o in found):22.3f}"
            f"  {max(o.withheld for o in found):8}",
            flush=True,
        )


if __name__ == "__main__":
    main()
