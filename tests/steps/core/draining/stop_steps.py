"""Steps of core/draining/stop.feature."""

from behave import given
from behave import then

from hyssopfold.core.draining import stop


@given(
    "a stop asked at {asked:g} with {ttl:g} s of look-ups, {spread:g} s to"
    " spread, {most:g} s at most"
)
def _(context, asked, ttl, spread, most):
    context.stop = stop.Stop(ttl, spread, most)
    context.stop.begin(asked)


@then("the stop at {now:g} with {count:d} connections is {phase}")
def _(context, now, count, phase):
    found = context.stop.tick(stop.Observed(count, count), now)
    assert found.value == phase, found


@then("the stop has cut {count:d}")
def _(context, count):
    assert context.stop.cut_requests == count, context.stop.cut_requests
