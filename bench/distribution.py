"""Measures the distribution of revisions: propagation time, traffic and CPU.

`python -m bench.distribution --seed 1` prints two tables. The first simulates
the core of distribution on a fake network in virtual time: one-way delays of
20 to 60 ms, the given share of messages lost, gossip each second. The second
uses real connections over loopback in one process, from the control instances
to the entries' followers; its CPU time is that of both ends together.
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
LOSS_SHARES = (0.0, 0.1, 0.3)
CONTROL_INSTANCES = 3
TIMEOUT_S = 120.0
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in struct tcp_info.
_TCP_INFO_OFFSET = 120
_TCP_INFO_BYTES = 136


class PropagationTimes(NamedTuple):
    """Seconds until a change is in force at all entries, and idle traffic.

    `polls_per_s` and `bytes_per_s` are those of one idle entry.
    """

    median: float
    p95: float
    worst: float
    polls_per_s: float
    bytes_per_s: float


def measure_propagation(
    seed: int, entries: int, modes: tuple[str, ...], loss: float, runs: int
) -> PropagationTimes:
    """Simulate changes; return the seconds until all entries have them.

    The traffic is that of an idle entry and counts polls and their answers
    alone.

    Args:
        seed: Seed of the simulations.
        entries: Number of entries.
        modes: Names of the update modes in use.
        loss: Share of messages lost, from 0 to 1.
        runs: Number of simulations.
    """
    propagation_s, polls_per_s, sent = [], [], []
    for run in range(runs):
        flags = [name in modes for name in messages.UpdateModes._fields]
        net = fake_distribution.FakeNetwork(
            seed * 1000 + run,
            entries=entries,
            modes=messages.UpdateModes(*flags),
            fanout=3,
        )
        net.change()
        net.run_until(lambda net=net: net.all_at(1), TIMEOUT_S)
        net.loss = loss
        started_at, sent_before = net.now, dict(net.sent_bytes)
        polls_before = net.sent_count["ask"]
        net.run(20 + run)
        idle_s = (net.now - started_at) * entries
        polls_per_s.append((net.sent_count["ask"] - polls_before) / idle_s)
        sent.append(
            sum(net.sent_bytes[kind] - sent_before[kind] for kind in
                ("ask", "answer")) / idle_s
        )  # fmt: skip
        net.change()
        duration_s = net.run_until(lambda net=net: net.all_at(2), TIMEOUT_S)
        propagation_s.append(TIMEOUT_S if duration_s is None else duration_s)
    propagation_s.sort()
    return PropagationTimes(
        statistics.median(propagation_s),
        propagation_s[
            min(len(propagation_s) - 1, int(len(propagation_s) * 0.95))
        ],
        propagation_s[-1],
        statistics.mean(polls_per_s),
        statistics.mean(sent),
    )


def value_of(revision: int) -> bytes:
    """Return a state of 40 routes and 4 pools; each revision changes a row."""
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
    """Cost of distribution for one entry.

    `cpu` is the share of a core at both ends together, `sent` and `received`
    are the TCP payload of the entry in bytes a second.
    """

    cpu: float
    sent: float
    received: float


class _LoopbackSystem:
    """Control instances and followers of entries, joined over loopback."""

    def __init__(self, entries: int, seed: int) -> None:
        rng = random.Random(seed)
        connection_config = rpc.ConnectionConfig(
            auth.Keyring((b"a-shared-key-for-bench",)), rng
        )
        self.connection_config = connection_config
        self.addresses = [
            loopback.free_address() for _ in range(CONTROL_INSTANCES)
        ]
        self.publishers = [
            publisher.Publisher(history.History(), lambda now: 0.0, _confirm)
            for _ in self.addresses
        ]
        self.entries = [
            configuration.Configuration(
                f"entry-{n}",
                [
                    rpc.Client(address, connection_config)
                    for address in self.addresses
                ],
                rpc.Clients(connection_config),
                rng,
                messages.UpdateModes(),
            )
            for n in range(entries)
        ]

    def publish(self, revision: int) -> None:
        """Publish a revision at all control instances."""
        for control_publisher in self.publishers:
            control_publisher.publish(revision, value_of(revision))

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything; return when all entries have the first revision."""
        self.publish(1)
        for address, control_publisher in zip(
            self.addresses, self.publishers, strict=True
        ):
            handlers = {poll_wire.POLL: control_publisher.poll}
            await nursery.start(
                rpc.serve, address, handlers, self.connection_config
            )
        for entry in self.entries:
            nursery.start_soon(entry.run)
        while any(entry.snapshot.revision < 1 for entry in self.entries):
            await trio.sleep(0.1)
        # Long enough for each entry to poll each instance once.
        await trio.sleep(2.0)

    def sockets(self) -> Iterator[socket.socket]:
        """Yield the sockets of all connections at the entries."""
        for entry in self.entries:
            for client in entry._control.values():
                conn = client._connection
                with contextlib.suppress(AttributeError):
                    protocol = conn.channel._protocol
                    transport = protocol.processor.connection._transport
                    yield transport.get_extra_info("socket")

    def traffic(self) -> tuple[int, int]:
        """Return the total bytes that the entries have sent and received."""
        sent = received = 0
        for sock in self.sockets():
            info = sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
            acked_bytes, received_bytes = struct.unpack_from(
                "=QQ", info, _TCP_INFO_OFFSET
            )
            sent, received = sent + acked_bytes, received + received_bytes
        return sent, received


