"""Steps of core/admission/queue.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.admission import queue


def _queue(context):
    if not hasattr(context, "waiting"):
        context.waiting = queue.Queue()
        context.now = 0.0
    return context.waiting


@given(
    'a queue where "{item}" waits at priority {priority:d} until {until:g} s'
)
@given('"{item}" waits at priority {priority:d} until {until:g} s')
def _(context, item, priority, until):
    waiting = _queue(context)
    assert waiting.push(item, priority, context.now + until, context.now)


@given("a queue where a slot came free each {seconds:g} s")
def _(context, seconds):
    waiting = _queue(context)
    for _ in range(200):
        context.now += seconds
        waiting.record_free(context.now)


@when("{seconds:d} s pass in the queue without a free slot")
def _(context, seconds):
    context.now += seconds


@then('the queue serves "{one}", "{two}", "{three}"')
def _(context, one, two, three):
    served = [context.waiting.pop() for _ in range(3)]
    assert served == [one, two, three], served
    assert context.waiting.pop() is None


@then('"{item}" at priority {priority:d} within {seconds:g} s is not let in')
def _(context, item, priority, seconds):
    until = context.now + seconds
    assert not context.waiting.push(item, priority, until, context.now)


@then('"{item}" at priority {priority:d} within {seconds:g} s is let in')
def _(context, item, priority, seconds):
    until = context.now + seconds
    assert context.waiting.push(item, priority, until, context.now)


@then('at {seconds:g} s "{item}" has waited too long')
def _(context, seconds, item):
    assert context.waiting.pop_expired(seconds - 0.1) == []
    assert context.waiting.pop_expired(seconds) == [item]
    assert len(context.waiting) == 0
