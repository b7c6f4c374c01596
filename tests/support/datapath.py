"""An entry's data path on loopback, over stand-ins and a fake placement."""

import contextlib
import random
import socket
from typing import NamedTuple

import httpcore
import trio

from hyssopfold import http
from hyssopfold import metrics
from hyssopfold import serving
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership
from hyssopfold.core.steering import regions
from hyssopfold.entry import configuration
from hyssopfold.entry import connections
from hyssopfold.entry import pacing
from hyssopfold.entry import proxy
from hyssopfold.entry import upstream
from hyssopfold.standin import server as standin_server
from tests.support import loopback

TABLES = """
pools:
  - {name: shop, slots: 3}
routes:
  - {name: all, pool: shop, deadline_ms: 800}
  - {name: upload, pool: shop, path_prefix: /upload, deadline_ms: 300}
"""
WAIT_S = 30


class Answer(NamedTuple):
    """What a caller saw; `cut` is how its answer ended early, if it did."""

    status: int
    headers: dict[str, str]
    body: bytes
    cut: str


class FakeConfiguration:
    """Tables that stay as they are."""

    def __init__(self):
        held = state.State(tables.parse(TABLES))
        self.snapshot = configuration.Snapshot(1, held)


class FakeSteering:
    """Everything is at home."""

    def decide(self, route, request_id):
        home = messages.Region("dar", False)
        return regions.Decision((home,), ())

    def note(self, pool, decision, server):
        pass


class FakePlacement:
    """Give the first server that is not to be avoided; count the slots."""

    def __init__(self, servers):
        self.servers = servers
        self.held = []
        self.done = []

    async def acquire(self, req, pool):
        for server in self.servers:
            if server.server_id not in req.avoid:
                self.held.append(server.server_id)
                return messages.Grant(server, "test")
        return messages.Refused("no-free-slot", 1.0)

    def release(self, grant, done):
        self.held.remove(grant.server.server_id)
        self.done.append(done.kind)


class DataPath:
    """An entry and its stand-ins.

    Args:
        count: Number of stand-ins, each in a failure domain of its own.
        limits: What a caller may take.
        options: Fields of the stand-ins' options to replace.
    """

    def __init__(
        self, count=2, limits=None, pacer=None, max_body=1 << 40, **options
    ):
        self.address = loopback.free_address()
        self.standins = []
        known = directory.Directory(lease_s=1e9)
        servers = []
        for index in range(1, count + 1):
            name = f"s{index}"
            chosen = standin_server.Options(
                server_id=name, pool="shop", address=loopback.free_address(),
                region="dar", failure_domain=f"dar-{index}", slots=3,
                connections=330, service_s=0.0, announce_to=(),
            )._replace(**options)  # fmt: skip
            self.standins.append(standin_server.Server(chosen))
            word = membership.Server(
                name, "shop", chosen.address, chosen.region,
                chosen.failure_domain, chosen.slots, chosen.connections,
                "ready", 1, 1, 0.0,
            )  # fmt: skip
            known.servers.update(name, word, 0.0)
            servers.append(word)
        rng = random.Random(1)
        self.placement = FakePlacement(servers)
        self.pool = connections.Pool(lambda server: 40)
        self.proxy = proxy.Proxy(
            FakeConfiguration(), FakeSteering(), self.placement,
            pacer or pacing.Pacer(), upstream.Upstream(self.pool),
            metrics.Metrics("test"), region="dar", known=known, rng=rng,
            max_body_bytes=max_body,
        )  # fmt: skip
        self.listener = serving.Listener(
            self.proxy.serve, limits or serving.Limits()
        )
        self.stop = trio.Event()

    @property
    def runs(self):
        """Return how often requests ran, over all stand-ins."""
        return sum(sum(one.ledger.values()) for one in self.standins)

    @property
    def taken(self):
        """Return the bytes of long answers that the entry has taken."""
        return sum(conn.sent for one in self.standins for conn in one.open)

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all of it."""
        with trio.fail_after(WAIT_S):
            async with trio.open_nursery() as nursery:
                for standin in self.standins:
                    nursery.start_soon(standin.serve, trio.Event())
                await nursery.start(self._serve)
                try:
                    yield self
                finally:
                    nursery.cancel_scope.cancel()

    async def _serve(self, task_status):
        await http.serve(
            self.proxy.serve,
            self.address,
            self.stop,
            WAIT_S,
            self.listener,
            task_status,
        )

    async def connect(self):
        """Return a new connection to the entry."""
        host, port = self.address.split(":")
        return await trio.open_tcp_stream(host, int(port))

    async def exchange(self, *parts):
        """Send raw bytes; return all that comes back, and how it ended."""
        stream = await self.connect()
        with contextlib.suppress(trio.BrokenResourceError):
            for part in parts:
                await stream.send_all(part)
        return await read_all(stream)

    async def ask(self, method, path, fault="", body=None, headers=()):
        """Send one request on a new connection; return its Answer."""
        fields = [("host", "shop.example"), *headers]
        if fault:
            fields.append(("standin-fault", fault))
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                async with pool.stream(
                    method,
                    f"http://{self.address}{path}",
                    headers=fields,
                    content=body,
                ) as answer:
                    return await _take(answer)
            except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
                return Answer(0, {}, b"", type(exc).__name__)


async def _take(answer):
    parts = []
    cut = ""
    try:
        async for part in answer.aiter_stream():
            parts.append(part)
    except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
        cut = type(exc).__name__
    headers = {
        key.decode().lower(): value.decode("latin-1")
        for key, value in answer.headers
    }
    return Answer(answer.status, headers, b"".join(parts), cut)


async def read_all(stream):
    """Return the bytes up to the connection's end, and `end` or `reset`."""
    data = b""
    try:
        while part := await stream.receive_some(65_536):
            data += part
    except trio.BrokenResourceError:
        return data, "reset"
    return data, "end"


def shrink_buffers(stream, size=8192):
    """Make a connection hold little, so that back-pressure shows soon."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
