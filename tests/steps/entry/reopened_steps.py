"""Steps of entry/reopened.feature."""

import functools

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from tests.support import local_entries

EVACUATED_DOMAIN = local_entries.DOMAINS[1]


@given(
    "{count:d} entries, and {each:d} servers in each of 2 failure domains that"
    " bear {rate:g} requests a second while cold"
)
def _(context, count, each, rate):
    context.make_entries = functools.partial(
        local_entries.LocalEntries, count, each, rate
    )


@when("one domain is evacuated for {seconds:d} s")
def _(context, seconds):
    context.evacuated_s = seconds


@when(
    "{rate:d} requests a second are placed for {seconds:d} s without"
    " announcements"
)
def _(context, rate, seconds):
    async def drive():
        entries = context.make_entries()
        await entries.place(rate, 2)
        entries.install((EVACUATED_DOMAIN,))
        await entries.place(rate, context.evacuated_s)
        entries.install(())
        context.reopened_at = trio.current_time()
        await entries.place(rate, seconds)
        return entries

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.entries = trio.run(drive, clock=clock)


@then(
    "in no second did a server of that domain get more than {most:d} requests"
)
def _(context, most):
    for server, times in context.entries.sent.items():
        if server.failure_domain != EVACUATED_DOMAIN:
            continue
        sent = [at for at in times if at >= context.reopened_at]
        for at in sent:
            in_second = sum(at <= other < at + 1 for other in sent)
            assert in_second <= most, (server.server_id, in_second)


@then("all requests found a server")
def _(context):
    assert context.entries.refused == 0, context.entries.refused
