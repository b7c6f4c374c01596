"""Steps of the features under core/consensus/."""

import os
import re

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful

from hyssopfold.core.consensus import messages
from tests.support import broken_members
from tests.support import conformance
from tests.support import fake_members
from tests.support import register_history
from tests.support import register_machine

_FORM_S = 30


def _result(context, change_id):
    return context.members.results.get(context.requests[change_id])


def _form_cluster(context, count, seed, network):
    context.members = fake_members.FakeMembers(count, seed, network)
    context.history = register_history.History(context.members)
    context.replay = conformance.Replay(context.members)
    context.requests = {}
    assert context.members.run_until(lambda: _all_vote(context), _FORM_S)


def _all_vote(context):
    return all(
        context.members.is_voting(name) for name in context.members.names
    )


@given("{count:d} members with seed {seed:d}")
def _(context, count, seed):
    _form_cluster(context, count, seed, fake_members.Network())


@given("{count:d} members with seed {seed:d} on a network that loses a tenth")
def _(context, count, seed):
    network = fake_members.Network(0.1, 0.1, 0.001, 0.1)
    _form_cluster(context, count, seed, network)


@given("{count:d} blank instances with seed {seed:d} that are not started")
def _(context, count, seed):
    context.members = fake_members.FakeMembers(count, seed)
    for name in context.members.names:
        context.members.wipe(name)
    context.history = register_history.History(context.members)
    context.requests = {}


def _edit(context, name, change_id, expect, text=None):
    request = 100 + len(context.history.requests)
    context.requests[change_id] = request
    context.history.requests[request] = change_id
    value = (text or change_id).encode()
    digest = text or change_id
    event = messages.Edit(request, change_id, expect, value, digest)
    context.members.submit(name, event)


@when('"{name}" receives edit "{change_id}" of revision {expect:d}')
def _(context, name, change_id, expect):
    _edit(context, name, change_id, expect)


@when(
    '"{name}" receives edit "{change_id}" of revision {expect:d} saying'
    ' "{text}"'
)
def _(context, name, change_id, expect, text):
    _edit(context, name, change_id, expect, text)


@when('"{name}" receives {count:d} edits one after another')
def _(context, name, count):
    for number in range(count):
        expect = context.members.nodes[name].learned.revision
        _edit(context, name, f"edit-{number}", expect)
        context.members.run(1)


def _submit(context, name, make_operation):
    request = 10_000 + len(context.members.results)
    context.last_request = request
    context.members.submit(name, make_operation(request))


@when('"{name}" receives a read')
def _(context, name):
    _submit(context, name, messages.Read)


@when('"{name}" is asked to add the member "{new}"')
def _(context, name, new):
    _submit(context, name, lambda request: messages.AddMember(request, new))


@when('"{name}" is asked to remove the member "{old}"')
def _(context, name, old):
    _submit(context, name, lambda request: messages.RemoveMember(request, old))


@when("{seconds:d} s pass")
def _(context, seconds):
    context.members.run(seconds)


@when('"{name}" is isolated')
def _(context, name):
    context.members.isolate(name)


@when('messages from "{sender}" to "{receiver}" are lost')
def _(context, sender, receiver):
    context.members.cut_links.add((sender, receiver))


@when("the network recovers")
def _(context):
    context.members.heal()


@when('"{name}" is killed')
def _(context, name):
    context.members.crash(name)


@when('"{name}" is started')
def _(context, name):
    context.members.start(name)


@when('"{name}" is restarted')
def _(context, name):
    context.members.restart(name)


@when('"{name}" freezes')
def _(context, name):
    context.members.freeze(name)


@when('"{name}" resumes')
def _(context, name):
    context.members.thaw(name)


@when('"{name}" restarts on a blank disk')
def _(context, name):
    context.members.wipe(name)
    context.members.start(name)


@when('"{name}" loses its disk and stays stopped')
def _(context, name):
    context.members.wipe(name)


@when('a copy of the data folder of "{name}" is taken')
def _(context, name):
    context.copy = context.members.disks[name].copy()


@when('"{name}" is started with the copy')
def _(context, name):
    context.members.crash(name)
    context.members.disks[name] = context.copy
    context.members.start(name)


@when('the disk of "{name}" is full')
def _(context, name):
    context.members.disks[name].full = True


@when('the disk of "{name}" is freed')
def _(context, name):
    context.members.disks[name].full = False


@when('the storage of "{name}" recovers')
def _(context, name):
    context.members.recover_storage(name)


@when('a new instance "{name}" starts blank')
def _(context, name):
    context.members.add_instance(name)


@when("all instances vote again")
def _(context):
    assert context.members.run_until(lambda: _all_vote(context), _FORM_S)


@then(
    'exactly one of "{first}" and "{second}" is accepted, the other names the'
    " winner"
)
def _(context, first, second):
    results = {name: _result(context, name) for name in (first, second)}
    accepted = [
        name
        for name, result in results.items()
        if result == messages.EditAccepted(1)
    ]
    assert len(accepted) == 1, results
    (winner,) = accepted
    loser = second if winner == first else first
    assert results[loser] == messages.EditConflict(1, winner), results


@then('edit "{change_id}" is not accepted')
def _(context, change_id):
    result = _result(context, change_id)
    assert isinstance(result, messages.EditNotAccepted), result


@then('the outcome of edit "{change_id}" is unknown')
def _(context, change_id):
    result = _result(context, change_id)
    assert result == messages.OutcomeUnknown(), result


@then('edit "{change_id}" is not answered')
def _(context, change_id):
    assert _result(context, change_id) is None, _result(context, change_id)


@then('edit "{change_id}" is accepted as revision {revision:d}')
def _(context, change_id, revision):
    result = _result(context, change_id)
    assert result == messages.EditAccepted(revision), result


