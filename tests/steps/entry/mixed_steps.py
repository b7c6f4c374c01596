"""Steps of entry/mixed.feature."""

import os

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.standin import caller as standin_caller
from hyssopfold.standin import wire
from tests.support import mixed

SEED = int(os.environ.get("HYSSOP_SOAK_SEED", "5"))
FACTOR = int(os.environ.get("HYSSOP_SOAK_FACTOR", "1"))
# Those that end only with the deadline would take the run's whole time.
_SLOW = ("silent", "hold", "late", "early")


@given(
    "{entries:d} entries over {servers:d} servers with every fault at 1 in {n:d}"
)
def _(context, entries, servers, n):
    faults = tuple(
        (name, 1 / n) for name in sorted(wire.FAULTS) if name not in _SLOW
    )
    context.mixed = mixed.Mixed(
        entries, servers, SEED, faults=faults, service_s=0.002
    )


@given("{entries:d} entries over {servers:d} servers without faults")
def _(context, entries, servers):
    context.mixed = mixed.Mixed(
        entries, servers, SEED, service_s=0.002, slots=40
    )


@when("{count:d} mixed requests are sent by callers that resend")
def _(context, count):
    context.sent = count * FACTOR
    trio.run(context.mixed.run, context.sent)


@when("{count:d} mixed requests are sent while two entries and a server stop")
def _(context, count):
    scene = context.mixed

    async def disturb(nursery):
        await trio.sleep(0.2)
        nursery.start_soon(scene.stop_entry, scene.paths[0])
        await trio.sleep(0.2)
        scene.leave_server(0)
        nursery.start_soon(scene.stop_entry, scene.paths[1])

    context.sent = count * FACTOR
    trio.run(scene.run, context.sent, disturb)


@then("the ledgers agree with the callers' books")
def _(context):
    scene = context.mixed
    told = scene.books.outcomes
    assert len(told) == context.sent, len(told)
    faults = scene.books.find_violations(scene.ran(), scene.posts())
    assert not faults, faults[:5]


@then("every mixed request was answered and none was cut")
def _(context):
    books = context.mixed.books
    answered = standin_caller.RequestOutcome.ANSWERED
    others = [one for one in books.outcomes.values() if one is not answered]
    assert not others, others[:5]
    assert not books.cut, books.cut
    assert [one.cut_requests for one in context.mixed.stops] == [0, 0]
