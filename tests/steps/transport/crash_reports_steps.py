"""Steps of transport/crash_reports.feature."""

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from tests.support import fake_reports

_REQUEST = b"0123456789abcdef"


@given(
    "{count:d} instances of which {lost:g} of the datagrams are lost, seeds 1"
    " to {seeds:d}"
)
def _(context, count, lost, seeds):
    context.networks = [(count, lost, seed + 1) for seed in range(seeds)]
    context.script = []


def _play(context, check):
    """Carry out the listed steps on each network, then check it."""
    for chosen in context.networks:
        trio.run(
            _run, chosen, context.script, check,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )  # fmt: skip


async def _run(chosen, script, check):
    network = fake_reports.Network(*chosen)
    async with trio.open_nursery() as nursery:
        network.start_all(nursery)
        for step in script:
            await step(network, nursery)
        await check(network)
        nursery.cancel_scope.cancel()


@when("{crashes:d} servers crash under one request, seen at {where}")
def _(context, crashes, where):
    async def step(network, nursery):
        names = list(network.reports)
        for number in range(crashes):
            seen_at = names[number if where == "three of them" else 0]
            network.crash(seen_at, number, _REQUEST)
            await trio.sleep(0.1)

    context.script.append(step)


@when("{seconds:g} s later one instance starts anew")
def _(context, seconds):
    async def step(network, nursery):
        await trio.sleep(seconds)
        # The former life goes on, unheard: its messages come from nobody.
        network.start(list(network.reports)[5], nursery)

    context.script.append(step)


@when("one instance is cut off")
def _(context):
    async def step(network, nursery):
        network.cut = {list(network.reports)[5]}

    context.script.append(step)


@when("{seconds:g} s later the cut heals")
def _(context, seconds):
    async def step(network, nursery):
        await trio.sleep(seconds)
        network.cut = set()

    context.script.append(step)


@when("{count:d} requests are interrupted by a crash each")
def _(context, count):
    async def step(network, nursery):
        names = list(network.reports)
        for number in range(count):
            fingerprint = number.to_bytes(16, "big")
            network.crash(names[number % len(names)], number, fingerprint)

    context.script.append(step)


@then("{seconds:g} s later all of them hold it back")
def _(context, seconds):
    async def check(network):
        await trio.sleep(seconds)
        holding = network.blocking_instances(_REQUEST)
        missing = set(network.reports) - set(holding)
        assert not missing, missing

    _play(context, check)


@then("reports of them take at most {most:g} KB in {seconds:g} s")
def _(context, most, seconds):
    async def check(network):
        await trio.sleep(seconds)
        assert network.reported_bytes <= most * 1000, network.reported_bytes

    _play(context, check)
