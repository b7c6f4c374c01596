"""Measure distribution: seconds until in force, bytes and CPU.

`python -m bench.distribution --seed 1` prints two tables. The first runs the
pure core on a fake network in virtual time: delays of 20 to 60 ms one way,
the given share of messages lost, gossip each second. The second runs real
connections over loopback in one process: control instances, followers and
all that lies between; its CPU is that of both ends together.
"""

from collections.abc import Iterator
import contextlib
import random
import socket
import statistics
import struct
import time
from typing import NamedTuple

import click
import trio

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import messages
from hyssopfold.entry import configuration
from hyssopfold.transport import auth
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc
from tests.support import fake_distribution
from tests.support import loopback

MODE_COMBINATIONS = (
    ("push",),
    ("pull",),
    ("piggyback",),
    ("push", "pull"),
    ("push", "piggyback"),
    ("pull", "piggyback"),
    ("push", "pull", "piggyback"),
)
LOSSES = (0.0, 0.1, 0.3)
CONTROL = 3
PATIENCE_S = 120.0
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
_TCP_INFO_AT = 120
_TCP_INFO_BYTES = 136


class PropagationTimes(NamedTuple):
    """How long changes took until in force everywhere, in seconds."""

    median: float
    p95: float
    worst: float
    asks_per_s: float
    bytes_per_s: float


def measure_propagation(
    seed: int, entries: int, ways: tuple[str, ...], loss: float, runs: int
) -> PropagationTimes:
    """Return the seconds until every entry has a change in force.

    The costs are those of an idle entry, for questions and answers alone.
    """
    taken, asks, sent = [], [], []
    for run in range(runs):
        chosen = [name in ways for name in messages.UpdateModes._fields]
        net = fake_distribution.FakeNetwork(
            seed * 1000 + run,
            entries=entries,
            modes=messages.UpdateModes(*chosen),
            fanout=3,
        )
        net.change()
        net.run_until(lambda net=net: net.all_at(1), PATIENCE_S)
        net.loss = loss
        began, before = net.now, dict(net.sent_bytes)
        count = net.sent_count["ask"]
        net.run(20 + run)
        idle_s = (net.now - began) * entries
        asks.append((net.sent_count["ask"] - count) / idle_s)
        sent.append(
            sum(net.sent_bytes[kind] - before[kind] for kind in
                ("ask", "answer")) / idle_s
        )  # fmt: skip
        net.change()
        took = net.run_until(lambda net=net: net.all_at(2), PATIENCE_S)
        taken.append(PATIENCE_S if took is None else took)
    taken.sort()
    return PropagationTimes(
        statistics.median(taken),
        taken[min(len(taken) - 1, int(len(taken) * 0.95))],
        taken[-1],
        statistics.mean(asks),
        statistics.mean(sent),
    )


def value_of(revision: int) -> bytes:
    """Return a state of 40 routes and 4 pools, one row of them changed."""
    routes = tuple(
        tables.Route(
            f"route-{n:03d}", "mrema.example", f"/{n}/", ("GET", "POST"),
            "catalogue", None,
            30_000 + (revision if n == revision % 40 else 0), 5, {},
        )
        for n in range(40)
    )  # fmt: skip
    pools = tuple(
        tables.Pool(f"pool-{n}", 3, 330, 0.1, 0.1, 4000, 30.0, tables.Drains())
        for n in range(4)
    )
    return state.encode(state.State(tables.Tables(routes, pools)))


class Cost(NamedTuple):
    """What one entry costs, both ends together.

    `cpu` is the share of a core, `sent` and `received` bytes a second of the
    entry within TCP.
    """

    cpu: float
    sent: float
    received: float


