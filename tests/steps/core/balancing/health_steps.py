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
    context.words = {
        f"s{n}": fake_entries.server(f"s{n}") for n in range(count)
    }
    for word in context.words.values():
        context.health.update_server(word, 0.0)


def _limits(context):
    words = list(context.words.values())
    return context.health.slot_limits(words, context.warm_up_s, context.now)


def _done(context, name, kind, seconds=0.05, times=1):
    for _ in range(times):
        done = messages.AttemptResult(kind, seconds)
        context.health.record_result(name, done, context.now)


@when('server "{name}" fails {times:d} times')
def _(context, name, times):
    _done(context, name, "failed", times=times)


@when('server "{name}" refuses {times:d} times')
def _(context, name, times):
    _done(context, name, "shed", times=times)


@when('server "{name}" answers once')
def _(context, name):
    _done(context, name, "answered")


@when("every server fails {times:d} times")
def _(context, times):
    for name in context.words:
        _done(context, name, "failed", times=times)


@when(
    "every server answers {times:d} times in {usual:g} s,"
    ' but "{name}" in {slow:g} s'
)
def _(context, times, usual, name, slow):
    for one in context.words:
        seconds = slow if one == name else usual
        _done(context, one, "answered", seconds, times)


@when("{seconds:d} s pass for health")
def _(context, seconds):
    context.now += seconds


@when('server "{name}" starts anew')
def _(context, name):
    word = fake_entries.server(name, incarnation=2)
    context.words[name] = word
    context.health.update_server(word, context.now)


@when('server "{name}" is used')
def _(context, name):
    context.health.record_use(name, context.warm_up_s, context.now)


@then('the slots of "{name}" are {count:d} and all others {others:d}')
def _(context, name, count, others):
    wanted = dict.fromkeys(context.words, others) | {name: count}
    assert _limits(context) == wanted, _limits(context)


@then("{count:d} servers have no slots")
def _(context, count):
    limits = _limits(context)
    assert list(limits.values()).count(0) == count, limits
