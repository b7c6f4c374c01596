"""Steps of serving/connection.feature."""

from behave import then
from behave import when
import msgspec
import trio

from hyssopfold import http
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
    "an unknown coding": _POST + b"transfer-encoding: gzip, chunked\r\n\r\n",
    "chunks in HTTP/1.0": b"POST /x HTTP/1.0\r\nhost: a\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "a line without a colon": _GET + b"no colon here\r\n\r\n",
    "two hosts": _GET + b"host: b\r\n\r\n",
    "no host": b"GET /x HTTP/1.0\r\n\r\n",
    "dot segments": b"GET /a/%2e%2e/x HTTP/1.1\r\nhost: a\r\n"
    + _CLOSE
    + b"\r\n",
    "another host's URL": b"GET http://b/x HTTP/1.1\r\nhost: a\r\n"
    + _CLOSE
    + b"\r\n",
    "an unknown expectation": _POST
    + _CLOSE
    + b"expect: more\r\ncontent-length: 3\r\n\r\nabc",
    "a head that is too long": _GET + b"x: " + b"y" * 40_000 + b"\r\n\r\n",
    "an incomplete head": _GET + b"x: y\r\n",
    "a body that is too long": _POST + b"content-length: 9999999999\r\n\r\n",
    "a broken chunk": _POST
    + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n",
    "an h2c upgrade": _GET
    + b"upgrade: h2c\r\nhttp2-settings: AAAA\r\n"
    + b"connection: upgrade, http2-settings, close\r\n\r\n",
    "a websocket": _GET
    + b"upgrade: websocket\r\nsec-websocket-version: 13\r\n"
    + b"sec-websocket-key: abc\r\nconnection: upgrade, close\r\n\r\n",
    "a HEAD request": b"HEAD /x HTTP/1.1\r\nhost: a\r\n" + _CLOSE + b"\r\n",
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
        context.data_path = path
        async with path.running():
            return await step(path)

    context.result = trio.run(main)


@when("raw bytes with {what} are sent")
def _(context, what):
    _run(
        context,
        lambda path: path.exchange(_RAW[what]),
        max_body=1000 * _MB,
    )


@then("the caller gets {status:d} with a remedy")
def _(context, status):
    data, _ = context.result
    assert data.startswith(b"HTTP/1.1 %d " % status), data
    body = msgspec.json.decode(data.partition(b"\r\n\r\n")[2])
    assert body["outcome"] == "not-run", body
    assert body["remedy"], body


@then("no server received it")
def _(context):
    standin = context.data_path.standins[0]
    assert not standin.last_headers, standin.last_headers


@then("the caller gets 400 with outcome unknown")
def _(context):
    data, _ = context.result
    assert data.startswith(b"HTTP/1.1 400 "), data
    assert b"hyssop-outcome: unknown" in data, data


@then("the caller gets 200 and nothing else")
def _(context):
    data, end = context.result
    answers = data.count(b"HTTP/1.1 ")
    assert answers == data.count(b"HTTP/1.1 200 "), data
    assert data and end == "end", (data, end)
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"upgrade" not in head.lower(), data
    assert body or context.data_path.standins[0].last_headers, data


@then("the server received only the entry's own forwarding headers")
def _(context):
    headers = context.data_path.standins[0].last_headers
    assert headers[b"x-forwarded-for"] == b"127.0.0.1", headers
    assert not [key for key in headers if b"_" in key], headers
    assert b"x-secret" not in headers, headers
    assert not [key for key, value in headers.items() if b"666" in value], (
        headers
    )
    assert b"6.6.6.6" not in b" ".join(headers.values()), headers


@when("an upload with `expect: 100-continue` is sent")
def _(context):
    async def step(path):
        stream = await path.connect()
        expect = b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n"
        await stream.send_all(_POST + _CLOSE + expect)
        first = await stream.receive_some(1000)
        await stream.send_all(b"abc")
        return first, (await datapath.read_all(stream))[0]

    _run(context, step)


@then("the caller gets 100 before 200")
def _(context):
    first, final = context.result
    assert first.startswith(b"HTTP/1.1 100 "), first
    assert final.startswith(b"HTTP/1.1 200 "), final


@when("an upload that is too long is sent with `expect: 100-continue`")
def _(context):
    head = b"expect: 100-continue\r\ncontent-length: 2000\r\n\r\n"
    _run(context, lambda path: path.exchange(_POST + head), max_body=1000)


