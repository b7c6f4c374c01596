"""Runs a load scenario: open-loop by a schedule, or closed-loop.

In an open-loop run the latency of a request is measured from the time at which
the schedule planned to start it, also when all connections are busy then. A
server's stall therefore shows in the latency of every request that it delayed
(no coordinated omission).
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
import random
import time
from typing import NamedTuple

import h11
from hdrh import histogram
import msgspec
import trio

from bench.load import connection
from bench.load import scenario as scenarios

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3


class PlannedRequest(NamedTuple):
    """A request, planned to start `due_s` seconds after the run's start."""

    number: int
    due_s: float
    kind: scenarios.RequestKind


class Tally:
    """Latency histograms, in microseconds, and outcome counts by kind."""

    def __init__(self) -> None:
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()

    def add(self, kind: str, seconds: float, outcome: str) -> None:
        """Record the latency and the outcome of one request."""
        if kind not in self.latencies:
            self.latencies[kind] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        latency_us = min(max(round(seconds * 1e6), LOWEST_US), HIGHEST_US)
        self.latencies[kind].record_value(latency_us)
        self.outcomes[kind, outcome] += 1


def schedule(scenario: scenarios.Scenario) -> Iterator[PlannedRequest]:
    """Yield the requests of an open-loop run, with Poisson arrivals."""
    rng = random.Random(scenario.seed)
    weights = [kind.weight for kind in scenario.mix]
    end_s = scenario.warm_up_s + scenario.seconds
    due_s, number = rng.expovariate(scenario.rate), 0
    while due_s < end_s:
        (kind,) = rng.choices(scenario.mix, weights)
        yield PlannedRequest(number, due_s, kind)
        due_s += rng.expovariate(scenario.rate)
        number += 1


class Run:
    """One run of a scenario.

    Args:
        scenario: The load to send.
        connect: Returns a connection object for an address.
    """

    def __init__(
        self,
        scenario: scenarios.Scenario,
        connect: Callable[[str], connection.Connection] = connection.Connection,
    ) -> None:
        self.tally = Tally()
        self._scenario = scenario
        self._connect = connect
        self._rng = random.Random(scenario.seed + 1)
        self._started_at = 0.0
        release, idle = trio.open_memory_channel[connection.Connection](
            scenario.callers
        )
        self._release, self._idle = release, idle

    async def run(self) -> float:
        """Send all requests; return the measured duration in seconds."""
        scenario = self._scenario
        for address in await self._addresses():
            conn = self._connect(address)
            await self._release.send(conn)
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            if scenario.arrivals == scenarios.CLOSED:
                for _ in range(scenario.callers):
                    nursery.start_soon(self._closed_loop)
            else:
                await self._open_loop(nursery)
        return trio.current_time() - self._started_at - scenario.warm_up_s

    async def _addresses(self) -> list[str]:
        scenario = self._scenario
        addresses = list(scenario.entries)
        if scenario.look_up:
            addresses = [await look_up(scenario, addresses[0])]
        return [
            addresses[index % len(addresses)]
            for index in range(scenario.callers)
        ]

    async def _open_loop(self, nursery: trio.Nursery) -> None:
        for planned in schedule(self._scenario):
            due = self._started_at + planned.due_s
            if due > trio.current_time():
                await trio.sleep_until(due)
            nursery.start_soon(self._send_planned, planned, due)

    async def _closed_loop(self) -> None:
        scenario = self._scenario
        weights = [kind.weight for kind in scenario.mix]
        end_at = self._started_at + scenario.warm_up_s + scenario.seconds
        number = 0
        while trio.current_time() < end_at:
            (kind,) = self._rng.choices(scenario.mix, weights)
            now = trio.current_time()
            planned = PlannedRequest(number, now - self._started_at, kind)
            await self._send_planned(planned, now)
            number += 1

    async def _send_planned(self, planned: PlannedRequest, due: float) -> None:
        scenario = self._scenario
        outcome = "time-out"
        with trio.move_on_after(due + scenario.timeout_s - trio.current_time()):
            conn = await self._idle.receive()
            try:
                outcome = await self._exchange(conn, planned)
            except (
                OSError,
                h11.ProtocolError,
                trio.BrokenResourceError,
            ) as exc:
                conn.close()
                outcome = type(exc).__name__
            except trio.Cancelled:
                conn.close()
                raise
            finally:
                self._release.send_nowait(conn)
        if planned.due_s >= scenario.warm_up_s:
            latency_s = trio.current_time() - due
            self.tally.add(planned.kind.name, latency_s, outcome)

    async def _exchange(
        self, conn: connection.Connection, planned: PlannedRequest
    ) -> str:
        kind = planned.kind
        headers = [("host", self._scenario.host)]
        if kind.key:
            key = f"{self._scenario.name}-{time.time_ns()}-{planned.number}"
            headers.append(("idempotency-key", key))
        path = kind.path.replace("{n}", str(planned.number))
        answer = await conn.request(kind.method, path, headers, kind.size)
        outcome_header = answer.headers.get(b"hyssop-outcome")
        if outcome_header is not None:
            return f"{answer.status} {outcome_header.decode('latin-1')}"
        return str(answer.status)


async def look_up(scenario: scenarios.Scenario, entry: str) -> str:
    """Return the address that `entry` ranks first for the first kind's path."""
    path = scenario.mix[0].path.replace("{n}", "0")
    stream = await trio.open_tcp_stream(*_host_and_port(entry))
    query = f"host={scenario.host}&path={path}&client=127.0.0.1"
    request = (
        f"GET /hyssop/v1/lookup?{query} HTTP/1.1\r\n"
        f"host: {scenario.host}\r\nconnection: close\r\n\r\n"
    )
    async with stream:
        await stream.send_all(request.encode())
        data = b""
        async for chunk in stream:
            data += chunk
    body = data.partition(b"\r\n\r\n")[2]
    ranking = msgspec.json.decode(
        body[body.index(b"{") : body.rindex(b"}") + 1]
    )
    return str(ranking["entries"][0]["address"])


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
