"""Steps of entry/pipelining.feature."""

import logging
import urllib.parse

from behave import given
from behave import then
from behave import when
import trio

from tests.support import datapath
from tests.support import pipelines

_SCOPES = {
    "a GET": ("GET", [(b"host", b"shop")]),
    "a POST": ("POST", [(b"host", b"shop")]),
    "a GET with a body": (
        "GET",
        [(b"host", b"shop"), (b"content-length", b"3")],
    ),
    "a chunked GET, no host": ("GET", [(b"transfer-encoding", b"chunked")]),
}


class _EndedEvents(logging.Handler):
    """Collects the `ended` events of requests."""

    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        event = record.msg
        if getattr(event, "event", "") == "ended":
            self.events.append(dict(event))


@given("the data path over servers that take {seconds:g} s")
def _(context, seconds):
    context.pipelined_service_s = seconds


@when("three GETs and a POST are pipelined on one connection")
def _(context):
    log = logging.getLogger("hyssopfold.entry.proxy")
    handler = _EndedEvents()
    log.addHandler(handler)
    context.add_cleanup(log.removeHandler, handler)

    async def main():
        path = datapath.DataPath(3, service_s=context.pipelined_service_s)
        path.listener.may_run_concurrently = path.proxy.may_run_concurrently
        path.placement.rotate = True
        async with path.running():
            stream = await path.connect()
            reader = pipelines.AnswerReader(stream)
            gets = b"".join(
                pipelines.request_without_body(f"/{n}") for n in range(3)
            )
            began_at = trio.current_time()
            await stream.send_all(
                gets + pipelines.request_with_body("/pay", b"one")
            )
            context.pipelined_answers = [await reader.next() for _ in range(4)]
            context.pipelined_took_s = trio.current_time() - began_at
            context.pipelined_runs = path.runs

    trio.run(main)
    context.pipelined_events = handler.events


@then("four answers arrive in order within {seconds:g} s")
def _(context, seconds):
    statuses = [answer.status for answer in context.pipelined_answers]
    assert statuses == [200] * 4, context.pipelined_answers
    assert context.pipelined_runs == 4, context.pipelined_runs
    assert context.pipelined_took_s < seconds, context.pipelined_took_s


@then("the POST was sent to a server after all GETs were answered")
def _(context):
    # The POST takes as long as a GET and starts after them: twice the time.
    assert context.pipelined_took_s > 2 * context.pipelined_service_s * 0.8


@then("the log has the number of requests ahead of each")
def _(context):
    ahead = sorted(event["ahead"] for event in context.pipelined_events)
    assert ahead == [0, 1, 2, 3], context.pipelined_events
    post = max(context.pipelined_events, key=lambda event: event["ahead"])
    min_behind_s = context.pipelined_service_s * 0.5
    assert post["behind_s"] > min_behind_s, post


@then(
    'with routes "{routes}" a GET of "{target}" runs concurrently with others:'
    " {answer}"
)
def _(context, routes, target, answer):
    scope = {
        "method": "GET",
        "path": urllib.parse.unquote(target),
        "raw_path": target.encode(),
        "headers": [(b"host", b"shop")],
    }
    path = datapath.DataPath(1)
    path.config.set_routes(dict(route.split() for route in routes.split(", ")))
    assert path.proxy.may_run_concurrently(scope) == (answer == "yes")


@then("the data path lets {what} run concurrently with others: {answer}")
def _(context, what, answer):
    method, headers = _SCOPES[what]
    scope = {
        "method": method,
        "path": "/x",
        "raw_path": b"/x",
        "headers": headers,
    }
    path = datapath.DataPath(1)
    assert path.proxy.may_run_concurrently(scope) == (answer == "yes")
