"""Cores of gossip joined by a fake network, in virtual time."""

import heapq
import itertools
import random

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import spread
from hyssopfold.transport import datagram_wire

LEASE_S = 4.0
_UDP_BYTES = 28


def _instance(number, regions):
    name = f"entry-{number:03d}"
    return messages.Instance(
        name, "entry", f"10.0.{number // 250}.{number % 250}:7201",
        f"10.0.{number // 250}.{number % 250}:7221",
        f"r{number % regions}", "d", "ready", 1_760_000_000_000 + number,
        0, 7, 0.0,
    )  # fmt: skip


def _server(number, regions):
    return messages.Server(
        f"server-{number:04d}", "ledger", f"10.9.0.{number}:80",
        f"r{number % regions}", "d", 3, 330, "ready", 1_760_000_000_000,
        0, 1.0,
    )  # fmt: skip


class FakeGossip:
    """Instances, and servers that announce themselves each second."""

    def __init__(self, seed, instances, regions, servers):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = self.doubling = 0.0
        self.delay_s = 0.002
        self.regions = regions
        self.nodes = {}
        self.dead = set()
        self.cut = set()
        self.sent_bytes = 0
        self.sent = 0
        self._queue = []
        self._order = itertools.count()
        self._next_tick = 0.0
        self._numbers = itertools.count()
        self.seeds = tuple(
            _instance(number, regions).gossip_address
            for number in range(min(3, instances))
        )
        for _ in range(instances):
            self.start()
        names = list(self.nodes)
        self.servers = {}
        self.told = {}
        for number in range(servers):
            word = _server(number, regions)
            self.servers[word.server_id] = word
            near = [
                name
                for name in names
                if self.nodes[name].myself.region == word.region
            ]
            self.told[word.server_id] = near[number // regions % len(near)]
        self.silent = set()

    def start(self):
        """Start a fresh instance; return its name."""
        me = _instance(next(self._numbers), self.regions)
        rng = random.Random(self.rng.random())
        known = directory.Directory(LEASE_S)
        self.nodes[me.name] = spread.Spread(
            me, self.seeds, known, LEASE_S, rng, self.now
        )
        return me.name

    def live(self):
        """Return the instances that run."""
        return {
            name: node
            for name, node in self.nodes.items()
            if name not in self.dead
        }

    def carry(self, name, effects):
        """Send what an instance wants sent, through the wire's codec."""
        for effect in effects:
            if not isinstance(effect, spread.Send):
                continue
            for data in datagram_wire.encode(effect.datagram):
                self.sent += 1
                self.sent_bytes += len(data) + _UDP_BYTES
                self._send(name, effect.address, data)

    def _send(self, name, address, data):
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            at = self.now + self.rng.uniform(0.0, self.delay_s)
            item = (at, next(self._order), name, address, data)
            heapq.heappush(self._queue, item)

    def announce(self, server_id, state=None):
        """Let a server announce itself where it is told to."""
        word = self.servers[server_id]
        word = word._replace(sequence=word.sequence + 1)
        if state is not None:
            word = word._replace(state=state)
        self.servers[server_id] = word
        name = self.told[server_id]
        if name not in self.dead:
            effects = self.nodes[name].announce(word, self.now)
            self.carry(name, effects)

    def run(self, seconds):
        """Deliver datagrams and pass time."""
        until = self.now + seconds
        by_address = {
            node.myself.gossip_address: name
            for name, node in self.nodes.items()
        }
        while True:
            due = self._queue[0][0] if self._queue else until + 1
            if min(due, self._next_tick) > until:
                break
            if self._next_tick <= due:
                self.now = self._next_tick
                self._next_tick += spread.PERIOD_S
                self._tick()
                continue
            self.now, _, sender, address, data = heapq.heappop(self._queue)
            to = by_address.get(address)
            if to is None or to in self.dead or (sender, to) in self.cut:
                continue
            datagram = datagram_wire.decode(data)
            self.carry(to, self.nodes[to].receive(datagram, self.now))
        self.now = until

    def _tick(self):
        if round(self.now / spread.PERIOD_S) % 2 == 0:
            for server_id in self.servers:
                if server_id not in self.silent:
                    self.announce(server_id)
        for name, node in self.live().items():
            self.carry(name, node.tick(self.now))

    def ready_at(self, server_id):
        """Return the live instances that take a server for ready."""
        found = []
        for name, node in self.live().items():
            ready = node.known.ready_servers("ledger")
            if any(one.server_id == server_id for one in ready):
                found.append(name)
        return found
