"""Steps of entry/adoption.feature."""

import itertools
import logging
from typing import NamedTuple

from behave import given
from behave import then
from behave import when
from hyssop_platform import entry_api
import trio

from hyssopfold import state
from hyssopfold.entry import adapters
from hyssopfold.entry import adoption
from hyssopfold.transport import rpc
from hyssopfold.transport import shares_wire
from tests.support import running_entries

_ADAPTERS = {
    "hyssopfold's": adapters.OUR_ADAPTERS,
    "the platform's": entry_api.ADAPTERS,
}
_STARTING = "entry-2"
_RUNNING = ("entry-0", "entry-1")
_PARTS = (
    state.Part(state.Layout(closed_regions=("arusha",)), 0.25),
    state.Part(state.Layout(), 0.75),
)


class _Events(logging.Handler):
    def __init__(self):
        super().__init__()
        self.fields = []

    def emit(self, record):
        self.fields.append(str(record.msg))


@given(
    "two running entries in a shift and a starting one, with {whose} adapters"
)
def _(context, whose):
    context.adapters = _ADAPTERS[whose]
    # Changes of the running entries, by name, before they start.
    context.changes = {}


async def _fail(req):
    raise ValueError("a fault of the test")


async def _sleep(req):
    await trio.sleep_forever()


class SharesAnswer(NamedTuple):
    """An answer of the same name in another form."""

    pools: str


_OTHER = rpc.Method("Shares", shares_wire.SharesRequest, SharesAnswer)


async def _tell_other(req):
    return SharesAnswer("404 not found")


_HANDLERS = {
    "doesn't know the call": {},
    "fails": {shares_wire.SHARES: _fail},
    "gives an answer of another form": {_OTHER: _tell_other},
    "doesn't answer within the time allowed": {shares_wire.SHARES: _sleep},
}


@given("the first entry that is asked {fault}")
def _(context, fault):
    def change(entry):
        if fault == "has no address for calls":
            entry.gossip_service.update_self(rpc_address="")
        else:
            entry.adoption.handlers = lambda: _HANDLERS[fault]

    def move(entry):
        # Entries of the region are asked first.
        entry.gossip_service.update_self(region="arusha")

    context.changes = {"entry-0": change, "entry-1": move}


@given("the other one becomes known later")
def _(context):
    def hide(entry):
        find = entry.adoption._running_entries
        counts = itertools.chain([1, 1], itertools.repeat(len(_RUNNING)))
        entry.adoption._running_entries = lambda: find()[: next(counts)]

    context.changes[_STARTING] = hide


@given("no running entry knows the call")
def _(context):
    def change(entry):
        entry.adoption.handlers = dict

    context.changes = dict.fromkeys(_RUNNING, change)


@when("the starting entry is ready")
def _(context):
    handler = _Events()
    adoption.logger.addHandler(handler)
    context.add_cleanup(adoption.logger.removeHandler, handler)
    context.events = handler.fields
    trio.run(_start, context)


async def _start(context):
    running = running_entries.RunningEntries(3, 0, context.adapters)
    running.starting = {_STARTING}
    running.parts = _PARTS
    for name, change in context.changes.items():
        change(running.entries[name])
    async with running.running():
        (report,) = running.entries[_STARTING].steering.shares.reports()
    context.parts = report.parts


@then("it has the shares of the running ones")
def _(context):
    assert set(context.parts) == set(_PARTS), context.parts
    assert context.events[-1].startswith("event=shares-adopted"), context.events


@then('it has logged that the first told none: "{reason}"')
def _(context, reason):
    (line,) = [line for line in context.events if "shares-not-told" in line]
    assert "by=entry-0" in line, line
    assert reason in line, line


@then("it goes by the plan")
def _(context):
    (part,) = context.parts
    assert part.share == 1.0, part
    assert not part.layout.closed_regions, part
    assert context.events[-1].startswith("event=shares-by-plan"), context.events
