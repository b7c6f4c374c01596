"""Steps of core/consensus/races.feature."""

import random

from behave import given
from behave import then
from behave import when

from hyssopfold.core.consensus import messages
from tests.support import fake_members

_READS = 6
_READ_GAP_S = 0.1
_SETTLE_S = 4


@given(
    "{count:d} members with seed {seed:d} and message delays of {low:d} to"
    " {high:d} ms"
)
def _(context, count, seed, low, high):
    network = fake_members.Network(0.0, 0.0, low / 1000, high / 1000)
    members = fake_members.FakeMembers(count, seed, network)
    assert members.run_until(
        lambda: all(members.is_voting(name) for name in members.names), 30
    )
    context.members, context.rng = members, random.Random(seed)
    context.accepted = []


def _run_race(context, number):
    """Return how many of two edits of the newest revision were accepted."""
    members, rng = context.members, context.rng
    revision = max(node.learned.revision for node in members.nodes.values())
    requests = [2 * number + 100, 2 * number + 101]
    for name, request in zip(
        rng.sample(members.names, 2), requests, strict=True
    ):
        value, change = f"v{request}".encode(), f"change-{request}"
        members.submit(
            name, messages.Edit(request, change, revision, value, change)
        )
    for _ in range(_READS):
        members.run(rng.uniform(0.0, _READ_GAP_S))
        members.submit(rng.choice(members.names), messages.Read(0))
    members.run(_SETTLE_S)
    results = [members.results.get(request) for request in requests]
    return sum(isinstance(result, messages.EditAccepted) for result in results)


@when("{times:d} times two edits race while random members receive reads")
def _(context, times):
    context.accepted = [_run_race(context, number) for number in range(times)]


@then("at most one edit of each revision was accepted")
def _(context):
    assert max(context.accepted) == 1, context.accepted
