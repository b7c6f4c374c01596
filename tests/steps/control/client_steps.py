"""Steps of control/client.feature."""

import http.server
import socket
import threading
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from hyssopfold import errors
from hyssopfold.control import client as control_client

_READ_TIMEOUTS_S = (0.3, 0.6)

_ANSWERS = {
    "accept": (200, {"revision": 1}),
    "conflict": (409, {"revision": 2, "winner": "bea"}),
    "refuse": (503, {"error": "not-accepted", "summary": "no majority"}),
    "do not know": (504, {"error": "outcome-unknown"}),
}


def _serve(context, status, body):
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_PUT(self):
            self.rfile.read(int(self.headers["content-length"]))
            self.send_response(status)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.shutdown)
    context.add_cleanup(server.server_close)
    return server.server_address[1]


def _listen(context, answering=True):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    if answering:
        # The kernel accepts connections, but nothing reads from them.
        sock.listen()
    context.add_cleanup(sock.close)
    return sock.getsockname()[1]


def _start(context, state):
    match state:
        case "are dead":
            return _listen(context, answering=False)
        case "are silent":
            return _listen(context)
        case "garble":
            return _serve(context, 502, b"<html>")
    status, body = _ANSWERS[state]
    return _serve(context, status, msgspec.json.encode(body))


@given("control instances that {states}")
def _(context, states):
    ports = [_start(context, state) for state in states.split(", ")]
    context.control_urls = [f"http://127.0.0.1:{port}" for port in ports]


@when("hyssopctl sends an edit to these control instances")
def _(context):
    client = control_client.Client(context.control_urls)
    body = {"change_id": "ana", "expect": 0, "tables": ""}
    with mock.patch.object(control_client, "READ_TIMEOUTS_S", _READ_TIMEOUTS_S):
        try:
            reply = client.put("/hyssop/v1/tables", body)
        except errors.HyssopError as exc:
            context.control_outcome = exc.kind
            return
    outcomes = {200: "accepted", 409: "conflict"}
    context.control_outcome = outcomes[reply.status]


@then("hyssopctl reports {outcome}")
def _(context, outcome):
    assert context.control_outcome == outcome, context.control_outcome
