"""Steps of control/announcement_acks.feature."""

import random
import shutil
import tempfile

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold import errors
from hyssopfold.control import announcement_acks
from hyssopfold.control import leave_records
from hyssopfold.core.membership import messages
from hyssopfold.storage import folder
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


class _Disk:
    """Runs writes inline, or lets them hang or fail."""

    def __init__(self):
        self.fault = ""

    async def run(self, write, *args):
        if self.fault == "hangs":
            await trio.sleep_forever()
        if self.fault == "refuses writes":
            raise errors.StorageWriteError("leaves", "disk full")
        write(*args)


def _at(context, call, *args):
    """Run an asynchronous call at the present virtual time."""

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.records.run)
            result = await call(*args)
            nursery.cancel_scope.cancel()
        return result

    context.clock = trio.testing.MockClock(autojump_threshold=0.0)
    context.clock.jump(context.now)
    return trio.run(run, clock=context.clock)


@given(
    "a control instance that started {age_s:g} s ago and reaches {what}"
    " majority"
)
def _(context, age_s, what):
    path = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, path)
    context.data = folder.DataFolder(path)
    context.add_cleanup(context.data.close)
    context.disk = _Disk()
    context.member = _Member(what == "a")
    context.now = 0.0
    _start(context)
    context.now = age_s


def _start(context):
    context.gossip = gossip.Gossip(
        _MYSELF, (), _LEASE_S, auth.Keyring(), random.Random(1)
    )
    context.records = leave_records.LeaveRecords(
        context.data, context.gossip, context.disk.run
    )
    context.acks = announcement_acks.AnnouncementAcks(
        context.member,
        context.gossip,
        publisher.Confirmations(context.member.confirm),
        context.records,
    )

    async def start():
        return context.gossip.ready

    _at(context, start)


@given("a disk that {fault}")
def _(context, fault):
    context.disk.fault = fault


@when("the control instance starts again")
def _(context):
    _start(context)


@when("it starts again after its leave records were corrupted")
def _(context):
    path = context.data.path / leave_records.RECORD
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)
    _start(context)


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
@when("the server announces itself there")
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
