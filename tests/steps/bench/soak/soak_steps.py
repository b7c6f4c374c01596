"""Steps of bench/soak/soak.feature."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bench.soak import faults
from bench.soak import soak_run
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import reopened

_DURATION_S = 30.0


def _patch(context, target, name, value):
    patch = mock.patch.object(target, name, value)
    patch.start()
    context.add_cleanup(patch.stop)


@given(
    "a soak with entries that use any server when an object's servers are"
    " loaded"
)
def _(context):
    choose_by_object = local.Chooser._by_object

    def spread(chooser, req, order, servers, view):
        choice = choose_by_object(chooser, req, order, servers, view)
        if isinstance(choice, messages.Refused):
            return chooser._least_loaded(req, servers, view)
        return choice

    _patch(context, local.Chooser, "_by_object", spread)


@given("a soak with entries that each use the whole allowance of a cold server")
def _(context):
    def draw_this_entry(cold_allowance, server_id, rate, entries, home):
        return (cold_allowance._name,)

    _patch(context, allowance.ServerAllowance, "_draw_senders", draw_this_entry)
    _patch(context, allowance, "SENDERS", 1)


@given("a soak with entries that each use the whole limit of a server")
def _(context):
    def use_whole_limit(rate, entry_count):
        return allowance.Rate(rate * entry_count, entry_count, entry_count)

    _patch(context, allowance, "limited_rate", use_whole_limit)


@given(
    "a soak with entries that treat servers as warm unless announced as cold"
)
def _(context):
    def is_cold(domains, server_id, warm_up_s, now):
        return False

    _patch(context, reopened.ReopenedDomains, "is_cold", is_cold)


@when(
    'a soak of {seconds:g} s runs "{site}" with seed {seed:d} and evacuations'
)
def _(context, seconds, site, seed):
    run = soak_run.SoakRun(site, seed, seconds, 0.8, evacuations=True)
    context.soak_result = soak_run.execute(run)


@when('the site "{site}" is simulated with the faults of seed {seed:d}')
def _(context, site, seed):
    run = soak_run.SoakRun(site, seed, _DURATION_S, 0.8)
    planned = faults.plan(seed, _DURATION_S)
    context.simulation = soak_run.simulate(run, planned)


@then("the simulated entries have no requests under way")
def _(context):
    under_way = [
        entry.in_flight()
        for entries in context.simulation.entries.values()
        for entry in entries
        if entry.in_flight()
    ]
    assert not under_way, under_way


@when('a soak runs "{site}" with seed {seed:d} and evacuations')
def _(context, site, seed):
    run = soak_run.SoakRun(site, seed, _DURATION_S, 0.8, evacuations=True)
    context.soak_result = soak_run.execute(run)


@when('a soak runs "{site}" with seed {seed:d} and limits of servers')
def _(context, site, seed):
    run = soak_run.SoakRun(site, seed, _DURATION_S, 0.8, limits=True)
    context.soak_result = soak_run.execute(run)


@when('a soak runs "{site}" with seed {seed:d}')
def _(context, site, seed):
    context.soak_result = soak_run.execute(
        soak_run.SoakRun(site, seed, _DURATION_S, 0.8)
    )


@when('a soak runs "{site}" with seed {seed:d} at {load:g} times its load')
def _(context, site, seed, load):
    context.soak_result = soak_run.execute(
        soak_run.SoakRun(site, seed, _DURATION_S, load)
    )


@then("the soak has no findings")
def _(context):
    assert not context.soak_result.findings, context.soak_result


@then('the soak has a finding with "{text}"')
def _(context, text):
    findings = context.soak_result.findings
    assert any(text in finding for finding in findings), context.soak_result


@then(
    "soak faults of seed {seed:d} are equal, and differ from those of seed"
    " {other:d}"
)
def _(context, seed, other):
    assert faults.plan(seed, 60.0) == faults.plan(seed, 60.0)
    assert faults.plan(seed, 60.0) != faults.plan(other, 60.0)
