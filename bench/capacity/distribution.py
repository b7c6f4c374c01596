"""What bringing revisions to entries costs: slopes by entry and by change."""

from bench import distribution
from bench.capacity import slopes

_COMMAND = "python -m bench.capacity --part distribution"
_SEED = 1
_SECONDS = 5.0
_ENTRIES = (4, 12, 50)
_CHANGES = (0, 5, 10)


def measure() -> list[slopes.Slope]:
    """Return the slopes; both ends run in one process."""
    idle = {
        n: distribution.measure_cost(n, _SECONDS, 0, _SEED) for n in _ENTRIES
    }
    changing = {
        n: distribution.measure_cost(_ENTRIES[1], _SECONDS, n, _SEED)
        for n in _CHANGES
    }
    return [
        slopes.fit(
            "distribution, idle, both ends",
            "% of a core",
            "entry",
            [slopes.Point(n, n * each.cpu * 100) for n, each in idle.items()],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, idle, in TCP, both ways",
            "bytes/s",
            "entry",
            [
                slopes.Point(n, n * (each.sent + each.received))
                for n, each in idle.items()
            ],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, one entry, both ends",
            "% of a core",
            "change a second",
            [
                slopes.Point(n / _SECONDS, each.cpu * 100)
                for n, each in changing.items()
            ],
            _COMMAND,
        ),
        slopes.fit(
            "distribution, one entry, in TCP, both ways",
            "bytes/s",
            "change a second",
            [
                slopes.Point(n / _SECONDS, each.sent + each.received)
                for n, each in changing.items()
            ],
            _COMMAND,
        ),
    ]
