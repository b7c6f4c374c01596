"""Steps of entry/leaving.feature."""

import logging

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.core.draining import stop
from hyssopfold.entry import leaving
from hyssopfold.serving import listening
from tests.support import datapath

TTL_S = 0.2
SPREAD_S = 0.1
MAX_S = 1.0
_GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"
_PUT = b"PUT /upload/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"


class _FakeSpread:
    def __init__(self):
        self.states = []

    def update_self(self, state):
        self.states.append(state)


class _FakePlacement:
    """Stand for the slots that the entry grants to others."""

    def leave(self):
        """Hand over what this entry grants."""


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        self.events.append(record.msg)


@given("an entry that can be stopped")
def _(context):
    context.steps = stop.Stop(TTL_S, SPREAD_S, MAX_S)
    context.spread = _FakeSpread()
    context.placement = _FakePlacement()
    context.lines = _Lines()
    listening.logger.addHandler(context.lines)
    context.add_cleanup(listening.logger.removeHandler, context.lines)


def _run(context, step):
    async def main():
        path = datapath.DataPath(1)
        leave = leaving.Leave(
            context.steps,
            path.listener,
            context.spread,
            context.placement.leave,
            path.claims.hand_over,
        )
        async with path.running(), trio.open_nursery() as nursery:
            context.answer = await step(path, leave, nursery)
            while context.steps.phase is not stop.Phase.DONE:
                await trio.sleep(0.01)
        return path

    context.path = trio.run(main)


@when("it is stopped in the midst of an upload")
def _(context):
    async def step(path, leave, nursery):
        stream = await path.connect()
        await stream.send_all(_PUT + b"abc")
        nursery.start_soon(leave.run)
        # Longer than the look-ups live: only the upload keeps it there.
        await trio.sleep(TTL_S + SPREAD_S + 0.2)
        await stream.send_all(b"defghi")
        return await datapath.read_all(stream)

    _run(context, step)


@then("the upload is answered whole")
def _(context):
    data, end = context.answer
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert b'"received_bytes":9' in data, data
    assert b"connection: close" in data, data
    assert end == "end", end


@when("it is stopped and a caller comes by an old look-up")
def _(context):
    async def step(path, leave, nursery):
        nursery.start_soon(leave.run)
        await trio.sleep(TTL_S / 2)
        assert context.spread.states == ["leaving"], context.spread.states
        return await path.exchange(_GET)

    _run(context, step)


@then("the late caller is answered and told that the connection closes")
def _(context):
    data, _ = context.answer
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert b"connection: close" in data, data


@when("it is stopped while a caller keeps a connection")
def _(context):
    async def step(path, leave, nursery):
        stream = await path.connect()
        await stream.send_all(_GET)
        first = b""
        while not first.endswith(b"}"):
            first += await stream.receive_some(1000)
        assert b"connection: close" not in first, first
        nursery.start_soon(leave.run)
        await trio.sleep(TTL_S / 2)
        await stream.send_all(_GET)
        return await datapath.read_all(stream)

    _run(context, step)


@then("the kept connection's next request is answered, then it is closed")
def _(context):
    data, end = context.answer
    assert data.startswith(b"HTTP/1.1 200 "), data
    assert b"connection: close" in data, data
    assert end == "end", end


@when("it is stopped with nobody there")
def _(context):
    async def step(path, leave, nursery):
        nursery.start_soon(leave.run)

    _run(context, step)


@when("it is stopped in the midst of an upload that never ends")
def _(context):
    async def step(path, leave, nursery):
        stream = await path.connect()
        await stream.send_all(_PUT + b"abc")
        await trio.sleep(0.05)
        nursery.start_soon(leave.run)
        return await datapath.read_all(stream)

    _run(context, step)


@when("it is stopped and cut in the midst of an upload")
def _(context):
    async def step(path, leave, nursery):
        stream = await path.connect()
        await stream.send_all(_PUT + b"abc")
        await trio.sleep(0.05)
        nursery.start_soon(leave.run)
        await trio.sleep(0.05)
        path.listener.cut("second SIGTERM")
        return await datapath.read_all(stream)

    _run(context, step)


def _cuts(context):
    return [one for one in context.lines.events if one.event == "requests-cut"]


@then("the stopped entry cut nothing")
def _(context):
    assert context.steps.cut_requests == 0, context.steps.cut_requests
    assert not _cuts(context), context.lines.events
    assert not context.path.placement.acquired


@then("the stopped entry cut {count:d} request and said so")
def _(context, count):
    assert context.steps.cut_requests == count, context.steps.cut_requests
    assert [one["requests"] for one in _cuts(context)] == [count]


@then("the stopped entry said what it cut")
def _(context):
    (line,) = _cuts(context)
    assert line["requests"] == 1, line
    assert line["reason"] == "second SIGTERM", line
