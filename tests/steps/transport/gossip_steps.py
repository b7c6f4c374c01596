"""Steps of transport/gossip.feature."""

import math
import random
import socket

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.core.membership import messages
from hyssopfold.transport import auth
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip
from tests.support import loopback

_KEYRING = auth.Keyring(())
_LEASE_S = 4.0
_SERVER = messages.Server(
    "s1", "ledger", "127.0.0.1:80", "dar", "dar-1", 3, 330, "ready", 1, 1, 0.0
)


def _instance(name, address):
    return messages.Instance(
        name, "entry", "127.0.0.1:80", address, "dar", "dar-1", "ready", 1, 1,
        0, 0.0,
    )  # fmt: skip


@given("{count:d} instances that gossip on loopback")
def _(context, count):
    names = [f"e{number}" for number in range(count)]
    addresses = {name: loopback.free_address(2) for name in names}
    context.instances = [_instance(name, addresses[name]) for name in names]
    context.datagram = None


@when("another instance sends them {what}")
def _(context, what):
    address = {
        "an invalid address": "nowhere",
        "an address without a port": "127.0.0.1:",
    }.get(what, "127.0.0.1:9")
    sender = _instance("e9", address)
    context.datagram = messages.Datagram("e9", 0, (sender,), ())
    context.fails = what.startswith("a datagram whose")


@when("a server announces itself to one of them")
def _(context):
    context.received_after_s = math.inf
    context.ended = trio.run(_run, context)


@then("the other one has a record of the server within {seconds:g} s")
def _(context, seconds):
    assert context.received_after_s <= seconds


@then("neither gossip task has ended")
def _(context):
    assert not context.ended, context.ended


async def _run(context):
    """Run gossip of the instances; return the errors that ended a task."""
    ended = []
    services = [
        gossip.Gossip(
            instance,
            tuple(
                other.gossip_address
                for other in context.instances
                if other != instance
            ),
            _LEASE_S,
            _KEYRING,
            random.Random(1),
        )
        for instance in context.instances
    ]

    async def run(service):
        try:
            await service.run()
        except Exception as exc:  # noqa: BLE001
            ended.append(exc)

    with trio.move_on_after(10):
        async with trio.open_nursery() as nursery:
            for service in services:
                nursery.start_soon(run, service)
            await trio.sleep(1)
            _send_datagram(context, services)
            await trio.sleep(1)
            began = trio.current_time()
            services[0].announce(_SERVER)
            while services[1].directory.servers.get("s1") is None:
                await trio.sleep(0.05)
            context.received_after_s = trio.current_time() - began
            nursery.cancel_scope.cancel()
    return ended


def _send_datagram(context, services):
    if context.fails:
        for service in services:
            _make_receipt_fail(service)
    data = datagram_wire.encode(context.datagram)[0]
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        for instance in context.instances:
            host, port = instance.gossip_address.split(":")
            sock.sendto(_KEYRING.seal("Datagram", data), (host, int(port)))


def _make_receipt_fail(service):
    """Make the receipt of a datagram of "e9" fail."""
    original_receive = service._protocol.receive

    def receive(datagram, now):
        if datagram.sender == "e9":
            raise LookupError("unexpected field")
        return original_receive(datagram, now)

    service._protocol.receive = receive
