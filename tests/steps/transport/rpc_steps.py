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
    delay_s: float = 0.0
    size: int = 0


class Pong(NamedTuple):
    text: bytes


class NewPing(NamedTuple):
    delay_s: float = 0.0
    size: int = 0
    added: tuple[str, ...] = ()


class NewPong(NamedTuple):
    text: bytes
    added: int = 7


PING = rpc.Method("Ping", Ping, Pong)
NEW_PING = rpc.Method("Ping", NewPing, NewPong)
UNKNOWN = rpc.Method("Unknown", Ping, Pong)


class _Events(logging.Handler):
    def __init__(self):
        super().__init__()
        self.events = []

    def emit(self, record):
        self.events.append(record.msg)


@contextlib.contextmanager
def _logged():
    handler = _Events()
    rpc.logger.addHandler(handler)
    try:
        yield handler.events
    finally:
        rpc.logger.removeHandler(handler)


def _config(*keys):
    rng = random.Random(1)
    return rpc.ConnectionConfig(
        auth.Keyring(keys), rng, heartbeat_s=HEARTBEAT_S
    )


class Server:
    """A server of `PING`, with a relay before it."""

    def __init__(self, *keys):
        self.cfg = _config(*keys)
        self.address = loopback.free_address()
        self.relay = relay.Relay(self.address)
        self.handled = 0

    async def ping(self, req):
        self.handled += 1
        await trio.sleep(req.delay_s)
        return Pong(b"x" * req.size)

    @contextlib.asynccontextmanager
    async def running(self):
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            with trio.fail_after(LIMIT_S):
                await nursery.start(
                    rpc.serve, self.address, {PING: self.ping}, self.cfg
                )
                await nursery.start(self.relay.run)
                yield nursery
            nursery.cancel_scope.cancel()


async def _outcome(client, req, timeout_s=5.0, method=PING):
    try:
        return await client.call(method, req, timeout_s)
    except errors.PeerUnavailableError as exc:
        return exc


@when("a connection goes silent under a long RPC and a short one")
def _(context):
    async def main():
        server = Server()
        context.long_outcomes = []

        async def call(client):
            context.long_outcomes.append(
                await _outcome(client, Ping(60.0), 60.0)
            )

        async with server.running() as nursery:
            client = rpc.Client(server.relay.address, _config())
            await _outcome(client, Ping())
            nursery.start_soon(call, client)
            await trio.sleep(0.05)
            server.relay.blackhole_open_connections()
            context.short = await _outcome(client, Ping(), 0.1)
            context.next = await _outcome(client, Ping())
            while not context.long_outcomes:
                await trio.sleep(0.01)

    trio.run(main)


@then("the short RPC fails by its deadline and the next one is answered")
def _(context):
    assert isinstance(context.short, errors.PeerUnavailableError)
    assert context.next == Pong(b""), context.next


@then("the long RPC is ended by the heartbeat")
def _(context):
    assert isinstance(context.long_outcomes[0], errors.PeerUnavailableError)


@when("an RPC times out while others are answered")
def _(context):
    async def main():
        server = Server()
        context.others = []

        async def other(client, delay_s):
            context.others.append(await _outcome(client, Ping(delay_s)))

        async with server.running():
            client = rpc.Client(server.relay.address, _config())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other, client, 0.6)
                nursery.start_soon(other, client, 0.1)
                nursery.start_soon(_outcome, client, Ping(5.0), 0.3)
            await other(client, 0.0)
            context.accepted = server.relay.accepted

    trio.run(main)


@then("all other RPCs are answered over one connection")
def _(context):
    assert context.others == [Pong(b"")] * 3, context.others
    assert context.accepted == 1, context.accepted


@when("an RPC times out without any other answer, while another one is pending")
def _(context):
    async def main():
        server = Server()
        context.long_outcomes = []

        async def call(client):
            context.long_outcomes.append(await _outcome(client, Ping(0.8)))

        async with server.running():
            client = rpc.Client(server.relay.address, _config())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, client)
                await _outcome(client, Ping(5.0), 0.2)
                context.next = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    trio.run(main)


@then("the pending RPC is answered and the next one has a new connection")
def _(context):
    assert context.long_outcomes == [Pong(b"")], context.long_outcomes
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
    """Send a call with the message `frame`; return whether it was dropped."""
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


@when("an RPC server receives garbage, an oversized and a malformed message")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.relay.address, _config())
            await _outcome(client, Ping())
            host, _, port = server.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(b"\x00garbage\xff" * 50)
                garbage = await _is_closed(stream)
            oversized = struct.pack(">?I", False, 2**32 - 1) + b"x"
            malformed = struct.pack(">?I", False, 3) + b"\xc1\xff\xff"
            context.dropped = [
                garbage,
                await _send_frame(server.address, oversized),
                await _send_frame(server.address, malformed),
            ]
            context.after = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    with _logged() as context.logged:
        trio.run(main)


