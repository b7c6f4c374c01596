"""The shares in force at an entry, which follow the plans under a cap.

A request that a shift moved has one of two outcomes: it is "gained" if it was
served at the target of the shift, and "turned back" if the target had no free
slots and the request was served where it was before.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import math
from typing import Literal
from typing import NamedTuple

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.steering import layouts
from hyssopfold.core.steering import plans
from hyssopfold.core.steering import regions

MAX_STEP_S = 1.0
# Longer than the delay of steps in a busy process, shorter than any lease.
STALE_S = 3.0
# A region that gets its first ready servers within this time of the start
# counts as part of a starting system, not as one that comes back.
START_GRACE_S = 15.0
# The outcomes of moved requests are evaluated after `MIN_WINDOW_S` if there are
# `MIN_SAMPLES` of them, otherwise after `MAX_WINDOW_S`. If more than
# `HOLD_SHARE` of them are turned back, the shift waits for `HOLD_S`; if more
# than `RETREAT_SHARE` are, the share at the target is reduced.
MIN_WINDOW_S = 1.0
MAX_WINDOW_S = 10.0
HOLD_S = 5.0
MIN_SAMPLES = 20
HOLD_SHARE = 0.005
RETREAT_SHARE = 0.05
# Most distances kept for a pool: those of each part of a plan to its target,
# with and without the lost regions.
_MAX_DISTANCES = 2 * plans.MAX_PARTS
_MINUTE_S = 60.0
_ROUNDING_FACTOR = 1.0 + 1e-6
_EPSILON = 1e-9

Phase = Literal["settled", "moving", "waiting"]


class PhaseChange(NamedTuple):
    """A changed phase or reason of a pool's shift, to be logged."""

    pool: str
    phase: Phase
    reason: str
    progress: float
    lost: tuple[str, ...]
    gained: int
    turned_back: int


class Report(NamedTuple):
    """A pool's shares at this entry, for operators and restarted entries.

    `parts` are the layouts in force, `target` is the layout of the tables,
    `lost` the regions without ready servers, `to_go` an upper bound of the
    pool's traffic that has yet to move (0 to 1) and `left_s` the seconds until
    it has moved if the shift doesn't have to wait. `ready` are the regions with
    ready servers.
    """

    pool: str
    phase: Phase
    reason: str
    parts: tuple[state.Part, ...]
    target: state.Layout
    lost: tuple[str, ...]
    to_go: float
    left_s: float
    ready: tuple[str, ...] = ()


