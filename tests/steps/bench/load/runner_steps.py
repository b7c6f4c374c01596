"""Steps of bench/load/runner.feature."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from bench.load import connection
from bench.load import runner
from bench.load import scenario as scenarios
from hyssopfold import errors

_SERVICE_S = 0.001


class _StalledConnection:
    """A connection that answers after 1 ms, or 1 ms after the stall's end."""

    def __init__(self, stall):
        self._stall = stall

    async def request(self, method, target, headers, size):
        begin, end = self._stall
        now = trio.current_time()
        if begin <= now < end:
            await trio.sleep(end - now)
        await trio.sleep(_SERVICE_S)
        return connection.Answer(200, {}, 0)

    def close(self):
        pass


@given("a load of {rate:d} requests a second for {seconds:d} s by 1 caller")
def _(context, rate, seconds):
    request_kind = scenarios.RequestKind("read", "GET", "/{n}", 0, 1.0, False)
    context.load_scenario = scenarios.Scenario(
        "stall", 1, "example", ("127.0.0.1:1",), False, scenarios.OPEN,
        rate, 1, seconds, 0.0, 30.0, (request_kind,),
    )  # fmt: skip


@when("the server stalls from {begin:d} s to {end:d} s")
def _(context, begin, end):
    async def run():
        now = trio.current_time()
        stall = (now + begin, now + end)
        load = runner.Run(
            context.load_scenario, lambda _: _StalledConnection(stall)
        )
        await load.run()
        context.latencies = load.tally.latencies["read"]

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run, clock=clock)


@then(
    "each of the requests due from {begin:g} s to {end:g} s"
    " took more than {limit:d} ms"
)
def _(context, begin, end, limit):
    due = [
        planned
        for planned in runner.schedule(context.load_scenario)
        if begin <= planned.due_s < end
    ]
    latencies = context.latencies
    slow = sum(
        item.count_added_in_this_iter_step
        for item in latencies.get_recorded_iterator()
        if item.value_iterated_to > limit * 1000
    )
    assert slow >= len(due) > 0, (slow, len(due))


@then("the longest request took at least {limit:d} ms")
def _(context, limit):
    longest = context.latencies.get_value_at_percentile(100)
    assert longest >= limit * 1000, longest


@then("two schedules of it are equal, and differ from one of another seed")
def _(context):
    first = list(runner.schedule(context.load_scenario))
    assert first == list(runner.schedule(context.load_scenario))
    other = context.load_scenario._replace(seed=2)
    assert first != list(runner.schedule(other))


@when("a load scenario without a mix is read")
def _(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "load.yaml"
        path.write_text("name: x\nhost: y\nentries: [127.0.0.1:1]\n")
        try:
            scenarios.load(str(path))
        except errors.InvalidDocumentError as exc:
            context.faults = exc.faults


@then('the load scenario is refused at "{where}"')
def _(context, where):
    assert where in [fault.where for fault in context.faults]
