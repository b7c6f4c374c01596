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
# Resolution of the measured shares: one of the requests drawn for an entry.
GRAIN = 0.02
STEPS_IN_RUN = 15
TABLES = """
routes: [{name: pay, path_prefix: /, pool: ledger}]
pools: [{name: ledger, slots: 3, headroom: 0.2, shift_cap: 0.1, warm_up_s: 60}]
"""
INITIAL_TABLES = tables.parse(TABLES)
REGIONS = ("dar", "arusha", "mwanza")
OFFERED = 5.0
EDITS = {
    "no drain": INITIAL_TABLES,
    "drain dar": shift_simulation.with_drains(INITIAL_TABLES, regions=("dar",)),
    "drain mwanza": shift_simulation.with_drains(
        INITIAL_TABLES, regions=("mwanza",)
    ),
    "drain dar-1": shift_simulation.with_drains(
        INITIAL_TABLES, failure_domains=("dar-1",)
    ),
    **{
        f"weights {a} {b} {c}": shift_simulation.with_weights(
            INITIAL_TABLES, dict(zip(REGIONS, (a, b, c), strict=True))
        )
        for a, b, c in ((1, 1, 1), (3, 1, 1), (1, 3, 1))
    },
}


def _simulation(clocks_s=(0.0,), first=INITIAL_TABLES, keys=40):
    sites = [shift_simulation.Site(name, 24.0, OFFERED) for name in REGIONS]
    simulation = shift_simulation.Simulation(
        first, sites, keys=keys, clocks_s=clocks_s
    )
    simulation.run(20)
    simulation.reset_cap_measurement()
    return simulation


@given(
    "a simulation of shifts in dar, arusha and mwanza"
    " with a cap of 0.1 a minute"
)
def _(context):
    context.simulation = _simulation()


@given('a simulation of shifts that starts with "{edit}"')
def _(context, edit):
    # Weights draw a region for each request: more keys reduce the variation.
    context.simulation = _simulation(first=EDITS[edit], keys=100)


@given(
    "the clocks of simulated entries are wrong by {clocks} s"
    " and of control by {control:d} s"
)
def _(context, clocks, control):
    context.simulation = _simulation(
        [float(clock) for clock in clocks.split(",")]
    )
    context.simulation.control_clock_s = float(control)


@given("the other regions have free slots for half of the traffic of dar")
def _(context):
    for name in REGIONS[1:]:
        context.simulation.resize(name, (OFFERED + OFFERED / 4) / 0.8)


@when("the other regions have free slots for all of the traffic of dar")
def _(context):
    for name in REGIONS[1:]:
        context.simulation.resize(name, 24.0)


@when('the simulation runs for {minutes:d} minutes after the edit "{edit}"')
def _(context, edit, minutes):
    context.simulation.apply(EDITS[edit])
    context.simulation.run(max(1, minutes * 60))


@when("the simulation runs on for {minutes:d} minutes")
def _(context, minutes):
    context.simulation.run(minutes * 60)


@when("a simulated entry restarts with a clock {ahead:d} s ahead")
def _(context, ahead):
    node = context.simulation.nodes[0]
    node.clock_s = float(ahead)
    context.simulation.restart(node)


@when("a simulated entry is frozen for {minutes:d} minutes")
def _(context, minutes):
    # Its callers use the region's other entry meanwhile and then return.
    node = context.simulation.nodes[0]
    node.frozen = True
    context.simulation.run(minutes * 60)
    node.frozen = False


@when("the servers of {region} are lost for {minutes:d} minutes")
def _(context, region, minutes):
    context.simulation.lose(region)
    context.simulation.run(minutes * 60)


@when("the servers of {region} come back and run for {minutes:d} minutes")
def _(context, region, minutes):
    context.simulation.restore(region)
    context.simulation.reset_cap_measurement()
    context.simulation.run(minutes * 60)


@then("dar still serves {low:f} to {high:f} of its initial traffic")
def _(context, low, high):
    _check_remaining(context, "dar", low, high)


@then("mwanza still serves {low:f} to {high:f} of its initial traffic")
def _(context, low, high):
    _check_remaining(context, "mwanza", low, high)


def _check_remaining(context, region, low, high):
    remaining = context.simulation.served[region] / OFFERED
    assert low - 0.01 <= remaining <= high + 0.01, remaining


@then("{region} serves no requests and none were refused")
def _(context, region):
    assert context.simulation.share(region) == 0.0, context.simulation.served
    assert context.simulation.share(shift_simulation.REFUSED) == 0.0


@then("the traffic moved under the cap, apart from random variation")
def _(context):
    assert context.simulation.most_moved <= CAP + 3 * GRAIN


@then("the traffic moved under the cap")
@then("the traffic moved under the cap since then")
def _(context):
    assert context.simulation.most_moved <= CAP + GRAIN, (
        context.simulation.most_moved
    )


@then("the progress of all entries differs by at most {bound:f}")
def _(context, bound):
    to_go = [report.to_go for report in context.simulation.reports()]
    assert max(to_go) - min(to_go) <= bound, to_go


