"""Cost of a steering decision and of a step of the traffic shares."""

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
    route_rows = "\n".join(
        f"  - {{name: r{n}, host: h{n}, path_prefix: /, pool: p{n}}}"
        for n in range(pools)
    )
    pool_rows = "\n".join(f"  - {{name: p{n}, slots: 3}}" for n in range(pools))
    return tables.parse(f"routes:\n{route_rows}\npools:\n{pool_rows}\n")


def _mean_cpu_us(function, count):
    started_at = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - started_at) / count * 1e6


def _step_us(pools):
    initial_tables = _tables(pools)
    drained_tables = initial_tables._replace(
        pools=tuple(
            pool._replace(drains=tables.Drains(regions=("a",)))
            for pool in initial_tables.pools
        )
    )
    traffic_shares = shares.TrafficShares()
    traffic_shares.install(state.State(initial_tables), 0.0, 0.0)
    traffic_shares.install(
        plans.after_edit(state.State(initial_tables), drained_tables, 0.0),
        1.0,
        0.0,
    )
    ready = {pool.name: frozenset("abc") for pool in initial_tables.pools}
    return _mean_cpu_us(
        lambda n: traffic_shares.step(1 + n * 0.2, n * 0.2, ready), _STEPS
    )


def _decide_us(count):
    names = tuple(f"region-{n}" for n in range(count))
    initial_tables = shift_simulation.with_weights(
        _tables(1), dict.fromkeys(names, 1.0)
    )
    traffic_shares = shares.TrafficShares()
    traffic_shares.install(state.State(initial_tables), 0.0, 0.0)
    traffic_shares.step(0.1, 0.1, {"p0": frozenset(names)})
    ctx = regions.SteeringContext(names[0], names, {})
    return _mean_cpu_us(
        lambda n: traffic_shares.decide(initial_tables.routes[0], ctx, f"{n}"),
        _CALLS,
    )


def measure():
    """Return the slopes of CPU by pools and by regions."""
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
