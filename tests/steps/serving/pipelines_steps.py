"""Steps of pipelines.feature."""

import random
import socket

from behave import then
from behave import when
import trio

from hyssopfold import serving
from tests.support import pipelines

_MB = 1_000_000
_LONG_MS = 9000


def _run(context, step, limits=None):
    async def main():
        fixture = pipelines.Fixture(limits)
        context.pipeline = fixture
        async with fixture.running_here():
            began = trio.current_time()
            result = await step(fixture)
            context.took_s = trio.current_time() - began
            return result

    context.result = trio.run(main)


def _requests(text):
    data = b""
    for word in text.split():
        path, _, mark = word.partition("!")
        method = "POST" if path.startswith("/once/") else "GET"
        fields = ["connection: close"] if mark == "close" else []
        if method == "POST":
            fields.append("content-length: 0")
        data += pipelines.head(path, method, *fields)
    return data


async def _answers(fixture, data, count):
    """Return the answers, and how the connection ended if it did."""
    stream = await fixture.connect()
    reader = pipelines.Reader(stream)
    await stream.send_all(data)
    found = []
    while len(found) < count:
        answer = await reader.next()
        if answer is None:
            break
        found.append(answer)
    # A connection that is to end does so soon.
    if found and found[-1].closes:
        assert await reader.next() is None
    return found, reader.end


@when("a pipeline is sent: {text}")
def _(context, text):
    count = len(text.split())
    _run(context, lambda one: _answers(one, _requests(text), count))


@then("the answers are {names} within {seconds:g} s")
def _(context, names, seconds):
    answers, _ = context.result
    got = [answer.body.partition(b":")[0].decode() for answer in answers]
    assert got == names.split(), answers
    assert context.took_s < seconds, context.took_s


@then("{name} ran beside {others}")
def _(context, name, others):
    wanted = set() if others == "nothing" else set(others.split())
    name = "upload" if name == "the upload" else name
    assert context.pipeline.beside[name] == wanted, context.pipeline.beside


@when("a pipeline of {count:d} requests is sent")
def _(context, count):
    paths = " ".join(f"/safe/n{number}/20/2" for number in range(count))
    _run(context, lambda one: _answers(one, _requests(paths), count))


@then("all {count:d} are answered in order")
def _(context, count):
    answers, _ = context.result
    got = [answer.body.partition(b":")[0].decode() for answer in answers]
    assert got == [f"n{number}" for number in range(count)], got


@then("at most {most:d} of them ran at once")
def _(context, most):
    assert 1 < context.pipeline.most <= most, context.pipeline.most


@when("{size:d} MB of requests are sent behind one that takes long")
def _(context, size):
    async def step(fixture):
        stream = await fixture.connect()
        await stream.send_all(_requests(f"/safe/slow/{_LONG_MS}/2"))
        some = _requests("/safe/b/0/2") * 1000
        sent = 0
        while sent < size * _MB:
            with trio.move_on_after(0.25) as blocked:
                await stream.send_all(some)
            if blocked.cancelled_caught:
                break
            sent += len(some)
        other, _ = await _answers(fixture, _requests("/safe/other/0/2"), 1)
        return sent, other

    _run(context, step)


@then("the listener takes less than {size:d} MB of them")
def _(context, size):
    sent, _ = context.result
    assert sent < size * _MB, sent


@then("another caller is answered meanwhile")
def _(context):
    _, answers = context.result
    assert [answer.status for answer in answers] == [200], answers


@then("the statuses are {statuses}")
def _(context, statuses):
    answers, _ = context.result
    got = [str(answer.status) for answer in answers]
    assert got == statuses.split(), answers


@then("the connection is kept")
def _(context):
    answers, end = context.result
    assert not any(answer.closes for answer in answers), answers
    assert not end, end


@when("a pipeline with nonsense in third place is sent")
def _(context):
    data = _requests("/safe/a/50/2 /safe/b/0/2")
    data += b"no request at all\r\n\r\n" + _requests("/safe/d/0/2")
    _run(context, lambda one: _answers(one, data, 4))


@then("the last answer alone closes the connection")
def _(context):
    answers, _ = context.result
    closes = [answer.closes for answer in answers]
    assert closes == [False] * (len(answers) - 1) + [True], answers


@then("{name} was not started")
def _(context, name):
    assert name not in context.pipeline.started, context.pipeline.started


@then("the connection ends without a reset")
def _(context):
    assert context.result[1] == "end", context.result


