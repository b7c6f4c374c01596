"""Steps of behind.feature."""

import logging

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
    "a GET with no host": ("GET", [(b"transfer-encoding", b"chunked")]),
}


class _Ends(logging.Handler):
    """Keep the lines at which requests end."""

    def __init__(self):
        super().__init__()
        self.ends = []

    def emit(self, record):
        event = record.msg
        if getattr(event, "event", "") == "ended":
            self.ends.append(dict(event))


@given("the data path over servers that take {seconds:g} s")
def _(context, seconds):
    context.behind_service_s = seconds


@when("three pages and a payment are sent at once on one connection")
def _(context):
    log = logging.getLogger("hyssopfold.entry.proxy")
    seen = _Ends()
    log.addHandler(seen)
    context.add_cleanup(log.removeHandler, seen)

    async def main():
        path = datapath.DataPath(3, service_s=context.behind_service_s)
        path.listener.may_run_concurrently = path.proxy.may_run_concurrently
        path.placement.rotate = True
        async with path.running():
            stream = await path.connect()
            reader = pipelines.AnswerReader(stream)
            pages = b"".join(
                pipelines.request_without_body(f"/{n}") for n in range(3)
            )
            began = trio.current_time()
            await stream.send_all(
                pages + pipelines.request_with_body("/pay", b"one")
            )
            context.behind_answers = [await reader.next() for _ in range(4)]
            context.behind_took_s = trio.current_time() - began
            context.behind_runs = path.runs

    trio.run(main)
    context.behind_ends = seen.ends


@then("four answers come in order within {seconds:g} s")
def _(context, seconds):
    statuses = [one.status for one in context.behind_answers]
    assert statuses == [200] * 4, context.behind_answers
    assert context.behind_runs == 4, context.behind_runs
    assert context.behind_took_s < seconds, context.behind_took_s


@then("the payment reached a server once all pages were answered")
def _(context):
    # It ran as long as a page, after them: twice the time of one.
    assert context.behind_took_s > 2 * context.behind_service_s * 0.8


@then("the log tells how many requests each stood behind")
def _(context):
    ahead = sorted(one["ahead"] for one in context.behind_ends)
    assert ahead == [0, 1, 2, 3], context.behind_ends
    payment = max(context.behind_ends, key=lambda one: one["ahead"])
    least = context.behind_service_s * 0.5
    assert payment["behind_s"] > least, payment


@then("the data path lets {what} run beside others: {answer}")
def _(context, what, answer):
    method, headers = _SCOPES[what]
    scope = {"method": method, "path": "/x", "headers": headers}
    path = datapath.DataPath(1)
    assert path.proxy.may_run_concurrently(scope) == (answer == "yes")
