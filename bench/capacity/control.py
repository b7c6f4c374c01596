"""Cost of the durable state: CPU and bytes of edits and of an idle cluster."""

import time

import trio

from bench.capacity import slopes
from bench.control import __main__ as edits_benchmark
from bench.control import cluster as cluster_module

_COMMAND = "python -m bench.capacity --part control"
_SIZES = (1_000, 100_000, 200_000, 400_000)
_EDITS = 20
_INSTANCES = 3
_IDLE_S = 10.0


def measure() -> list[slopes.Slope]:
    """Return the slopes of CPU and bytes of an edit by size of the value."""
    costs = [
        trio.run(edits_benchmark.run_edits, _INSTANCES, 0.0, size, _EDITS, 1)
        for size in _SIZES
    ]
    cpu_points = [
        slopes.Point(size, cost.cpu_ms)
        for size, cost in zip(_SIZES, costs, strict=True)
    ]
    bytes_points = [
        slopes.Point(size, cost.bytes_per_edit)
        for size, cost in zip(_SIZES, costs, strict=True)
    ]
    per = "byte of the value"
    return [
        slopes.fit(
            "control",
            "CPU of an edit, 3 instances, ms",
            per,
            cpu_points,
            _COMMAND,
        ),
        slopes.fit(
            "control",
            "bytes of an edit, 3 instances",
            per,
            bytes_points,
            _COMMAND,
        ),
    ]


async def _idle(count: int) -> tuple[float, float, float]:
    async with cluster_module.running(count, 0.0) as cluster:
        await trio.sleep(3)
        traffic = cluster.traffic
        messages, sent_bytes = traffic.messages, traffic.bytes
        cpu_s = time.process_time()
        await trio.sleep(_IDLE_S)
        cpu_s = time.process_time() - cpu_s
        instance_seconds = count * _IDLE_S
        return (
            cpu_s * 1000 / instance_seconds,
            (traffic.messages - messages) / instance_seconds,
            (traffic.bytes - sent_bytes) / instance_seconds,
        )


def figures() -> list[slopes.Figure]:
    """Return CPU, messages and bytes of an idle instance, of 3 and of 7."""
    results = []
    for count in (3, 7):
        cpu_ms, messages, sent_bytes = trio.run(_idle, count)
        for name, value in (
            ("CPU, ms a second", cpu_ms),
            ("messages a second", messages),
            ("bytes a second", sent_bytes),
        ):
            cost = f"idle register, one of {count}: {name}"
            results.append(slopes.Figure("control", cost, value, _COMMAND))
    return results
