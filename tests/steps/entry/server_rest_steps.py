"""Steps of entry/server_rest.feature."""

from behave import given
from behave import then
from behave import when
import trio

from tests.support import running_entries

# Requests under way when the answer is sent may still arrive.
GRACE_S = 0.5


@given("one running entry over {servers:d} servers")
def _(context, servers):
    context.server_count = servers


@when(
    "server 0 asks for {rest_s:g} s without requests in each answer from"
    " {seconds:g} s on"
)
def _(context, rest_s, seconds):
    context.rest_s = rest_s
    context.changes = (seconds, {"rest_s": rest_s})


@when("server 0 says in its answers that it leaves from {seconds:g} s on")
def _(context, seconds):
    context.changes = (seconds, {"is_leaving": True})


@when("callers send it {rate:g} requests a second for {seconds:g} s")
def _(context, rate, seconds):
    trio.run(_run, context, rate, seconds)


async def _run(context, rate, seconds):
    entries = running_entries.RunningEntries(1, context.server_count)
    context.statuses = []
    async with entries.running():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_change_server, context, entries)
            for _ in range(round(rate * seconds)):
                nursery.start_soon(_ask, context, entries)
                await trio.sleep(1 / rate)
        context.received_at = [
            at
            for at in entries.servers[0].received_at
            if at >= context.changed_at
        ]
        context.said_at = entries.servers[0].first_leaving_answer_at


async def _change_server(context, entries):
    seconds, changes = context.changes
    await trio.sleep(seconds)
    context.changed_at = trio.current_time()
    for name, value in changes.items():
        setattr(entries.servers[0], name, value)


async def _ask(context, entries):
    answer = await entries.ask("entry-0", "GET")
    context.statuses.append(answer.status)


@then("server 0 was asked again after each time without requests")
def _(context):
    ends = [at + context.rest_s for at in context.received_at]
    assert len(ends) >= 2, "the server got no request after its first answer"
    assert any(at > ends[0] for at in context.received_at), ends


@then(
    "it got at most {most:d} requests from half a second after an answer to the"
    " end of its time"
)
def _(context, most):
    counts = [
        sum(
            at + GRACE_S < other < at + context.rest_s
            for other in context.received_at
        )
        for at in context.received_at
    ]
    assert max(counts) <= most, f"{max(counts)} requests, {most} tolerated"


@then(
    "server 0 got no request later than {seconds:g} s after it had first said"
    " so"
)
def _(context, seconds):
    first = context.said_at
    assert first is not None, "no answer of the server said that it leaves"
    late = [at - first for at in context.received_at if at - first > seconds]
    assert not late, f"{len(late)} requests, the last after {late[-1]:.1f} s"


@then("all callers were answered")
def _(context):
    assert set(context.statuses) == {200}, context.statuses