@then("the progress of the entry that was frozen differs by at most {bound:f}")
def _(context, bound):
    frozen, *others = [report.to_go for report in context.simulation.reports()]
    assert frozen < 1.0, frozen
    assert all(abs(frozen - other) <= bound for other in others), others


@then('shifts of some entries wait with the reason "{reason}"')
def _(context, reason):
    reasons = {report.reason for report in context.simulation.reports()}
    assert reason in reasons, reasons


@then(
    "failure domain {domain} still serves {low:f} to {high:f} of its initial"
    " traffic"
)
def _(context, low, high, domain):
    remaining = context.simulation.busy[domain] / (OFFERED / 2)
    assert low - 0.01 <= remaining <= high + 0.01, remaining


@then("{region} serves {low:f} to {high:f} of all requests")
def _(context, region, low, high):
    assert low <= context.simulation.share(region) <= high


@when("a simulated entry of dar is frozen while dar is lost and comes back")
def _(context):
    simulation = context.simulation
    context.node = next(
        node for node in simulation.nodes if node.region == "dar"
    )
    context.node.frozen = True
    simulation.lose("dar")
    simulation.run(60)
    simulation.restore("dar")
    simulation.run(20)
    simulation.reset_cap_measurement()


@when("a simulated entry of dar restarts as dar is lost, and dar comes back")
def _(context):
    simulation = context.simulation
    # It takes over the shares from before the loss, and the region had no
    # ready servers since its start.
    simulation.restart(
        next(node for node in simulation.nodes if node.region == "dar")
    )
    simulation.lose("dar")
    simulation.run(2)
    simulation.restore("dar")
    simulation.reset_cap_measurement()


def _node_of(simulation, region):
    return next(node for node in simulation.nodes if node.region == region)


@when("a simulated entry of arusha restarts as mwanza is lost")
def _(context):
    context.node = _node_of(context.simulation, "arusha")
    context.simulation.restart(context.node)
    context.simulation.lose("mwanza")
    context.simulation.run(1)


@when(
    "an entry of mwanza adopts the shares of that entry, and mwanza comes back"
)
def _(context):
    simulation = context.simulation
    simulation.restart(_node_of(simulation, "mwanza"), peer=context.node)
    simulation.restore("mwanza")
    simulation.reset_cap_measurement()


@when("that simulated entry runs again for {minutes:d} minutes")
def _(context, minutes):
    context.node.frozen = False
    context.simulation.run(60 * minutes)


class RandomShares(stateful.RuleBasedStateMachine):
    """Faults and edits in any order; the cap is checked after each step."""

    def __init__(self):
        super().__init__()
        self.simulation = _simulation((0.0, 40.0, -40.0))

    def _node(self, index):
        return self.simulation.nodes[index % len(self.simulation.nodes)]

    @stateful.rule(edit=strategies.sampled_from(sorted(EDITS)))
    def edit(self, edit):
        self.simulation.apply(EDITS[edit])

    @stateful.rule(index=strategies.integers(0, 5))
    def freeze(self, index):
        # At most one entry is frozen, so the region's other entry takes its
        # callers.
        if not any(node.frozen for node in self.simulation.nodes):
            self._node(index).frozen = True

    @stateful.rule()
    def thaw(self):
        for node in self.simulation.nodes:
            node.frozen = False

    @stateful.rule(
        index=strategies.integers(0, 5), clock=strategies.integers(-900, 900)
    )
    def restart(self, index, clock):
        node = self._node(index)
        if not any(other.frozen for other in self.simulation.nodes):
            node.clock_s = float(clock)
            self.simulation.restart(node)

    @stateful.rule(region=strategies.sampled_from(REGIONS))
    def lose(self, region):
        if not self.simulation.lost:
            self.simulation.lose(region)
            self.simulation.run(1)
            self.simulation.reset_cap_measurement()

    @stateful.rule()
    def restore(self):
        for region in list(self.simulation.lost):
            self.simulation.restore(region)

    @stateful.rule(
        region=strategies.sampled_from(REGIONS),
        slots=strategies.sampled_from((12.0, 24.0, 40.0)),
    )
    def resize(self, region, slots):
        smaller = slots < self.simulation.sites[region].slots
        self.simulation.resize(region, slots)
        if smaller:
            # The loss of servers isn't a decision of the system, so the cap
            # doesn't apply to it.
            self.simulation.run(1)
            self.simulation.reset_cap_measurement()

    @stateful.rule(seconds=strategies.integers(1, 200))
    def pass_time(self, seconds):
        self.simulation.run(seconds)

    @stateful.invariant()
    def cap_holds(self):
        # Callers of a frozen or restarted entry use another entry, whose shares
        # may be behind or ahead by the traffic that it hasn't moved yet.
        assert self.simulation.most_moved <= CAP + 2 * GRAIN, (
            self.simulation.most_moved
        )


@then("the cap holds in a random run of the simulation")
def _(context):
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "0"))
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    settings = hypothesis.settings(
        max_examples=max(6, steps // STEPS_IN_RUN),
        stateful_step_count=STEPS_IN_RUN,
        deadline=None,
        derandomize=seed is None,
        # An example takes seconds, so shrinking one would take an hour.
        phases=(hypothesis.Phase.generate,),
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = RandomShares
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    stateful.run_state_machine_as_test(machine, settings=settings)
