"""Steps of transport/rpc.feature."""

import asyncio
import contextlib
import gc
import logging
import random
import struct
from typing import NamedTuple

from behave import then
from behave import when
import h2.config
import h2.connection
import msgspec
import trio

from hyssopfold import errors
from hyssopfold.transport import auth
from hyssopfold.transport import codec
from hyssopfold.transport import rpc
from tests.support import loopback
from tests.support import relay

LIMIT_S = 20
HEARTBEAT_S = 0.2
KEYS = (b"first-shared-key-0001", b"second-shared-key-002")


class Ping(NamedTuple):
    hold_s: float = 0.0
    size: int = 0


class Pong(NamedTuple):
    text: bytes


class NewPing(NamedTuple):
    hold_s: float = 0.0
    size: int = 0
    added: tuple[str, ...] = ()


class NewPong(NamedTuple):
    text: bytes
    added: int = 7


PING = rpc.Method("Ping", Ping, Pong)
NEW_PING = rpc.Method("Ping", NewPing, NewPong)
UNKNOWN = rpc.Method("Unheard", Ping, Pong)


class _Events(logging.Handler):
    def __init__(self):
        super().__init__()
        self.seen = []

    def emit(self, record):
        self.seen.append(record.msg)


@contextlib.contextmanager
def _logged():
    handler = _Events()
    rpc.logger.addHandler(handler)
    try:
        yield handler.seen
    finally:
        rpc.logger.removeHandler(handler)


def _links(*keys):
    rng = random.Random(1)
    return rpc.ConnectionConfig(
        auth.Keyring(keys), rng, heartbeat_s=HEARTBEAT_S
    )


class Server:
    """A server of `PING`, with a relay before it."""

    def __init__(self, *keys):
        self.links = _links(*keys)
        self.address = loopback.free_address()
        self.relay = relay.Relay(self.address)
        self.handled = 0

    async def ping(self, req):
        self.handled += 1
        await trio.sleep(req.hold_s)
        return Pong(b"x" * req.size)

    @contextlib.asynccontextmanager
    async def running(self):
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            with trio.fail_after(LIMIT_S):
                await nursery.start(
                    rpc.serve, self.address, {PING: self.ping}, self.links
                )
                await nursery.start(self.relay.run)
                yield nursery
            nursery.cancel_scope.cancel()


async def _outcome(client, req, timeout_s=5.0, method=PING):
    try:
        return await client.call(method, req, timeout_s)
    except errors.PeerUnavailableError as exc:
        return exc


@when("a link goes silent under a held call and a short one")
def _(context):
    async def main():
        server = Server()
        context.held = []

        async def hold(client):
            context.held.append(await _outcome(client, Ping(60.0), 60.0))

        async with server.running() as nursery:
            client = rpc.Client(server.relay.address, _links())
            await _outcome(client, Ping())
            nursery.start_soon(hold, client)
            await trio.sleep(0.05)
            server.relay.forget()
            context.short = await _outcome(client, Ping(), 0.1)
            context.next = await _outcome(client, Ping())
            while not context.held:
                await trio.sleep(0.01)

    trio.run(main)


@then(
    "the short link call failed by its deadline and the next one was answered"
)
def _(context):
    assert isinstance(context.short, errors.PeerUnavailableError)
    assert context.next == Pong(b""), context.next


@then("the held link call was ended by the heartbeat")
def _(context):
    assert isinstance(context.held[0], errors.PeerUnavailableError)


@when("a link call times out while others are answered")
def _(context):
    async def main():
        server = Server()
        context.others = []

        async def other(client, hold_s):
            context.others.append(await _outcome(client, Ping(hold_s)))

        async with server.running():
            client = rpc.Client(server.relay.address, _links())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other, client, 0.6)
                nursery.start_soon(other, client, 0.1)
                nursery.start_soon(_outcome, client, Ping(5.0), 0.3)
            await other(client, 0.0)
            context.accepted = server.relay.accepted

    trio.run(main)


@then("all other link calls were answered over one connection")
def _(context):
    assert context.others == [Pong(b"")] * 3, context.others
    assert context.accepted == 1, context.accepted


@when("a link call times out with no other answer since, beside a held one")
def _(context):
    async def main():
        server = Server()
        context.held = []

        async def hold(client):
            context.held.append(await _outcome(client, Ping(0.8)))

        async with server.running():
            client = rpc.Client(server.relay.address, _links())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hold, client)
                await _outcome(client, Ping(5.0), 0.2)
                context.next = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    trio.run(main)


@then("the held link call is answered and the next call has a new connection")
def _(context):
    assert context.held == [Pong(b"")], context.held
    assert context.next == Pong(b""), context.next
    assert context.accepted == 2, context.accepted


async def _is_closed(stream):
    with trio.move_on_after(LIMIT_S):
        try:
            while await stream.receive_some():
                pass
        except trio.BrokenResourceError:
            pass
        return True
    return False


