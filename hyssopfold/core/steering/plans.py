"""Plans of shifts: how an edit creates them, and the mixture of a plan.

A pool's requests are decided by a mixture of layouts, each with its share of
the requests. A shift turns the mixture in force into the new layout by linear
interpolation, so the traffic that has moved is at most the progress times the
distance. A plan that replaces another midway starts from the mixture in force,
so the shares don't jump.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NoReturn

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.steering import layouts

MAX_PARTS = 32
_MINUTE_S = 60.0
_MIN_SHARE = 1e-9

Mixture = Mapping[state.Layout, float]
Distance = Callable[[state.Layout, state.Layout], float]


def after_edit(
    old: state.State, new: tables.Tables, utc_s: float
) -> state.State:
    """Return the state to submit for an edit of the tables of `old`.

    Args:
        old: State at the revision on which the edit is based.
        new: Tables of the edit.
        utc_s: UTC in seconds since 1970; new plans start then.

    Raises:
        InvalidDocumentError: if a pool would have too many unfinished changes
            of shares at once.
    """
    shifts = []
    old_targets, targets = layouts.by_pool(old.tables), layouts.by_pool(new)
    for pool in new.pools:
        if pool.name not in old_targets:
            continue
        shift = _shift_of(
            old, old_targets[pool.name], pool, targets[pool.name], utc_s
        )
        if shift is not None:
            shifts.append(shift)
    return old._replace(tables=new, shifts=tuple(shifts))


def _shift_of(
    old: state.State,
    old_target: state.Layout,
    pool: tables.Pool,
    target: state.Layout,
    utc_s: float,
) -> state.Shift | None:
    pool_before = old.tables.pool(pool.name)
    assert pool_before is not None, "the pool has a layout"
    plan = find_shift(old.shifts, pool.name)
    source = {old_target: 1.0} if plan is None else mixture_at(plan, utc_s)
    if plan is not None and target == old_target and source != {target: 1.0}:
        has_same_limits = (pool_before.shift_cap, pool_before.warm_up_s) == (
            pool.shift_cap,
            pool.warm_up_s,
        )
        if has_same_limits:
            return plan
    to_go = distance_to(source, target)
    if to_go <= _MIN_SHARE:
        return None
    if len(source) > MAX_PARTS:
        _raise_too_many_parts(pool)
    parts = tuple(
        state.Part(layout, share) for layout, share in sorted(source.items())
    )
    rate = _rate_per_minute(pool, to_go)
    return state.Shift(pool.name, parts, target, utc_s, rate)


def _raise_too_many_parts(pool: tables.Pool) -> NoReturn:
    fault = errors.Fault(
        "tables",
        1,
        f"pools.{pool.name}",
        f"more than {MAX_PARTS} changes of shares under way at once",
        "the change again once a shift of this pool has ended",
    )
    raise errors.InvalidDocumentError([fault])


def _rate_per_minute(pool: tables.Pool, to_go: float) -> float:
    rate = pool.shift_cap / to_go
    if pool.warm_up_s > 0:
        # A shift faster than the warm-up would overload cold servers, which
        # then shed requests.
        rate = min(rate, _MINUTE_S / pool.warm_up_s)
    return rate


def find_shift(
    shifts: tuple[state.Shift, ...], pool: str
) -> state.Shift | None:
    """Return the plan of a pool, or None if it has none."""
    for shift in shifts:
        if shift.pool == pool:
            return shift
    return None


def progress(shift: state.Shift, age_s: float) -> float:
    """Return the share of requests, 0 to 1, that the target layout decides.

    Args:
        shift: The plan.
        age_s: Seconds since the start of the plan.
    """
    decided_share = max(0.0, age_s) * shift.rate_per_minute / _MINUTE_S
    return min(1.0, decided_share)


def mixture_at(shift: state.Shift, utc_s: float) -> Mixture:
    """Return the planned mixture at `utc_s`, UTC in seconds since 1970."""
    return mixture_at_age(shift, utc_s - shift.start_s)


def mixture_at_age(shift: state.Shift, age_s: float) -> Mixture:
    """Return the planned mixture `age_s` seconds after the plan's start."""
    source = {part.layout: part.share for part in shift.source}
    return mix(source, {shift.target: 1.0}, progress(shift, age_s))


def mix(base: Mixture, added: Mixture, share: float) -> Mixture:
    """Return `base` with `share` of its requests decided by `added`."""
    shares: dict[state.Layout, float] = {}
    for mixture, weight in ((base, 1.0 - share), (added, share)):
        for layout, layout_share in mixture.items():
            shares[layout] = shares.get(layout, 0.0) + layout_share * weight
    significant = {
        layout: layout_share
        for layout, layout_share in shares.items()
        if layout_share > _MIN_SHARE
    }
    total = sum(significant.values())
    return {
        layout: layout_share / total
        for layout, layout_share in significant.items()
    }


def distance_to(
    source: Mixture,
    target: state.Layout,
    distance: Distance = layouts.distance,
) -> float:
    """Return an upper bound of the pool's traffic yet to move, 0 to 1.

    Args:
        source: The mixture in force.
        target: The layout to which it moves.
        distance: `layouts.distance`, or a cache of its results.
    """
    return sum(
        share * distance(layout, target) for layout, share in source.items()
    )


def moved_share(
    before: Mixture, after: Mixture, distance: Distance = layouts.distance
) -> float:
    """Return an upper bound of the traffic that moves between two mixtures.

    It is a share of the pool's traffic, 0 to 1.

    Args:
        before: The mixture in force.
        after: The mixture that replaces it.
        distance: `layouts.distance`, or a cache of its results.
    """
    growing = [
        layout
        for layout, share in after.items()
        if share > before.get(layout, 0.0) + _MIN_SHARE
    ]
    moved = 0.0
    for layout, share in before.items():
        loss = share - after.get(layout, 0.0)
        if loss > _MIN_SHARE:
            distances = [distance(layout, target) for target in growing]
            moved += loss * max(distances, default=0.0)
    return moved
