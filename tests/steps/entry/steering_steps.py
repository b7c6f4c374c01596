"""Steps of entry/steering.feature."""

from behave import given
from behave import then
from behave import when
import msgspec
import trio
import trio.testing

from bench import shift_simulation
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import client_blocks
from hyssopfold.core.steering import plans
from hyssopfold.core.steering import shares
from hyssopfold.entry import adoption
from hyssopfold.entry import blocks
from hyssopfold.entry import configuration
from hyssopfold.entry import status as entry_status
from hyssopfold.entry import steering
from hyssopfold.transport import codec
from hyssopfold.transport import shares_wire

TABLES = tables.parse(
    """
routes: [{name: pay, path_prefix: /, pool: ledger}]
pools: [{name: ledger, slots: 3, shift_cap: 0.1, warm_up_s: 0}]
"""
)
BLOCKS = ("site d dar", "10.1.0.0/16 d")
CLIENT = "10.1.2.3"


class _FakeConfiguration:
    def __init__(self):
        self.snapshot = configuration.Snapshot(1, state.State(TABLES))


class _FakeGossip:
    def __init__(self, member_directory):
        self.directory = member_directory
        self.myself = messages.Instance(
            "entry-1", "entry", "", "", "dar", "dar-1", "ready", 1, 1, 1, 0.0
        )


class _FakeLimits:
    def status(self):
        return {}


class _FakePlacement:
    def in_flight(self):
        return {}


def _make_directory():
    member_directory = directory.Directory(1e9)
    for region in ("dar", "arusha"):
        server = messages.Server(
            f"ledger-{region}", "ledger", "127.0.0.1:9", region, f"{region}-1",
            3, 330, "ready", 1, 1, 0.0,
        )  # fmt: skip
        member_directory.servers.update(server.server_id, server, 0.0)
    return member_directory


def _make_steering(context, region, lines):
    client_regions = blocks.ClientBlocks("")
    client_regions.table = client_blocks.parse(lines, "blocks")
    delays_ms = {"dar": 35.0, "arusha": 35.0}
    return steering.Steering(
        region,
        delays_ms,
        context.configuration,
        context.directory,
        client_regions,
    )


@given("steering at entries of dar and arusha with client blocks")
def _(context):
    context.configuration = _FakeConfiguration()
    context.directory = _make_directory()
    context.entries = [
        _make_steering(context, region, lines)
        for lines in (BLOCKS, ())
        for region in ("dar", "arusha")
    ]
    for entry in context.entries:
        entry.step(0.0, 0.0)


@when("dar is drained and {minutes:d} minutes of steering pass")
def _(context, minutes):
    drained = shift_simulation.with_drains(TABLES, regions=("dar",))
    new_state = plans.after_edit(state.State(TABLES), drained, 0.0)
    context.configuration.snapshot = configuration.Snapshot(2, new_state)
    for entry in context.entries:
        for second in range(minutes * 60 + 1):
            entry.step(float(second), float(second))


def _first_regions(entry):
    route = TABLES.routes[0]
    return [
        entry.decide(route, f"request {number}", CLIENT).regions[0].name
        for number in range(500)
    ]


@then("both entries steer 500 requests of a dar caller alike, half to arusha")
def _(context):
    first, second = map(_first_regions, context.entries[:2])
    assert first == second
    assert 0.4 < first.count("arusha") / len(first) < 0.6


@then("without client blocks the entries steer them differently")
def _(context):
    first, second = map(_first_regions, context.entries[2:])
    assert first != second


@then("what the running entry tells gives a starting entry the same shares")
def _(context):
    running = context.entries[0]
    own_adoption = adoption.Adoption(None, None, running.shares)
    told = trio.run(own_adoption.tell, shares_wire.SharesRequest("entry-2"))
    answer = codec.decode(
        msgspec.msgpack.encode(told), shares_wire.SharesAnswer
    )
    adopted = shares.TrafficShares()
    # The starting entry's clock is an hour ahead, so that by its plan alone the
    # drain would be finished.
    adopted.install(context.configuration.snapshot.state, 0.0, 3600.0)
    for pool in answer.pools:
        assert set(pool.seen_regions) == {"dar", "arusha"}, pool
        adopted.adopt(pool.pool, pool.parts, pool.seen_regions)
    report, running_report = adopted.reports()[0], running.shares.reports()[0]
    assert report.parts == running_report.parts
    assert 0.4 < report.to_go < 0.6, report


@then("the status of the running entry reports these shares to operators")
def _(context):
    running = context.entries[0]
    status = entry_status.Status(
        context.configuration,
        _FakeGossip(context.directory),
        running,
        _FakePlacement(),
        _FakeLimits(),
    )

    async def read():
        return status.answer()

    answer = trio.run(read, clock=trio.testing.MockClock())
    (pool,) = msgspec.json.decode(answer.body)["pools"]
    parts = msgspec.convert(pool["shift"]["parts"], tuple[state.Part, ...])
    assert parts == running.shares.reports()[0].parts
    assert set(pool["shift"]["ready"]) == {"dar", "arusha"}, pool
