"""Gossip protocols connected by a fake network, in virtual time."""

import collections
import heapq
import itertools
import random

from hyssopfold.core.membership import broadcasts
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects as effects_module
from hyssopfold.core.membership import gossip_protocol
from hyssopfold.core.membership import messages
from hyssopfold.transport import datagram_wire

LEASE_S = 4.0
_UDP_BYTES = 28


def _instance(number, regions, domains=1, control=0):
    role = "control" if number < control else "entry"
    host = f"10.0.{number // 250}.{number % 250}"
    domain = number % (regions * domains)
    return messages.Instance(
        f"entry-{number:03d}", role, f"{host}:7201", f"{host}:7221",
        f"r{domain % regions}", f"d{domain}" if domains > 1 else "d", "ready",
        1_760_000_000_000 + number, 0, 7, 0.0,
    )  # fmt: skip


def _server(number, regions):
    return messages.Server(
        f"server-{number:04d}", "ledger",
        f"10.9.{number // 250}.{number % 250}:80",
        f"r{number % regions}", "d", 3, 330, "ready", 1_760_000_000_000,
        0, 1.0,
    )  # fmt: skip


class FakeGossip:
    """Instances, and servers that announce themselves each second.

    Args:
        seed: Seed of all random choices.
        instances: Number of instances, which start at the same time.
        regions: Number of regions of the instances and servers.
        servers: Number of servers.
        domains: Number of failure domains of a region.
        control: Number of control instances, which servers announce to.
    """

    def __init__(self, seed, instances, regions, servers, domains=1, control=0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = self.duplication = 0.0
        self.delay_s = 0.002
        self.regions = regions
        self.protocols = {}
        self.dead = set()
        self.cut = set()
        self.sent_bytes = 0
        self.sent = 0
        self.far_bytes = 0
        self.received_bytes = collections.Counter()
        self.domains, self.control = domains, control
        self._flush_at = {}
        self._queue = []
        self._order = itertools.count()
        self._next_tick = 0.0
        self._numbers = itertools.count()
        self.seeds = tuple(
            _instance(number, regions).gossip_address
            for number in range(min(3, instances))
        )
        self._region_of_address = {}
        for _ in range(instances):
            self.start()
        names = list(self.protocols)
        self.servers = {}
        # The instance that each server announces itself to.
        self.announces_to = {}
        for number in range(servers):
            server = _server(number, regions)
            self.servers[server.server_id] = server
            receivers = [
                name
                for name in names
                if self.protocols[name].myself.region == server.region
            ]
            if control:
                receivers = names[:control]
            self.announces_to[server.server_id] = receivers[
                number // regions % len(receivers)
            ]
        self.silent = set()
        self._cold_until = {}

    def make_cold(self, server_id, seconds):
        """Make a server cold, and let it announce that."""
        self._cold_until[server_id] = self.now + seconds
        self.announce(server_id)

    def start(self):
        """Start a new instance; return its name."""
        number = next(self._numbers)
        me = _instance(number, self.regions, self.domains, self.control)
        self._region_of_address[me.gossip_address] = me.region
        self._start_protocol(me)
        return me.name

    def _start_protocol(self, me):
        rng = random.Random(self.rng.random())
        member_directory = directory.Directory(LEASE_S)
        self.protocols[me.name] = gossip_protocol.GossipProtocol(
            me, self.seeds, member_directory, LEASE_S, rng, self.now
        )

    def restart(self, name):
        """Restart an instance, which forgets all that it knew."""
        me = self.protocols[name].myself
        self._start_protocol(
            me._replace(incarnation=me.incarnation + 1000, sequence=0)
        )

    def dismiss(self, server_id, name):
        """Ask an instance to remove a server, which falls silent."""
        self.silent.add(server_id)
        effects = self.protocols[name].dismiss(server_id, self.now)
        self.execute(name, effects)

    def live(self):
        """Return the instances that run."""
        return {
            name: protocol
            for name, protocol in self.protocols.items()
            if name not in self.dead
        }

    def execute(self, name, effects):
        """Send an instance's datagrams, encoded as on the wire."""
        for effect in effects:
            if not isinstance(effect, effects_module.Send):
                continue
            for data in datagram_wire.encode(effect.datagram):
                self.sent += 1
                self.sent_bytes += len(data) + _UDP_BYTES
                region = self.protocols[name].myself.region
                if self._region_of_address.get(effect.address) != region:
                    self.far_bytes += len(data) + _UDP_BYTES
                self._send(name, effect.address, data)
        if self.protocols[name].has_news:
            self._flush_at.setdefault(name, self.now + broadcasts.BATCH_S)

    def _send(self, name, address, data):
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            at = self.now + self.rng.uniform(0.0, self.delay_s)
            item = (at, next(self._order), name, address, data)
            heapq.heappush(self._queue, item)

    def announce(self, server_id, state=None):
        """Let a server announce itself to its instance."""
        server = self.servers[server_id]
        left_s = max(0.0, self._cold_until.get(server_id, 0.0) - self.now)
        server = server._replace(
            sequence=server.sequence + 1, cold_left_s=left_s
        )
        if state is not None:
            server = server._replace(state=state)
        self.servers[server_id] = server
        name = self.announces_to[server_id]
        if name not in self.dead:
            effects = self.protocols[name].announce(server, self.now)
            self.execute(name, effects)

    def run(self, seconds):
        """Deliver datagrams and let virtual time pass."""
        until = self.now + seconds
        by_address = {
            protocol.myself.gossip_address: name
            for name, protocol in self.protocols.items()
        }
        while True:
            due = self._queue[0][0] if self._queue else until + 1
            flush = min(self._flush_at.values(), default=until + 1)
            if min(due, flush, self._next_tick) > until:
                break
            if min(flush, self._next_tick) <= due:
                self.now = min(flush, self._next_tick)
                self._run_timers()
                continue
            self.now, _, sender, address, data = heapq.heappop(self._queue)
            receiver = by_address.get(address)
            if (
                receiver is None
                or receiver in self.dead
                or (sender, receiver) in self.cut
            ):
                continue
            self.received_bytes[receiver] += len(data) + _UDP_BYTES
            datagram = datagram_wire.decode(data)
            self.execute(
                receiver, self.protocols[receiver].receive(datagram, self.now)
            )
        self.now = until

    def _run_timers(self):
        for name, at in list(self._flush_at.items()):
            if at <= self.now:
                del self._flush_at[name]
                if name not in self.dead:
                    self.execute(name, self.protocols[name].flush(self.now))
        if self._next_tick <= self.now:
            self._next_tick += gossip_protocol.PERIOD_S
            self._tick()

    def _tick(self):
        if round(self.now / gossip_protocol.PERIOD_S) % 2 == 0:
            for server_id in self.servers:
                if server_id not in self.silent:
                    self.announce(server_id)
        for name, protocol in self.live().items():
            self.execute(name, protocol.tick(self.now))

    def cold_at(self, server_id):
        """Return the live instances whose directory has a server as cold."""
        return [
            name
            for name, protocol in self.live().items()
            if protocol.directory.is_cold(server_id, self.now)
        ]

    def ready_at(self, server_id):
        """Return the live instances whose directory has a server as ready."""
        names = []
        for name, protocol in self.live().items():
            ready = protocol.directory.ready_servers("ledger")
            if any(server.server_id == server_id for server in ready):
                names.append(name)
        return names
