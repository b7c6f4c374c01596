"""Cost of distributing revisions: slopes by entries and by changes."""

from bench import distribution
from bench.capacity import slopes

_COMMAND = "python -m bench.capacity --part distribution"
_SEED = 1
_SECONDS = 5.0
_ENTRIES = (4, 12, 50)
_CHANGES = (0, 5, 10)


def measure() -> list[slopes.Slope]:
    """Return the slopes of CPU and bytes; both ends run in one process."""
    idle_costs = {
        n: distribution.measure_cost(n, _SECONDS, 0, _SEED) for n in _ENTRIES
    }
    costs_by_changes = {
        n: distribution.measure_cost(_ENTRIES[1], _SECONDS, n, _SEED)
        for n in _CHANGES
    }
    return [
        slopes.fit(
            "distribution, idle, both ends",
            "% of a core",
            "entry",
            [
                slopes.Point(n, n * cost.cpu * 100)
                for n, cost in idle_costs.items()
            ],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, idle, in TCP, both ways",
            "bytes/s",
            "entry",
            [
                slopes.Point(n, n * (cost.sent + cost.received))
                for n, cost in idle_costs.items()
            ],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, one entry, both ends",
            "% of a core",
            "change a second",
            [
                slopes.Point(n / _SECONDS, cost.cpu * 100)
                for n, cost in costs_by_changes.items()
            ],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, one entry, in TCP, both ways",
            "bytes/s",
            "change a second",
            [
                slopes.Point(n / _SECONDS, cost.sent + cost.received)
                for n, cost in costs_by_changes.items()
            ],
            _COMMAND,
        ),
    ]
