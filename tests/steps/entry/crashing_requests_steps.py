"""Steps of entry/crashing_requests.feature."""

import itertools

from behave import given
from behave import then
from behave import when
import trio

from tests.support import running_entries


@given(
    "{count:d} running entries over {servers:d} servers that restart a second"
    " after a crash"
)
def _(context, count, servers):
    context.sizes = (count, servers)
    context.script = []
    context.results = {}


def _run_script(context):
    """Run the steps that the scenario has listed, once."""
    if context.script:
        trio.run(_run, context)
        context.script = []


async def _run(context):
    entries = running_entries.RunningEntries(*context.sizes)
    async with entries.running():
        for step in context.script:
            await step(entries)
        context.results["crashed"] = list(entries.crashed_at)


@when(
    "a crashing {method} is sent to {entries_text} until {crashes:d} servers have"
    " crashed"
)
def _(context, method, entries_text, crashes):
    context.method = method

    async def step(entries):
        names = list(entries.entries)
        if entries_text == "one entry":
            names = names[:1]
        for name in itertools.cycle(names):
            if len(entries.crashed_at) >= crashes:
                return
            await entries.ask(name, method, "crash")

    context.script.append(step)


@when("it is sent to each entry {times:d} more times, {seconds:g} s later")
def _(context, times, seconds):
    async def step(entries):
        await trio.sleep(seconds)
        context.results["crashes_before"] = len(entries.crashed_at)
        context.results["answers"] = [
            await entries.ask(name, context.method, "crash")
            for name in list(entries.entries) * times
        ]
        context.results["harmless_answers"] = [
            await entries.ask(name, context.method) for name in entries.entries
        ]

    context.script.append(step)


@then("it has crashed at most {limit:d} more servers")
def _(context, limit):
    _run_script(context)
    additional = (
        len(context.results["crashed"]) - context.results["crashes_before"]
    )
    assert additional <= limit, f"{additional} more servers"


@then("each entry refuses it as not run, with a retry-after")
def _(context):
    last_answers = context.results["answers"][-context.sizes[0] :]
    for answer in last_answers:
        headers = dict(answer.headers)
        assert answer.status == 503, answer
        assert headers[b"hyssop-outcome"] == b"not-run", headers
        assert int(headers[b"retry-after"]) >= 1, headers


@then("each entry serves a harmless {method}")
def _(context, method):
    assert [
        answer.status for answer in context.results["harmless_answers"]
    ] == [200] * context.sizes[0]
