"""Steps of supervisor.feature."""

import contextlib
import io
import random

from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold import supervisor
from hyssopfold.cmd import daemon
from hyssopfold.transport import rpc


@when(
    "a supervised child fails {times:d} times, a minute apart, and then returns"
)
def _(context, times):
    context.starts = 0

    async def child():
        context.starts += 1
        if context.starts <= times:
            await trio.sleep(60)
            raise ValueError

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(supervisor.supervise, "x", child, random.Random(1), clock=clock)
    context.expected = times + 1


@then("the supervised child was restarted each time")
def _(context):
    assert context.starts == context.expected, context.starts


@when("a task of a supervised child detects a violated invariant")
def _(context):
    context.starts = 0

    async def child():
        context.starts += 1
        async with trio.open_nursery():
            raise errors.InvariantError("one value for one revision")

    clock = trio.testing.MockClock(autojump_threshold=0)
    context.ended = ""
    try:
        trio.run(
            supervisor.supervise, "x", child, random.Random(1), clock=clock
        )
    except (errors.HyssopError, BaseExceptionGroup) as exc:
        context.ended = repr(exc)


@then("the supervised child was not restarted")
def _(context):
    assert context.starts == 1, context.starts
    assert "one value for one revision" in context.ended, context.ended


def _run(context, main):
    with contextlib.redirect_stderr(io.StringIO()) as printed:
        try:
            trio.run(main)
        except (errors.HyssopError, BaseExceptionGroup) as exc:
            context.status = daemon.report(exc)
    context.lines = printed.getvalue().splitlines()


@when("a child of a daemon keeps failing with a text that would forge a line")
def _(context):
    async def child():
        raise ValueError("fire\nchild-failed: forged")

    async def main():
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            rng = random.Random(1)
            nursery.start_soon(supervisor.supervise, "gossip", child, rng, 0)
            await trio.sleep_forever()

    _run(context, main)


@then("the daemon ended with status 1 and one last line that names the cause")
def _(context):
    assert context.status == 1
    assert len(context.lines) == 1, context.lines
    assert context.lines[0].startswith("child-failed: task gossip failed 1")
    assert "fix the cause" in context.lines[0]


@when("a daemon ends with two errors at once")
def _(context):
    async def busy():
        raise errors.PortBusyError("127.0.0.1:1")

    async def conflict():
        raise errors.ConflictError(7, "change-1")

    async def main():
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            nursery.start_soon(busy)
            nursery.start_soon(conflict)

    _run(context, main)


@then("the daemon printed a line with a remedy for each and the higher status")
def _(context):
    kinds = sorted(line.partition(":")[0] for line in context.lines)
    assert kinds == ["conflict", "port-busy"], context.lines
    assert all("; " in line for line in context.lines)
    assert context.status == 3
