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


def _word(name, address):
    return messages.Instance(
        name, "entry", "127.0.0.1:80", address, "dar", "dar-1", "ready", 1, 1,
        0, 0.0,
    )  # fmt: skip


@given("{count:d} instances that gossip on loopback")
def _(context, count):
    names = [f"e{number}" for number in range(count)]
    addresses = {name: loopback.free_address(2) for name in names}
    context.words = [_word(name, addresses[name]) for name in names]
    context.strange = None


@when("another one tells them {what}")
def _(context, what):
    address = {
        "an address that is none": "nowhere",
        "an address without a port": "127.0.0.1:",
    }.get(what, "127.0.0.1:9")
    word = _word("e9", address)
    context.strange = messages.Datagram("e9", 0, (word,), ())
    context.fails = what.startswith("what the receiver")


@when("a server announces itself to one of them")
def _(context):
    context.known_after_s = math.inf
    context.ended = trio.run(_run, context)


@then("the other one knows the server within {seconds:g} s")
def _(context, seconds):
    assert context.known_after_s <= seconds


@then("the task of neither has ended")
def _(context):
    assert not context.ended, context.ended


async def _run(context):
    """Let the instances gossip; return what ended one of their tasks."""
    ended = []
    made = [
        gossip.Gossip(
            word,
            tuple(one.gossip_address for one in context.words if one != word),
            _LEASE_S,
            _KEYRING,
            random.Random(1),
        )
        for word in context.words
    ]

    async def run(one):
        try:
            await one.run()
        except Exception as exc:  # noqa: BLE001
            ended.append(exc)

    with trio.move_on_after(10):
        async with trio.open_nursery() as nursery:
            for one in made:
                nursery.start_soon(run, one)
            await trio.sleep(1)
            _tell_strange(context, made)
            await trio.sleep(1)
            began = trio.current_time()
            made[0].announce(_SERVER)
            while made[1].directory.servers.get("s1") is None:
                await trio.sleep(0.05)
            context.known_after_s = trio.current_time() - began
            nursery.cancel_scope.cancel()
    return ended


def _tell_strange(context, made):
    if context.fails:
        for one in made:
            _fail_once(one)
    data = datagram_wire.encode(context.strange)[0]
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        for word in context.words:
            host, port = word.gossip_address.split(":")
            sock.sendto(_KEYRING.seal("Datagram", data), (host, int(port)))


def _fail_once(one):
    take_in = one._protocol.receive

    def receive(datagram, now):
        if datagram.sender == "e9":
            raise LookupError("a field that no one expected")
        return take_in(datagram, now)

    one._protocol.receive = receive
