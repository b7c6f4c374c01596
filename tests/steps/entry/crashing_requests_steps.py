"""Steps of entry/crashing_requests.feature."""

import itertools

from behave import given
from behave import then
from behave import when
import trio

from tests.support import running_entries


@given(
    "{count:d} running entries over {servers:d} servers that are back a second"
    " after a crash"
)
def _(context, count, servers):
    context.sizes = (count, servers)
    context.script = []
    context.notes = {}


def _play(context):
    """Carry out what the scenario has listed, once."""
    if context.script:
        trio.run(_run, context)
        context.script = []


async def _run(context):
    entries = running_entries.RunningEntries(*context.sizes)
    async with entries.running():
        for step in context.script:
            await step(entries)
        context.notes["crashed"] = list(entries.crashed_at)


@when(
    "a crashing {method} is sent to {where} until {crashes:d} servers have"
    " crashed"
)
def _(context, method, where, crashes):
    context.method = method

    async def step(entries):
        names = list(entries.entries)
        if where == "one entry":
            names = names[:1]
        for name in itertools.cycle(names):
            if len(entries.crashed_at) >= crashes:
                return
            await entries.ask(name, method, "crash")

    context.script.append(step)


@when("it is sent to each entry {times:d} times more, {seconds:g} s later")
def _(context, times, seconds):
    async def step(entries):
        await trio.sleep(seconds)
        context.notes["third"] = len(entries.crashed_at)
        context.notes["answers"] = [
            await entries.ask(name, context.method, "crash")
            for name in list(entries.entries) * times
        ]
        context.notes["sound"] = [
            await entries.ask(name, context.method) for name in entries.entries
        ]

    context.script.append(step)


@then("it has crashed at most {most:d} servers more")
def _(context, most):
    _play(context)
    more = len(context.notes["crashed"]) - context.notes["third"]
    assert more <= most, f"{more} servers more"


@then("each entry refuses it as not run and says when to come back")
def _(context):
    last = context.notes["answers"][-context.sizes[0] :]
    for answer in last:
        headers = dict(answer.headers)
        assert answer.status == 503, answer
        assert headers[b"hyssop-outcome"] == b"not-run", headers
        assert int(headers[b"retry-after"]) >= 1, headers


@then("each entry serves a sound {method}")
def _(context, method):
    assert [one.status for one in context.notes["sound"]] == [
        200
    ] * context.sizes[0]
