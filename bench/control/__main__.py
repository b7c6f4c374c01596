"""Command `python -m bench.control`: what an edit takes and costs."""

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
    """What edits took: times in ms, CPU of all instances together."""

    p50_ms: float
    p99_ms: float
    cpu_ms: float
    bytes_per_edit: float
    messages_per_edit: float


async def run_edits(
    count: int, delay_s: float, value_bytes: int, edits: int, seed: int
) -> Cost:
    """Return the cost of edits made one after another."""
    value = random.Random(seed).randbytes(value_bytes)
    async with cluster_module.running(count, delay_s) as cluster:
        await cluster.edit(0, value)
        traffic = cluster.traffic
        sent, size = traffic.messages, traffic.bytes
        cpu = time.process_time()
        times = [
            await cluster.edit(number, value) for number in range(1, edits + 1)
        ]
        cpu = time.process_time() - cpu
        sent, size = traffic.messages - sent, traffic.bytes - size
    times.sort()
    return Cost(
        statistics.median(times) * 1000,
        times[int(len(times) * 0.99)] * 1000,
        cpu / edits * 1000,
        size / edits,
        sent / edits,
    )


@click.command()
@click.option("--seed", default=1, help="Seed of the values.")
@click.option("--instances", default=3, help="Control instances.")
@click.option("--edits", default=60, help="Edits for each row.")
def main(seed: int, instances: int, edits: int) -> None:
    """Print latency, CPU and bytes of an edit by delay and value size."""
    heads = ("one way", "value", "p50 ms", "p99 ms", "CPU ms", "bytes", "msgs")
    click.echo(_ROW.format(*heads))
    for delay_ms in DELAYS_MS:
        for size in (2_000, 300_000):
            cost = trio.run(
                run_edits, instances, delay_ms / 1000, size, edits, seed
            )
            cells = (
                f"{delay_ms:g} ms", f"{size // 1000} KB",
                f"{cost.p50_ms:.1f}", f"{cost.p99_ms:.1f}",
                f"{cost.cpu_ms:.1f}", f"{cost.bytes_per_edit:.0f}",
                f"{cost.messages_per_edit:.1f}",
            )  # fmt: skip
            click.echo(_ROW.format(*cells))


if __name__ == "__main__":
    main()
