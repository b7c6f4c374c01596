"""Steps of connection.feature."""

from behave import then
from behave import when
import msgspec
import trio

from hyssopfold import serving
from tests.support import datapath

_MB = 1_000_000
_LIMITS = serving.Limits(
    header_timeout_s=0.2,
    stall_timeout_s=0.3,
    linger_timeout_s=0.5,
    max_connections_per_caller=4,
)
_GET = b"GET /x HTTP/1.1\r\nhost: a\r\n"
_POST = b"POST /x HTTP/1.1\r\nhost: a\r\n"
_CLOSE = b"connection: close\r\n"
_RAW = {
    "two framings": _POST
    + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": _POST
    + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    "a coding unknown": _POST + b"transfer-encoding: gzip, chunked\r\n\r\n",
    "chunks in HTTP/1.0": b"POST /x HTTP/1.0\r\nhost: a\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "a folded nonsense": _GET + b"no colon here\r\n\r\n",
    "two hosts": _GET + b"host: b\r\n\r\n",
    "no host": b"GET /x HTTP/1.0\r\n\r\n",
    "dot segments": b"GET /a/%2e%2e/x HTTP/1.1\r\nhost: a\r\n"
    + _CLOSE
    + b"\r\n",
    "another host's URL": b"GET http://b/x HTTP/1.1\r\nhost: a\r\n"
    + _CLOSE
    + b"\r\n",
    "a strange expect": _POST
    + _CLOSE
    + b"expect: more\r\ncontent-length: 3\r\n\r\nabc",
    "a head too long": _GET + b"x: " + b"y" * 40_000 + b"\r\n\r\n",
    "a head never ending": _GET + b"x: y\r\n",
    "a body too long": _POST + b"content-length: 9999999999\r\n\r\n",
    "a broken chunk": _POST
    + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n",
    "an h2c upgrade": _GET
    + b"upgrade: h2c\r\nhttp2-settings: AAAA\r\n"
    + b"connection: upgrade, http2-settings, close\r\n\r\n",
    "a websocket": _GET
    + b"upgrade: websocket\r\nsec-websocket-version: 13\r\n"
    + b"sec-websocket-key: abc\r\nconnection: upgrade, close\r\n\r\n",
    "a head request": b"HEAD /x HTTP/1.1\r\nhost: a\r\n" + _CLOSE + b"\r\n",
    "trailers": _POST
    + _CLOSE
    + b"trailer: t\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"3\r\nabc\r\n0\r\nt: 1\r\n\r\n",
    "two at once": _GET + b"\r\n" + _GET + _CLOSE + b"\r\n",
    "an HTTP/1.0 get": b"GET /x HTTP/1.0\r\nhost: a\r\n\r\n",
    "forged headers": _GET
    + _CLOSE
    + b"x-forwarded-for: 6.6.6.6\r\nx_forwarded_for: 6.6.6.6\r\n"
    + b"forwarded: for=6.6.6.6\r\nhyssop-request-id: 666\r\n"
    + b"hyssop_outcome: 666\r\nx-secret: 666\r\n"
    + b"connection: x-secret\r\n\r\n",
}


def _run(context, step, **options):
    async def main():
        path = datapath.DataPath(1, _LIMITS, **options)
        context.wire_path = path
        async with path.running():
            return await step(path)

    context.wire = trio.run(main)


@when("raw bytes with {what} come on the wire")
def _(context, what):
    _run(
        context,
        lambda path: path.exchange(_RAW[what]),
        max_body=1000 * _MB,
    )


@then("the wire answers {status:d} with a remedy")
def _(context, status):
    data, _ = context.wire
    assert data.startswith(b"HTTP/1.1 %d " % status), data
    body = msgspec.json.decode(data.partition(b"\r\n\r\n")[2])
    assert body["outcome"] == "not-run", body
    assert body["remedy"], body


@then("no server saw it")
def _(context):
    standin = context.wire_path.standins[0]
    assert not standin.last_headers, standin.last_headers


@then("the wire answers 400 with outcome unknown")
def _(context):
    data, _ = context.wire
    assert data.startswith(b"HTTP/1.1 400 "), data
    assert b"hyssop-outcome: unknown" in data, data


@then("the wire answers 200 and nothing else")
def _(context):
    data, end = context.wire
    answers = data.count(b"HTTP/1.1 ")
    assert answers == data.count(b"HTTP/1.1 200 "), data
    assert data and end == "end", (data, end)
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"upgrade" not in head.lower(), data
    assert body or context.wire_path.standins[0].last_headers, data


@then("the server saw only the entry's own")
def _(context):
    seen = context.wire_path.standins[0].last_headers
    assert seen[b"x-forwarded-for"] == b"127.0.0.1", seen
    assert not [key for key in seen if b"_" in key], seen
    assert b"x-secret" not in seen, seen
    assert not [key for key, value in seen.items() if b"666" in value], seen
    assert b"6.6.6.6" not in b" ".join(seen.values()), seen