async def _confirm() -> bool:
    return True


async def _measure(
    entries: int, seconds: float, changes: int, seed: int
) -> Cost:
    async with rpc.open_loop(), trio.open_nursery() as nursery:
        system = _LoopbackSystem(entries, seed)
        await system.start(nursery)
        sent, received = system.traffic()
        cpu, started_at = time.process_time(), time.monotonic()
        for change in range(changes):
            system.publish(2 + change)
            await trio.sleep(seconds / changes)
        if not changes:
            await trio.sleep(seconds)
        duration_s = time.monotonic() - started_at
        cpu = time.process_time() - cpu
        final_sent, final_received = system.traffic()
        nursery.cancel_scope.cancel()
    entry_seconds = duration_s * entries
    return Cost(
        cpu / entry_seconds,
        (final_sent - sent) / entry_seconds,
        (final_received - received) / entry_seconds,
    )


def measure_cost(entries: int, seconds: float, changes: int, seed: int) -> Cost:
    """Return the cost for an entry with `changes` revisions in `seconds`."""
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
    help="Number of entries on real connections; repeatable.",
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
    """Print propagation times and the cost for an entry."""
    if part != "cost":
        click.echo(f"seconds until in force at {entries} entries, {runs} runs")
        click.echo("ways | lost | median | p95 | worst | asks/s | bytes/s")
        for modes in MODE_COMBINATIONS if all_ways else MODE_COMBINATIONS[-1:]:
            for loss in LOSS_SHARES:
                times = measure_propagation(seed, entries, modes, loss, runs)
                click.echo(
                    f"{' + '.join(modes)} | {loss:.0%} | {times.median:.2f} |"
                    f" {times.p95:.2f} | {times.worst:.2f} |"
                    f" {times.polls_per_s:.2f} | {times.bytes_per_s:.0f}"
                )
    if part != "force":
        click.echo(f"one entry, both ends, over {seconds:g} s")
        click.echo("entries | changes | CPU % | sent B/s | received B/s")
        for entry_count in farm:
            for changes in (0, 10):
                entry_cost = measure_cost(entry_count, seconds, changes, seed)
                click.echo(
                    f"{entry_count} | {changes} | {entry_cost.cpu * 100:.3f} |"
                    f" {entry_cost.sent:.0f} | {entry_cost.received:.0f}"
                )


if __name__ == "__main__":
    main()
