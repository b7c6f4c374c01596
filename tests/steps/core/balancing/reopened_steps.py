"""Steps of core/balancing/reopened.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import reopened
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages


def _server(name, domain, cold_left_s=0.0):
    return messages.Server(
        name, "ledger", "10.0.0.1:80", "dar", domain, 3, 330, "ready", 1, 1,
        0.0, cold_left_s=cold_left_s,
    )  # fmt: skip


@given(
    'servers "{one}" and "{other}" of domain "{domain}" that stay cold for'
    " {seconds:g} s, all warm"
)
def _(context, one, other, domain, seconds):
    context.known = directory.Directory(1e9)
    context.domain, context.warm_up_s = domain, seconds
    for name in (one, other):
        context.known.servers.update(name, _server(name, domain), 0.0)
    context.reopened = reopened.Reopened(context.known)


@when('"{domain}" is evacuated at {start:g} s and gets work again at {end:g} s')
def _(context, domain, start, end):
    assert context.reopened.note((domain,), start) == ()
    assert context.reopened.note((), end) == (domain,)


@when('server "{name}" says at {at:g} s that it stays cold for {seconds:g} s')
def _(context, name, at, seconds):
    context.known.record_cold(_server(name, context.domain, seconds), at)


@then('server "{name}" is taken for {state} at {at:g} s')
def _(context, name, state, at):
    found = context.reopened.is_cold(name, context.warm_up_s, at)
    assert found == (state == "cold"), (name, at)
