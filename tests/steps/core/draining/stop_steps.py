"""Steps of core/draining/stop.feature."""

from behave import given
from behave import then

from hyssopfold.core.draining import stop


@given(
    "a stop begun at {begin:g}: {ttl:g} s of look-ups, {propagation:g} s to"
    " propagate, {most:g} s at most"
)
def _(context, begin, ttl, propagation, most):
    context.stop = stop.Stop(ttl, propagation, most)
    context.stop.begin(begin)


@then("the stop at {now:g} with {count:d} connections is {phase}")
def _(context, now, count, phase):
    reached = context.stop.tick(stop.Observed(count, count), now)
    assert reached.value == phase, reached


@then("the stop has cut {count:d} requests")
def _(context, count):
    assert context.stop.cut_requests == count, context.stop.cut_requests
