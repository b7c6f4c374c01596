"""Steps of core/balancing/health.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import health
from hyssopfold.core.balancing import messages
from tests.support import fake_entries


@given("health of {count:d} servers of 3 slots, warm-up {warm_up:d} s")
def _(context, count, warm_up):
    context.now = 0.0
    context.warm_up_s = float(warm_up)
    context.health = health.HealthTracker(0.0)
    context.servers = {
        f"s{n}": fake_entries.server(f"s{n}") for n in range(count)
    }
    for server in context.servers.values():
        context.health.update_server(server, 0.0)


def _limits(context):
    servers = list(context.servers.values())
    return context.health.slot_limits(servers, context.warm_up_s, context.now)


def _record_results(context, name, kind, seconds=0.05, times=1):
    for _ in range(times):
        result = messages.AttemptResult(kind, seconds)
        context.health.record_result(name, result, context.now)


@when('server "{name}" fails {times:d} times')
def _(context, name, times):
    _record_results(context, name, "failed", times=times)


@when('server "{name}" refuses {times:d} times')
def _(context, name, times):
    _record_results(context, name, "shed", times=times)


@when('server "{name}" refuses a request and asks for {rest_s:g} s without any')
def _(context, name, rest_s):
    shed = messages.AttemptResult("shed", 0.01, rest_s=rest_s)
    context.health.record_result(name, shed, context.now)


@when('server "{name}" answers and says that it leaves')
def _(context, name):
    answered = messages.AttemptResult("answered", 0.05, is_leaving=True)
    context.health.record_result(name, answered, context.now)


@when('server "{name}" answers once')
def _(context, name):
    _record_results(context, name, "answered")


@when("every server fails {times:d} times")
def _(context, times):
    for name in context.servers:
        _record_results(context, name, "failed", times=times)


@when(
    "every server answers {times:d} times in {usual:g} s,"
    ' but "{name}" in {slow:g} s'
)
def _(context, times, usual, name, slow):
    for server_id in context.servers:
        seconds = slow if server_id == name else usual
        _record_results(context, server_id, "answered", seconds, times)


@when("{seconds:d} s pass in the health tracker")
def _(context, seconds):
    context.now += seconds


@when('server "{name}" restarts')
def _(context, name):
    server = fake_entries.server(name, incarnation=2)
    context.servers[name] = server
    context.health.update_server(server, context.now)


@when('a request is sent to server "{name}"')
def _(context, name):
    context.health.record_use(name, context.warm_up_s, context.now)


@then('the slots of "{name}" are {count:d} and all others {others:d}')
def _(context, name, count, others):
    expected = dict.fromkeys(context.servers, others) | {name: count}
    assert _limits(context) == expected, _limits(context)


@then("{count:d} servers have no slots")
def _(context, count):
    limits = _limits(context)
    assert list(limits.values()).count(0) == count, limits
