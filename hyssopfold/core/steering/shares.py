"""The shares in force at one node: plans followed under the cap, or held."""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Literal
from typing import NamedTuple

from hyssopfold import state
from hyssopfold import tables as tables_module
from hyssopfold.core.steering import layouts
from hyssopfold.core.steering import plans
from hyssopfold.core.steering import regions

MAX_STEP_S = 1.0
# Longer than a busy process misses its steps, shorter than any lease.
STALE_S = 3.0
GRACE_S = 15.0
WINDOW_S = 1.0
MAX_WINDOW_S = 10.0
PROBE_S = 5.0
MIN_SAMPLES = 20
HOLD_SHARE = 0.005
RETREAT_SHARE = 0.05
_MINUTE_S = 60.0
_SLACK = 1.0 + 1e-6
_EPSILON = 1e-9

Phase = Literal["settled", "moving", "waiting"]


class PhaseChange(NamedTuple):
    """Something to log: what a pool's shift does now, and why."""

    pool: str
    phase: Phase
    reason: str
    progress: float
    lost: tuple[str, ...]
    gained: int
    turned_back: int


class Report(NamedTuple):
    """A pool's shares at this node.

    `parts` are the layouts in force, `target` what the tables want, `to_go`
    the most of the pool's traffic that has yet to move (0 to 1) and `left_s`
    the seconds until it has, if nothing makes it wait.
    """

    pool: str
    phase: Phase
    reason: str
    parts: tuple[state.Part, ...]
    target: state.Layout
    lost: tuple[str, ...]
    to_go: float
    left_s: float


class _Window:
    """What became of the requests that a shift took elsewhere."""

    def __init__(self, now: float) -> None:
        self.began = now
        self.gained = 0
        self.turned_back = 0


