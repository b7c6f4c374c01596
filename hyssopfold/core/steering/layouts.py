"""What the tables want of a pool's traffic, and how far two wishes differ."""

from collections.abc import Iterable
import functools

from hyssopfold import state
from hyssopfold import tables as tables_module


def of_pool(
    tables: tables_module.Tables, pool: tables_module.Pool
) -> state.Layout:
    """Return where the tables want the traffic of `pool`."""
    routes = tuple(
        state.RouteWeights(route.name, _normalised(route.weights))
        for route in tables.routes
        if route.pool == pool.name
    )
    return state.Layout(
        routes,
        tuple(sorted(set(pool.drains.regions))),
        tuple(sorted(set(pool.drains.failure_domains))),
    )


def without_regions(
    layout: state.Layout, regions: Iterable[str]
) -> state.Layout:
    """Return `layout` with more regions closed."""
    closed = tuple(sorted({*layout.closed_regions, *regions}))
    return layout._replace(closed_regions=closed)


def reopened(layout: state.Layout) -> state.Layout:
    """Return `layout` with nothing closed."""
    return layout._replace(closed_regions=(), closed_domains=())


def weights_of(
    layout: state.Layout, route: str
) -> tuple[state.RegionWeight, ...] | None:
    """Return the weights of a route, or None when the layout lacks it."""
    for row in layout.routes:
        if row.route == route:
            return row.weights
    return None


@functools.lru_cache(maxsize=1024)
def distance(one: state.Layout, other: state.Layout) -> float:
    """Return the most of any route's traffic, 0 to 1, that sits elsewhere.

    It bounds the share of the pool's traffic that moves when requests go by
    `other` in place of `one`, whatever part of it each route and each home
    region has. Nothing measured enters, so nothing that lags or lies can
    widen it. Where the share of a home region or a failure domain decides,
    which the tables don't tell, it is 1.
    """
    if one == other:
        return 0.0
    if one.closed_domains != other.closed_domains:
        return 1.0
    most = 0.0
    for row in one.routes:
        weights = weights_of(other, row.route)
        if weights is not None:
            before = open_weights(row.weights, one.closed_regions)
            after = open_weights(weights, other.closed_regions)
            same = one.closed_regions == other.closed_regions
            most = max(most, _row_distance(before, after, same))
    return most


def open_weights(
    weights: tuple[state.RegionWeight, ...], closed: tuple[str, ...]
) -> dict[str, float]:
    """Return the shares of the open regions; empty means nearest first."""
    left = {one.region: one.weight for one in weights}
    for region in closed:
        left.pop(region, None)
    total = sum(left.values())
    if total <= 0:
        return {}
    return {region: weight / total for region, weight in left.items()}


def _row_distance(
    before: dict[str, float], after: dict[str, float], same_closed: bool
) -> float:
    if not before and not after:
        return 0.0 if same_closed else 1.0
    if not before or not after:
        return 1.0
    regions = {*before, *after}
    gained = (after.get(r, 0.0) - before.get(r, 0.0) for r in regions)
    return sum(gain for gain in gained if gain > 0)


def _normalised(weights: dict[str, float]) -> tuple[state.RegionWeight, ...]:
    total = sum(weights.values())
    if total <= 0:
        return ()
    return tuple(
        state.RegionWeight(region, weight / total)
        for region, weight in sorted(weights.items())
        if weight > 0
    )
