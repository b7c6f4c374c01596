"""Cost of membership for each node, from gossip protocols in one process.

`python -m bench.capacity.membership` prints bytes, datagrams, CPU time and
memory for each node at 12, 50, 100, 200 and 440 nodes, and the slopes.
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
_PERIODS_LARGE = 2
_LARGE_SIZE = 200


class Cost(NamedTuple):
    """Cost of one node: traffic sent, share of a core and memory.

    `ended_leases` counts records of the whole system that expired.
    """

    nodes: int
    sent_bytes_s: float
    datagrams_s: float
    cpu_share: float
    memory_bytes: float
    ended_leases: int


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


class _GossipSystem:
    """Nodes with full directories, joined by the codec of datagrams."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.now = 0.0
        self.sent_bytes = self.sent_datagrams = self.ended_leases = 0
        self.rng = random.Random(1)
        self.instances = [_instance(number) for number in range(size)]
        self.servers = [
            _server(number, self.instances[number % size].name)
            for number in range(size * SERVERS_PER_NODE)
        ]
        self.nodes: dict[str, gossip_protocol.GossipProtocol] = {}
        for instance in self.instances:
            self.nodes[instance.gossip_address] = self.start(instance)

    def start(
        self, instance: messages.Instance
    ) -> gossip_protocol.GossipProtocol:
        """Return a node whose directory has all instances and servers."""
        seeds = [seed.gossip_address for seed in self.instances[:3]]
        rng = random.Random(instance.name)
        empty_directory = directory.Directory(LEASE_S)
        node = gossip_protocol.GossipProtocol(
            instance, seeds, empty_directory, LEASE_S, rng, 0.0
        )
        for server in self.servers:
            if server.monitor == instance.name:
                node.announce(server._replace(monitor=""), 0.0)
        full_directory = messages.Datagram(
            "start", 7, tuple(self.instances), tuple(self.servers), part=0,
            parts=1,
        )  # fmt: skip
        node.receive(full_directory, 0.0)
        return node

    def run_period(self) -> None:
        """Run one gossip period of all nodes and deliver all datagrams.

        In each second period all servers announce themselves.
        """
        queue = []
        if round(self.now / gossip_protocol.PERIOD_S) % 2 == 0:
            for number, server in enumerate(self.servers):
                announcement = server._replace(
                    sequence=2 + round(self.now), monitor=""
                )
                monitor_address = self.instances[
                    number % self.size
                ].gossip_address
                queue += self.nodes[monitor_address].announce(
                    announcement, self.now
                )
        for node in self.nodes.values():
            effects = node.tick(self.now)
            self.ended_leases += sum(
                isinstance(emitted, effects_module.Changed)
                and emitted.state == "lease-ended"
                for emitted in effects
            )
            queue += effects
        while queue:
            effect = queue.pop()
            if not isinstance(effect, effects_module.Send):
                continue
            for data in datagram_wire.encode(effect.datagram):
                self.sent_datagrams += 1
                self.sent_bytes += len(data) + _UDP_BYTES
                receiver = self.nodes[effect.address]
                queue += receiver.receive(datagram_wire.decode(data), self.now)
        self.now += gossip_protocol.PERIOD_S


def cost(size: int) -> Cost:
    """Return the mean cost for each of `size` nodes."""
    system = _GossipSystem(size)
    periods = _PERIODS if size <= _LARGE_SIZE else _PERIODS_LARGE
    for _ in range(periods):
        system.run_period()
    bytes_before, datagrams_before = system.sent_bytes, system.sent_datagrams
    started_at = time.process_time()
    for _ in range(periods):
        system.run_period()
    cpu_s = time.process_time() - started_at
    seconds = periods * gossip_protocol.PERIOD_S * size
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    node = system.start(system.instances[0])
    memory_bytes = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    assert node.synced
    return Cost(
        size,
        (system.sent_bytes - bytes_before) / seconds,
        (system.sent_datagrams - datagrams_before) / seconds,
        cpu_s / seconds,
        memory_bytes,
        system.ended_leases,
    )


def _slopes(costs: list[Cost]) -> list[slopes.Slope]:
    values_by_cost = (
        ("bytes/s sent", [node_cost.sent_bytes_s for node_cost in costs]),
        ("share of a core", [node_cost.cpu_share for node_cost in costs]),
        ("bytes of memory", [node_cost.memory_bytes for node_cost in costs]),
    )
    return [
        slopes.fit(
            "membership",
            cost_name,
            "nodes",
            [
                slopes.Point(node_cost.nodes, value)
                for node_cost, value in zip(costs, values, strict=True)
            ],
            COMMAND,
        )
        for cost_name, values in values_by_cost
    ]


def measure() -> list[slopes.Slope]:
    """Return the slopes of membership."""
    return _slopes([cost(size) for size in SIZES])


def main() -> None:
    """Print the table and the slopes."""
    print("nodes  sent B/s  datagrams/s  core %  memory kB  lapsed")
    costs = []
    for size in SIZES:
        node_cost = cost(size)
        costs.append(node_cost)
        print(
            f"{size:5}  {node_cost.sent_bytes_s:8.0f}"
            f"  {node_cost.datagrams_s:11.1f}"
            f"  {node_cost.cpu_share * 100:6.2f}"
            f"  {node_cost.memory_bytes / 1e3:9.0f}"
            f"  {node_cost.ended_leases:6}",
            flush=True,
        )
    for slope in _slopes(costs):
        print(
            f"{slope.cost}: {slope.intercept:.4g} + {slope.slope:.4g} for each"
            f" node; at 440 {slope.predict(440):.4g}"
        )


if __name__ == "__main__":
    main()
