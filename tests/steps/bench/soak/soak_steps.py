"""Steps of bench/soak/soak.feature."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bench.soak import day
from bench.soak import faults
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import reopened

_SECONDS = 30.0


def _break(context, target, name, value):
    patch = mock.patch.object(target, name, value)
    patch.start()
    context.add_cleanup(patch.stop)


@given("soaked entries that take any server when the first ones are loaded")
def _(context):
    def least_loaded(chooser, req, order, servers, view):
        return chooser._least_loaded(req, servers, view)

    _break(context, local.Chooser, "_by_object", least_loaded)


@given("soaked entries that each take a cold server's allowance for theirs")
def _(context):
    def draw_itself(own, server_id, entries):
        return (own._name,)

    _break(context, allowance.ColdServerAllowance, "_draw_senders", draw_itself)
    _break(context, allowance, "SENDERS", 1)


@given("soaked entries that take every server for warm unless told otherwise")
def _(context):
    def is_cold(domains, server_id, warm_up_s, now):
        return False

    _break(context, reopened.ReopenedDomains, "is_cold", is_cold)


@when('a soak plays "{site}" with seed {seed:d} and evacuations')
def _(context, site, seed):
    played = day.Day(site, seed, _SECONDS, 0.8, evacuations=True)
    context.soaked = day.play(played)


@when('a soak plays "{site}" with seed {seed:d}')
def _(context, site, seed):
    context.soaked = day.play(day.Day(site, seed, _SECONDS, 0.8))


@when('a soak plays "{site}" with seed {seed:d} at {load:g} times its load')
def _(context, site, seed, load):
    context.soaked = day.play(day.Day(site, seed, _SECONDS, load))


@then("the soak finds nothing")
def _(context):
    assert not context.soaked.findings, context.soaked


@then('the soak finds "{what}"')
def _(context, what):
    found = context.soaked.findings
    assert any(what in one for one in found), context.soaked


@then("soak plans of seed {one:d} are alike, and unlike that of seed {other:d}")
def _(context, one, other):
    assert faults.plan(one, 60.0) == faults.plan(one, 60.0)
    assert faults.plan(one, 60.0) != faults.plan(other, 60.0)
