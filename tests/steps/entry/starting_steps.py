"""Steps of starting.feature."""

import random
import types

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import tables
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory
from hyssopfold.entry import configuration
from hyssopfold.entry import local_placement
from tests.support import datapath


class _LateConfiguration(datapath.FakeConfiguration):
    """Tables that come some time after the start, or never."""

    def __init__(self, after_s):
        super().__init__()
        self._later = self.snapshot
        self._after_s = after_s
        self.snapshot = configuration.Snapshot(0, self._later.held)

    async def first(self, timeout_s):
        await trio.sleep(min(timeout_s, self._after_s))
        if self._after_s <= timeout_s:
            self.snapshot = self._later
        return self.snapshot


@given("an entry that learns its tables after {seconds:g} s")
def _(context, seconds):
    context.after_s = seconds


@given("an entry that learns no tables")
def _(context):
    context.after_s = 1e9


@when("a request comes to it at once")
def _(context):
    async def main():
        path = datapath.DataPath(1)
        path.proxy._config = _LateConfiguration(context.after_s)
        async with path.running():
            began = trio.current_time()
            context.answer = await path.ask("GET", "/x")
            context.took_s = trio.current_time() - began

    trio.run(main)


@then("it is answered {status:d} after {least:g} to {most:g} s")
def _(context, status, least, most):
    assert context.answer.status == status, context.answer
    assert least <= context.took_s <= most, context.took_s


@then("it is refused as not run after {least:g} to {most:g} s")
def _(context, least, most):
    assert context.answer.headers["hyssop-outcome"] == "not-run"
    assert least <= context.took_s <= most, context.took_s


@given("an entry that chooses servers by itself and knows none")
def _(context):
    context.known = directory.Directory(lease_s=1e9)
    (_, word), *_ = datapath.make_standins(1)
    context.word = word


def _request():
    region = messages.Region("dar", False)
    return messages.Request("r1", "shop", (region,), 0, 1e9, ())


def _placement(context):
    spread = types.SimpleNamespace(directory=context.known)
    return local_placement.LocalPlacement(
        local.Chooser("entry-1", "dar"), spread, random.Random(1)
    )


def _acquire(context, start_s, server_s):
    """Ask `start_s` after the start; the server comes `server_s` later."""

    async def main():
        place = _placement(context)
        await trio.sleep(start_s)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def announce():
                await trio.sleep(server_s)
                known = context.known.servers
                known.update(context.word.server_id, context.word, 0.0)

            nursery.start_soon(announce)
            pool = tables.USUAL_POOL._replace(name="shop")
            context.granted = await place.acquire(_request(), pool)
            context.took_s = trio.current_time() - began
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@when("its first server comes {seconds:g} s after a request")
def _(context, seconds):
    _acquire(context, 0.0, seconds)


@when("a request comes to it {seconds:g} s after its start")
def _(context, seconds):
    _acquire(context, seconds, 1e6)


@then("the request gets that server after {least:g} to {most:g} s")
def _(context, least, most):
    assert context.granted.server is context.word, context.granted
    assert least <= context.took_s <= most, context.took_s


@then("it gets no server, at once")
def _(context):
    assert isinstance(context.granted, messages.Refused), context.granted
    assert context.took_s == 0.0, context.took_s
