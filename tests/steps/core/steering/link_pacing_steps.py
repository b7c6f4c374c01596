"""Steps of core/steering/link_pacing.feature."""

from behave import given
from behave import then
from behave import when

from bench import link_model
from hyssopfold.core.steering import link_pacing


def _p99(delays):
    return delays[int(len(delays) * 0.99)]


@then(
    "without pacing of links the 99th percentile of small requests is above"
    " {ms:d} ms"
)
def _(context, ms):
    delays, _ = link_model.run(1, paced=False)
    assert _p99(delays) > ms, _p99(delays)


def _check_with_pacing(context, lose_entry):
    delays, mbit = link_model.run(1, paced=True, lose_entry=lose_entry)
    assert _p99(delays) < context.p99_ms, _p99(delays)
    assert mbit >= context.mbit, mbit


@then(
    "with pacing of links it is under {ms:d} ms and uploads get {mbit:d}"
    " Mbit/s at least"
)
def _(context, ms, mbit):
    context.p99_ms, context.mbit = ms, mbit
    _check_with_pacing(context, lose_entry=False)


@then("with pacing of links and an entry lost midway both bounds hold")
def _(context):
    _check_with_pacing(context, lose_entry=True)


@given("a link with a rate of {rate:d} bytes a second")
def _(context, rate):
    context.link = link_pacing.LinkPacer(float(rate))


@when("{size:d} bytes of bulk are reserved on the link")
def _(context, size):
    assert context.link.reserve(size, True, 10.0) == 0.0


@then("{size:d} more bytes of bulk wait between {low:f} and {high:f} s")
def _(context, size, low, high):
    assert low <= context.link.reserve(size, True, 10.0) <= high


@then("{size:d} interactive bytes wait 0 s")
def _(context, size):
    assert context.link.reserve(size, False, 10.0) == 0.0


@then("many interactive bytes delay bulk by {limit:f} s at most")
def _(context, limit):
    for _ in range(100):
        context.link.reserve(1_000_000, False, 20.0)
    assert context.link.reserve(1, True, 20.0) <= limit
