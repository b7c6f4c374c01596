"""Cost of deciding where a request goes, and of a step of the shares."""

import time

from bench import shift_simulation
from bench.capacity import slopes
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.steering import plans
from hyssopfold.core.steering import regions
from hyssopfold.core.steering import shares

_COMMAND = "python -m bench.capacity --part steering"
_POOLS = (1, 4, 16)
_REGIONS = (2, 3, 5, 7)
_CALLS = 5_000
_STEPS = 200


def _tables(pools):
    rows = "\n".join(
        f"  - {{name: r{n}, host: h{n}, path_prefix: /, pool: p{n}}}"
        for n in range(pools)
    )
    held = "\n".join(f"  - {{name: p{n}, slots: 3}}" for n in range(pools))
    return tables.parse(f"routes:\n{rows}\npools:\n{held}\n")


def _us(call, count):
    began = time.process_time()
    for number in range(count):
        call(number)
    return (time.process_time() - began) / count * 1e6


def _step_us(pools):
    first = _tables(pools)
    drained = first._replace(
        pools=tuple(
            pool._replace(drains=tables.Drains(regions=("a",)))
            for pool in first.pools
        )
    )
    held = shares.TrafficShares()
    held.install(state.State(first), 0.0, 0.0)
    held.install(plans.after_edit(state.State(first), drained, 0.0), 1.0, 0.0)
    ready = {pool.name: frozenset("abc") for pool in first.pools}
    return _us(lambda n: held.step(1 + n * 0.2, n * 0.2, ready), _STEPS)


def _decide_us(count):
    names = tuple(f"region-{n}" for n in range(count))
    first = shift_simulation.with_weights(_tables(1), dict.fromkeys(names, 1.0))
    held = shares.TrafficShares()
    held.install(state.State(first), 0.0, 0.0)
    held.step(0.1, 0.1, {"p0": frozenset(names)})
    place = regions.SteeringContext(names[0], names, {})
    return _us(lambda n: held.decide(first.routes[0], place, f"{n}"), _CALLS)


def measure():
    """Return the slopes."""
    steps = [slopes.Point(n, _step_us(n)) for n in _POOLS]
    decisions = [slopes.Point(n, _decide_us(n)) for n in _REGIONS]
    return [
        slopes.fit(
            "steering", "CPU of a step while shifts run, us", "pool", steps,
            _COMMAND,
        ),
        slopes.fit(
            "steering", "CPU of a decision by weights, us", "region",
            decisions, _COMMAND,
        ),
    ]  # fmt: skip
