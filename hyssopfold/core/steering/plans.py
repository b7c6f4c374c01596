"""Plans of shifts: how an edit makes them, and the shares in force under one.

A pool's requests are decided by a mixture of layouts. A shift turns the
mixture that is in force into the new layout along a straight line, so the
traffic that moved is at most the progress times the distance to go; replacing
a plan midway starts from the mixture in force and nothing jumps.
"""

from collections.abc import Mapping
from typing import NoReturn

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables as tables_module
from hyssopfold.core.steering import layouts

MAX_PARTS = 32
_MINUTE_S = 60.0
_NEGLIGIBLE = 1e-9

Mixture = Mapping[state.Layout, float]


def after_edit(
    old: state.State, new: tables_module.Tables, utc_s: float
) -> state.State:
    """Return the state to submit for an edit of `old`'s tables.

    Args:
        old: State at the revision that the edit expects.
        new: Tables of the edit.
        utc_s: UTC in seconds since 1970, the start of the plans it makes.

    Raises:
        InvalidDocumentError: if a pool would have too many changes of shares
            under way at once.
    """
    shifts = []
    for pool in new.pools:
        shift = _shift_of(old, new, pool, utc_s)
        if shift is not None:
            shifts.append(shift)
    return old._replace(tables=new, shifts=tuple(shifts))


def _shift_of(
    old: state.State,
    new: tables_module.Tables,
    pool: tables_module.Pool,
    utc_s: float,
) -> state.Shift | None:
    pool_before = old.tables.pool(pool.name)
    if pool_before is None:
        return None
    plan = find_shift(old.shifts, pool.name)
    before = layouts.of_pool(old.tables, pool_before)
    target = layouts.of_pool(new, pool)
    source = {before: 1.0} if plan is None else mixture_at(plan, utc_s)
    if plan is not None and target == before and source != {target: 1.0}:
        unchanged = (pool_before.shift_cap, pool_before.warm_up_s) == (
            pool.shift_cap,
            pool.warm_up_s,
        )
        if unchanged:
            return plan
    to_go = distance_to(source, target)
    if to_go <= _NEGLIGIBLE:
        return None
    if len(source) > MAX_PARTS:
        _raise_too_many(pool)
    parts = tuple(
        state.Part(layout, share) for layout, share in sorted(source.items())
    )
    rate = _rate_per_minute(pool, to_go)
    return state.Shift(pool.name, parts, target, utc_s, rate)


def _raise_too_many(pool: tables_module.Pool) -> NoReturn:
    fault = errors.Fault(
        "tables",
        1,
        f"pools.{pool.name}",
        f"more than {MAX_PARTS} changes of shares under way at once",
        "the change again once a shift of this pool has ended",
    )
    raise errors.InvalidDocumentError([fault])


def _rate_per_minute(pool: tables_module.Pool, to_go: float) -> float:
    rate = pool.shift_cap / to_go
    if pool.warm_up_s > 0:
        # A move faster than the warm-up lands on cold servers: they would
        # shed what they cannot take yet.
        rate = min(rate, _MINUTE_S / pool.warm_up_s)
    return rate


def find_shift(
    shifts: tuple[state.Shift, ...], pool: str
) -> state.Shift | None:
    """Return the plan of a pool."""
    for shift in shifts:
        if shift.pool == pool:
            return shift
    return None


def progress(shift: state.Shift, age_s: float) -> float:
    """Return the share of requests, 0 to 1, that the target decides."""
    done = max(0.0, age_s) * shift.rate_per_minute / _MINUTE_S
    return min(1.0, done)


def mixture_at(shift: state.Shift, utc_s: float) -> Mixture:
    """Return the mixture that the plan wants at a time of day, UTC."""
    return mixture_at_age(shift, utc_s - shift.start_s)


def mixture_at_age(shift: state.Shift, age_s: float) -> Mixture:
    """Return the mixture that the plan wants `age_s` seconds after start."""
    source = {part.layout: part.share for part in shift.source}
    return mix(source, {shift.target: 1.0}, progress(shift, age_s))


def mix(one: Mixture, other: Mixture, share: float) -> Mixture:
    """Return `one` with `share` of its requests decided by `other`."""
    mixed: dict[state.Layout, float] = {}
    for mixture, weight in ((one, 1.0 - share), (other, share)):
        for layout, part in mixture.items():
            mixed[layout] = mixed.get(layout, 0.0) + part * weight
    kept = {
        layout: part for layout, part in mixed.items() if part > _NEGLIGIBLE
    }
    total = sum(kept.values())
    return {layout: part / total for layout, part in kept.items()}


def distance_to(source: Mixture, target: state.Layout) -> float:
    """Return the most of the pool's traffic that has yet to move, 0 to 1."""
    return sum(
        share * layouts.distance(layout, target)
        for layout, share in source.items()
    )


def moved_share(one: Mixture, other: Mixture) -> float:
    """Return the most of the pool's traffic that moves from one to other."""
    gained = [
        layout
        for layout, share in other.items()
        if share > one.get(layout, 0.0) + _NEGLIGIBLE
    ]
    moved = 0.0
    for layout, share in one.items():
        lost = share - other.get(layout, 0.0)
        if lost > _NEGLIGIBLE:
            far = [layouts.distance(layout, to) for to in gained]
            moved += lost * max(far, default=0.0)
    return moved