@then("the caller gets 413 without 100")
def _(context):
    data, _ = context.result
    assert data.startswith(b"HTTP/1.1 413 "), data
    assert b"connection: close" in data, data


@when("an upload is sent that the server refuses early")
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


@then("the caller gets 413 before the upload's end")
def _(context):
    data, _ = context.result
    assert data.startswith(b"HTTP/1.1 413 "), data
    assert data.endswith(b"too large"), data


@when("an upload stalls")
def _(context):
    async def step(path):
        answer = await path.exchange(_POST + b"content-length: 9\r\n\r\nabc")
        while path.placement.acquired:
            await trio.sleep(0.01)
        return answer

    _run(context, step)


@then("the connection is closed and no slot is in use")
def _(context):
    assert not context.data_path.placement.acquired
    assert context.data_path.placement.result_kinds == ["cancelled"]


@when("one caller opens more connections than its limit")
def _(context):
    async def step(path):
        streams = [await path.connect() for _ in range(6)]
        await streams[0].send_all(_GET + _CLOSE + b"\r\n")
        served = await datapath.read_all(streams[0])
        closed = [await datapath.read_all(stream) for stream in streams[4:]]
        return served, closed

    _run(context, step)


@then("the connections beyond the limit are closed")
def _(context):
    (data, _), closed = context.result
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert [data for data, _ in closed] == [b"", b""], closed


@when("one caller is answered on {count:d} connections, and closes none")
def _(context, count):
    async def step(path):
        streams = [await path.connect()]
        for _ in range(count):
            await streams[-1].send_all(_GET + _CLOSE + b"\r\n")
            data, _ = await datapath.read_all(streams[-1])
            context.answers.append(data)
            streams.append(await path.connect())

    context.answers = []
    _run(context, step)


@then("each of the {count:d} got its answer")
def _(context, count):
    statuses = [answer[:12] for answer in context.answers]
    assert statuses == [b"HTTP/1.1 200"] * count, statuses


@when("idle connections are closed just after one has ended")
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


@when("an upload that fills the buffer follows another request")
def _(context):
    async def app(scope, receive, send):
        is_upload = scope["method"] == "POST"
        await trio.sleep(3 * _LIMITS.stall_timeout_s if is_upload else 0.1)
        await http.send_answer(send, http.json_answer({}))

    async def step(path):
        path.app = app
        stream = await path.connect()
        await stream.send_all(_GET + b"\r\n")
        await stream.send_all(_POST + b"content-length: 1000000\r\n\r\n")
        with trio.move_on_after(0.2):
            await stream.send_all(b"x" * 900_000)
        return (await datapath.read_all(stream))[0]

    _run(context, step)


@then("both get an answer")
def _(context):
    assert context.result.count(b"HTTP/1.1 200") == 2, context.result


@then("another request is still served")
def _(context):
    assert context.result.status == 200, context.result


@when("an upload of {size:d} MB goes to a server that reads nothing")
def _(context, size):
    async def step(path):
        stream = await path.connect()
        head = b"standin-fault: hold\r\ncontent-length: %d\r\n\r\n"
        await stream.send_all(_POST + head % (size * _MB))
        sent = 0
        # A send that blocks for this long: the entry reads no more.
        while sent < size * _MB:
            with trio.move_on_after(0.25) as timeout:
                await stream.send_all(b"x" * 100_000)
            if timeout.cancelled_caught:
                break
            sent += 100_000
        return sent

    _run(context, step)


@then("the entry reads less than {size:d} MB of it")
def _(context, size):
    assert 0 < context.result < size * _MB, context.result


@when("a caller does not read an answer of {size:d} MB")
def _(context, size):
    async def step(path):
        stream = await path.connect()
        head = b"standin-answer-bytes: %d\r\n\r\n" % (size * _MB)
        await stream.send_all(_GET + head)
        await trio.sleep(0.1)
        read_bytes = path.answer_bytes_sent
        answer = await path.ask("GET", "/x")
        return read_bytes, answer

    _run(context, step)


@then("the entry reads less than {size:d} MB of the answer")
def _(context, size):
    read_bytes, _ = context.result
    assert 0 < read_bytes < size * _MB, read_bytes


@then("another caller is served during this time")
def _(context):
    _, answer = context.result
    assert answer.status == 200, answer
