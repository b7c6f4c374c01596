"""Steps of entry/server_limits.feature."""

import bisect

from behave import given
from behave import then
from behave import when
import trio

from tests.support import running_entries

# What the limit tolerates in a window of `WINDOW_S`: half of it, and 5 requests.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
# Time after which all entries have relayed an answer that names the limit.
KNOWN_AFTER_S = 0.5


@given("{count:d} running entries over {servers:d} servers")
def _(context, count, servers):
    context.sizes = (count, servers)


@when(
    "server {number:d} begins to limit its requests to {rate:g} a second after {seconds:g} s"
)
def _(context, number, rate, seconds):
    context.limit = (number, rate, seconds)


@when("callers send each entry {rate:g} requests a second for {seconds:g} s")
def _(context, rate, seconds):
    trio.run(_run, context, rate, seconds)


async def _run(context, rate, seconds):
    entries = running_entries.RunningEntries(*context.sizes)
    context.statuses = []
    async with entries.running():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_change_limit, context, entries)
            for name in entries.entries:
                nursery.start_soon(_ask, context, entries, name, rate, seconds)
        number, _, _ = context.limit
        context.received_at = entries.servers[number].received_at


async def _change_limit(context, entries):
    number, rate, seconds = context.limit
    await trio.sleep(seconds)
    context.limited_at = trio.current_time()
    entries.servers[number].rate_limit = rate


async def _ask(context, entries, name, rate, seconds):
    async with trio.open_nursery() as nursery:
        for _ in range(round(rate * seconds)):
            nursery.start_soon(_ask_once, context, entries, name)
            await trio.sleep(1 / rate)


async def _ask_once(context, entries, name):
    answer = await entries.ask(name, "GET")
    context.statuses.append(answer.status)


@then("server {number:d} got no more than its limit tolerates in any 4 s")
def _(context, number):
    _, rate, _ = context.limit
    begin = context.limited_at + KNOWN_AFTER_S
    times = [at for at in context.received_at if at >= begin]
    most = max(
        (
            bisect.bisect_left(times, at + WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
    tolerated = TOLERATED_FACTOR * WINDOW_S * rate + TOLERATED_REQUESTS
    assert most <= tolerated, f"{most} requests in 4 s, {tolerated} tolerated"


@then("server {number:d} got more than {count:d} requests before its limit")
def _(context, number, count):
    before = bisect.bisect(context.received_at, context.limited_at)
    assert before > count, before


@then("all requests were answered")
def _(context):
    assert set(context.statuses) == {200}, context.statuses
