"""Steps of entry/configuration.feature."""

import math
import random
import tracemalloc

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import history
from hyssopfold.entry import configuration
from hyssopfold.transport import auth
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc
from tests.support import loopback
from tests.support import relay


class FakeClient:
    """Client that calls a publisher without a network."""

    address = "127.0.0.1:1"

    def __init__(self, published):
        self._published = published

    async def call(self, method, req, timeout_s):
        assert method is poll_wire.POLL
        with trio.move_on_after(timeout_s):
            return await self._published.poll(req)
        raise errors.PeerUnavailableError(self.address, "time-out")


class EntryAndPublisher:
    """An entry's configuration and the publisher that it polls."""

    def __init__(self, confirmed):
        self.confirmed = confirmed
        self.confirmations = publisher.Confirmations(self._read)
        self.published = publisher.Publisher(
            history.History(),
            self.confirmations.age_s,
            self.confirmations.confirm,
        )
        # Two control instances that never answer: one alone is no majority.
        others = [FakeClient(_SilentPublisher()) for _ in range(2)]
        for number, other in enumerate(others):
            other.address = f"127.0.0.1:{number + 2}"
        self.entry = configuration.Configuration(
            "entry-1", [FakeClient(self.published), *others], None,
            random.Random(1),
        )  # fmt: skip

    async def _read(self):
        return self.confirmed

    def publish(self, revision):
        pool = tables.Pool(
            f"pool-{revision}", 3, 330, 0.1, 0.1, 4000, 30.0, tables.Drains()
        )
        new_state = state.State(tables.Tables((), (pool,)))
        self.published.publish(revision, state.encode(new_state))

    def run(self, drive):
        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.confirmations.run)
                nursery.start_soon(self.entry.run)
                self.publish(1)
                await trio.sleep(20)
                await drive()
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock)


class _SilentPublisher:
    async def poll(self, req):
        await trio.sleep_forever()


@given("a configured entry and a publisher that {who} confirms")
def _(context, who):
    context.pair = EntryAndPublisher(confirmed=who == "a majority")


@when("a revision is published while a request holds its snapshot")
def _(context):
    async def drive():
        context.request_snapshot = context.pair.entry.snapshot
        context.pair.publish(2)
        await trio.sleep(30)
        context.next_snapshot = context.pair.entry.snapshot

    context.pair.run(drive)


@then("the request's snapshot is the old revision and the next one the new")
def _(context):
    assert context.request_snapshot.revision == 1
    assert [pool.name for pool in context.request_snapshot.tables.pools] == [
        "pool-1"
    ]
    assert context.next_snapshot.revision == 2
    assert [pool.name for pool in context.next_snapshot.tables.pools] == [
        "pool-2"
    ]


@when("{seconds:d} s pass for the configured entry")
def _(context, seconds):
    async def drive():
        await trio.sleep(seconds)

    context.pair.run(drive)


@then("the configured entry has no revision")
def _(context):
    assert context.pair.entry.snapshot.revision == 0
    assert math.isinf(context.pair.entry.age_s(1.0))


@when("no majority confirms the publisher for {seconds:d} s")
def _(context, seconds):
    async def drive():
        context.pair.confirmed = False
        await trio.sleep(seconds)
        context.age = context.pair.entry.age_s(trio.current_time())

    context.pair.run(drive)


@then(
    "the configured entry reports an age of {seconds:d} s and keeps its"
    " revision"
)
def _(context, seconds):
    assert seconds <= context.age < seconds + 30, context.age
    assert context.pair.entry.snapshot.revision == 1


@when("a publisher is polled with infinite, NaN, negative and huge waits")
def _(context):
    async def drive():
        context.waits = []
        for wait_s in (math.inf, math.nan, -1.0, 1e300):
            began_at = trio.current_time()
            req = poll_wire.Poll("x", 10**9, wait_s)
            await context.pair.published.poll(req)
            context.waits.append(trio.current_time() - began_at)

    context.pair.run(drive)


@then("each poll is answered within the publisher's longest wait")
def _(context):
    assert max(context.waits) <= publisher.MAX_WAIT_S + 1, context.waits


TIMEOUT_S = 30


def _entry(name, address):
    rng = random.Random(1)
    connection_config = rpc.ConnectionConfig(
        auth.Keyring((b"a-shared-key-of-ours",)), rng
    )
    control = [rpc.Client(address, connection_config)]
    return connection_config, configuration.Configuration(
        name, control, rpc.Clients(connection_config), rng
    )


