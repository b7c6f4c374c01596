"""Steps of transport/crash_reports.feature."""

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from tests.support import fake_reports

_REQUEST = b"0123456789abcdef"


@given(
    "{count:d} instances that lose {lost:g} of the datagrams, seeds 1 to"
    " {seeds:d}"
)
def _(context, count, lost, seeds):
    context.networks = [(count, lost, seed + 1) for seed in range(seeds)]
    context.script = []


def _run_script(context, check):
    """Run the script on each network, then check it."""
    for parameters in context.networks:
        trio.run(
            _run, parameters, context.script, check,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )  # fmt: skip


async def _run(parameters, script, check):
    network = fake_reports.Network(*parameters)
    async with trio.open_nursery() as nursery:
        network.start_all(nursery)
        for step in script:
            await step(network, nursery)
        await check(network)
        nursery.cancel_scope.cancel()


@when("{crashes:d} servers crash under one request, observed at {where}")
def _(context, crashes, where):
    async def step(network, nursery):
        names = list(network.reports)
        for number in range(crashes):
            observer = names[number if where == "three instances" else 0]
            network.crash(observer, number, _REQUEST)
            await trio.sleep(0.1)

    context.script.append(step)


@when("{seconds:g} s later one instance restarts")
def _(context, seconds):
    async def step(network, nursery):
        await trio.sleep(seconds)
        # The previous incarnation still runs, but receives no messages.
        network.start(list(network.reports)[5], nursery)

    context.script.append(step)


@when("one instance is partitioned from the others")
def _(context):
    async def step(network, nursery):
        network.partitioned = {list(network.reports)[5]}

    context.script.append(step)


@when("{seconds:g} s later the partition ends")
def _(context, seconds):
    async def step(network, nursery):
        await trio.sleep(seconds)
        network.partitioned = set()

    context.script.append(step)


@when("{count:d} requests are interrupted by a crash each")
def _(context, count):
    async def step(network, nursery):
        names = list(network.reports)
        for number in range(count):
            fingerprint = number.to_bytes(16, "big")
            network.crash(names[number % len(names)], number, fingerprint)

    context.script.append(step)


@then("{seconds:g} s later all instances block the request")
def _(context, seconds):
    async def check(network):
        await trio.sleep(seconds)
        blocking = network.blocking(_REQUEST)
        missing = set(network.reports) - set(blocking)
        assert not missing, missing

    _run_script(context, check)


@then("reports of them take at most {most:g} KB in {seconds:g} s")
def _(context, most, seconds):
    async def check(network):
        await trio.sleep(seconds)
        assert network.reported_bytes <= most * 1000, network.reported_bytes

    _run_script(context, check)
