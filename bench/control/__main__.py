"""Command `python -m bench.control`: latency, CPU and traffic of an edit."""

import random
import statistics
import time
from typing import NamedTuple

import click
import trio

from bench.control import cluster as cluster_module

DELAYS_MS = (0.0, 35.0, 55.0)
_ROW = "{:>9} {:>9} {:>8} {:>8} {:>8} {:>10} {:>9}"


class Cost(NamedTuple):
    """Latency and cost of edits; CPU is that of all instances together."""

    p50_ms: float
    p99_ms: float
    cpu_ms: float
    bytes_per_edit: float
    messages_per_edit: float


async def run_edits(
    count: int, delay_s: float, value_bytes: int, edits: int, seed: int
) -> Cost:
    """Return latency and cost of sequential edits.

    Args:
        count: Number of control instances.
        delay_s: One-way delay between any two, in seconds.
        value_bytes: Size of the value that each edit writes.
        edits: Number of edits, after a first one that is not measured.
        seed: Seed of the value.
    """
    value = random.Random(seed).randbytes(value_bytes)
    async with cluster_module.running(count, delay_s) as cluster:
        await cluster.edit(0, value)
        traffic = cluster.traffic
        messages, sent_bytes = traffic.messages, traffic.bytes
        cpu_s = time.process_time()
        latencies_s = [
            await cluster.edit(number, value) for number in range(1, edits + 1)
        ]
        cpu_s = time.process_time() - cpu_s
        messages, sent_bytes = (
            traffic.messages - messages,
            traffic.bytes - sent_bytes,
        )
    latencies_s.sort()
    return Cost(
        statistics.median(latencies_s) * 1000,
        latencies_s[int(len(latencies_s) * 0.99)] * 1000,
        cpu_s / edits * 1000,
        sent_bytes / edits,
        messages / edits,
    )


@click.command()
@click.option("--seed", default=1, help="Seed of the value.")
@click.option("--instances", default=3, help="Number of control instances.")
@click.option("--edits", default=60, help="Number of edits for each row.")
def main(seed: int, instances: int, edits: int) -> None:
    """Print latency, CPU and traffic of an edit by delay and value size."""
    headings = (
        "one way",
        "value",
        "p50 ms",
        "p99 ms",
        "CPU ms",
        "bytes",
        "msgs",
    )
    click.echo(_ROW.format(*headings))
    for delay_ms in DELAYS_MS:
        for size in (2_000, 300_000):
            cost = trio.run(
                run_edits, instances, delay_ms / 1000, size, edits, seed
            )
            columns = (
                f"{delay_ms:g} ms", f"{size // 1000} KB",
                f"{cost.p50_ms:.1f}", f"{cost.p99_ms:.1f}",
                f"{cost.cpu_ms:.1f}", f"{cost.bytes_per_edit:.0f}",
                f"{cost.messages_per_edit:.1f}",
            )  # fmt: skip
            click.echo(_ROW.format(*columns))


if __name__ == "__main__":
    main()
