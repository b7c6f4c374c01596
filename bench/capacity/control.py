"""Slopes of the durable state: CPU and bytes of an edit by its size."""

import time

import trio

from bench.capacity import slopes
from bench.control import __main__ as commits
from bench.control import cluster as cluster_module

_COMMAND = "python -m bench.capacity --part control"
_SIZES = (1_000, 100_000, 200_000, 400_000)
_EDITS = 20
_INSTANCES = 3
_IDLE_S = 10.0


def measure() -> list[slopes.Slope]:
    """Return CPU and bytes for an edit, per byte of the value."""
    costs = [
        trio.run(commits.run_edits, _INSTANCES, 0.0, size, _EDITS, 1)
        for size in _SIZES
    ]
    cpu = [
        slopes.Point(size, cost.cpu_ms)
        for size, cost in zip(_SIZES, costs, strict=True)
    ]
    sent = [
        slopes.Point(size, cost.bytes_per_edit)
        for size, cost in zip(_SIZES, costs, strict=True)
    ]
    per = "byte of the value"
    return [
        slopes.fit(
            "control", "CPU of an edit, 3 instances, ms", per, cpu, _COMMAND
        ),
        slopes.fit(
            "control", "bytes of an edit, 3 instances", per, sent, _COMMAND
        ),
    ]


async def _idle(count: int) -> tuple[float, float, float]:
    async with cluster_module.running(count, 0.0) as cluster:
        await trio.sleep(3)
        traffic = cluster.traffic
        sent, size = traffic.messages, traffic.bytes
        cpu = time.process_time()
        await trio.sleep(_IDLE_S)
        cpu = time.process_time() - cpu
        share = count * _IDLE_S
        return (
            cpu * 1000 / share,
            (traffic.messages - sent) / share,
            (traffic.bytes - size) / share,
        )


def figures() -> list[slopes.Figure]:
    """Return what an idle instance spends, of 3 and of 7."""
    found = []
    for count in (3, 7):
        cpu_ms, sent, size = trio.run(_idle, count)
        for name, value in (
            ("CPU, ms a second", cpu_ms),
            ("messages a second", sent),
            ("bytes a second", size),
        ):
            cost = f"idle register, one of {count}: {name}"
            found.append(slopes.Figure("control", cost, value, _COMMAND))
    return found