@then("each sender is disconnected and logged and others are still served")
def _(context):
    assert context.dropped == [True, True, True], context.dropped
    bad = [event for event in context.logged if event.event == "bad-message"]
    assert len(bad) == 2, context.logged
    assert context.after == Pong(b""), context.after
    assert context.accepted == 1, context.accepted


@when("an RPC server answers with more than the limit")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.address, _config())
            oversized = Ping(0.0, codec.MAX_MESSAGE_BYTES + 1)
            context.first = await _outcome(client, oversized)
            context.next = await _outcome(client, Ping())

    trio.run(main)


@then("the RPC fails and the next one is answered")
def _(context):
    assert isinstance(context.first, errors.PeerUnavailableError)
    assert context.next == Pong(b""), context.next


@when("more RPCs are made than the limit")
def _(context):
    async def main():
        server = Server()
        context.refused = []

        async def call(client):
            outcome = await _outcome(client, Ping(60.0), 60.0)
            context.refused.append(str(outcome))

        async with server.running() as nursery:
            client = rpc.Client(server.address, _config())
            for _ in range(rpc.MAX_CALLS + 5):
                nursery.start_soon(call, client)
            while len(context.refused) < 5:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            context.count = len(context.refused)

    trio.run(main)


@then("the RPCs above the limit are refused at once")
def _(context):
    assert context.count == 5, context.count
    assert all("too many calls" in text for text in context.refused)


@when("an address without a server gets many RPCs")
def _(context):
    async def main():
        async with rpc.open_loop():
            client = rpc.Client(loopback.free_address(), _config())
            outcomes = [await _outcome(client, Ping()) for _ in range(200)]
        context.outcomes = [str(outcome) for outcome in outcomes]

    trio.run(main)


@then("only a few connections are attempted")
def _(context):
    attempted = [
        outcome for outcome in context.outcomes if "back-off" not in outcome
    ]
    assert 1 <= len(attempted) <= 20, len(attempted)


@when("RPC messages with fewer and with more fields are exchanged")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            client = rpc.Client(server.relay.address, _config())
            context.newer = await _outcome(
                client, NewPing(0.0, 3, ("a",)), method=NEW_PING
            )
            context.unknown = await _outcome(client, Ping(), method=UNKNOWN)
            context.after = await _outcome(client, Ping())
            context.accepted = server.relay.accepted

    trio.run(main)
    newer = msgspec.msgpack.encode(NewPong(b"y", 9))
    context.older = codec.decode(newer, Pong)


@then("missing fields get their defaults and new fields are ignored")
def _(context):
    assert context.newer == NewPong(b"xxx", 7), context.newer
    assert context.older == Pong(b"y"), context.older


@then("an RPC unknown to an older program keeps the connection")
def _(context):
    assert isinstance(context.unknown, errors.PeerUnavailableError)
    assert context.after == Pong(b"")
    assert context.accepted == 1, context.accepted


@when("the keys of both ends are rotated one after the other during RPCs")
def _(context):
    async def main():
        first, second = KEYS
        server = Server(first)
        cfg = _config(first)
        steps = (
            (server.cfg, (first, second)),
            (cfg, (second, first)),
            (server.cfg, (second,)),
            (cfg, (second,)),
        )
        async with server.running():
            client = rpc.Client(server.relay.address, cfg)
            context.outcomes = [await _outcome(client, Ping())]
            for end_cfg, keys in steps:
                end_cfg.keyring.replace(keys)
                context.outcomes.append(await _outcome(client, Ping()))
            context.accepted = server.relay.accepted

    trio.run(main)


@then("every RPC is answered")
def _(context):
    assert context.outcomes == [Pong(b"")] * 5, context.outcomes
    assert context.accepted == 1, context.accepted


@when("RPCs are made with another key and without a key")
def _(context):
    async def main():
        server = Server(KEYS[0])
        async with server.running():
            for keys in ((KEYS[1],), ()):
                client = rpc.Client(server.address, _config(*keys))
                await _outcome(client, Ping(), 1.0)
            context.handled = server.handled
            client = rpc.Client(server.address, _config(KEYS[0]))
            context.after = await _outcome(client, Ping())

    trio.run(main)


@then("neither RPC reaches the handler")
def _(context):
    assert context.handled == 0, context.handled
    assert context.after == Pong(b""), context.after


@when("a callback of the asyncio loop of RPCs fails and a channel is dropped")
def _(context):
    async def main():
        server = Server()
        async with server.running():
            await _outcome(rpc.Client(server.address, _config()), Ping())
            gc.collect()
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await trio.sleep(0.05)
            client = rpc.Client(server.address, _config())
            context.after = await _outcome(client, Ping())

    with _logged() as context.logged:
        trio.run(main)


@then("both asyncio errors are logged and RPCs are answered")
def _(context):
    stray = [event for event in context.logged if "stray" in str(event)]
    assert len(stray) == 2, context.logged
    assert context.after == Pong(b""), context.after
