"""Measures a change of the grantor: the gap without grants and refusals.

`python -m bench.placement_failover --seed N` runs the placement cores of 10
entries in virtual time, at 85 % load on 12 servers of 3 slots.
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
REQUESTS_PER_S = 0.85 * 36 / SERVICE_S
STEP_S = 0.01
STEADY_S = 2.0
AFTER_RESTART_S = 8.0
RESTART_DELAY_S = 5.0
CASES = ("leaves", "killed", "frozen", "killed, control cut off")
POOL_REGION = messages.PoolRegion("ledger", "dar")


class Outcome(NamedTuple):
    """Results of one change of the grantor.

    `gap_s` is the longest time without a grant. The shares of refused requests
    are those until the old grantor restarts and from 3 s after its restart.
    `withheld` is the number of slots that the new grantor withheld.
    """

    gap_s: float
    refused_before: float
    refused_after: float
    withheld: int


class _SteadyLoad:
    """Requests at a steady mean rate, each with a slot for its service time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = fake_entries.FakeEntries(seed, 10, 12)
        self.cluster.run(4)
        self.in_service: list[tuple[float, str, int]] = []
        self.waiting: list[tuple[str, int]] = []
        self.grants: list[float] = []
        self.refusals: list[float] = []

    def step(self) -> None:
        """Send the requests of one step; release the slots of finished ones."""
        cluster = self.cluster
        live_entries = [
            name
            for name, entry in cluster.entries.items()
            if name not in cluster.dead and not entry.frozen
        ]
        count = REQUESTS_PER_S * STEP_S
        arrivals = int(count) + (self.rng.random() < count % 1)
        for _ in range(arrivals):
            name = self.rng.choice(live_entries)
            self.waiting.append((name, cluster.request_slot(name)))
        cluster.run(STEP_S)
        self._collect(live_entries)

    def _collect(self, live_entries: list[str]) -> None:
        cluster = self.cluster
        still_waiting = []
        for name, ticket in self.waiting:
            result = cluster.entries[name].answers.get(ticket)
            if isinstance(result, messages.Grant):
                self.grants.append(cluster.now)
                end = cluster.now + self.rng.expovariate(1 / SERVICE_S)
                self.in_service.append((end, name, ticket))
            elif isinstance(result, messages.Refused):
                self.refusals.append(cluster.now)
            elif name in live_entries:
                still_waiting.append((name, ticket))
        self.waiting = still_waiting
        finished = [item for item in self.in_service if item[0] <= cluster.now]
        self.in_service = [
            item for item in self.in_service if item[0] > cluster.now
        ]
        for _, name, ticket in finished:
            if ticket in cluster.entries[name].grants and name in live_entries:
                cluster.release(name, ticket)

    def run(self, seconds: float) -> None:
        """Run for a number of seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.step()


def run(case: str, seed: int) -> Outcome:
    """Simulate one change of the grantor; return its outcome."""
    load = _SteadyLoad(seed)
    load.run(STEADY_S)
    cluster = load.cluster
    (old_grantor,) = cluster.grantors()
    failed_at = cluster.now
    if case.endswith("cut off"):
        cluster.separate(list(cluster.entries), list(cluster.control_names))
    if case == "leaves":
        cluster.submit(old_grantor, node.Leave())
    elif case == "frozen":
        cluster.freeze(old_grantor)
    else:
        cluster.kill(old_grantor)
    load.run(RESTART_DELAY_S)
    restarted_at = cluster.now
    withheld = [
        cluster.entries[name].node.own_grantor(POOL_REGION).ledger.withheld()
        for name in cluster.grantors()
        if name != old_grantor
    ]
    if case == "frozen":
        cluster.thaw(old_grantor)
    elif case != "leaves":
        cluster.heal()
        cluster.start(old_grantor)
    load.run(AFTER_RESTART_S)
    return Outcome(
        _longest_gap(load.grants, failed_at),
        _refused_share(load, failed_at, restarted_at),
        _refused_share(load, restarted_at + 3, cluster.now),
        max(withheld, default=0),
    )


def _longest_gap(grants: list[float], since: float) -> float:
    times = [
        since,
        *(granted_at for granted_at in grants if granted_at >= since),
    ]
    return max(b - a for a, b in itertools.pairwise(times))


def _refused_share(load: _SteadyLoad, since: float, until: float) -> float:
    granted = sum(since < granted_at <= until for granted_at in load.grants)
    refused = sum(since < refused_at <= until for refused_at in load.refusals)
    return refused / max(1, granted + refused)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--runs", default=5, show_default=True)
def main(seed: int, runs: int) -> None:
    """Print the results of all cases as a table."""
    print(
        "case                     gap s: median  worst  refused first 5 s"
        "  from 3 s after restart  withheld"
    )
    for case in CASES:
        trials = [run(case, seed + number) for number in range(runs)]
        gaps = [trial.gap_s for trial in trials]
        print(
            f"{case:24} {statistics.median(gaps):14.2f}  {max(gaps):5.2f}"
            f"  {statistics.mean(o.refused_before for o in trials):17.3f}"
            f"  {statistics.mean(o.refused_after for o in trials):22.3f}"
            f"  {max(o.withheld for o in trials):8}",
            flush=True,
        )


if __name__ == "__main__":
    main()
