"""Steps of serving/pipelines.feature."""

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
        fixture = pipelines.ListenerFixture(limits)
        context.pipeline = fixture
        async with fixture.running_listener():
            began = trio.current_time()
            result = await step(fixture)
            context.took_s = trio.current_time() - began
            return result

    context.result = trio.run(main)


async def _exchange(fixture, data, count):
    """Send requests; return the answers and how the connection ended, or ""."""
    stream = await fixture.connect()
    reader = pipelines.AnswerReader(stream)
    await stream.send_all(data)
    answers = []
    while len(answers) < count:
        answer = await reader.next()
        if answer is None:
            break
        answers.append(answer)
    # After an answer that announces the close, the connection must end.
    if answers and answers[-1].closes:
        assert await reader.next() is None
    return answers, reader.end


@when("a pipeline is sent: {text}")
def _(context, text):
    count = len(text.split())
    _run(
        context,
        lambda fixture: _exchange(fixture, pipelines.encode(text), count),
    )


@then("the answers are {names} within {seconds:g} s")
def _(context, names, seconds):
    answers, _ = context.result
    actual = [answer.body.partition(b":")[0].decode() for answer in answers]
    assert actual == names.split(), answers
    assert context.took_s < seconds, context.took_s


@then("{name} ran concurrently with {others}")
def _(context, name, others):
    expected = set() if others == "nothing" else set(others.split())
    name = "upload" if name == "the upload" else name
    assert context.pipeline.concurrent_with[name] == expected, (
        context.pipeline.concurrent_with
    )


@when("a pipeline of {count:d} requests is sent")
def _(context, count):
    paths = " ".join(f"/safe/n{number}/20/2" for number in range(count))
    _run(
        context,
        lambda fixture: _exchange(fixture, pipelines.encode(paths), count),
    )


@then("all {count:d} are answered in order")
def _(context, count):
    answers, _ = context.result
    actual = [answer.body.partition(b":")[0].decode() for answer in answers]
    assert actual == [f"n{number}" for number in range(count)], actual


@then("at most {limit:d} of them ran at once")
def _(context, limit):
    assert 1 < context.pipeline.max_running <= limit, (
        context.pipeline.max_running
    )


@when("{size:d} MB of requests are sent after a slow one")
def _(context, size):
    async def step(fixture):
        stream = await fixture.connect()
        await stream.send_all(pipelines.encode(f"/safe/slow/{_LONG_MS}/2"))
        batch = pipelines.encode("/safe/b/0/2") * 1000
        sent = 0
        while sent < size * _MB:
            with trio.move_on_after(0.25) as timeout:
                await stream.send_all(batch)
            if timeout.cancelled_caught:
                break
            sent += len(batch)
        other, _ = await _exchange(
            fixture, pipelines.encode("/safe/other/0/2"), 1
        )
        return sent, other

    _run(context, step)


@then("the listener reads less than {size:d} MB of them")
def _(context, size):
    sent, _ = context.result
    assert sent < size * _MB, sent


@then("another caller is answered during this time")
def _(context):
    _, answers = context.result
    assert [answer.status for answer in answers] == [200], answers


@then("the statuses are {statuses}")
def _(context, statuses):
    answers, _ = context.result
    actual = [str(answer.status) for answer in answers]
    assert actual == statuses.split(), answers


@then("the connection stays open")
def _(context):
    answers, end = context.result
    assert not any(answer.closes for answer in answers), answers
    assert not end, end


@when("a pipeline whose third request is malformed is sent")
def _(context):
    data = pipelines.encode("/safe/a/50/2 /safe/b/0/2")
    data += b"no request at all\r\n\r\n" + pipelines.encode("/safe/d/0/2")
    _run(context, lambda fixture: _exchange(fixture, data, 4))


@then("only the last answer announces the close")
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


