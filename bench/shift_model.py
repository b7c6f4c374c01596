"""Headroom, duration and refusals of shifts in pools of several sizes.

python -m bench.shift_model --seed 1 [--plot shifts.png]
"""

import argparse
from typing import NamedTuple

from bench import shift_simulation
from hyssopfold import tables

LOADS = (0.5, 0.7)
MAX_MINUTES = 40
KEYS_PER_ENTRY = 24


class Deployment(NamedTuple):
    """A pool as it is deployed: its regions, slots and limits."""

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
    """Result of a case; shares are of the pool's traffic or slots."""

    deployment: str
    load: float
    case: str
    minutes: float
    most_moved: float
    refused: float
    least_free: float
    remaining: float


class ShiftRun:
    """Shifts out of the first region of a deployment and back to it.

    Args:
        deployment: The pool.
        load: Share of the slots that callers keep busy.
        seed: Seed of the simulation.
    """

    def __init__(self, deployment, load, seed):
        self.deployment = deployment
        self.load = load
        self.first_region = deployment.regions[0]
        slots_per_region = deployment.slots / len(deployment.regions)
        self.offered = slots_per_region * load
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
            shift_simulation.Site(name, slots_per_region, self.offered)
            for name in deployment.regions
        ]
        self.simulation = shift_simulation.Simulation(
            self.tables, sites, nodes=3, keys=KEYS_PER_ENTRY, seed=seed,
            clocks_s=(0.0, 1.0, -1.0),
        )  # fmt: skip
        self.simulation.run(20)

    def run_until(self, case, is_finished):
        """Run until a minute after `is_finished` is true; return the row."""
        simulation = self.simulation
        simulation.reset_cap_measurement()
        started_at, refused, least_free = simulation.now, 0.0, 1.0
        duration_s = None
        while simulation.now - started_at < MAX_MINUTES * 60:
            simulation.step()
            refused = max(refused, simulation.share(shift_simulation.REFUSED))
            least_free = min(
                least_free, *(self._free_share(n) for n in simulation.sites)
            )
            if duration_s is None and is_finished(simulation):
                duration_s = simulation.now - started_at
            if (
                duration_s is not None
                and simulation.now - started_at > duration_s + 60
            ):
                break
        minutes = (duration_s if duration_s is not None else float("nan")) / 60
        remaining = simulation.served[self.first_region] / self.offered
        return Row(
            self.deployment.name, self.load, case, minutes,
            simulation.most_moved, refused, least_free, remaining,
        )  # fmt: skip

    def _free_share(self, name):
        capacity = self.simulation.capacity(name)
        return (
            (capacity - self.simulation.busy[name]) / capacity
            if capacity
            else 1.0
        )

    def rows(self):
        """Yield the rows of a drain, a return, a loss and the next return."""
        first_region, simulation = self.first_region, self.simulation
        offered = self.offered

        def is_empty(simulation):
            return simulation.served[first_region] == 0

        def is_restored(simulation):
            return simulation.served[first_region] > offered * 0.99

        simulation.apply(
            shift_simulation.with_drains(self.tables, regions=(first_region,))
        )
        yield self.run_until("region drained", is_empty)
        simulation.apply(self.tables)
        if is_empty(simulation):
            # Its servers have been idle, so their caches are cold.
            simulation.restore(first_region)
        yield self.run_until("region returns from the drain", is_restored)
        simulation.lose(first_region)
        yield self.run_until("region lost", is_empty)
        simulation.restore(first_region)
        yield self.run_until("lost region returns, cold", is_restored)


def run(seed):
    """Return the rows of all deployments."""
    return [
        row
        for deployment in DEPLOYMENTS
        for load in LOADS
        for row in ShiftRun(deployment, load, seed).rows()
    ]


def _plot(rows, path):
    from matplotlib import pyplot  # noqa: PLC0415 an extra, only for plots

    figure, axes = pyplot.subplots()
    labels = [f"{r.deployment} {r.load} {r.case}" for r in rows]
    axes.barh(labels, [r.minutes for r in rows])
    axes.set_xlabel("minutes")
    figure.savefig(path, bbox_inches="tight")


def main():
    """Print the table of all rows."""
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
