"""Steps of core/consensus/discovery.feature."""

import collections

from behave import given
from behave import then
from behave import when

from hyssopfold.core.consensus import messages
from tests.support import fake_discovery


@given(
    "{count:d} discovering members of which {seeds:d} are seeds, with seed {seed:d}"
)
def _(context, count, seeds, seed):
    context.found = fake_discovery.FakeDiscovery(seeds, count, seed)
    context.found_requests = {}


@given("3 blank discovering members long after the first start")
def _(context):
    context.found = fake_discovery.FakeDiscovery(3, 3, 9)
    context.found.first_start = False
    for name in list(context.found.names):
        context.found.wipe(name)
        context.found.start(name)


@when("discovery runs for {seconds:d} s")
def _(context, seconds):
    context.found.run(seconds)


@when('discovered "{name}" is lost for good')
def _(context, name):
    context.found.crash(name)


@when('a discovering newcomer "{name}" starts')
def _(context, name):
    context.found.first_start = False
    context.found.add_instance(name)


@when('discovered "{name}" comes back on a blank disk')
def _(context, name):
    context.found.first_start = False
    context.found.wipe(name)
    context.found.start(name)


@when(
    'discovered "{name}" or a seed gets edit "{change}" of revision {revision:d}'
)
def _(context, name, change, revision):
    # An operator whose instance does not vote yet asks another one.
    asked = name if context.found.voting(name) else "control-1"
    _edit(context, asked, change, revision)


def _edit(context, asked, change, revision):
    number = len(context.found_requests) + 1
    context.found_requests[change] = number
    edit = messages.Edit(number, change, revision, change.encode())
    context.found.submit(asked, edit)


@then("all {count:d} discovered members vote")
def _(context, count):
    assert context.found.all_vote(), context.found.members()
    assert len(context.found.members()) == count, context.found.members()


@then('discovered "{name}" votes')
def _(context, name):
    assert context.found.voting(name), context.found.members()


@then('discovered "{name}" votes no more')
def _(context, name):
    assert name not in context.found.members(), context.found.members()


@then('the discovered edit "{change}" is accepted')
def _(context, change):
    result = context.found.results.get(context.found_requests[change])
    assert isinstance(result, messages.EditAccepted), result


@then("no discovered member holds anything")
def _(context):
    for name, member in context.found.nodes.items():
        assert member.replica.is_blank, name


@then("{votes:d} discovered members vote and {others:d} do not")
def _(context, votes, others):
    members = context.found.members()
    assert len(members) == votes, members
    context.found_others = sorted(set(context.found.names) - members)
    assert len(context.found_others) == others, context.found_others


@when("a discovered member that does not vote is read")
def _(context):
    context.found.submit(context.found_others[0], messages.Read(101))


@when("a discovered member that does not vote gets an edit")
def _(context):
    edit = messages.Edit(102, "late", 0, b"value")
    context.found.submit(context.found_others[0], edit)


@then("the discovered read is done and the edit is not accepted")
def _(context):
    results = context.found.results
    assert isinstance(results[101], messages.ReadDone), results[101]
    assert isinstance(results[102], messages.EditNotAccepted), results[102]


@when("both discovered members that do not vote are cut off and one is read")
def _(context):
    for name in context.found_others:
        context.found.isolate(name)
    context.found.submit(context.found_others[0], messages.Read(103))


@then("the last discovered read is not done")
def _(context):
    result = context.found.results.get(103)
    assert not isinstance(result, messages.ReadDone), result


@when("a discovered voter is cut off for {seconds:d} s")
def _(context, seconds):
    context.found_cut = max(context.found.members())
    context.found.isolate(context.found_cut)
    context.found.run(seconds)
    context.found_members_then = context.found.members()
    context.found.heal()


@then("the discovered voter that was cut off votes no more")
def _(context):
    assert context.found_cut not in context.found_members_then


@when("another discovered voter is lost for good")
def _(context):
    running = set(context.found.nodes) - {context.found_cut}
    name = max(context.found.members() & running)
    context.found.crash(name)


@then("the discovered voter that was cut off votes again")
def _(context):
    assert context.found.voting(context.found_cut), context.found.members()


@when(
    'the discovered voter that was cut off gets edit "{change}" of revision'
    " {revision:d}"
)
def _(context, change, revision):
    _edit(context, context.found_cut, change, revision)


def _by_region(found):
    held = collections.defaultdict(set)
    for name in found.members():
        held[found.region_of(name)].add(name)
    return held


@then("no region holds more than {most:d} discovered votes")
def _(context, most):
    held = _by_region(context.found)
    assert max(map(len, held.values())) <= most, held


@when("the region with most discovered votes is lost")
def _(context):
    found = context.found
    held = _by_region(found)
    region = max(held, key=lambda one: (len(held[one]), one))
    for name in list(found.nodes):
        if found.region_of(name) == region:
            found.crash(name)


@when(
    'a discovered voter that is left gets edit "{change}" of revision'
    " {revision:d}"
)
def _(context, change, revision):
    left = context.found.members() & set(context.found.nodes)
    _edit(context, min(left), change, revision)
