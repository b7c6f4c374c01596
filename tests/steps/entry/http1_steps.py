"""Steps of entry/http1.feature."""

import socket
import struct

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.entry import http1

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_PART = b"x" * 100_000


class _Server:
    """One accepted connection, which answers a request once it has arrived."""

    def __init__(self, answer, end):
        self.first_read = b""
        self._answer = answer
        self._end = end

    async def run(self, sock):
        self.first_read = await sock.recv(65_536)
        if self._answer:
            await sock.send(self._answer)
        # The answer must have been read before a reset discards it.
        await trio.sleep(0.05)
        if self._end == "resets":
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        if self._end != "waits":
            sock.close()


@given('a backend connection whose server answers "{text}" and then {end}')
@given('a backend connection whose server answers "" and then {end}')
def _(context, end, text=""):
    answer = text.encode().decode("unicode_escape").encode("latin-1")
    context.server = _Server(answer, end)


def _exchange(context, method, body, headers):
    context.first_bytes = 0

    def count():
        context.first_bytes += 1

    async def run():
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        address = listener.socket.getsockname()
        sock = socket.create_connection(address)
        sock.setblocking(False)
        accepted = await listener.accept()
        conn = http1.Connection(sock)
        request = http1.Request(
            method, b"/a", [(b"host", b"shop.example"), *headers], body
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.server.run, accepted.socket)
            with trio.fail_after(5):
                context.outcome = await _outcome(conn, request, count)
            # The end of the connection arrives after the answer.
            await trio.sleep(0.1)
        context.is_clean = conn.is_clean()
        conn.close()
        accepted.socket.close()
        await listener.aclose()

    trio.run(run)


async def _outcome(conn, request, on_first_byte):
    try:
        answer = await conn.send(request, on_first_byte)
    except http1.LostError:
        return "lost"
    try:
        body = b"".join([part async for part in answer.body]).decode()
    except http1.LostError:
        body = "lost"
    conn.finish()
    return f"{answer.status} {body}".strip()


@when("a GET is sent on it")
def _(context):
    _exchange(context, "GET", None, [])


@when('a POST with the body "{text}" is sent on it')
def _(context, text):
    async def body():
        yield text.encode()

    length = str(len(text)).encode()
    _exchange(context, "POST", body(), [(b"content-length", length)])


@when("a POST with an endless body is sent on it")
def _(context):
    async def body():
        while True:
            yield _PART
            await trio.sleep(0)

    _exchange(context, "POST", body(), [(b"transfer-encoding", b"chunked")])


@then('the outcome is "{outcome}"')
def _(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("the connection may {reuse} used again")
def _(context, reuse):
    assert context.is_clean == (reuse == "be"), context.is_clean


@then('the server\'s first read contains the head and "{text}"')
def _(context, text):
    first_read = context.server.first_read
    assert first_read.startswith(b"POST /a HTTP/1.1\r\n"), first_read
    assert first_read.endswith(text.encode()), first_read


@then("the first byte was reported once")
def _(context):
    assert context.first_bytes == 1, context.first_bytes
