"""Headroom kept, time taken and refusals of shifts, for both deployments.

python -m bench.shift_model --seed 1 [--plot shifts.png]
"""

import argparse
from typing import NamedTuple

from bench import shift_simulation
from hyssopfold import tables

LOADS = (0.5, 0.7)
MAX_MINUTES = 40
KEYS = 24


class Deployment(NamedTuple):
    """A pool of one of the two deployments of today."""

    name: str
    regions: tuple[str, ...]
    slots: int
    headroom: float
    shift_cap: float
    warm_up_s: int


DEPLOYMENTS = (
    Deployment("mrema ledger", ("dar", "arusha", "mwanza"), 36, 0.2, 0.05, 60),
    Deployment(
        "mrema catalogue", ("dar", "arusha", "mwanza"), 60, 0.15, 0.1, 60
    ),
    Deployment(
        "recarga pedidos", ("andina", "caribe", "pacifico"), 36, 0.2, 0.05, 45
    ),
    Deployment(
        "recarga inventario", ("andina", "caribe", "pacifico"), 192, 0.15, 0.1,
        45,
    ),
)  # fmt: skip


class Row(NamedTuple):
    """What one case gave; shares are of the pool's traffic or slots."""

    deployment: str
    load: float
    case: str
    minutes: float
    most_moved: float
    refused: float
    least_free: float
    left: float


class Watch:
    """Run a world until its first region is empty or whole again."""

    def __init__(self, deployment, load, seed):
        self.deployment = deployment
        self.load = load
        self.first = deployment.regions[0]
        each = deployment.slots / len(deployment.regions)
        self.offered = each * load
        self.tables = tables.parse(
            f"""
routes: [{{name: all, path_prefix: /, pool: pool}}]
pools:
  - name: pool
    slots: 3
    headroom: {deployment.headroom}
    shift_cap: {deployment.shift_cap}
    warm_up_s: {deployment.warm_up_s}
"""
        )
        sites = [
            shift_simulation.Site(name, each, self.offered)
            for name in deployment.regions
        ]
        self.world = shift_simulation.Simulation(
            self.tables, sites, nodes=3, keys=KEYS, seed=seed,
            clocks_s=(0.0, 1.0, -1.0),
        )  # fmt: skip
        self.world.run(20)

    def until(self, case, want):
        """Return the row of a case that ends when `want` is true."""
        world = self.world
        world.reset_cap_measurement()
        began, refused, free = world.now, 0.0, 1.0
        ended = None
        while world.now - began < MAX_MINUTES * 60:
            world.step()
            refused = max(refused, world.share(shift_simulation.REFUSED))
            free = min(free, *(self._free(n) for n in world.sites))
            if ended is None and want(world):
                ended = world.now - began
            if ended is not None and world.now - began > ended + 60:
                break
        minutes = (ended if ended is not None else float("nan")) / 60
        left = world.served[self.first] / self.offered
        return Row(
            self.deployment.name, self.load, case, minutes,
            world.most_moved, refused, free, left,
        )  # fmt: skip

    def _free(self, name):
        room = self.world.capacity(name)
        return (room - self.world.busy[name]) / room if room else 1.0

    def rows(self):
        """Return the rows of a drain, a return, a loss and its return."""
        first, world = self.first, self.world
        offered = self.offered

        def empty(world):
            return world.served[first] == 0

        def whole(world):
            return world.served[first] > offered * 0.99

        world.apply(shift_simulation.with_drains(self.tables, regions=(first,)))
        yield self.until("region drained", empty)
        world.apply(self.tables)
        if empty(world):
            # Its servers have been idle: their caches are cold.
            world.restore(first)
        yield self.until("region returns from the drain", whole)
        world.lose(first)
        yield self.until("region lost", empty)
        world.restore(first)
        yield self.until("lost region returns, cold", whole)


def run(seed):
    """Return the rows of all deployments."""
    return [
        row
        for deployment in DEPLOYMENTS
        for load in LOADS
        for row in Watch(deployment, load, seed).rows()
    ]


def _plot(rows, path):
    from matplotlib import pyplot  # noqa: PLC0415 an extra, only for plots

    figure, axes = pyplot.subplots()
    labels = [f"{r.deployment} {r.load} {r.case}" for r in rows]
    axes.barh(labels, [r.minutes for r in rows])
    axes.set_xlabel("minutes")
    figure.savefig(path, bbox_inches="tight")


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", help="file for a plot")
    options = parser.parse_args()
    rows = run(options.seed)
    print(
        "| pool | load | case | minutes | most moved in a minute | refused at"
        " most | least free | left at home |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in rows:
        shares = row[4:]
        print(
            f"| {row.deployment} | {row.load} | {row.case} |"
            f" {row.minutes:.1f} | "
            + " | ".join(f"{100 * share:.1f} %" for share in shares)
            + " |"
        )
    if options.plot:
        _plot(rows, options.plot)


if __name__ == "__main__":
    main()
