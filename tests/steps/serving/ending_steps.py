"""Steps of serving/ending.feature."""

import logging

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
        return await pipelines.AnswerReader(stream).all()

    _run(context, step, stop_s=seconds)


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