@then('edit "{change_id}" conflicts at revision {revision:d} with "{winner}"')
def _(context, change_id, revision, winner):
    result = _result(context, change_id)
    assert result == messages.EditConflict(revision, winner), result


@then('edit "{change_id}" is refused, its id is used by revision {number:d}')
def _(context, change_id, number):
    result = _result(context, change_id)
    assert result == messages.ChangeIdReused(number), result


@then("the read returns revision {revision:d}")
def _(context, revision):
    result = context.members.results[context.last_request]
    assert isinstance(result, messages.ReadDone), result
    assert result.register.revision == revision, result.register.revision


@then("the read is refused")
def _(context):
    result = context.members.results[context.last_request]
    assert isinstance(result, messages.EditNotAccepted), result


@then("the members are {names}")
def _(context, names):
    result = context.members.results[context.last_request]
    assert isinstance(result, messages.MembersChanged), result
    members = [member.name for member in result.members]
    assert members == re.findall(r'"(.*?)"', names), members


@then('the change of members is refused: "{reason}"')
def _(context, reason):
    result = context.members.results[context.last_request]
    assert isinstance(result, messages.EditNotAccepted), result
    assert reason in result.reason, result.reason


@then('"{name}" has learned revision {revision:d}')
def _(context, name, revision):
    learned = context.members.nodes[name].learned.revision
    assert learned == revision, learned


@then('"{name}" votes')
def _(context, name):
    assert context.members.is_voting(name), context.members.nodes[name].fault


@then('"{name}" does not vote: "{reason}"')
def _(context, name, reason):
    fault = context.members.nodes[name].fault
    assert reason in fault, fault


@then('"{name}" stays blank and forms no cluster')
def _(context, name):
    assert context.members.nodes[name].replica.is_blank


@then("all instances agree on revision {revision:d}")
def _(context, revision):
    registers = {node.learned for node in context.members.nodes.values()}
    assert len(registers) == 1, registers
    (register,) = registers
    assert register.revision == revision, register.revision
    context.history.check_final(register)


@then(
    "{count:d} s without operations cost at most {most:d} messages and no save"
)
def _(context, count, most):
    sent, saves = context.members.sent, context.members.saves
    context.members.run(count)
    assert context.members.saves == saves, context.members.saves - saves
    cost = context.members.sent - sent
    assert cost <= most, cost


@when('"{name}" makes {edits:d} edits, with a kill at each save in turn')
def _(context, name, edits):
    """Repeat the edits with a kill before and after each save in turn."""
    context.kills = []
    for place in ("before", "after"):
        for ahead in range(1, 500):
            _form_cluster(context, 3, ahead, fake_members.Network())
            saves = context.members.saves
            context.members.crash_at_save = {saves + ahead: place}
            for number in range(edits):
                _edit_until_accepted(context, name, number)
            _check_kill(context)
            context.kills.append(ahead)
            if context.members.crash_at_save:
                break


def _edit_until_accepted(context, name, number):
    """Send an edit, and resend it until it is accepted."""
    change_id = f"edit-{number}"
    accepted = messages.EditAccepted(number + 1)
    for _ in range(5):
        _edit(context, name, change_id, number)
        context.members.run(3)
        for other in context.members.names:
            if other not in context.members.nodes:
                context.members.start(other)
        context.members.run(3)
        if _result(context, change_id) == accepted:
            return
    raise AssertionError(_result(context, change_id))


def _check_kill(context):
    """Check that all members agree and have every accepted edit."""
    assert context.members.run_until(lambda: _all_vote(context), _FORM_S)
    registers = {node.learned for node in context.members.nodes.values()}
    assert len(registers) == 1, registers
    context.history.check_final(registers.pop())


@then("at least {count:d} steps conform to the specification")
def _(context, count):
    assert context.replay.steps >= count, context.replay.steps


@then("no accepted edit is lost in any of at least {count:d} kills")
def _(context, count):
    assert len(context.kills) >= count, len(context.kills)


def _run_machine(node_class, machine_class=register_machine.RegisterMachine):
    seed = os.environ.get("HYSSOP_SOAK_SEED")
    steps = int(os.environ.get("HYSSOP_SOAK_STEPS", "0"))
    machine = type(
        "Machine",
        (machine_class,),
        {"node_class": node_class},
    )
    if seed is not None:
        machine = hypothesis.seed(int(seed))(machine)
    settings = hypothesis.settings(
        max_examples=max(25, steps // 50),
        stateful_step_count=50,
        derandomize=seed is None,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@when("random operations run under single and double failures")
def _(context):
    _run_machine(fake_members.node.Node)


@when("random operations run while members are removed and added again")
def _(context):
    _run_machine(fake_members.node.Node, register_machine.ReturningMachine)


@then("every invariant of the register holds")
def _(context):
    """The random run raises if an invariant is violated."""


@given("members that break the rule {rule}")
def _(context, rule):
    context.broken_rule = rule


@then("the broken members are detected by {checker}: {message}")
def _(context, checker, message):
    failure = broken_members.catch(context.broken_rule, checker, message)
    assert message in failure, failure


@when("a member learns revision {high:d} and then revision {low:d}")
def _(context, high, low):
    context.members = fake_members.FakeMembers(3, 1)
    context.history = register_history.History(context.members)
    context.learned = [
        messages.Register(revision=revision, value=b"")
        for revision in (high, low)
    ]


@then("the history check fails with {message}")
def _(context, message):
    first, second = context.learned
    context.history.observe("control-1", messages.Learned(first))
    try:
        context.history.observe("control-1", messages.Learned(second))
    except AssertionError as exc:
        assert message in str(exc), exc
        return
    raise AssertionError("the history accepted the second revision")
