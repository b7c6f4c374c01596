"""Steps of control/announcement_acks.feature."""

import random

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold.control import announcement_acks
from hyssopfold.core.membership import messages
from hyssopfold.transport import auth
from hyssopfold.transport import gossip
from hyssopfold.transport import publisher

SERVER = messages.Server(
    "s1", "ledger", "10.0.0.9:80", "dar", "dar-1", 3, 330, "ready", 1, 5, 0.0,
    "entry-9",
)  # fmt: skip
_MYSELF = messages.Instance(
    "control-1", "control", "127.0.0.1:1", "127.0.0.1:2", "dar", "dar-1",
    "ready", 1, 0, 0, 0.0,
)  # fmt: skip
_LEASE_S = 4.0


class _Member:
    """A member of the register that reaches a majority or does not."""

    def __init__(self, reaches_majority):
        self._reaches_majority = reaches_majority

    async def confirm(self):
        return self._reaches_majority


def _at(context, call, *args):
    """Run an asynchronous call at the present virtual time."""

    async def run():
        return await call(*args)

    context.clock = trio.testing.MockClock(autojump_threshold=0.0)
    context.clock.jump(context.now)
    return trio.run(run, clock=context.clock)


@given(
    "a control instance that started {age_s:g} s ago and reaches {what}"
    " majority"
)
def _(context, age_s, what):
    context.gossip = gossip.Gossip(
        _MYSELF, (), _LEASE_S, auth.Keyring(), random.Random(1)
    )
    member = _Member(what == "a")
    context.acks = announcement_acks.AnnouncementAcks(
        member, context.gossip, publisher.Confirmations(member.confirm)
    )
    context.now = 0.0

    async def start():
        return context.gossip.ready

    _at(context, start)
    context.now = age_s


@when("a server that it has no record of asks to be removed")
@when("the server asks again to be removed")
def _(context):
    context.is_acknowledged = _at(
        context, context.acks.dismiss, SERVER.server_id
    )


@then("that is acknowledged")
def _(context):
    assert context.is_acknowledged


@then("that is not acknowledged")
def _(context):
    assert not context.is_acknowledged


@when("the server's record arrives from another instance")
def _(context):
    other = _MYSELF._replace(
        name="entry-9", role="entry", gossip_address="127.0.0.1:3"
    )
    datagram = messages.Datagram(other.name, 0, (other,), (SERVER,))

    async def receive():
        context.gossip._receive_gossip(datagram)

    _at(context, receive)


@when("an announcement that the server sent before arrives there")
def _(context):
    _announce(context, SERVER._replace(monitor=""))


@when("the server starts again under its id")
def _(context):
    _announce(context, SERVER._replace(incarnation=2, sequence=1, monitor=""))


def _announce(context, server):
    async def announce():
        context.gossip.announce(server)

    _at(context, announce)


@then("the server is {state} there")
def _(context, state):
    record = context.gossip.directory.servers.get(SERVER.server_id)
    assert record is not None and record.state == state, record
