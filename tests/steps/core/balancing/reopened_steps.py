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
    'warm servers "{first}" and "{second}" of domain "{domain}" with a warm-up'
    " time of {seconds:g} s"
)
def _(context, first, second, domain, seconds):
    context.directory = directory.Directory(1e9)
    context.domain, context.warm_up_s = domain, seconds
    for name in (first, second):
        context.directory.servers.update(name, _server(name, domain), 0.0)
    context.reopened = reopened.ReopenedDomains(context.directory)


@when('"{domain}" is evacuated at {start:g} s and is reopened at {end:g} s')
def _(context, domain, start, end):
    assert context.reopened.update((domain,), start) == ()
    assert context.reopened.update((), end) == (domain,)


@when(
    'server "{name}" announces at {at:g} s that it stays cold for {seconds:g} s'
)
def _(context, name, at, seconds):
    context.directory.record_cold(_server(name, context.domain, seconds), at)


@then('server "{name}" is treated as {state} at {at:g} s')
def _(context, name, state, at):
    is_cold = context.reopened.is_cold(name, context.warm_up_s, at)
    assert is_cold == (state == "cold"), (name, at)
