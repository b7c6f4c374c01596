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
# Requests with these faults end at their deadline and would slow the run.
_SLOW_FAULTS = ("silent", "hold", "late", "early")


@given(
    "{entries:d} entries over {servers:d} servers with every fast fault at 1 in"
    " {n:d}"
)
def _(context, entries, servers, n):
    faults = tuple(
        (name, 1 / n)
        for name in sorted(wire.FAULTS)
        if name not in _SLOW_FAULTS
    )
    context.mixed = mixed.MixedWorkload(
        entries, servers, SEED, faults=faults, service_s=0.002
    )


@given("{entries:d} entries over {servers:d} servers without faults")
def _(context, entries, servers):
    context.mixed = mixed.MixedWorkload(
        entries, servers, SEED, service_s=0.002, slots=40
    )


@when("{count:d} mixed requests are sent by callers that retry")
def _(context, count):
    context.sent = count * FACTOR
    trio.run(context.mixed.run, context.sent)


@when("{count:d} mixed requests are sent while two entries and a server stop")
def _(context, count):
    fixture = context.mixed

    async def stop_some(nursery):
        await trio.sleep(0.2)
        nursery.start_soon(fixture.stop_entry, fixture.paths[0])
        await trio.sleep(0.2)
        fixture.leave_server(0)
        nursery.start_soon(fixture.stop_entry, fixture.paths[1])

    context.sent = count * FACTOR
    trio.run(fixture.run, context.sent, stop_some)


@then("the servers' ledgers agree with the callers' records")
def _(context):
    fixture = context.mixed
    outcomes = fixture.outcome_ledger.outcomes
    assert len(outcomes) == context.sent, len(outcomes)
    violations = fixture.outcome_ledger.find_violations(
        fixture.run_counts(), fixture.run_once_keys()
    )
    assert not violations, violations[:5]


@then("every mixed request was answered and none was cut")
def _(context):
    ledger = context.mixed.outcome_ledger
    answered = standin_caller.RequestOutcome.ANSWERED
    others = [
        outcome
        for outcome in ledger.outcomes.values()
        if outcome is not answered
    ]
    assert not others, others[:5]
    assert not ledger.cut, ledger.cut
    assert [stop.cut_requests for stop in context.mixed.stops] == [0, 0]
