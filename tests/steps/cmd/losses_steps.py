"""Steps of losses.feature."""

import json

from behave import given
from behave import then
from behave import when

from hyssopfold.cmd import losses

_LINE = (
    "time=2026-01-02T03:04:05.678Z level=info instance=e1 logger=x event={event}"
    " request={request} {rest}\n"
)
_SENT = ("routing-decision", "attempt=1 load=0.2")
_ANSWERED = ("attempt-ended", "result=answered took_s=0.9")
_REQUESTS = {
    "found no slot": [("refused", "error=no-slot")],
    "came before the tables": [("refused", "error=no-tables")],
    "has no route": [("refused", "error=no-route")],
    "has no key": [("refused", "error=unknown-key")],
    "exceeded the limit of its organisation": [("refused", "error=over-limit")],
    "was cut at the limit": [_SENT, ("refused", "error=deadline-passed")],
    "was cut in a queue": [
        ("routing-decision", "attempt=1 load=1.4"),
        ("refused", "error=deadline-passed"),
    ],
    "met a failing server": [_SENT, _ANSWERED],
    "lost its caller": [_SENT],
    "stood behind others": [_SENT, _ANSWERED],
    "waited in a queue": [
        ("routing-decision", "attempt=1 load=1.4"),
        _ANSWERED,
    ],
    "was sent twice": [("routing-decision", "attempt=2 load=0.2"), _ANSWERED],
    "waited at the entry": [
        _SENT,
        ("attempt-ended", "result=answered took_s=0.3"),
    ],
    "was answered in time": [
        _SENT,
        ("attempt-ended", "result=answered took_s=0.3"),
    ],
}
_ENDS = {
    "exceeded the limit of its organisation": "outcome=not-run status=429"
    " took_s=0.01 goal_s=0.6 organisation=press",
    "met a failing server": "outcome=answered status=500 took_s=0.3 goal_s=0.6",
    "lost its caller": "outcome=caller-gone status=0 took_s=0.3 goal_s=0.6",
    "stood behind others": "outcome=answered status=200 took_s=1.1 goal_s=0.6"
    " behind_s=0.4",
    "was answered in time": "outcome=answered status=200 took_s=0.3 goal_s=0.6",
}
_LATE = "outcome=answered status=200 took_s=0.95 goal_s=0.6 behind_s=0"


def _line(event, request, rest):
    return _LINE.format(event=event, request=request, rest=rest)


@given("the log lines of a request that {what}")
def _(context, what):
    if not hasattr(context, "loss_lines"):
        context.loss_lines = []
    request = f"r{len(context.loss_lines)}"
    events = [("admitted", "route=all"), *_REQUESTS[what]]
    events.append(("ended", _ENDS.get(what, _LATE)))
    context.loss_lines += [
        _line(event, request, rest) for event, rest in events
    ]


@given("truncated and foreign lines around them")
def _(context):
    truncated = 'request=r9 event=refused detail="half'
    foreign = [
        "",
        "hello\n",
        "request=\n",
        "\x00\xff request=a event=\n",
        truncated,
    ]
    context.loss_lines = [*foreign, *context.loss_lines, *foreign]


@when("the losses are gathered")
def _(context):
    context.losses = losses.gather(iter(context.loss_lines))


@then('the only cause is "{cause}"')
def _(context, cause):
    causes = {row.cause for row in context.losses.misses}
    assert causes == {cause}, causes
    assert any(cause in line for line in losses.lines(context.losses, False))


@then("there is no loss among {count:d} requests")
def _(context, count):
    assert not context.losses.misses, context.losses
    assert context.losses.ended == count


@when("the losses of {count:d} requests without an end are gathered")
def _(context, count):
    counter = losses.LossCounter()
    context.loss_open = 0
    for number in range(count):
        counter.process_line(_line("admitted", f"r{number}", "route=all"))
        context.loss_open = max(context.loss_open, counter.open_count)


@then("at most {max_open:d} requests were open at once")
def _(context, max_open):
    assert context.loss_open <= max_open, context.loss_open


@then("the JSON rows name second, instance, route, cause and count")
def _(context):
    (text,) = losses.lines(context.losses, as_json=True)
    assert json.loads(text) == {
        "second": "2026-01-02T03:04:05",
        "instance": "e1",
        "organisation": "",
        "route": "all",
        "cause": "refused: no-slot",
        "count": 1,
    }


@then('the table of losses names the organisation "{name}"')
def _(context, name):
    lines = list(losses.lines(context.losses, as_json=False))
    assert any(f"organisation {name}" in line for line in lines), lines