@when("a stop comes in the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await fixture.connect()
        reader = pipelines.Reader(stream)
        await stream.send_all(_requests(text))
        while len(fixture.started) < 3:
            await trio.sleep(0.01)
        fixture.stop.set()
        await trio.sleep(0.05)
        # On its way as the caller is told of the close.
        await stream.send_all(_requests("/safe/e/0/2"))
        return await reader.all(), reader.end

    _run(context, step)


@when("a caller leaves behind the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await fixture.connect()
        await stream.send_all(_requests(text))
        while len(fixture.started) < 2:
            await trio.sleep(0.01)
        await stream.aclose()
        while fixture.listener.connections:
            await trio.sleep(0.01)

    _run(context, step)


@then("{names} were cancelled")
def _(context, names):
    assert sorted(context.pipeline.cancelled) == names.split()


@when("a pipeline with an upload of {size:d} bytes behind 2 pages is sent")
def _(context, size):
    data = _requests("/safe/a/100/2 /safe/b/0/2")
    data += pipelines.upload("/once/upload/0/2", b"x" * size, chunked=True)
    context.size = size
    _run(context, lambda one: _answers(one, data, 3))


@then("the upload's answer comes third and whole")
def _(context):
    answers, _ = context.result
    assert answers[2].body == b"upload:" + b"x" * context.size, answers[2][:90]


@when("a connection meets an error that nobody expects")
def _(context):
    async def step(fixture):
        bad = await fixture.connect()
        while not fixture.listener.connections:
            await trio.sleep(0.01)
        (conn,) = fixture.listener._open

        async def fail(data):
            raise RuntimeError("a fault that nobody foresaw")

        conn._stream.send_all = fail
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_answers, fixture, _requests("/safe/b/300/2"), 1)
            await bad.send_all(_requests("/safe/a/0/2"))
            await trio.sleep(0.1)
            return await _answers(fixture, _requests("/safe/c/0/2"), 1), None

    _run(context, lambda fixture: _swap(step, fixture))


async def _swap(step, fixture):
    (answers, _), _ = await step(fixture)
    return None, answers


@when("a stop comes while {count:d} slow readers pipeline beside an upload")
def _(context, count):
    size = 100_000

    async def slow(fixture, got):
        stream = await fixture.connect()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        reader = pipelines.Reader(stream)
        await stream.send_all(_requests(f"/safe/a/0/{size} " * 4))
        await trio.sleep(0.6)
        got += await reader.all()

    async def step(fixture):
        got = [[] for _ in range(count)]
        upload = await fixture.connect()
        body = b"x" * 1000
        data = pipelines.upload("/once/upload/0/2", body)
        await upload.send_all(data[:-500])
        async with trio.open_nursery() as nursery:
            for one in got:
                nursery.start_soon(slow, fixture, one)
            await trio.sleep(0.2)
            fixture.stop.set()
            await trio.sleep(1.0)
            await upload.send_all(data[-500:])
            answer = await pipelines.Reader(upload).next()
        return got, answer

    _run(context, step)


@then("the upload is answered")
def _(context):
    _, answer = context.result
    assert answer is not None
    assert answer.status == 200, answer


@then("each slow reader got whole answers")
def _(context):
    got, _ = context.result
    for answers in got:
        assert answers, "cut before the first answer"
        assert all(len(one.body) == 100_000 for one in answers)
        assert answers[-1].closes, answers[-1].status


def _random_request(rng, name):
    delay_ms = rng.choice((0, 0, 1, 3))
    size = rng.choice((2, 50, 5000, 90_000))
    path = f"/{name}/{delay_ms}/{size}"
    if rng.random() < 0.7:
        return pipelines.head(f"/safe{path}")
    body = bytes(rng.randrange(256) for _ in range(rng.choice((0, 1, 700))))
    return pipelines.upload(f"/once{path}", body, rng.random() < 0.5)


def _pieces(rng, data):
    cuts = sorted(rng.randrange(len(data)) for _ in range(rng.randrange(6)))
    return [
        data[begin:end]
        for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True)
    ]


async def _in_pieces(fixture, rng, requests):
    stream = await fixture.connect()
    reader = pipelines.Reader(stream)
    found = []
    async with trio.open_nursery() as nursery:

        async def push():
            for piece in _pieces(rng, b"".join(requests)):
                await stream.send_all(piece)
                await trio.sleep(rng.choice((0, 0, 0.002)))

        nursery.start_soon(push)
        found += [await reader.next() for _ in requests]
    await stream.aclose()
    return found


async def _one_by_one(fixture, requests):
    stream = await fixture.connect()
    reader = pipelines.Reader(stream)
    found = []
    for req in requests:
        await stream.send_all(req)
        found.append(await reader.next())
    await stream.aclose()
    return found


@when("{count:d} random pipelines are sent in random pieces")
def _(context, count):
    async def step(fixture):
        pairs = []
        for seed in range(count):
            rng = random.Random(seed)
            names = [
                f"s{seed}x{index}" for index in range(rng.randrange(1, 14))
            ]
            requests = [_random_request(rng, name) for name in names]
            got = await _in_pieces(fixture, rng, requests)
            ran = sorted(fixture.started)
            fixture.started.clear()
            wanted = await _one_by_one(fixture, requests)
            pairs.append((got, wanted, ran, sorted(names)))
            fixture.started.clear()
        return pairs

    _run(
        context, step, serving.Limits(max_pipelined=4, max_buffered_bytes=3000)
    )


@then("each gives the answers of its requests sent one by one")
def _(context):
    for seed, (got, wanted, _, _) in enumerate(context.result):
        assert got == wanted, (seed, got, wanted)


@then("each request of a pipeline ran once")
def _(context):
    for seed, (_, _, ran, names) in enumerate(context.result):
        assert ran == names, (seed, ran, names)
