"""Steps of serving/ending.feature."""

import logging
import socket
import time

from behave import then
from behave import when
import trio

from tests.support import pipelines


class _LogLines(logging.Handler):
    """Collects the lines of one logger."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.lines = []

    def emit(self, record):
        self.lines.append(str(record.msg))


def _run(context, step, **options):
    lines = _LogLines()
    logger = logging.getLogger("hyssopfold.serving.connection")
    logger.addHandler(lines)
    logger.setLevel(logging.INFO)

    async def main():
        fixture = pipelines.ListenerFixture(**options)
        async with fixture.running_listener():
            return await step(fixture)

    try:
        context.result = trio.run(main)
    finally:
        logger.removeHandler(lines)
    context.lines = lines.lines


async def _start(fixture, text):
    """Send a pipeline and wait until all of its requests run."""
    stream = await fixture.connect()
    await stream.send_all(pipelines.encode(text))
    while len(fixture.started) < len(text.split()):
        await trio.sleep(0.01)
    return stream


@when("a stop of {seconds:g} s ends during the pipeline: {text}")
def _(context, seconds, text):
    async def step(fixture):
        stream = await _start(fixture, text)
        fixture.stop.set()
        reader = pipelines.AnswerReader(stream)
        answers = await reader.all()
        context.end = reader.end
        return answers

    _run(context, step, stop_s=seconds)


@when(
    "a process is busy from {begin:g} s to {end:g} s of a stop of {seconds:g} s"
    " during the pipeline: {text}"
)
def _(context, begin, end, seconds, text):
    async def step(fixture):
        stream = await _start(fixture, text)
        fixture.stop.set()
        await trio.sleep(begin)
        # No other task runs meanwhile.
        time.sleep(end - begin)
        reader = pipelines.AnswerReader(stream)
        answers = await reader.all()
        context.end = reader.end
        return answers

    _run(context, step, stop_s=seconds)


@when("a stop of {seconds:g} s ends before a caller reads more of: {text}")
def _(context, seconds, text):
    async def step(fixture):
        stream = await _connect(fixture, _SMALL_BUFFER_BYTES)
        await stream.send_all(pipelines.encode(text))
        await trio.sleep(0.2)
        fixture.stop.set()
        await fixture.stopped.wait()
        return await pipelines.AnswerReader(stream).all()

    _run(context, step, stop_s=seconds)


@then("the statuses of the ended pipeline are {statuses}")
def _(context, statuses):
    actual = [str(answer.status) for answer in context.result]
    assert actual == statuses.split(), context.result


@then("the connection ended without a reset")
def _(context):
    assert context.end == "end", context.end


@when(
    "an answer of {size:d} bytes arrives just as unfinished requests are"
    " refused"
)
def _(context, size):
    async def step(fixture):
        answer_arrived = trio.Event()

        async def app(scope, receive, send):
            fixture.started.append(scope["path"])
            body = b"behind"
            if scope["path"].startswith("/safe/first/"):
                await answer_arrived.wait()
                body = b"." * size
            length = str(len(body)).encode()
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": [(b"content-length", length)],
                }
            )
            await send({"type": "http.response.body", "body": body})

        fixture.listener.app = app
        stream = await _connect(fixture, _SMALL_BUFFER_BYTES)
        await stream.send_all(
            pipelines.encode("/safe/first/0/2 /safe/behind/0/2")
        )
        while len(fixture.started) < 2:
            await trio.sleep(0.01)
        fixture.listener.drain()
        # The task that waits for the answer runs after both calls.
        answer_arrived.set()
        fixture.listener.refuse_unfinished()
        await trio.sleep(0.1)
        reader = pipelines.AnswerReader(stream)
        answers = await reader.all()
        context.end = reader.end
        return answers

    _run(context, step)


@then('the caller has two whole answers, of which the second is "{body}"')
def _(context, body):
    answers = [(answer.status, answer.body) for answer in context.result]
    assert len(answers) == 2, answers
    assert answers[1] == (200, body.encode()), answers


@when("a caller leaves during the pipeline: {text}")
def _(context, text):
    async def step(fixture):
        stream = await _start(fixture, text)
        await stream.aclose()
        while len(fixture.cancelled) < len(text.split()):
            await trio.sleep(0.01)

    _run(context, step)


@then("the log has {count:d} connection that ended by {reason}")
@then("the log has {count:d} connections that ended by {reason}")
def _(context, count, reason):
    ends = [line for line in context.lines if "connection-ended" in line]
    assert len(ends) == count, context.lines
    assert all(f"reason={reason} " in line for line in ends), ends


@then("its line has {fields}")
def _(context, fields):
    (line,) = [line for line in context.lines if "connection-ended" in line]
    missing = [field for field in fields.split() if field not in line.split()]
    assert not missing, line


_SLOW_PERIOD_S = 0.05
# The kernel doubles it; smaller than the answers of the scenarios.
_SMALL_BUFFER_BYTES = 4096


async def _connect(fixture, receive_buffer_bytes):
    """Return a connection with a small receive buffer."""
    host, port = fixture.address.split(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    await sock.connect((host, int(port)))
    return trio.SocketStream(sock)


@when("a caller that reads late sends a request {seconds:g} s after: {text}")
def _(context, seconds, text):
    _read_late(context, 1, seconds, text)


@when(
    "a caller that reads late sends {count:d} requests {seconds:g} s after:"
    " {text}"
)
def _(context, count, seconds, text):
    _read_late(context, count, seconds, text)


def _read_late(context, count, seconds, text):
    async def step(fixture):
        stream = await _connect(fixture, _SMALL_BUFFER_BYTES)
        await stream.send_all(pipelines.encode(text))
        await trio.sleep(0.05)
        fixture.listener.close_after_answers()
        await trio.sleep(seconds)
        context.write_errors = []
        for number in range(count):
            try:
                await stream.send_all(pipelines.encode(f"/safe/n{number}/0/2"))
            except trio.BrokenResourceError as exc:
                context.write_errors.append(exc)
            await trio.sleep(0.02)
        return await pipelines.AnswerReader(stream).all()

    _run(context, step)


@when("a caller reads {rate:d} bytes a second after: {text}")
def _(context, rate, text):
    async def step(fixture):
        stream = await _connect(fixture, _SMALL_BUFFER_BYTES)
        await stream.send_all(pipelines.encode(text))
        await trio.sleep(0.05)
        fixture.listener.close_after_answers()
        return await pipelines.AnswerReader(_SlowStream(stream, rate)).all()

    _run(context, step)


class _SlowStream:
    """Receives at most `rate` bytes a second."""

    def __init__(self, stream, rate):
        self._stream = stream
        self._rate = rate

    async def receive_some(self, _):
        await trio.sleep(_SLOW_PERIOD_S)
        return await self._stream.receive_some(int(self._rate * _SLOW_PERIOD_S))


@then("the caller has the complete answers {names} of {size:d} bytes")
def _(context, names, size):
    actual = [
        (answer.body.partition(b":")[0].decode(), len(answer.body))
        for answer in context.result
    ]
    assert actual == [(name, size) for name in names.split()], actual


@then("none of its writes failed")
def _(context):
    assert not context.write_errors, context.write_errors