class _Farm:
    """Control instances and entries' followers on real connections."""

    def __init__(self, entries: int, seed: int) -> None:
        rng = random.Random(seed)
        links = rpc.ConnectionConfig(
            auth.Keyring((b"a-shared-key-for-bench",)), rng
        )
        self.links = links
        self.addresses = [loopback.free_address() for _ in range(CONTROL)]
        self.publishers = [
            publisher.Publisher(history.History(), lambda now: 0.0, _sure)
            for _ in self.addresses
        ]
        self.entries = [
            configuration.Configuration(
                f"entry-{n}",
                [rpc.Client(address, links) for address in self.addresses],
                rpc.Clients(links),
                rng,
                messages.UpdateModes(),
            )
            for n in range(entries)
        ]

    def publish(self, revision: int) -> None:
        """Make a revision known to all control instances."""
        for one in self.publishers:
            one.publish(revision, value_of(revision))

    async def start(self, nursery: trio.Nursery) -> None:
        """Run all; return when all entries have the first revision."""
        self.publish(1)
        for address, one in zip(self.addresses, self.publishers, strict=True):
            handlers = {poll_wire.POLL: one.poll}
            await nursery.start(rpc.serve, address, handlers, self.links)
        for entry in self.entries:
            nursery.start_soon(entry.run)
        while any(entry.snapshot.revision < 1 for entry in self.entries):
            await trio.sleep(0.1)
        # Long enough for each entry to have asked each instance once.
        await trio.sleep(2.0)

    def sockets(self) -> Iterator[socket.socket]:
        """Yield the entries' ends of all connections."""
        for entry in self.entries:
            for client in entry._control.values():
                conn = client._connection
                with contextlib.suppress(AttributeError):
                    protocol = conn.channel._protocol
                    transport = protocol.processor.connection._transport
                    yield transport.get_extra_info("socket")

    def traffic(self) -> tuple[int, int]:
        """Return the bytes that all entries sent and received so far."""
        sent = received = 0
        for sock in self.sockets():
            info = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
            acked, came = struct.unpack_from("=QQ", info, _TCP_INFO_AT)
            sent, received = sent + acked, received + came
        return sent, received


async def _sure() -> bool:
    return True


async def _measure(
    entries: int, seconds: float, changes: int, seed: int
) -> Cost:
    async with rpc.open_loop(), trio.open_nursery() as nursery:
        farm = _Farm(entries, seed)
        await farm.start(nursery)
        sent, received = farm.traffic()
        cpu, began = time.process_time(), time.monotonic()
        for change in range(changes):
            farm.publish(2 + change)
            await trio.sleep(seconds / changes)
        if not changes:
            await trio.sleep(seconds)
        took = time.monotonic() - began
        cpu = time.process_time() - cpu
        now_sent, now_received = farm.traffic()
        nursery.cancel_scope.cancel()
    share = took * entries
    return Cost(
        cpu / share,
        (now_sent - sent) / share,
        (now_received - received) / share,
    )


def measure_cost(entries: int, seconds: float, changes: int, seed: int) -> Cost:
    """Return what an entry costs with so many changes in so many seconds."""
    return trio.run(_measure, entries, seconds, changes, seed)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--entries", default=50, show_default=True)
@click.option("--runs", default=20, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option(
    "--part", type=click.Choice(["all", "force", "cost"]), default="all"
)
@click.option(
    "--farm",
    multiple=True,
    type=int,
    default=(4, 12, 50, 200),
    show_default=True,
    help="Entries on real connections; may be given several times.",
)
@click.option("--all-ways/--usual-ways", default=True, show_default=True)
def main(
    seed: int,
    entries: int,
    runs: int,
    seconds: float,
    part: str,
    all_ways: bool,
    farm: tuple[int, ...],
) -> None:
    """Print seconds until in force and what an entry costs."""
    if part != "cost":
        click.echo(f"seconds until in force at {entries} entries, {runs} runs")
        click.echo("ways | lost | median | p95 | worst | asks/s | bytes/s")
        for ways in MODE_COMBINATIONS if all_ways else MODE_COMBINATIONS[-1:]:
            for loss in LOSSES:
                got = measure_propagation(seed, entries, ways, loss, runs)
                click.echo(
                    f"{' + '.join(ways)} | {loss:.0%} | {got.median:.2f} |"
                    f" {got.p95:.2f} | {got.worst:.2f} |"
                    f" {got.asks_per_s:.2f} | {got.bytes_per_s:.0f}"
                )
    if part != "force":
        click.echo(f"one entry, both ends, over {seconds:g} s")
        click.echo("entries | changes | CPU % | sent B/s | received B/s")
        for count in farm:
            for changes in (0, 10):
                each = measure_cost(count, seconds, changes, seed)
                click.echo(
                    f"{count} | {changes} | {each.cpu * 100:.3f} |"
                    f" {each.sent:.0f} | {each.received:.0f}"
                )


if __name__ == "__main__":
    main()