@when("the listener is stopped during the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await fixture.connect()
        reader = pipelines.AnswerReader(stream)
        await stream.send_all(pipelines.encode(text))
        while len(fixture.started) < 3:
            await trio.sleep(0.01)
        fixture.stop.set()
        await trio.sleep(0.05)
        # Sent before the caller has read the announcement of the close.
        await stream.send_all(pipelines.encode("/safe/e/0/2"))
        return await reader.all(), reader.end

    _run(context, step)


@when("a caller disconnects after sending the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await fixture.connect()
        await stream.send_all(pipelines.encode(text))
        while len(fixture.started) < 2:
            await trio.sleep(0.01)
        await stream.aclose()
        while fixture.listener.connections:
            await trio.sleep(0.01)

    _run(context, step)


@then("{names} were cancelled")
def _(context, names):
    assert sorted(context.pipeline.cancelled) == names.split()


@when("a pipeline with an upload of {size:d} bytes after 2 pages is sent")
def _(context, size):
    data = pipelines.encode("/safe/a/100/2 /safe/b/0/2")
    data += pipelines.request_with_body(
        "/once/upload/0/2", b"x" * size, chunked=True
    )
    context.size = size
    _run(context, lambda fixture: _exchange(fixture, data, 3))


@then("the upload's answer is the third and complete")
def _(context):
    answers, _ = context.result
    assert answers[2].body == b"upload:" + b"x" * context.size, answers[2][:90]


@when("a connection fails with an unexpected error")
def _(context):
    async def step(fixture):
        failing = await fixture.connect()
        while not fixture.listener.connections:
            await trio.sleep(0.01)
        (conn,) = fixture.listener._open

        async def fail(data):
            raise RuntimeError("unexpected error")

        conn._stream.send_all = fail
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _exchange, fixture, pipelines.encode("/safe/b/300/2"), 1
            )
            await failing.send_all(pipelines.encode("/safe/a/0/2"))
            await trio.sleep(0.1)
            return await _exchange(
                fixture, pipelines.encode("/safe/c/0/2"), 1
            ), None

    _run(context, lambda fixture: _as_second_answers(step, fixture))


async def _as_second_answers(step, fixture):
    (answers, _), _ = await step(fixture)
    return None, answers


@when(
    "the listener is stopped while {count:d} slow readers pipeline and one uploads"
)
def _(context, count):
    size = 100_000

    async def read_slowly(fixture, answers):
        stream = await fixture.connect()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        reader = pipelines.AnswerReader(stream)
        await stream.send_all(pipelines.encode(f"/safe/a/0/{size} " * 4))
        await trio.sleep(0.6)
        answers += await reader.all()

    async def step(fixture):
        answer_lists = [[] for _ in range(count)]
        upload = await fixture.connect()
        body = b"x" * 1000
        data = pipelines.request_with_body("/once/upload/0/2", body)
        await upload.send_all(data[:-500])
        async with trio.open_nursery() as nursery:
            for answers in answer_lists:
                nursery.start_soon(read_slowly, fixture, answers)
            await trio.sleep(0.2)
            fixture.stop.set()
            await trio.sleep(1.0)
            await upload.send_all(data[-500:])
            answer = await pipelines.AnswerReader(upload).next()
        return answer_lists, answer

    _run(context, step)


@then("the upload is answered")
def _(context):
    _, answer = context.result
    assert answer is not None
    assert answer.status == 200, answer


@then("each slow reader got complete answers")
def _(context):
    answer_lists, _ = context.result
    for answers in answer_lists:
        assert answers, "cut before the first answer"
        assert all(len(answer.body) == 100_000 for answer in answers)
        assert answers[-1].closes, answers[-1].status


def _make_random_request(rng, name):
    delay_ms = rng.choice((0, 0, 1, 3))
    size = rng.choice((2, 50, 5000, 90_000))
    path = f"/{name}/{delay_ms}/{size}"
    if rng.random() < 0.7:
        return pipelines.request_without_body(f"/safe{path}")
    body = bytes(rng.randrange(256) for _ in range(rng.choice((0, 1, 700))))
    return pipelines.request_with_body(f"/once{path}", body, rng.random() < 0.5)


def _split(rng, data):
    cuts = sorted(rng.randrange(len(data)) for _ in range(rng.randrange(6)))
    return [
        data[begin:end]
        for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True)
    ]


async def _send_in_pieces(fixture, rng, requests):
    stream = await fixture.connect()
    reader = pipelines.AnswerReader(stream)
    answers = []
    async with trio.open_nursery() as nursery:

        async def send():
            for piece in _split(rng, b"".join(requests)):
                await stream.send_all(piece)
                await trio.sleep(rng.choice((0, 0, 0.002)))

        nursery.start_soon(send)
        answers += [await reader.next() for _ in requests]
    await stream.aclose()
    return answers


async def _send_one_by_one(fixture, requests):
    stream = await fixture.connect()
    reader = pipelines.AnswerReader(stream)
    answers = []
    for req in requests:
        await stream.send_all(req)
        answers.append(await reader.next())
    await stream.aclose()
    return answers


@when("{count:d} random pipelines are sent in random pieces")
def _(context, count):
    async def step(fixture):
        pairs = []
        for seed in range(count):
            rng = random.Random(seed)
            names = [
                f"s{seed}x{index}" for index in range(rng.randrange(1, 14))
            ]
            requests = [_make_random_request(rng, name) for name in names]
            actual = await _send_in_pieces(fixture, rng, requests)
            started = sorted(fixture.started)
            fixture.started.clear()
            expected = await _send_one_by_one(fixture, requests)
            pairs.append((actual, expected, started, sorted(names)))
            fixture.started.clear()
        return pairs

    _run(
        context, step, serving.Limits(max_pipelined=4, max_buffered_bytes=3000)
    )


@then("each gives the answers of its requests sent one by one")
def _(context):
    for seed, (actual, expected, _, _) in enumerate(context.result):
        assert actual == expected, (seed, actual, expected)


@then("each request of a pipeline ran once")
def _(context):
    for seed, (_, _, started, names) in enumerate(context.result):
        assert started == names, (seed, started, names)


@when(
    "a stop that takes requests begins during a pipeline, and more follow:"
    " {first} then {more}"
)
def _(context, first, more):
    async def step(fixture):
        stream = await fixture.connect()
        reader = pipelines.AnswerReader(stream)
        await stream.send_all(pipelines.encode(first))
        await trio.sleep(0.1)
        fixture.listener.close_after_answers()
        await stream.send_all(pipelines.encode(more))
        return await reader.all(), reader.end

    _run(context, step)


@when("a caller ends its side after sending the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await fixture.connect()
        await stream.send_all(pipelines.encode(text))
        await stream.send_eof()
        reader = pipelines.AnswerReader(stream)
        return await reader.all(), reader.end

    _run(context, step)
