"""Steps of control/outboxes.feature."""

from behave import given
from behave import then
from behave import when
import msgspec
import trio
import trio.testing

from hyssopfold.control import outboxes
from hyssopfold.core.consensus import messages
from hyssopfold.transport import consensus_wire
from tests.support import fake_links

_TO = messages.Endpoint("control-2", "127.0.0.1:2")


class _Client:
    """Records the sent envelopes and acknowledges them."""

    def __init__(self, accepts_compressed=False):
        self.envelopes = []
        self.ack = consensus_wire.Ack(accepts_compressed)

    @property
    def calls(self):
        return len(self.envelopes)

    async def call(self, method, req, timeout_s):
        await trio.lowlevel.checkpoint()
        self.envelopes.append(req)
        return self.ack


@given("outboxes whose senders have stopped")
def _(context):
    context.client = _Client()
    context.outboxes = outboxes.Outboxes("i1", lambda address: context.client)

    async def main():
        async with context.outboxes.running():
            await trio.lowlevel.checkpoint()

    trio.run(main)


def _send(context):
    context.outboxes.send(_TO, messages.Prepare(messages.Ballot(1, "i1"), "c"))


@when("a message is sent to an instance without an outbox")
def _(context):
    _send(context)


@then("it is dropped, and the next one is sent when the senders run again")
def _(context):
    async def main():
        async with context.outboxes.running():
            _send(context)
            await trio.testing.wait_all_tasks_blocked()

    trio.run(main)
    assert context.client.calls == 1, context.client.calls


@given("outboxes to a peer that accepts compressed messages")
def _(context):
    context.client = _Client(accepts_compressed=True)


@given("outboxes to a peer with an older program")
def _(context):
    context.client = _Client()


@when("a register with {routes:d} routes is sent three times")
def _(context, routes):
    register = messages.Register(value=fake_links.large_value(1, routes))
    context.message = messages.Accept(messages.Ballot(1, "i1"), register)
    context.outboxes = outboxes.Outboxes("i1", lambda address: context.client)

    async def main():
        async with context.outboxes.running():
            for _ in range(3):
                context.outboxes.send(_TO, context.message)
                await trio.testing.wait_all_tasks_blocked()

    trio.run(main)


def _sizes(context):
    return [len(envelope.body) for envelope in context.client.envelopes]


@then("the last two take less than a fifth of the bytes of the first")
def _(context):
    first, *others = _sizes(context)
    assert len(others) == 2, others
    assert max(others) < first / 5, (first, others)


@then("all of them take the same bytes")
def _(context):
    sizes = _sizes(context)
    assert len(sizes) == 3 and len(set(sizes)) == 1, sizes


@then("each of them is received as it was sent")
def _(context):
    for envelope in context.client.envelopes:
        assert consensus_wire.unwrap(envelope) == context.message


@given("outboxes to a peer that holds a large value")
def _(context):
    context.client = _Client()
    context.client.ack = consensus_wire.ACK


@when("the peer is replaced by an older program")
def _(context):
    context.older_ack = consensus_wire.Ack(accepts_compressed=True)


@when("a register with that value is sent to it")
def _(context):
    value = fake_links.large_value(1, 1400)
    register = messages.Register(value=value)
    context.message = messages.Accept(messages.Ballot(1, "i1"), register)
    client = context.client
    context.outboxes = outboxes.Outboxes("i1", lambda address: client)

    async def main():
        async with context.outboxes.running():
            context.outboxes.send(_TO, context.message, b"digest")
            await trio.testing.wait_all_tasks_blocked()
            client.envelopes.clear()
            client.ack = context.older_ack
            context.outboxes.send(_TO, context.message, b"digest")
            await trio.testing.wait_all_tasks_blocked()

    trio.run(main)


def _read_by_older_program(envelope):
    """Return the message, or None if a program without digests can't read."""
    try:
        return consensus_wire.unwrap(envelope._replace(value_digest=b""))
    except msgspec.DecodeError:
        return None


@then("the older program does not read the message without the value")
def _(context):
    first = context.client.envelopes[0]
    assert first.value_digest == b"digest", first.kind
    assert _read_by_older_program(first) is None


@then("it then receives the register as it was sent")
def _(context):
    others = context.client.envelopes[1:]
    read = [_read_by_older_program(envelope) for envelope in others]
    assert read == [context.message], others
