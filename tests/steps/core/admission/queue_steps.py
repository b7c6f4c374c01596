"""Steps of core/admission/queue.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.admission import queue


def _queue(context):
    if not hasattr(context, "queue"):
        context.queue = queue.Queue()
        context.now = 0.0
    return context.queue


@given(
    'a queue where "{item}" waits at priority {priority:d} until {wait_s:g} s'
)
@given('"{item}" waits at priority {priority:d} until {wait_s:g} s')
def _(context, item, priority, wait_s):
    slot_queue = _queue(context)
    assert slot_queue.push(item, priority, context.now + wait_s, context.now)


@given("a queue with a slot freed every {seconds:g} s")
def _(context, seconds):
    slot_queue = _queue(context)
    for _ in range(200):
        context.now += seconds
        slot_queue.record_free(context.now)


@when("{seconds:d} s pass in the queue without a free slot")
def _(context, seconds):
    context.now += seconds


@then('the queue serves "{first}", "{second}", "{third}"')
def _(context, first, second, third):
    served = [context.queue.pop() for _ in range(3)]
    assert served == [first, second, third], served
    assert context.queue.pop() is None


@then('"{item}" at priority {priority:d} within {seconds:g} s is not accepted')
def _(context, item, priority, seconds):
    deadline = context.now + seconds
    assert not context.queue.push(item, priority, deadline, context.now)


@then('"{item}" at priority {priority:d} within {seconds:g} s is accepted')
def _(context, item, priority, seconds):
    deadline = context.now + seconds
    assert context.queue.push(item, priority, deadline, context.now)


@then('at {seconds:g} s "{item}" has expired')
def _(context, seconds, item):
    assert context.queue.pop_expired(seconds - 0.1) == []
    assert context.queue.pop_expired(seconds) == [item]
    assert len(context.queue) == 0