class _OutcomeWindow:
    """Outcomes of the requests that a shift moved since `started_at`."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.gained = 0
        self.turned_back = 0


class _ActivePart(NamedTuple):
    """A part of the mixture in force, prepared for requests.

    Attributes:
        number: Its position in the order of all parts.
        layout: Its layout.
        share: Share of the requests that it decides, from 0 to 1.
        weights: The weights of the layout's routes.
    """

    number: int
    layout: state.Layout
    share: float
    weights: layouts.Weights


class _PoolShares:
    """The mixture in force for one pool.

    Args:
        pool: The pool's row in the tables.
        target: Layout of the tables.
        plan: Plan of the pool's shift, if it has one.
        now: Monotonic time in seconds.
        utc_s: UTC in seconds since 1970.
    """

    def __init__(
        self,
        pool: tables.Pool,
        target: state.Layout,
        plan: state.Shift | None,
        now: float,
        utc_s: float,
    ) -> None:
        self.pool = pool
        self.target = target
        self.plan = plan
        self.plan_received_at = now
        self.lost: frozenset[str] = frozenset()
        self.mixture = self._planned(now, utc_s)
        self.phase: Phase = "settled"
        self.reason = "started"
        self.ever_ready: set[str] = set()
        self.ready: frozenset[str] = frozenset()
        self._start_grace_until = now + START_GRACE_S
        self._last_step_at = now
        self._window = _OutcomeWindow(now)
        self._held_until = 0.0
        self._active_parts: list[_ActivePart] = []
        self._target_weights: layouts.Weights = {}
        # Routes with weights in one of the layouts in force or in the target.
        self._weighted_routes: set[str] = set()
        self._decision_cache: dict[object, regions.Decision] = {}
        self._distance = _new_distance_cache()

    def update(
        self,
        pool: tables.Pool,
        target: state.Layout,
        plan: state.Shift | None,
        now: float,
    ) -> None:
        """Follow a newer revision, starting from the mixture in force."""
        if plan != self.plan:
            self.plan_received_at = now
        self.pool, self.target, self.plan = pool, target, plan
        self._active_parts = []
        # The keys of the cache are layouts of older revisions.
        self._distance = _new_distance_cache()

    def adopt(
        self, parts: Iterable[state.Part], seen_regions: Iterable[str]
    ) -> None:
        """Take over the shares in force at another entry.

        Args:
            parts: The shares.
            seen_regions: Regions in which that entry has seen ready servers.
        """
        mixture = {part.layout: part.share for part in parts}
        total = sum(mixture.values())
        if mixture and abs(total - 1.0) < 1e-3:
            self.mixture = plans.mix(mixture, mixture, 0.0)
            self._active_parts = []
            # The system is already running: a region that gets ready servers
            # from now on has come back, and its traffic returns by a shift.
            self._start_grace_until = -math.inf
            # A region that was lost since that entry's last step is closed
            # here as well, although this entry has never seen it ready.
            self.ever_ready |= set(seen_regions)
            self.ready |= self.ever_ready

    def step(
        self, now: float, utc_s: float, ready: frozenset[str]
    ) -> PhaseChange | None:
        """Move towards the plan, wait or retreat; return a change to log."""
        # After a freeze the process must not move the share for all of the
        # elapsed time at once: the share would jump.
        elapsed_s = min(max(0.0, now - self._last_step_at), MAX_STEP_S)
        self._last_step_at = now
        former = (self.mixture, self.lost)
        self._update_ready(ready, now)
        window = self._window
        self._evaluate_window(window, now)
        previous = (self.phase, self.reason)
        self._move(now, utc_s, elapsed_s)
        # A decision also depends on the failure domains that have servers.
        self._decision_cache.clear()
        if (self.mixture, self.lost) != former:
            self._active_parts = []
        if (self.phase, self.reason) == previous:
            return None
        return PhaseChange(
            self.pool.name,
            self.phase,
            self.reason,
            1.0
            - plans.distance_to(
                self.mixture, self._open_target(), self._distance
            ),
            tuple(sorted(self.lost)),
            window.gained,
            window.turned_back,
        )

    def _move(self, now: float, utc_s: float, elapsed_s: float) -> None:
        planned = self._planned(now, utc_s)
        open_target = self._open_target()
        to_go = plans.moved_share(self.mixture, planned, self._distance)
        if to_go <= _EPSILON:
            self.mixture = planned
            remaining = plans.distance_to(planned, open_target, self._distance)
            self.phase = "settled" if remaining <= _EPSILON else "moving"
            self.reason = "on-plan"
            return
        if now < self._held_until:
            self.phase, self.reason = "waiting", "no-headroom-at-target"
            return
        budget = self._rate_per_second() * elapsed_s
        step = min(1.0, budget / to_go)
        mixture = plans.mix(self.mixture, planned, step)
        assert (
            plans.moved_share(self.mixture, mixture, self._distance)
            <= budget * _ROUNDING_FACTOR + _EPSILON
        )
        assert abs(sum(mixture.values()) - 1.0) < 1e-6
        self.mixture = mixture
        self.phase = "moving"
        self.reason = "on-plan" if step >= 1.0 else "under-cap"

    def _rate_per_second(self) -> float:
        """Return the share of the pool's traffic that may move in a second."""
        rate = self.pool.shift_cap
        if self.pool.warm_up_s > 0:
            rate = min(rate, _MINUTE_S / self.pool.warm_up_s)
        return rate / _MINUTE_S

    def _planned(self, now: float, utc_s: float) -> plans.Mixture:
        """Return the planned mixture with the lost regions closed."""
        if self.plan is None or self.plan.target != self.target:
            mixture: plans.Mixture = {self.target: 1.0}
        else:
            # A plan is received after its start, so the time since then is a
            # lower bound of its age, and a clock that is behind can't stop the
            # shift. A clock that is ahead can't speed it up, see `_move`.
            age_s = max(utc_s - self.plan.start_s, now - self.plan_received_at)
            mixture = plans.mixture_at_age(self.plan, age_s)
        return _close_regions(mixture, self.lost)

    def _open_target(self) -> state.Layout:
        if not self.lost:
            return self.target
        return layouts.without_regions(self.target, self.lost)

    def _update_ready(self, ready: frozenset[str], now: float) -> None:
        """Close lost regions at once; reopen returning regions by a shift.

        The loss of a region is not a decision of the system, but the return of
        its traffic to idle servers is: without a shift, all of it would reach
        servers with cold caches within a second.
        """
        new_regions = ready - self.ever_ready
        if self.ever_ready and not self.ready:
            # No region had ready servers, so there is no traffic to shift.
            self.mixture = {self.target: 1.0}
            self.lost = frozenset()
        elif new_regions and self.ever_ready and now >= self._start_grace_until:
            self.mixture = _close_regions(self.mixture, new_regions)
        self.ever_ready |= new_regions
        lost = frozenset(self.ever_ready - ready)
        self.mixture = _close_regions(self.mixture, lost - self.lost)
        self.lost = lost
        self.ready = ready

    def record_outcome(
        self, decision: regions.Decision, region: str, domain: str
    ) -> None:
        """Count the outcome of a request that a shift moved."""
        if not decision.shifted:
            return
        if decision.turned_back(region, domain):
            self._window.turned_back += 1
        else:
            self._window.gained += 1

    def _evaluate_window(self, window: _OutcomeWindow, now: float) -> None:
        """Hold or reduce the shift when its targets have no free slots.

        If the share followed the clock while its requests are turned back, all
        of these requests would move at once as soon as the target has free
        slots, far above the cap.
        """
        total = window.gained + window.turned_back
        age_s = now - window.started_at
        if window.turned_back > HOLD_SHARE * total:
            self._held_until = now + HOLD_S
        too_few = total < MIN_SAMPLES and age_s < MAX_WINDOW_S
        if age_s < MIN_WINDOW_S or too_few:
            return
        if window.turned_back > RETREAT_SHARE * total:
            self.mixture = self._retreated(window.turned_back / total)
        self._window = _OutcomeWindow(now)

    def _retreated(self, turned_back_share: float) -> plans.Mixture:
        open_target = self._open_target()
        target_share = self.mixture.get(open_target, 0.0)
        others = {
            other: other_share
            for other, other_share in self.mixture.items()
            if other != open_target
        }
        if not others:
            others = {layouts.reopened(self.target): 1.0}
        total = sum(others.values())
        source = {
            layout: layout_share / total
            for layout, layout_share in others.items()
        }
        kept_share = target_share * (1.0 - turned_back_share)
        return plans.mix({open_target: 1.0}, source, 1.0 - kept_share)

    def decide(
        self,
        route: tables.Route,
        ctx: regions.SteeringContext,
        key: str,
    ) -> regions.Decision:
        """Return the regions that may serve a request, best first."""
        numbers = regions.hash_draws(key)
        if not self._active_parts:
            self._prepare_parts()
        part = _select_part(self._active_parts, regions.to_fraction(numbers[0]))
        has_weights = (
            route.name in self._weighted_routes
            or route.name not in self._target_weights
        )
        names = (
            self._preference_order(part.weights, route, ctx, numbers)
            if has_weights
            else ()
        )
        # Not the layout, whose hash takes long with many routes.
        cache_key = (
            part.number,
            route.name,
            ctx.home_region,
            ctx.regions_by_delay,
            names,
        )
        decision = self._decision_cache.get(cache_key)
        # With weights, requests with the same order of regions may differ in
        # `previous_region`, so the cache is only used if the mixture has a
        # single layout.
        if decision is not None and (not has_weights or len(self.mixture) == 1):
            return decision
        if not names:
            names = self._preference_order(part.weights, route, ctx, numbers)
        decision = self._new_decision(part.layout, names, route, ctx, numbers)
        self._decision_cache[cache_key] = decision
        return decision

    def _prepare_parts(self) -> None:
        """Prepare the mixture in force for requests, until it changes."""
        self._decision_cache.clear()
        weights = {
            layout: layouts.weights_by_route(layout)
            for layout in {*self.mixture, self.target}
        }
        # The order is the same at all entries.
        self._active_parts = [
            _ActivePart(number, layout, share, weights[layout])
            for number, (layout, share) in enumerate(
                sorted(self.mixture.items())
            )
        ]
        self._target_weights = weights[self.target]
        self._weighted_routes = {
            row.route
            for layout in weights
            for row in layout.routes
            if row.weights
        }

    def _new_decision(
        self,
        layout: state.Layout,
        names: tuple[str, ...],
        route: tables.Route,
        ctx: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> regions.Decision:
        open_target = self._open_target()
        previous_region = names[0]
        if layout == open_target:
            previous_region = self._previous_region(names, route, ctx, numbers)
        first = regions.first_open(names, layout)
        domains = regions.closed_domains_in(first, layout, ctx)
        shifted = layout == open_target and (
            previous_region != first or bool(domains)
        )
        is_shifting = shifted and len(self.mixture) > 1
        return regions.Decision(
            regions.candidates(layout, self.target, names, ctx, is_shifting),
            "moved" if shifted else "home",
            shifted,
            previous_region,
            domains,
        )

    def _preference_order(
        self,
        weights_by_route: layouts.Weights,
        route: tables.Route,
        ctx: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> tuple[str, ...]:
        weights = weights_by_route.get(route.name)
        if weights is None:
            weights = self._target_weights.get(route.name, ())
        return regions.preference_order(weights, ctx, numbers)

    def _previous_region(
        self,
        names: tuple[str, ...],
        route: tables.Route,
        ctx: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> str:
        """Return the region that would serve the request without the shift."""
        open_target = self._open_target()
        others = [layout for layout in self.mixture if layout != open_target]
        if not others:
            return names[0]
        largest = max(others, key=lambda layout: self.mixture[layout])
        weights_by_route = layouts.weights_by_route(largest)
        names = self._preference_order(weights_by_route, route, ctx, numbers)
        return regions.first_open(names, largest)

    def report(self) -> Report:
        """Return the shares in force and what remains to be moved."""
        to_go = plans.distance_to(
            self.mixture, self._open_target(), self._distance
        )
        parts = tuple(
            state.Part(layout, share)
            for layout, share in sorted(self.mixture.items())
        )
        return Report(
            self.pool.name,
            self.phase,
            self.reason,
            parts,
            self.target,
            tuple(sorted(self.lost)),
            to_go,
            to_go / self._rate_per_second(),
            tuple(sorted(self.ready)),
        )


class TrafficShares:
    """The mixtures in force for all pools at one entry.

    Each entry has one object of this class and asks it for the regions of each
    request. All times `now` are monotonic seconds, all `utc_s` UTC in seconds
    since 1970.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _PoolShares] = {}
        self._last_step_at: float | None = None

    def is_stale(self, now: float) -> bool:
        """Return whether `step` was not called for more than `STALE_S`.

        A process that was frozen while a region was lost and came back has no
        record of the loss: it would send all of its callers home at once, to
        cold servers. It must first adopt the shares of a running entry.
        """
        last_step_at = self._last_step_at
        return last_step_at is not None and now - last_step_at > STALE_S

    def install(self, new_state: state.State, now: float, utc_s: float) -> None:
        """Install the tables and plans of a newer revision."""
        pools: dict[str, _PoolShares] = {}
        targets = layouts.by_pool(new_state.tables)
        for pool in new_state.tables.pools:
            target = targets[pool.name]
            plan = plans.find_shift(new_state.shifts, pool.name)
            pool_shares = self._pools.get(pool.name)
            if pool_shares is None:
                pool_shares = _PoolShares(pool, target, plan, now, utc_s)
            else:
                pool_shares.update(pool, target, plan, now)
            pools[pool.name] = pool_shares
        self._pools = pools

    def adopt(
        self,
        pool: str,
        parts: Iterable[state.Part],
        seen_regions: Iterable[str] = (),
    ) -> None:
        """Take over the shares of a running entry.

        An entry that restarts during a shift has lost its progress. It can't
        compute it from the plan if its clock is wrong.

        Args:
            pool: Name of the pool.
            parts: Shares in force at the running entry.
            seen_regions: Regions in which that entry has seen ready servers
                of the pool, whether or not they still are.
        """
        if pool in self._pools:
            self._pools[pool].adopt(parts, seen_regions)

    def step(
        self, now: float, utc_s: float, ready: Mapping[str, frozenset[str]]
    ) -> list[PhaseChange]:
        """Step the shares of all pools; return the changes to log.

        Args:
            now: Monotonic time in seconds.
            utc_s: UTC in seconds since 1970.
            ready: Regions that have ready servers, by pool.
        """
        self._last_step_at = now
        changes = [
            pool.step(now, utc_s, ready.get(name, frozenset()))
            for name, pool in self._pools.items()
        ]
        return [change for change in changes if change is not None]

    def decide(
        self,
        route: tables.Route,
        ctx: regions.SteeringContext,
        key: str,
        pool_name: str = "",
    ) -> regions.Decision:
        """Return the regions that may serve a request, best first.

        Args:
            route: The request's route.
            ctx: Home region and regions with ready servers.
            key: The request's id; its hash selects the layout and regions.
            pool_name: The pool that serves it, if not the route's own.
        """
        pool_shares = self._pools.get(pool_name or route.pool)
        if pool_shares is None:
            names = regions.preference_order((), ctx, ())
            empty = state.Layout()
            region_order = regions.candidates(empty, empty, names, ctx, False)
            return regions.Decision(region_order, "home")
        return pool_shares.decide(route, ctx, key)

    def record_outcome(
        self, pool: str, decision: regions.Decision, region: str, domain: str
    ) -> None:
        """Record where a request that `decide` steered was served."""
        if pool in self._pools:
            self._pools[pool].record_outcome(decision, region, domain)

    def is_moving(self, pool: str) -> bool:
        """Return whether a shift of the pool is in progress."""
        pool_shares = self._pools.get(pool)
        return pool_shares is not None and pool_shares.phase != "settled"

    def reports(self) -> list[Report]:
        """Return the shares of every pool."""
        return [pool.report() for pool in self._pools.values()]


def _new_distance_cache() -> plans.Distance:
    return functools.lru_cache(maxsize=_MAX_DISTANCES)(layouts.distance)


def _close_regions(
    mixture: plans.Mixture, closed_regions: Iterable[str]
) -> plans.Mixture:
    """Return the mixture with regions closed in all of its layouts."""
    closed_regions = tuple(closed_regions)
    if not closed_regions:
        return mixture
    shares: dict[state.Layout, float] = {}
    for layout, share in mixture.items():
        reduced = layouts.without_regions(layout, closed_regions)
        shares[reduced] = shares.get(reduced, 0.0) + share
    return shares


def _select_part(parts: list[_ActivePart], draw: float) -> _ActivePart:
    """Return the part that decides a request with a draw in (0, 1)."""
    upper_bound = 0.0
    for part in parts:
        upper_bound += part.share
        if draw < upper_bound:
            return part
    # The sum of the shares is 1 except for rounding.
    return parts[-1]