@when("the wire gets an upload that expects 100-continue")
def _(context):
    async def step(path):
        stream = await path.connect()
        expect = b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n"
        await stream.send_all(_POST + _CLOSE + expect)
        first = await stream.receive_some(1000)
        await stream.send_all(b"abc")
        return first, (await datapath.read_all(stream))[0]

    _run(context, step)


@then("the wire says 100 before 200")
def _(context):
    first, then_ = context.wire
    assert first.startswith(b"HTTP/1.1 100 "), first
    assert then_.startswith(b"HTTP/1.1 200 "), then_


@when("the wire gets a refused upload that expects 100-continue")
def _(context):
    head = b"expect: 100-continue\r\ncontent-length: 2000\r\n\r\n"
    _run(context, lambda path: path.exchange(_POST + head), max_body=1000)


@then("the wire answers 413 without 100")
def _(context):
    data, _ = context.wire
    assert data.startswith(b"HTTP/1.1 413 "), data
    assert b"connection: close" in data, data


@when("the wire gets an upload that is refused early")
def _(context):
    async def step(path):
        stream = await path.connect()
        head = b"standin-fault: early\r\ncontent-length: 900000000\r\n\r\n"
        await stream.send_all(_POST + head)
        async with trio.open_nursery() as nursery:

            async def push():
                try:
                    for _ in range(9000):
                        await stream.send_all(b"x" * 100_000)
                except trio.BrokenResourceError:
                    pass

            nursery.start_soon(push)
            answer = await datapath.read_all(stream)
            nursery.cancel_scope.cancel()
        return answer

    _run(context, step)


@then("the wire answers 413 before the upload's end")
def _(context):
    data, _ = context.wire
    assert data.startswith(b"HTTP/1.1 413 "), data
    assert data.endswith(b"too large"), data


@when("an upload stalls on the wire")
def _(context):
    async def step(path):
        answer = await path.exchange(_POST + b"content-length: 9\r\n\r\nabc")
        while path.placement.held:
            await trio.sleep(0.01)
        return answer

    _run(context, step)


@then("the wire is closed and no slot is held")
def _(context):
    assert not context.wire_path.placement.held
    assert context.wire_path.placement.done == ["cancelled"]


@when("one caller opens more connections than it may")
def _(context):
    async def step(path):
        streams = [await path.connect() for _ in range(6)]
        await streams[0].send_all(_GET + _CLOSE + b"\r\n")
        served = await datapath.read_all(streams[0])
        closed = [await datapath.read_all(one) for one in streams[4:]]
        return served, closed

    _run(context, step)


@then("the wire closes those beyond the limit")
def _(context):
    (data, _), closed = context.wire
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert [data for data, _ in closed] == [b"", b""], closed


@when("idle connections are looked for as one has just been closed")
def _(context):
    async def step(path):
        stream = await path.connect()
        while not path.listener.connections:
            await trio.sleep(0.01)
        (conn,) = path.listener._open
        conn._stream.socket.close()
        path.listener.close_idle(0.0, float("inf"))
        await stream.aclose()
        return await path.ask("GET", "/x")

    _run(context, step)


@then("the wire still serves")
def _(context):
    assert context.wire.status == 200, context.wire


@when("an upload of {size:d} MB goes to a server that reads nothing")
def _(context, size):
    async def step(path):
        stream = await path.connect()
        head = b"standin-fault: hold\r\ncontent-length: %d\r\n\r\n"
        await stream.send_all(_POST + head % (size * _MB))
        sent = 0
        # Blocked for this long, nothing more is taken.
        while sent < size * _MB:
            with trio.move_on_after(0.25) as blocked:
                await stream.send_all(b"x" * 100_000)
            if blocked.cancelled_caught:
                break
            sent += 100_000
        return sent

    _run(context, step)


@then("the entry takes less than {size:d} MB of it")
def _(context, size):
    assert 0 < context.wire < size * _MB, context.wire


@when("a caller reads nothing of an answer of {size:d} MB")
def _(context, size):
    async def step(path):
        stream = await path.connect()
        asked = b"standin-answer-bytes: %d\r\n\r\n" % (size * _MB)
        await stream.send_all(_GET + asked)
        await trio.sleep(0.1)
        taken = path.taken
        answer = await path.ask("GET", "/x")
        return taken, answer

    _run(context, step)


@then("the entry takes less than {size:d} MB of the answer")
def _(context, size):
    taken, _ = context.wire
    assert 0 < taken < size * _MB, taken


@then("another caller is served meanwhile")
def _(context):
    _, answer = context.wire
    assert answer.status == 200, answer
