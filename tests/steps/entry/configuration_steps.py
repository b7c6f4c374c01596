"""Steps of entry/configuration.feature."""

import math
import random

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.distribution import history
from hyssopfold.entry import configuration
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher


class FakeClient:
    """Calls a publisher without a network."""

    address = "127.0.0.1:1"

    def __init__(self, served):
        self._served = served

    async def call(self, method, req, timeout_s):
        assert method is poll_wire.POLL
        with trio.move_on_after(timeout_s):
            return await self._served.poll(req)
        raise errors.PeerUnavailableError(self.address, "time-out")


class Pair:
    """An entry's configuration and the publisher that it follows."""

    def __init__(self, confirmed):
        self.confirmed = confirmed
        self.confirmations = publisher.Confirmations(self._read)
        self.served = publisher.Publisher(
            history.History(),
            self.confirmations.age_s,
            self.confirmations.confirm,
        )
        # Two more that never answer: one alone is no majority.
        others = [FakeClient(_Silent()) for _ in range(2)]
        for number, other in enumerate(others):
            other.address = f"127.0.0.1:{number + 2}"
        self.entry = configuration.Configuration(
            "entry-1", [FakeClient(self.served), *others], None,
            random.Random(1),
        )  # fmt: skip

    async def _read(self):
        return self.confirmed

    def publish(self, revision):
        pool = tables.Pool(
            f"pool-{revision}", 3, 330, 0.1, 0.1, 4000, 30.0, tables.Drains()
        )
        held = state.State(tables.Tables((), (pool,)))
        self.served.publish(revision, state.encode(held))

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


class _Silent:
    async def poll(self, req):
        await trio.sleep_forever()


@given("a configured entry and a publisher that {who} confirms")
def _(context, who):
    context.pair = Pair(confirmed=who == "a majority")


@when("a revision is published while a request holds its snapshot")
def _(context):
    async def drive():
        context.held = context.pair.entry.snapshot
        context.pair.publish(2)
        await trio.sleep(30)
        context.next = context.pair.entry.snapshot

    context.pair.run(drive)


@then("the request's snapshot is the old revision and the next one the new")
def _(context):
    assert context.held.revision == 1
    assert [pool.name for pool in context.held.tables.pools] == ["pool-1"]
    assert context.next.revision == 2
    assert [pool.name for pool in context.next.tables.pools] == ["pool-2"]


@when("{seconds:d} s pass for the configured entry")
def _(context, seconds):
    async def drive():
        await trio.sleep(seconds)

    context.pair.run(drive)


@then("the configured entry has no revision")
def _(context):
    assert context.pair.entry.snapshot.revision == 0


@when("the publisher is not confirmed any more for {seconds:d} s")
def _(context, seconds):
    async def drive():
        context.pair.confirmed = False
        await trio.sleep(seconds)
        context.age = context.pair.entry.age_s(trio.current_time())

    context.pair.run(drive)


@then(
    "the configured entry says its word is {seconds:d} s old and serves by it"
)
def _(context, seconds):
    assert seconds <= context.age < seconds + 30, context.age
    assert context.pair.entry.snapshot.revision == 1


@when("a publisher is asked to wait for ever, for no number and below zero")
def _(context):
    async def drive():
        context.waits = []
        for wait_s in (math.inf, math.nan, -1.0, 1e300):
            began = trio.current_time()
            req = poll_wire.Poll("x", 10**9, wait_s)
            await context.pair.served.poll(req)
            context.waits.append(trio.current_time() - began)

    context.pair.run(drive)


@then("each publisher's answer came within its longest wait")
def _(context):
    assert max(context.waits) <= publisher.MAX_WAIT_S + 1, context.waits