@given("two configured entries, one of which reaches control through a relay")
def _(context):
    context.pair = EntryAndPublisher(confirmed=True)
    context.control_address = loopback.free_address()
    context.peer_address = loopback.free_address()
    context.relay = relay.Relay(context.control_address)


@when("the relay is cut and a revision is published")
def _(context):
    async def main():
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            connection_config, direct = _entry(
                "entry-1", context.control_address
            )
            start = nursery.start
            control_handlers = {poll_wire.POLL: context.pair.published.poll}
            peer_handlers = {poll_wire.POLL: direct.publisher.poll}
            await start(
                rpc.serve,
                context.control_address,
                control_handlers,
                connection_config,
            )
            await start(
                rpc.serve,
                context.peer_address,
                peer_handlers,
                connection_config,
            )
            await start(context.relay.run)
            _, relayed = _entry("entry-2", context.relay.address)
            nursery.start_soon(context.pair.confirmations.run)
            nursery.start_soon(direct.run)
            nursery.start_soon(relayed.run)
            context.pair.publish(1)
            with trio.fail_after(TIMEOUT_S):
                while relayed.snapshot.revision < 1:
                    await trio.sleep(0.01)
                context.relay.cut()
                context.pair.publish(2)
                while direct.snapshot.revision < 2:
                    await trio.sleep(0.01)
                # The other entry's datagrams report its revision each second.
                relayed.record_revision(
                    context.peer_address, direct.snapshot.revision
                )
                while relayed.snapshot.revision < 2:
                    await trio.sleep(0.01)
            context.values = (direct.snapshot.tables, relayed.snapshot.tables)
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the configured entry behind the relay gets it from the other entry")
def _(context):
    direct, relayed = context.values
    assert direct == relayed
    assert [pool.name for pool in relayed.pools] == ["pool-2"]


@given("a publisher whose confirming reads never end")
def _(context):
    context.pair = EntryAndPublisher(confirmed=True)

    async def read():
        await trio.sleep_forever()

    context.pair.confirmations._read = read


@when("the publisher is polled for a confirmed answer")
def _(context):
    async def main():
        context.pair.publish(1)
        req = poll_wire.Poll("entry-1", 0, 0.0, b"", True)
        context.answer = await context.pair.published.poll(req)
        context.took_s = trio.current_time()

    async def timed():
        with trio.fail_after(60):
            began_at = trio.current_time()
            await main()
            context.took_s -= began_at

    trio.run(timed, clock=trio.testing.MockClock(autojump_threshold=0))


@then("it gives an unconfirmed answer before the poll's time-out")
def _(context):
    assert not context.answer.strong
    assert context.answer.update.revision == 1
    assert context.took_s < follower.FETCH_TIMEOUT_S, context.took_s


@when(
    "{count:d} routes are edited {edits:d} times and a request keeps each"
    " revision"
)
def _(context, count, edits):
    route = tables.Route(
        "", "a.example", "", tables.METHODS, "pool", True, 2000, 5, {}
    )
    routes = [
        route._replace(name=f"r-{number:05}", path_prefix=f"/{number}/")
        for number in range(count)
    ]
    # An operator's document has one such row for each route.
    documents = tuple(
        state.Row("routes", route.name, str(route._asdict()))
        for route in routes
    )
    pool = tables.DEFAULT_POOL._replace(name="pool")
    context.snapshots = []

    async def drive():
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            for edit in range(edits):
                routes[edit] = routes[edit]._replace(deadline_ms=1)
                new_tables = tables.Tables(tuple(routes), (pool,))
                encoded = state.encode(state.State(new_tables, rows=documents))
                context.pair.published.publish(edit + 2, encoded)
                del encoded
                while context.pair.entry.snapshot.revision < edit + 2:
                    await trio.sleep(1)
                context.snapshots.append(context.pair.entry.snapshot)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        context.used_mb = (peak - before) / 1e6

    context.pair.run(drive)
    assert [snapshot.revision for snapshot in context.snapshots] == list(
        range(2, edits + 2)
    )


# The machines with the least memory allow 200 MB; half of it is for the rest.
@then(
    "the entry and the publisher used less than {max_mb:d} MB more at any time"
)
def _(context, max_mb):
    assert context.used_mb < max_mb, f"{context.used_mb:.0f} MB"
