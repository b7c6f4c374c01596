"""Steps of core/balancing/limited_pool.feature."""

from behave import given
from behave import then
from behave import when

from bench.emulator import simulation
from bench.emulator import sites
from hyssopfold.core.balancing import local
from hyssopfold.entry import local_placement

_BEGIN_S = 8.0


@given("the catalogue of a market, at {load:g} of its usual load")
def _(context, load):
    context.load = load


def _worth(context, count):
    """Return the scores while a number of servers limit their requests."""
    sim = simulation.Simulation(
        sites.SITES["market"], context.load, 1, local.Chooser
    )
    sim.enable_load_reports(
        local_placement.BUSY_BATCH_S, local_placement.NEIGHBOURS_EACH_SIDE
    )
    names = sorted(record.server_id for record in sim.records_by_pool["cat"])
    assert len(names) == context.servers
    end_s = _BEGIN_S + context.seconds
    sim.limit_rates(
        sim.rng.sample(names, count), context.rate, (_BEGIN_S, end_s)
    )
    sim.run(end_s)
    return sim.worth()


@when(
    "{count:d} of its {servers:d} servers limit their requests to {rate:g} a"
    " second for {seconds:g} s"
)
def _(context, count, servers, rate, seconds):
    context.count, context.servers = count, servers
    context.rate, context.seconds = rate, seconds
    context.worth = _worth(context, count)


@then("at most {share:g} of the runs were of objects that are not cached")
def _(context, share):
    assert context.worth["cold"] <= share, context.worth


@then("more was earned than if requests were passed on to all servers")
def _(context):
    original = local.MAX_DECLINING_PASSED_OVER
    context.add_cleanup(setattr, local, "MAX_DECLINING_PASSED_OVER", original)
    local.MAX_DECLINING_PASSED_OVER = context.servers + 1
    worth_passed_on = _worth(context, context.count)
    assert context.worth["day"] > worth_passed_on["day"], worth_passed_on


@then("at most {share:g} less of the worth was earned than without limits")
def _(context, share):
    without = _worth(context, 0)
    assert without["day"] - context.worth["day"] <= share, without
