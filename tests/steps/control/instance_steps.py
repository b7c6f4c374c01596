"""Steps of control/instance.feature."""

import random

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold.control import instance as control_instance
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node


class _Records:
    """Records in memory whose saves fail while `full` is set."""

    def __init__(self):
        self.full = False
        self.register = messages.BLANK_REGISTER

    def _check(self):
        if self.full:
            raise errors.StorageWriteError("register", "no space left")

    def save_promise(self, promised):
        self._check()

    def save_register(self, accepted, register):
        self._check()
        self.register = register

    def save_observed_starts(self, observed_starts):
        self._check()

    def save_all(self, durable):
        self.save_register(durable.accepted, durable.register)


async def _run_directly(call, *values):
    await trio.lowlevel.checkpoint()
    call(*values)


@given("a single control instance on a disk that can be filled")
def _(context):
    endpoint = messages.Endpoint("control-1", "127.0.0.1:1")
    member = messages.Member(*endpoint, "i1")
    identity = messages.Identity(member, 1, "n1")
    consensus_node = node.Node(
        identity, [endpoint], node.BLANK, random.Random(1)
    )
    context.single_records = _Records()
    context.single = control_instance.Instance(
        consensus_node, context.single_records, None, run_blocking=_run_directly
    )
    context.single_answers = {}
    context.single_plan = []


def _run(context, execute_plan):
    """Run the instance in virtual time while `execute_plan` runs."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.single.run)
            await trio.sleep(1)
            await execute_plan()
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


async def _edit(context, change_id):
    expect = context.single.register.revision
    answer = await context.single.edit(change_id, expect, b"value")
    context.single_answers[change_id] = answer


async def _execute(context, plan):
    for step, value in plan:
        match step:
            case "edit":
                await _edit(context, value)
            case "full":
                context.single_records.full = value
            case "wait":
                await trio.sleep(value)


def _plan(context, *steps):
    context.single_plan = [*context.single_plan, *steps]


@when('the single instance gets edit "{change_id}" on a full disk')
def _(context, change_id):
    _plan(context, ("full", True), ("edit", change_id))


@when('the single instance gets edit "{change_id}" on a good disk')
def _(context, change_id):
    _plan(context, ("full", False), ("edit", change_id))


@when("the single instance's disk has space for {seconds:d} s")
def _(context, seconds):
    _plan(context, ("full", False), ("wait", seconds))


@when('the single instance\'s task fails while edit "{change_id}" is pending')
def _(context, change_id):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_edit, context, change_id)
            await trio.testing.wait_all_tasks_blocked()
            with trio.move_on_after(0.0):
                await context.single.run()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def _answer(context, change_id):
    plan, context.single_plan = context.single_plan, []
    if plan:
        _run(context, lambda: _execute(context, plan))
    return context.single_answers[change_id]


@then('the single instance answers "{change_id}" as accepted')
def _(context, change_id):
    answer = _answer(context, change_id)
    assert answer == messages.EditAccepted(1), answer


@then('the single instance does not answer "{change_id}" as accepted')
def _(context, change_id):
    answer = _answer(context, change_id)
    kinds = (messages.EditNotAccepted, messages.OutcomeUnknown)
    assert isinstance(answer, kinds), answer


@then('the single instance answers "{change_id}" as refused for certain')
def _(context, change_id):
    answer = _answer(context, change_id)
    assert isinstance(answer, messages.EditNotAccepted), answer
    assert "its disk refuses writes" in answer.reason, answer


@then('the single instance answers "{change_id}" as unknown')
def _(context, change_id):
    assert _answer(context, change_id) == messages.OutcomeUnknown()


@then('the single instance\'s disk stores "{change_id}"')
def _(context, change_id):
    register = context.single_records.register
    assert register.accepted_change(change_id) is not None


@then('the single instance\'s disk does not store "{change_id}"')
def _(context, change_id):
    register = context.single_records.register
    assert register.accepted_change(change_id) is None
