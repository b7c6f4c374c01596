"""Cost of membership for each node, from gossip cores in one process.

`python -m bench.capacity.membership` prints bytes, datagrams, processor time
and memory for each node at 12, 50, 100, 200 and 440 nodes, and the slopes.
"""

import random
import time
import tracemalloc
from typing import NamedTuple

from bench.capacity import slopes
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects as effects_module
from hyssopfold.core.membership import gossip_protocol
from hyssopfold.core.membership import messages
from hyssopfold.transport import datagram_wire

COMMAND = "python -m bench.capacity.membership"
SIZES = (12, 50, 100, 200, 440)
SERVERS_PER_NODE = 2
REGIONS = 7
LEASE_S = 4.0
_UDP_BYTES = 28
_PERIODS = 6
_PERIODS_MANY = 2
_MANY = 200


class Cost(NamedTuple):
    """What one node sends, receives, computes and keeps."""

    nodes: int
    sent_bytes_s: float
    datagrams_s: float
    cpu_share: float
    memory_bytes: float
    lapsed: int


def _instance(number: int) -> messages.Instance:
    host = f"10.0.{number // 250}.{number % 250}"
    return messages.Instance(
        f"entry-{number:03d}",
        "entry",
        f"{host}:7201",
        f"{host}:7221",
        f"region-{number % REGIONS}",
        f"region-{number % REGIONS}-1",
        "ready",
        1_760_000_000_000 + number,
        1,
        7,
        0.0,
    )


def _server(number: int, monitor: str) -> messages.Server:
    return messages.Server(
        f"server-{number:04d}",
        "ledger",
        f"10.9.{number // 250}.{number % 250}:80",
        f"region-{number % REGIONS}",
        f"region-{number % REGIONS}-1",
        3,
        330,
        "ready",
        1_760_000_000_000,
        1,
        1.0,
        monitor,
    )


class _Nodes:
    """Nodes that know one another already, and the wire between them."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.now = 0.0
        self.sent_bytes = self.sent = self.lapsed = 0
        self.rng = random.Random(1)
        self.instances = [_instance(number) for number in range(size)]
        self.servers = [
            _server(number, self.instances[number % size].name)
            for number in range(size * SERVERS_PER_NODE)
        ]
        self.nodes: dict[str, gossip_protocol.GossipProtocol] = {}
        for me in self.instances:
            self.nodes[me.gossip_address] = self.start(me)

    def start(self, me: messages.Instance) -> gossip_protocol.GossipProtocol:
        """Return a node that knows everything."""
        seeds = [one.gossip_address for one in self.instances[:3]]
        rng = random.Random(me.name)
        known = directory.Directory(LEASE_S)
        node = gossip_protocol.GossipProtocol(
            me, seeds, known, LEASE_S, rng, 0.0
        )
        for server in self.servers:
            if server.monitor == me.name:
                node.announce(server._replace(monitor=""), 0.0)
        everything = messages.Datagram(
            "start", 7, tuple(self.instances), tuple(self.servers), part=0,
            parts=1,
        )  # fmt: skip
        node.receive(everything, 0.0)
        return node

    def period(self) -> None:
        """Let every node and server speak once, and deliver it all."""
        queue = []
        if round(self.now / gossip_protocol.PERIOD_S) % 2 == 0:
            for number, server in enumerate(self.servers):
                word = server._replace(sequence=2 + round(self.now), monitor="")
                at = self.instances[number % self.size].gossip_address
                queue += self.nodes[at].announce(word, self.now)
        for node in self.nodes.values():
            effects = node.tick(self.now)
            self.lapsed += sum(
                isinstance(one, effects_module.Changed)
                and one.state == "lease-ended"
                for one in effects
            )
            queue += effects
        while queue:
            effect = queue.pop()
            if not isinstance(effect, effects_module.Send):
                continue
            for data in datagram_wire.encode(effect.datagram):
                self.sent += 1
                self.sent_bytes += len(data) + _UDP_BYTES
                to = self.nodes[effect.address]
                queue += to.receive(datagram_wire.decode(data), self.now)
        self.now += gossip_protocol.PERIOD_S


def cost(size: int) -> Cost:
    """Return the cost for each of `size` nodes."""
    world = _Nodes(size)
    periods = _PERIODS if size <= _MANY else _PERIODS_MANY
    for _ in range(periods):
        world.period()
    sent, count = world.sent_bytes, world.sent
    began = time.process_time()
    for _ in range(periods):
        world.period()
    cpu_s = time.process_time() - began
    seconds = periods * gossip_protocol.PERIOD_S * size
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = world.start(world.instances[0])
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert kept.synced
    return Cost(
        size,
        (world.sent_bytes - sent) / seconds,
        (world.sent - count) / seconds,
        cpu_s / seconds,
        memory,
        world.lapsed,
    )


def _slopes(costs: list[Cost]) -> list[slopes.Slope]:
    kinds = (
        ("bytes/s sent", [one.sent_bytes_s for one in costs]),
        ("share of a core", [one.cpu_share for one in costs]),
        ("bytes of memory", [one.memory_bytes for one in costs]),
    )
    return [
        slopes.fit(
            "membership",
            kind,
            "nodes",
            [
                slopes.Point(one.nodes, value)
                for one, value in zip(costs, values, strict=True)
            ],
            COMMAND,
        )
        for kind, values in kinds
    ]


def measure() -> list[slopes.Slope]:
    """Return the slopes of membership."""
    return _slopes([cost(size) for size in SIZES])


def main() -> None:
    """Print the table and the slopes."""
    print("nodes  sent B/s  datagrams/s  core %  memory kB  lapsed")
    costs = []
    for size in SIZES:
        one = cost(size)
        costs.append(one)
        print(
            f"{size:5}  {one.sent_bytes_s:8.0f}  {one.datagrams_s:11.1f}"
            f"  {one.cpu_share * 100:6.2f}  {one.memory_bytes / 1e3:9.0f}"
            f"  {one.lapsed:6}",
            flush=True,
        )
    for slope in _slopes(costs):
        print(
            f"{slope.cost}: {slope.intercept:.4g} + {slope.slope:.4g} for each"
            f" node; at 440 {slope.predict(440):.4g}"
        )


if __name__ == "__main__":
    main()
