"""Steps of core/balancing/server_rest.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

_REGIONS = (messages.Region("dar", False),)


@given("a chooser with {count:d} servers")
def _(context, count):
    context.now = 100.0
    context.servers = {f"s{number}": 1 for number in range(count)}
    context.chooser = local.Chooser("entry-1", "dar")
    context.objects = 0


def _servers(context):
    return tuple(
        membership.Server(
            name, "ledger", f"10.0.0.{number}:80", "dar", "dar-1", 9, 390,
            "ready", incarnation, 1, 0.0,
        )
        for number, (name, incarnation) in enumerate(context.servers.items())
    )  # fmt: skip


def _choose(context):
    context.objects += 1
    view = local.View(
        _servers(context), lambda _: False, 0.0, 0.0, ("entry-1",), context.now
    )
    req = messages.Request(
        f"r{context.objects}", "ledger", _REGIONS, 0, context.now + 9.0, (),
        f"pay {context.objects}", 0.25, "pay",
    )  # fmt: skip
    return context.chooser.choose(req, view)


def _send_to(context, name, result):
    """Send a request to a server and record its result."""
    for _ in range(1000):
        grant = _choose(context)
        if isinstance(grant, messages.Refused):
            break
        if grant.server.server_id == name:
            context.chooser.record_done(name, result, 0.0, context.now)
            return
        _end(context, grant)
    # The server gets no requests any more: one that was under way has ended.
    context.chooser.record_done(name, result, 0.0, context.now)


def _end(context, grant):
    answered = messages.AttemptResult("answered", 0.0)
    context.chooser.record_done(
        grant.server.server_id, answered, 0.0, context.now
    )


@when('a request to server "{name}" is turned away for {rest_s:g} s')
def _(context, name, rest_s):
    shed = messages.AttemptResult("shed", 0.0, rest_s=rest_s)
    _send_to(context, name, shed)


@when("requests to all servers are turned away for 3, 2, 4 and 5 s")
def _(context):
    for name, rest_s in zip(context.servers, (3.0, 2.0, 4.0, 5.0), strict=True):
        shed = messages.AttemptResult("shed", 0.0, rest_s=rest_s)
        _send_to(context, name, shed)


@when('an answer of server "{name}" says that it leaves')
def _(context, name):
    answered = messages.AttemptResult("answered", 0.0, is_leaving=True)
    _send_to(context, name, answered)


@when("{seconds:g} s pass for the chooser")
def _(context, seconds):
    context.now += seconds


@when('backend server "{name}" restarts')
def _(context, name):
    context.servers[name] += 1


def _sent(context, count):
    grants = [_choose(context) for _ in range(count)]
    for grant in grants:
        assert isinstance(grant, messages.Grant), grant
        _end(context, grant)
    return [grant.server.server_id for grant in grants]


@then('the chooser sends none of {count:d} requests to "{name}"')
def _(context, count, name):
    sent = _sent(context, count)
    assert name not in sent, f"{sent.count(name)} of {count}"


@then('the chooser sends some of {count:d} requests to "{name}"')
def _(context, count, name):
    assert name in _sent(context, count)


@then("the chooser refuses a request and says {retry_after_s:g} s")
def _(context, retry_after_s):
    result = _choose(context)
    assert isinstance(result, messages.Refused), result
    assert abs(result.retry_after_s - retry_after_s) < 1e-6, result
