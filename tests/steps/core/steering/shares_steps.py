"""Steps of core/steering/shares.feature."""

import os

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bench import shift_simulation
from hyssopfold import tables

CAP = 0.1
# One request of those drawn for each entry is the grain of what can be seen.
GRAIN = 0.02
STEPS_IN_RUN = 15
TABLES = """
routes: [{name: pay, path_prefix: /, pool: ledger}]
pools: [{name: ledger, slots: 3, headroom: 0.2, shift_cap: 0.1, warm_up_s: 60}]
"""
FIRST = tables.parse(TABLES)
NAMES = ("dar", "arusha", "mwanza")
OFFERED = 5.0
EDITS = {
    "no drain": FIRST,
    "drain dar": shift_simulation.with_drains(FIRST, regions=("dar",)),
    "drain mwanza": shift_simulation.with_drains(FIRST, regions=("mwanza",)),
    "drain dar-1": shift_simulation.with_drains(
        FIRST, failure_domains=("dar-1",)
    ),
    **{
        f"weights {a} {b} {c}": shift_simulation.with_weights(
            FIRST, dict(zip(NAMES, (a, b, c), strict=True))
        )
        for a, b, c in ((1, 1, 1), (3, 1, 1), (1, 3, 1))
    },
}


def _world(clocks_s=(0.0,), first=FIRST, keys=40):
    sites = [shift_simulation.Site(name, 24.0, OFFERED) for name in NAMES]
    world = shift_simulation.Simulation(
        first, sites, keys=keys, clocks_s=clocks_s
    )
    world.run(20)
    world.reset_cap_measurement()
    return world


@given("shares over dar, arusha and mwanza with a cap of 0.1 a minute")
def _(context):
    context.world = _world()


@given('shares that start with "{edit}"')
def _(context, edit):
    # Weights draw a region for each request: more of them, less chance.
    context.world = _world(first=EDITS[edit], keys=100)


@given(
    "the shares entries' clocks are wrong by {clocks}"
    " and control's by {control:d} s"
)
def _(context, clocks, control):
    context.world = _world([float(one) for one in clocks.split(",")])
    context.world.control_clock_s = float(control)


@given("the shares' targets have room for half of what dar serves")
def _(context):
    for name in NAMES[1:]:
        context.world.resize(name, (OFFERED + OFFERED / 4) / 0.8)


@when("the shares' targets have room for all")
def _(context):
    for name in NAMES[1:]:
        context.world.resize(name, 24.0)


@when('the shares run with "{edit}" for {minutes:d} minutes')
def _(context, edit, minutes):
    context.world.apply(EDITS[edit])
    context.world.run(max(1, minutes * 60))


@when("the shares run on for {minutes:d} minutes")
def _(context, minutes):
    context.world.run(minutes * 60)


@when("a shares entry restarts with a clock {ahead:d} s ahead")
def _(context, ahead):
    node = context.world.nodes[0]
    node.clock_s = float(ahead)
    context.world.restart(node)


@when("a shares entry is frozen for {minutes:d} minutes")
def _(context, minutes):
    # Its callers use the region's other entry meanwhile and come back.
    node = context.world.nodes[0]
    node.frozen = True
    context.world.run(minutes * 60)
    node.frozen = False


@when("{region} is lost to the shares for {minutes:d} minutes")
def _(context, region, minutes):
    context.world.lose(region)
    context.world.run(minutes * 60)


@when("{region} comes back to the shares for {minutes:d} minutes")
def _(context, region, minutes):
    context.world.restore(region)
    context.world.reset_cap_measurement()
    context.world.run(minutes * 60)


@then("{low:f} to {high:f} of what dar served is still there")
def _(context, low, high):
    _check_left(context, "dar", low, high)


@then("{low:f} to {high:f} of what mwanza served is still there")
def _(context, low, high):
    _check_left(context, "mwanza", low, high)


def _check_left(context, region, low, high):
    left = context.world.served[region] / OFFERED
    assert low - 0.01 <= left <= high + 0.01, left


@then("{region} is empty and nothing was refused")
def _(context, region):
    assert context.world.share(region) == 0.0, context.world.served
    assert context.world.share(shift_simulation.REFUSED) == 0.0


@then("what callers saw moved under the cap, give or take chance")
def _(context):
    assert context.world.most_moved <= CAP + 3 * GRAIN


@then("what callers saw moved under the cap")
@then("what callers saw moved under the cap since then")
def _(context):
    assert context.world.most_moved <= CAP + GRAIN, context.world.most_moved


