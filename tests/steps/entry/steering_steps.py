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

TABLES = tables.parse(
    """
routes: [{name: pay, path_prefix: /, pool: ledger}]
pools: [{name: ledger, slots: 3, shift_cap: 0.1, warm_up_s: 0}]
"""
)
BLOCKS = ("site d dar", "10.1.0.0/16 d")
CLIENT = "10.1.2.3"


class _Config:
    def __init__(self):
        self.snapshot = configuration.Snapshot(1, state.State(TABLES))


class _Spread:
    def __init__(self, known):
        self.directory = known
        self.myself = messages.Instance(
            "entry-1", "entry", "", "", "dar", "dar-1", "ready", 1, 1, 1, 0.0
        )


class _Placement:
    def in_flight(self):
        return {}


def _known():
    known = directory.Directory(1e9)
    for region in ("dar", "arusha"):
        server = messages.Server(
            f"ledger-{region}", "ledger", "127.0.0.1:9", region, f"{region}-1",
            3, 330, "ready", 1, 1, 0.0,
        )  # fmt: skip
        known.servers.update(server.server_id, server, 0.0)
    return known


def _steering(context, region, lines):
    clients = blocks.ClientBlocks("")
    clients.table = client_blocks.parse(lines, "blocks")
    delays = {"dar": 35.0, "arusha": 35.0}
    return steering.Steering(
        region, delays, context.configuration, context.known, clients
    )


@given("steering at entries of dar and arusha that know client blocks")
def _(context):
    context.configuration = _Config()
    context.known = _known()
    context.entries = [
        _steering(context, region, lines)
        for lines in (BLOCKS, ())
        for region in ("dar", "arusha")
    ]
    for entry in context.entries:
        entry.step(0.0, 0.0)


@when("steering hears of a drain of dar and {minutes:d} minutes pass")
def _(context, minutes):
    drained = shift_simulation.with_drains(TABLES, regions=("dar",))
    held = plans.after_edit(state.State(TABLES), drained, 0.0)
    context.configuration.snapshot = configuration.Snapshot(2, held)
    for entry in context.entries:
        for second in range(minutes * 60 + 1):
            entry.step(float(second), float(second))


def _ways(entry):
    route = TABLES.routes[0]
    return [
        entry.decide(route, f"request {number}", CLIENT).regions[0].name
        for number in range(500)
    ]


@then(
    "both entries steer 500 requests of a dar caller alike, half of them away"
)
def _(context):
    one, other = map(_ways, context.entries[:2])
    assert one == other
    assert 0.4 < one.count("arusha") / len(one) < 0.6


@then("without client blocks the entries would steer them apart")
def _(context):
    one, other = map(_ways, context.entries[2:])
    assert one != other


@then("a status read by a starting entry gives it the same shares")
def _(context):
    running = context.entries[0]
    status = entry_status.Status(
        context.configuration, _Spread(context.known), running, _Placement()
    )

    async def read():
        return status.answer()

    answer = trio.run(read, clock=trio.testing.MockClock())
    body = msgspec.json.decode(answer.body)
    started = shares.TrafficShares()
    # Its clock is an hour ahead: by it the drain is done.
    started.install(context.configuration.snapshot.state, 0.0, 3600.0)
    for pool, parts in adoption.parts_by_pool(body["pools"]).items():
        started.adopt(pool, parts)
    mine, theirs = started.reports()[0], running.shares.reports()[0]
    assert mine.parts == theirs.parts
    assert 0.4 < mine.to_go < 0.6, mine