async def _send_frame(address, frame):
    """Send a call whose message is `frame`; return whether it was dropped."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        conn = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        conn.initiate_connection()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PING.path),
            (":authority", address),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
        ]
        conn.send_headers(1, headers)
        conn.send_data(1, frame)
        await stream.send_all(conn.data_to_send())
        return await _is_closed(stream)


@when("a link server gets garbage, an oversized and a malformed message")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.relay.address, _links())
            await _outcome(client, Ping())
            host, _, port = server.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(b"\x00garbage\xff" * 50)
                garbage = await _is_closed(stream)
            huge = struct.pack(">?I", False, 2**32 - 1) + b"x"
            rubbish = struct.pack(">?I", False, 3) + b"\xc1\xff\xff"
            context.dropped = [
                garbage,
                await _send_frame(server.address, huge),
                await _send_frame(server.address, rubbish),
            ]
            context.after = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    with _logged() as context.logged:
        trio.run(main)


@then("each sender was dropped and logged and others are served on")
def _(context):
    assert context.dropped == [True, True, True], context.dropped
    bad = [one for one in context.logged if one.event == "bad-message"]
    assert len(bad) == 2, context.logged
    assert context.after == Pong(b""), context.after
    assert context.accepted == 1, context.accepted


@when("a link server answers with more than the limit")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.address, _links())
            big = Ping(0.0, codec.MAX_MESSAGE_BYTES + 1)
            context.first = await _outcome(client, big)
            context.next = await _outcome(client, Ping())

    trio.run(main)


@then("the link call failed and the next one was answered")
def _(context):
    assert isinstance(context.first, errors.PeerUnavailableError)
    assert context.next == Pong(b""), context.next


@when("more link calls are made than the bound")
def _(context):
    async def main():
        server = Server()
        context.refused = []

        async def one(client):
            outcome = await _outcome(client, Ping(60.0), 60.0)
            context.refused.append(str(outcome))

        async with server.running() as nursery:
            client = rpc.Client(server.address, _links())
            for _ in range(rpc.MAX_CALLS + 5):
                nursery.start_soon(one, client)
            while len(context.refused) < 5:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            context.count = len(context.refused)

    trio.run(main)


@then("the link calls above the bound were refused at once")
def _(context):
    assert context.count == 5, context.count
    assert all("too many calls" in text for text in context.refused)


@when("a link calls an address where no one listens, many times")
def _(context):
    async def main():
        async with rpc.open_loop():
            client = rpc.Client(loopback.free_address(), _links())
            outcomes = [await _outcome(client, Ping()) for _ in range(200)]
        context.outcomes = [str(one) for one in outcomes]

    trio.run(main)


@then("only a few connections were tried")
def _(context):
    tried = [one for one in context.outcomes if "back-off" not in one]
    assert 1 <= len(tried) <= 20, len(tried)


@when("link messages with fewer and with more fields are exchanged")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.relay.address, _links())
            context.newer = await _outcome(
                client, NewPing(0.0, 3, ("a",)), method=NEW_PING
            )
            context.unknown = await _outcome(client, Ping(), method=UNKNOWN)
            context.after = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    trio.run(main)
    newer = msgspec.msgpack.encode(NewPong(b"y", 9))
    context.older = codec.decode(newer, Pong)


@then("what is missing took its default and what is new was passed over")
def _(context):
    assert context.newer == NewPong(b"xxx", 7), context.newer
    assert context.older == Pong(b"y"), context.older


@then("a link call that an older program does not know keeps its connection")
def _(context):
    assert isinstance(context.unknown, errors.PeerUnavailableError)
    assert context.after == Pong(b"")
    assert context.accepted == 1, context.accepted


@when("keys of both link ends are rotated one after the other during calls")
def _(context):
    async def main():
        first, second = KEYS
        server = Server(first)
        links = _links(first)
        steps = (
            (server.links, (first, second)),
            (links, (second, first)),
            (server.links, (second,)),
            (links, (second,)),
        )
        async with server.running():
            client = rpc.Client(server.relay.address, links)
            context.outcomes = [await _outcome(client, Ping())]
            for end, keys in steps:
                end.keyring.replace(keys)
                context.outcomes.append(await _outcome(client, Ping()))
            context.accepted = server.relay.accepted

    trio.run(main)


@then("every link call was answered")
def _(context):
    assert context.outcomes == [Pong(b"")] * 5, context.outcomes
    assert context.accepted == 1, context.accepted


@when("a link is called with another key and without a key")
def _(context):
    async def main():
        server = Server(KEYS[0])
        async with server.running():
            for keys in ((KEYS[1],), ()):
                client = rpc.Client(server.address, _links(*keys))
                await _outcome(client, Ping(), 1.0)
            context.handled = server.handled
            client = rpc.Client(server.address, _links(KEYS[0]))
            context.after = await _outcome(client, Ping())

    trio.run(main)


@then("neither link call reached the handler")
def _(context):
    assert context.handled == 0, context.handled
    assert context.after == Pong(b""), context.after


@when("a callback of the links' asyncio loop fails and a channel is dropped")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            await _outcome(rpc.Client(server.address, _links()), Ping())
            gc.collect()
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await trio.sleep(0.05)
            client = rpc.Client(server.address, _links())
            context.after = await _outcome(client, Ping())

    with _logged() as context.logged:
        trio.run(main)


@then("both link errors are logged and calls are answered")
def _(context):
    stray = [one for one in context.logged if "stray" in str(one)]
    assert len(stray) == 2, context.logged
    assert context.after == Pong(b""), context.after