class _Pool:
    """The mixture in force for one pool.

    Args:
        row: The pool's row.
        target: Layout that the tables want.
        plan: Plan of its shift.
        now: Monotonic time in seconds.
        utc_s: UTC in seconds since 1970.
    """

    def __init__(
        self,
        row: tables_module.Pool,
        target: state.Layout,
        plan: state.Shift | None,
        now: float,
        utc_s: float,
    ) -> None:
        self.row = row
        self.target = target
        self.plan = plan
        self.learned_at = now
        self.lost: frozenset[str] = frozenset()
        self.mixture = self._wanted(now, utc_s)
        self.phase: Phase = "settled"
        self.reason = "started"
        self.seen: set[str] = set()
        self.ready: frozenset[str] = frozenset()
        self._grace_until = now + GRACE_S
        self._stepped_at = now
        self._window = _Window(now)
        self._held_until = 0.0
        self._parts: list[tuple[state.Layout, float]] | None = None
        self._weighted: dict[str, bool] = {}
        self._decisions: dict[object, regions.Decision] = {}

    def update(
        self,
        row: tables_module.Pool,
        target: state.Layout,
        plan: state.Shift | None,
        now: float,
    ) -> None:
        """Follow a newer revision from the mixture in force."""
        if plan != self.plan:
            self.learned_at = now
        self.row, self.target, self.plan = row, target, plan
        self._parts = None

    def adopt(self, parts: Iterable[state.Part]) -> None:
        """Go on from the shares in force at another node."""
        mixture = {part.layout: part.share for part in parts}
        total = sum(mixture.values())
        if mixture and abs(total - 1.0) < 1e-3:
            self.mixture = plans.mix(mixture, mixture, 0.0)
            self._parts = None
            # The system runs already: from now on a region that comes is
            # one that comes back, and is returned to by shift.
            self._grace_until = -math.inf

    def step(
        self, now: float, utc_s: float, ready: frozenset[str]
    ) -> PhaseChange | None:
        """Move on, hold or step back; return what is worth a log line."""
        # A process that was frozen must not make up for the time at once:
        # its share would jump. It goes on from where it was.
        passed = min(max(0.0, now - self._stepped_at), MAX_STEP_S)
        self._stepped_at = now
        self._note_ready(ready, now)
        window = self._window
        self._judge(window, now)
        before = (self.phase, self.reason)
        self._move(now, utc_s, passed)
        self._parts = None
        if (self.phase, self.reason) == before:
            return None
        return PhaseChange(
            self.row.name,
            self.phase,
            self.reason,
            1.0 - plans.distance_to(self.mixture, self._final()),
            tuple(sorted(self.lost)),
            window.gained,
            window.turned_back,
        )

    def _move(self, now: float, utc_s: float, passed: float) -> None:
        wanted = self._wanted(now, utc_s)
        final = self._final()
        to_go = plans.moved_share(self.mixture, wanted)
        if to_go <= _EPSILON:
            self.mixture = wanted
            left = plans.distance_to(wanted, final)
            self.phase = "settled" if left <= _EPSILON else "moving"
            self.reason = "on-plan"
            return
        if now < self._held_until:
            self.phase, self.reason = "waiting", "no-headroom-at-target"
            return
        budget = self._per_second() * passed
        step = min(1.0, budget / to_go)
        moved = plans.mix(self.mixture, wanted, step)
        assert (
            plans.moved_share(self.mixture, moved) <= budget * _SLACK + _EPSILON
        )
        assert abs(sum(moved.values()) - 1.0) < 1e-6
        self.mixture = moved
        self.phase = "moving"
        self.reason = "on-plan" if step >= 1.0 else "under-cap"

    def _per_second(self) -> float:
        """Return the share of the pool's traffic that may move a second."""
        rate = self.row.shift_cap
        if self.row.warm_up_s > 0:
            rate = min(rate, _MINUTE_S / self.row.warm_up_s)
        return rate / _MINUTE_S

    def _wanted(self, now: float, utc_s: float) -> plans.Mixture:
        """Return the mixture of the plan, without the regions lost."""
        if self.plan is None or self.plan.target != self.target:
            mixture: plans.Mixture = {self.target: 1.0}
        else:
            # A plan can't be known before it starts: the time since it came
            # bounds its age from below, so a clock behind cannot stop it.
            # A clock ahead cannot hurry it: see `_move`.
            age_s = max(utc_s - self.plan.start_s, now - self.learned_at)
            mixture = plans.mixture_at_age(self.plan, age_s)
        return _closed(mixture, self.lost)

    def _final(self) -> state.Layout:
        return layouts.without_regions(self.target, self.lost)

    def _note_ready(self, ready: frozenset[str], now: float) -> None:
        """Leave a lost region at once; go back to one that returns by shift.

        Losing a region is no decision of ours. That its traffic comes back to
        servers that were idle is one: without the shift all of it would land
        on cold caches within a second.
        """
        come = ready - self.seen
        if self.seen and not self.ready:
            # Nothing was served anywhere: there is no traffic to shift.
            self.mixture = {self.target: 1.0}
            self.lost = frozenset()
        elif come and self.seen and now >= self._grace_until:
            self.mixture = _closed(self.mixture, come)
        self.seen |= come
        lost = frozenset(self.seen - ready)
        self.mixture = _closed(self.mixture, lost - self.lost)
        self.lost = lost
        self.ready = ready

    def record_outcome(
        self, decision: regions.Decision, region: str, domain: str
    ) -> None:
        """Count what became of a request that a shift took elsewhere."""
        if not decision.shifted:
            return
        if decision.turned_back(region, domain):
            self._window.turned_back += 1
        else:
            self._window.gained += 1

    def _judge(self, window: _Window, now: float) -> None:
        """Hold, or step back to what was served, when targets had no room.

        Were the share to go on by the clock while its requests are served
        where they were, all that was held up would move in one instant once
        the target has room, far above the cap.
        """
        total = window.gained + window.turned_back
        age_s = now - window.began
        if window.turned_back > HOLD_SHARE * total:
            self._held_until = now + PROBE_S
        few = total < MIN_SAMPLES and age_s < MAX_WINDOW_S
        if age_s < WINDOW_S or few:
            return
        if window.turned_back > RETREAT_SHARE * total:
            self.mixture = self._stepped_back(window.turned_back / total)
        self._window = _Window(now)

    def _stepped_back(self, share: float) -> plans.Mixture:
        final = self._final()
        decided = self.mixture.get(final, 0.0)
        rest = {k: v for k, v in self.mixture.items() if k != final}
        if not rest:
            rest = {layouts.reopened(self.target): 1.0}
        total = sum(rest.values())
        back = {layout: part / total for layout, part in rest.items()}
        kept = decided * (1.0 - share)
        return plans.mix({final: 1.0}, back, 1.0 - kept)

    def decide(
        self,
        route: tables_module.Route,
        place: regions.SteeringContext,
        key: str,
    ) -> regions.Decision:
        """Return where a request may go, best first."""
        numbers = regions.hash_draws(key)
        layout = _pick(self._ranked(), regions.to_fraction(numbers[0]))
        weighted = self._weighted.get(route.name, True)
        names = self._names(layout, route, place, numbers) if weighted else ()
        cached = (
            layout,
            route.name,
            place.home_region,
            place.regions_by_delay,
            names,
        )
        decision = self._decisions.get(cached)
        # With weights `old` differs from request to request of one order, so
        # only a mixture at rest can be answered from the cache.
        if decision is not None and (not weighted or len(self.mixture) == 1):
            return decision
        if not names:
            names = self._names(layout, route, place, numbers)
        decision = self._decided(layout, names, route, place, numbers)
        self._decisions[cached] = decision
        return decision

    def _ranked(self) -> list[tuple[state.Layout, float]]:
        """Return the mixture in an order that is the same at every node."""
        if self._parts is None:
            self._parts = sorted(self.mixture.items())
            self._decisions.clear()
            layouts_held = [*self.mixture, self.target]
            self._weighted = {
                row.route: any(
                    layouts.weights_of(layout, row.route)
                    for layout in layouts_held
                )
                for row in self.target.routes
            }
        return self._parts

    def _decided(
        self,
        layout: state.Layout,
        names: tuple[str, ...],
        route: tables_module.Route,
        place: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> regions.Decision:
        final = self._final()
        old = names[0]
        if layout == final:
            old = self._old_place(names, route, place, numbers)
        first = regions.first_open(names, layout)
        domains = regions.closed_domains_in(first, layout, place)
        shifted = layout == final and (old != first or bool(domains))
        moved = shifted and len(self.mixture) > 1
        return regions.Decision(
            regions.candidates(layout, self.target, names, place, moved),
            "moved" if shifted else "home",
            shifted,
            old,
            domains,
        )

    def _names(
        self,
        layout: state.Layout,
        route: tables_module.Route,
        place: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> tuple[str, ...]:
        weights = layouts.weights_of(layout, route.name)
        if weights is None:
            weights = layouts.weights_of(self.target, route.name) or ()
        return regions.preference_order(weights, place, numbers)

    def _old_place(
        self,
        names: tuple[str, ...],
        route: tables_module.Route,
        place: regions.SteeringContext,
        numbers: tuple[int, ...],
    ) -> str:
        """Return the region the request would go to but for the shift."""
        final = self._final()
        others = [one for one in self.mixture if one != final]
        if not others:
            return names[0]
        before = max(others, key=lambda one: self.mixture[one])
        names = self._names(before, route, place, numbers)
        return regions.first_open(names, before)

    def report(self) -> Report:
        """Return the shares in force and what is left to do."""
        to_go = plans.distance_to(self.mixture, self._final())
        parts = tuple(
            state.Part(layout, share)
            for layout, share in sorted(self.mixture.items())
        )
        return Report(
            self.row.name,
            self.phase,
            self.reason,
            parts,
            self.target,
            tuple(sorted(self.lost)),
            to_go,
            to_go / self._per_second(),
        )


class TrafficShares:
    """The mixtures in force for all pools at one node.

    All times `now` are monotonic seconds, all `utc_s` seconds since 1970.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _Pool] = {}
        self._stepped_at: float | None = None

    def is_stale(self, now: float) -> bool:
        """Return whether this node stood still for long.

        A process that was frozen while a region was lost and came back never
        saw it, and would send all of its callers home at once, to cold
        servers. It adopts the shares of a running node first.
        """
        last = self._stepped_at
        return last is not None and now - last > STALE_S

    def install(self, held: state.State, now: float, utc_s: float) -> None:
        """Follow the tables and plans of a newer revision."""
        pools: dict[str, _Pool] = {}
        for row in held.tables.pools:
            target = layouts.of_pool(held.tables, row)
            plan = plans.find_shift(held.shifts, row.name)
            pool = self._pools.get(row.name)
            if pool is None:
                pool = _Pool(row, target, plan, now, utc_s)
            else:
                pool.update(row, target, plan, now)
            pools[row.name] = pool
        self._pools = pools

    def adopt(self, pool: str, parts: Iterable[state.Part]) -> None:
        """Go on from the shares of a node that has been running.

        A node that restarts midway in a shift has lost its place; the plan and
        its own clock would give it back, a wrong clock would not.
        """
        if pool in self._pools:
            self._pools[pool].adopt(parts)

    def step(
        self, now: float, utc_s: float, ready: Mapping[str, frozenset[str]]
    ) -> list[PhaseChange]:
        """Move every pool on; return what is worth a log line.

        Args:
            now: Monotonic time in seconds.
            utc_s: UTC in seconds since 1970.
            ready: Regions that have ready servers, by pool.
        """
        self._stepped_at = now
        changes = [
            pool.step(now, utc_s, ready.get(name, frozenset()))
            for name, pool in self._pools.items()
        ]
        return [change for change in changes if change is not None]

    def decide(
        self,
        route: tables_module.Route,
        place: regions.SteeringContext,
        key: str,
        pool_name: str = "",
    ) -> regions.Decision:
        """Return where a request may go, best first.

        Args:
            route: The request's route.
            place: From where it is steered.
            key: The request's id, which draws its place in the shares.
            pool_name: The pool that serves it, when not the route's own.
        """
        pool = self._pools.get(pool_name or route.pool)
        if pool is None:
            names = regions.preference_order((), place, ())
            empty = state.Layout()
            found = regions.candidates(empty, empty, names, place, False)
            return regions.Decision(found, "home")
        return pool.decide(route, place, key)

    def record_outcome(
        self, pool: str, decision: regions.Decision, region: str, domain: str
    ) -> None:
        """Take in where a request that `decide` steered was served."""
        if pool in self._pools:
            self._pools[pool].record_outcome(decision, region, domain)

    def is_moving(self, pool: str) -> bool:
        """Return whether a shift of the pool is under way."""
        held = self._pools.get(pool)
        return held is not None and held.phase != "settled"

    def reports(self) -> list[Report]:
        """Return the shares of every pool."""
        return [pool.report() for pool in self._pools.values()]


def _closed(mixture: plans.Mixture, gone: Iterable[str]) -> plans.Mixture:
    """Return the mixture with regions closed in every layout."""
    gone = tuple(gone)
    if not gone:
        return mixture
    closed: dict[state.Layout, float] = {}
    for layout, share in mixture.items():
        without = layouts.without_regions(layout, gone)
        closed[without] = closed.get(without, 0.0) + share
    return closed


def _pick(parts: list[tuple[state.Layout, float]], draw: float) -> state.Layout:
    """Return the layout that decides for a draw in (0, 1)."""
    edge = 0.0
    for layout, share in parts:
        edge += share
        if draw < edge:
            return layout
    # The shares sum to 1 but for rounding.
    return parts[-1][0]
