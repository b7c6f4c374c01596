"""Steps of entry/app.feature."""

import types
import urllib.parse

from behave import then
import trio

from hyssopfold.entry import app as entry_app


@then('an entry serves "{target}" as a request {whose}')
def _(context, target, whose):
    served = []

    async def serve(scope, receive, send):
        served.append("of a caller")

    async def send(message):
        if message["type"] == "http.response.start":
            served.append("of its own")

    unused = types.SimpleNamespace(answer=None)
    app = entry_app.App(
        unused,
        unused,
        unused,
        unused,
        types.SimpleNamespace(serve=serve),
        unused,
        unused,
        unused,
        unused,
    )
    scope = {
        "type": "http",
        "method": "GET",
        "path": urllib.parse.unquote(target),
        "raw_path": target.encode(),
        "query_string": b"",
        "headers": [],
    }
    trio.run(app, scope, None, send)
    assert served == [whose], served
