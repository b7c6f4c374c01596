"""Steps of core/consensus/node.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.consensus import messages
from tests.support import fake_members

_READ = 1


def _result(context, change_id):
    return context.members.results.get(context.requests[change_id])


@given("{count:d} members with seed {seed:d}")
def _(context, count, seed):
    context.members = fake_members.FakeMembers(count, seed)
    context.requests = {}


@when('"{name}" gets edit "{change_id}" of revision {expect:d}')
def _(context, name, change_id, expect):
    request = 100 + len(context.requests)
    context.requests[change_id] = request
    event = messages.Edit(request, change_id, expect, change_id.encode())
    context.members.submit(name, event)


@when('"{name}" gets a read')
def _(context, name):
    context.members.submit(name, messages.Read(_READ))


@when("{seconds:d} s pass")
def _(context, seconds):
    context.members.run(seconds)


@when('"{name}" is cut off')
def _(context, name):
    context.members.isolate(name)


@when('"{name}" is restarted')
def _(context, name):
    context.members.restart(name)


@then('exactly one of "{one}" and "{two}" is accepted, the other told who won')
def _(context, one, two):
    results = {name: _result(context, name) for name in (one, two)}
    accepted = [
        name
        for name, result in results.items()
        if result == messages.EditAccepted(1)
    ]
    assert len(accepted) == 1, results
    (winner,) = accepted
    loser = two if winner == one else one
    assert results[loser] == messages.EditConflict(1, winner), results


@then('edit "{change_id}" is certain never to take effect')
def _(context, change_id):
    assert _result(context, change_id) == messages.EditNotAccepted()


@then('edit "{change_id}" is accepted as revision {revision:d}')
def _(context, change_id, revision):
    result = _result(context, change_id)
    assert result == messages.EditAccepted(revision), result


@then("the read shows revision {revision:d}")
def _(context, revision):
    result = context.members.results[_READ]
    assert isinstance(result, messages.ReadDone), result
    assert result.register.revision == revision


@then("the read is refused")
def _(context):
    result = context.members.results[_READ]
    assert result == messages.EditNotAccepted(), result