@then("all entries are at the same shares within {bound:f}")
def _(context, bound):
    to_go = [report.to_go for report in context.world.reports()]
    assert max(to_go) - min(to_go) <= bound, to_go


@then("the entry that was frozen is where the others are within {bound:f}")
def _(context, bound):
    frozen, *others = [report.to_go for report in context.world.reports()]
    assert frozen < 1.0, frozen
    assert all(abs(frozen - other) <= bound for other in others), others


@then('the shares wait because of "{reason}"')
def _(context, reason):
    reasons = {report.reason for report in context.world.reports()}
    assert reason in reasons, reasons


@then("the shares keep {low:f} to {high:f} of failure domain {domain}")
def _(context, low, high, domain):
    left = context.world.busy[domain] / (OFFERED / 2)
    assert low - 0.01 <= left <= high + 0.01, left


@then("{region} serves {low:f} to {high:f} of all")
def _(context, region, low, high):
    assert low <= context.world.share(region) <= high


@when("a shares entry of dar is frozen while dar is lost and comes back")
def _(context):
    world = context.world
    context.node = next(one for one in world.nodes if one.region == "dar")
    context.node.frozen = True
    world.lose("dar")
    world.run(60)
    world.restore("dar")
    world.run(20)
    world.reset_cap_measurement()


@when("a shares entry of dar restarts as dar is lost, and dar comes back")
def _(context):
    world = context.world
    # It takes over shares from before the loss, and never saw the region.
    world.restart(next(one for one in world.nodes if one.region == "dar"))
    world.lose("dar")
    world.run(2)
    world.restore("dar")
    world.reset_cap_measurement()


@when("that shares entry runs again for {minutes:d} minutes")
def _(context, minutes):
    context.node.frozen = False
    context.world.run(60 * minutes)


class RandomShares(stateful.RuleBasedStateMachine):
    """Faults and edits in any order; the cap is watched all along."""

    def __init__(self):
        super().__init__()
        self.world = _world((0.0, 40.0, -40.0))

    def _node(self, index):
        return self.world.nodes[index % len(self.world.nodes)]

    @stateful.rule(edit=strategies.sampled_from(sorted(EDITS)))
    def edit(self, edit):
        self.world.apply(EDITS[edit])

    @stateful.rule(index=strategies.integers(0, 5))
    def freeze(self, index):
        # One of each region's two entries at most, so that callers have one.
        if not any(node.frozen for node in self.world.nodes):
            self._node(index).frozen = True

    @stateful.rule()
    def thaw(self):
        for node in self.world.nodes:
            node.frozen = False

    @stateful.rule(
        index=strategies.integers(0, 5), clock=strategies.integers(-900, 900)
    )
    def restart(self, index, clock):
        node = self._node(index)
        if not any(one.frozen for one in self.world.nodes):
            node.clock_s = float(clock)
            self.world.restart(node)

    @stateful.rule(region=strategies.sampled_from(NAMES))
    def lose(self, region):
        if not self.world.lost:
            self.world.lose(region)
            self.world.run(1)
            self.world.reset_cap_measurement()

    @stateful.rule()
    def restore(self):
        for region in list(self.world.lost):
            self.world.restore(region)

    @stateful.rule(
        region=strategies.sampled_from(NAMES),
        slots=strategies.sampled_from((12.0, 24.0, 40.0)),
    )
    def resize(self, region, slots):
        smaller = slots < self.world.sites[region].slots
        self.world.resize(region, slots)
        if smaller:
            # Servers that go are no decision of ours.
            self.world.run(1)
            self.world.reset_cap_measurement()

    @stateful.rule(seconds=strategies.integers(1, 200))
    def pass_time(self, seconds):
        self.world.run(seconds)

    @stateful.invariant()
    def cap_holds(self):
        # Callers of a frozen or restarted entry go to another, whose shares
        # may be behind or ahead by what it has not moved yet.
        assert self.world.most_moved <= CAP + 2 * GRAIN, self.world.most_moved


@then("the cap holds over a random run of the shares")
def _(context):
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "0"))
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    settings = hypothesis.settings(
        max_examples=max(6, steps // STEPS_IN_RUN),
        stateful_step_count=STEPS_IN_RUN,
        deadline=None,
        derandomize=seed is None,
        # Each example takes seconds: shrinking one would take an hour.
        phases=(hypothesis.Phase.generate,),
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = RandomShares
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)
