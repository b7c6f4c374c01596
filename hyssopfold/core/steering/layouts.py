"""Layouts: how the tables distribute a pool's traffic, and their distance."""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping

from hyssopfold import state
from hyssopfold import tables

# The weights of the routes of a layout, by the name of the route.
Weights = Mapping[str, tuple[state.RegionWeight, ...]]


def by_pool(revision_tables: tables.Tables) -> dict[str, state.Layout]:
    """Return the layout that the tables specify for the traffic of each pool."""
    routes: dict[str, list[state.RouteWeights]] = defaultdict(list)
    for route in revision_tables.routes:
        weights = _normalised(route.weights) if route.weights else ()
        routes[route.pool].append(state.RouteWeights(route.name, weights))
    return {
        pool.name: state.Layout(
            tuple(routes[pool.name]),
            tuple(sorted(set(pool.drains.regions))),
            tuple(sorted(set(pool.drains.failure_domains))),
        )
        for pool in revision_tables.pools
    }


def without_regions(
    layout: state.Layout, regions: Iterable[str]
) -> state.Layout:
    """Return `layout` with `regions` closed as well."""
    closed = tuple(sorted({*layout.closed_regions, *regions}))
    return layout._replace(closed_regions=closed)


def reopened(layout: state.Layout) -> state.Layout:
    """Return `layout` with all regions and failure domains open."""
    return layout._replace(closed_regions=(), closed_domains=())


def weights_by_route(layout: state.Layout) -> Weights:
    """Return the weights of each route of a layout."""
    return {row.route: row.weights for row in layout.routes}


def distance(old: state.Layout, new: state.Layout) -> float:
    """Return the largest share of a route's traffic, 0 to 1, that moves.

    It is an upper bound of the share of the pool's traffic that moves when
    requests are decided by `new` instead of `old`, however the traffic is
    distributed over the routes and the home regions. It uses no measurements,
    so late or wrong measurements can't make the bound wrong. It is 1 if the
    moved share depends on the share of a home region or of a failure domain,
    which the tables don't contain.

    It takes long with many routes. Callers that need a distance again cache it
    for as long as they use the layouts.
    """
    if old == new:
        return 0.0
    if old.closed_domains != new.closed_domains:
        return 1.0
    new_weights_by_route = weights_by_route(new)
    # Few of the pairs differ from each other.
    pairs = {
        (row.weights, new_weights_by_route[row.route])
        for row in old.routes
        if row.route in new_weights_by_route
    }
    same = old.closed_regions == new.closed_regions
    return max(
        (
            _route_distance(
                open_weights(before, old.closed_regions),
                open_weights(after, new.closed_regions),
                same,
            )
            for before, after in pairs
        ),
        default=0.0,
    )


def open_weights(
    weights: tuple[state.RegionWeight, ...], closed: tuple[str, ...]
) -> dict[str, float]:
    """Return the shares of the open regions; empty means nearest first."""
    open_by_region = {row.region: row.weight for row in weights}
    for region in closed:
        open_by_region.pop(region, None)
    total = sum(open_by_region.values())
    if total <= 0:
        return {}
    return {region: weight / total for region, weight in open_by_region.items()}


def _route_distance(
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
