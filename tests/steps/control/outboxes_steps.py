"""Steps of control/outboxes.feature."""

from behave import given
from behave import then
from behave import when
import trio
import trio.testing

from hyssopfold.control import outboxes
from hyssopfold.core.consensus import messages

_TO = messages.Endpoint("control-2", "127.0.0.1:2")


class _Client:
    """Counts the sent messages."""

    def __init__(self):
        self.calls = 0

    async def call(self, method, req, timeout_s):
        await trio.lowlevel.checkpoint()
        self.calls += 1


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
