"""Steps of transport/udp.feature."""

import logging
from unittest import mock

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold import errors
from hyssopfold.transport import udp
from tests.support import loopback


@given("two datagram sockets")
def _(context):
    context.blocked_s = 0.0
    context.addresses = [loopback.free_address() for _ in range(2)]


@given("a kernel that accepts no datagram for {seconds:g} s")
def _(context, seconds):
    context.blocked_s = seconds


def _run(context, step):
    async def run():
        sockets = [udp.DatagramSocket() for _ in context.addresses]
        for sock, address in zip(sockets, context.addresses, strict=True):
            sock.bind(address)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for sock in sockets:
                    nursery.start_soon(sock.run)
                await step(*sockets)
                nursery.cancel_scope.cancel()
        for sock in sockets:
            sock.close()

    trio.run(run)


async def _receive(sock, count):
    received = []
    with trio.move_on_after(1.0):
        while len(received) < count:
            received += [data for data, _ in await sock.receive()]
    return received


@when("{count:d} datagrams are sent from one to the other")
def _(context, count):
    send = udp._send
    context.sent = [b"%d" % number for number in range(count)]
    context.log_lines = []

    async def step(sender, receiver):
        began_at = trio.current_time()

        def send_later(sock, address, data):
            if trio.current_time() < began_at + context.blocked_s:
                return False
            return send(sock, address, data)

        handler = logging.Handler()
        handler.emit = lambda record: context.log_lines.append(str(record.msg))
        logging.getLogger("hyssopfold.transport.udp").addHandler(handler)
        with mock.patch.object(udp, "_send", send_later):
            for data in context.sent:
                sender.send(context.addresses[1], data)
            context.received = await _receive(receiver, count)
        logging.getLogger("hyssopfold.transport.udp").removeHandler(handler)

    _run(context, step)


@then("they are received in order")
def _(context):
    assert context.received == context.sent, len(context.received)


@then(
    "between {low:d} and {high:d} datagrams are received in order, the rest is"
    " logged"
)
def _(context, low, high):
    numbers = [int(data) for data in context.received]
    assert low <= len(numbers) <= high, len(numbers)
    assert numbers == sorted(numbers)
    dropped = [line for line in context.log_lines if "dropped" in line]
    assert len(dropped) == len(context.sent) - 4096, len(dropped)


@when('a datagram is sent to "{address}"')
@when('a datagram is sent to ""')
def _(context, address=""):
    async def step(sender, receiver):
        sender.send(address, b"astray")
        sender.send(context.addresses[1], b"other")
        context.received = await _receive(receiver, 1)

    _run(context, step)


@then("no error is raised and other datagrams are still sent")
def _(context):
    assert context.received == [b"other"], context.received


@when("a third socket is bound to the address of one of them")
def _(context):
    async def step(sender, receiver):
        try:
            udp.DatagramSocket().bind(context.addresses[0])
        except errors.PortBusyError as exc:
            context.error = exc

    _run(context, step)


@then("it fails, naming the address")
def _(context):
    assert context.addresses[0] in str(context.error), context.error
