"""Steps of core/attempts/attempt.feature."""

import math

from behave import then
from behave import when

from hyssopfold.core.attempts import attempt
from hyssopfold.core.attempts import budget
from hyssopfold.core.attempts import messages
from tests.support import attempts_machine

_FAILED = messages.AttemptFailed("reset")
_SHED = messages.AnswerBegan(503, "r", True, True)
_EVENTS = {
    "not-sent": (_FAILED,),
    "refused-not-run": (messages.BytesSent(), _SHED),
    "maybe-sent": (messages.BytesSent(), _FAILED),
    "crossed": (messages.AnswerBegan(200, "other", False, True),),
    "unframed": (messages.AnswerBegan(200, "r", False, False),),
}


def _begin(repeatable=False, limit_s=20.0, retries=None, has_body=False):
    request = messages.Request("r", repeatable, has_body, limit_s)
    machine = attempt.Attempts(request, retries or budget.RetryBudget())
    machine.handle(messages.Started(), 0.0)
    machine.handle(messages.Granted("s1"), 0.0)
    return machine


@when("an attempt that was {sent} is lost, repeatable {repeatable}")
def _(context, sent, repeatable):
    machine = _begin(repeatable == "yes")
    for event in _EVENTS[sent]:
        context.effects = machine.handle(event, 1.0)


@then("the attempts' next step is {step}")
def _(context, step):
    assert isinstance(context.effects[0], messages.CloseConnection)
    next_step = context.effects[1]
    if step == "retry":
        assert next_step == messages.Acquire(("s1",), 20.0), next_step
    else:
        assert next_step.outcome.value == step.split()[1], next_step


@when("an attempt is lost after sending and the next is refused as not run")
def _(context):
    machine = _begin(repeatable=True)
    machine.handle(messages.BytesSent(), 0.1)
    machine.handle(_FAILED, 0.2)
    machine.handle(messages.Granted("s2"), 0.3)
    machine.handle(messages.BytesSent(), 0.4)
    machine.handle(_SHED, 0.5)
    context.effects = machine.handle(messages.NoSlot("no-slot", 1.0), 0.6)


@then("the attempts' refusal says unknown")
def _(context):
    assert context.effects[0].outcome is messages.Outcome.UNKNOWN


@when("{count:d} requests in a row lose each attempt")
def _(context, count):
    retries = budget.RetryBudget()
    context.retries = 0
    for _ in range(count):
        machine = _begin(repeatable=True, retries=retries)
        number = 1
        while machine.phase is not attempt.Phase.DONE:
            machine.handle(messages.BytesSent(), 0.1)
            machine.handle(_FAILED, 0.1)
            if machine.phase is attempt.Phase.ACQUIRING:
                number += 1
                context.retries += 1
                machine.handle(messages.Granted(f"s{number}"), 0.1)


@then("the attempts' retries are at most {most:d}")
def _(context, most):
    assert 0 < context.retries <= most, context.retries


@when("an upload takes {took:d} s under a limit of {limit:d} s")
def _(context, took, limit):
    machine = _begin(limit_s=float(limit), has_body=True)
    context.began = machine.handle(messages.BodyBegan(), 0.0)
    machine.handle(messages.BodyDropped(), 1.0)
    context.took = took
    context.effects = machine.handle(messages.BodySent(), float(took))


@then("the attempts wait {limit:d} s for the answer after the upload")
def _(context, limit):
    assert context.began == (messages.SetAnswerDeadline(math.inf),), (
        context.began
    )
    by = float(context.took + limit)
    assert context.effects == (messages.SetAnswerDeadline(by),), context.effects


@when("random events drive the attempts of many requests")
def _(context):
    context.machines = attempts_machine.run()


@then("the attempts kept all guarantees")
def _(context):
    assert context.machines > 0


def _spent_budget():
    spent = budget.RetryBudget()
    spent.left = 0.0
    return spent


@when("an attempt gets no connection and the budget is spent")
def _(context):
    machine = _begin(retries=_spent_budget())
    context.effects = machine.handle(messages.AttemptFailed("connect"), 0.3)


@when("an attempt was refused by its server and the budget is spent")
def _(context):
    machine = _begin(retries=_spent_budget())
    machine.handle(messages.BytesSent(), 0.1)
    context.effects = machine.handle(_SHED, 0.2)


@then("the attempts ask for another server")
def _(context):
    assert context.effects[1] == messages.Acquire(("s1",), 20.0)


@then("the attempts' refusal says not-run")
def _(context):
    refusals = [
        effect for effect in context.effects if hasattr(effect, "outcome")
    ]
    assert refusals[0].outcome is messages.Outcome.NOT_RUN, context.effects
