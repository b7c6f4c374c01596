"""Run a scenario: a schedule made beforehand, and callers that keep to it.

A request's latency counts from the moment the schedule wanted it to start. A
caller that waits for a slow answer does not delay the clock of the requests
behind it, so a stall shows in all the requests that it held up (no
coordinated omission).
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
    """A request and the second of the run in which it should start."""

    number: int
    due_s: float
    kind: scenarios.RequestKind


class Tally:
    """Latencies and outcomes by kind of request."""

    def __init__(self) -> None:
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()

    def add(self, kind: str, seconds: float, outcome: str) -> None:
        """Count one request."""
        if kind not in self.latencies:
            self.latencies[kind] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        micros = min(max(round(seconds * 1e6), LOWEST_US), HIGHEST_US)
        self.latencies[kind].record_value(micros)
        self.outcomes[kind, outcome] += 1


def schedule(scenario: scenarios.Scenario) -> Iterator[PlannedRequest]:
    """Yield the requests of an open-loop run, with Poisson arrivals."""
    rng = random.Random(scenario.seed)
    weights = [kind.weight for kind in scenario.mix]
    until = scenario.warm_up_s + scenario.seconds
    at, number = rng.expovariate(scenario.rate), 0
    while at < until:
        (kind,) = rng.choices(scenario.mix, weights)
        yield PlannedRequest(number, at, kind)
        at += rng.expovariate(scenario.rate)
        number += 1


class Run:
    """One run of a scenario.

    Args:
        scenario: What to send.
        connect: Makes a caller's connection to an address.
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
        self._began = 0.0
        send, receive = trio.open_memory_channel[connection.Connection](
            scenario.callers
        )
        self._return_caller, self._callers = send, receive

    async def run(self) -> float:
        """Send everything; return the seconds that were measured."""
        scenario = self._scenario
        for address in await self._addresses():
            caller = self._connect(address)
            await self._return_caller.send(caller)
        self._began = trio.current_time()
        async with trio.open_nursery() as nursery:
            if scenario.arrivals == scenarios.CLOSED:
                for _ in range(scenario.callers):
                    nursery.start_soon(self._closed_loop)
            else:
                await self._open_loop(nursery)
        return trio.current_time() - self._began - scenario.warm_up_s

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
            due = self._began + planned.due_s
            if due > trio.current_time():
                await trio.sleep_until(due)
            nursery.start_soon(self._send, planned, due)

    async def _closed_loop(self) -> None:
        scenario = self._scenario
        weights = [kind.weight for kind in scenario.mix]
        until = self._began + scenario.warm_up_s + scenario.seconds
        number = 0
        while trio.current_time() < until:
            (kind,) = self._rng.choices(scenario.mix, weights)
            now = trio.current_time()
            planned = PlannedRequest(number, now - self._began, kind)
            await self._send(planned, now)
            number += 1

    async def _send(self, planned: PlannedRequest, due: float) -> None:
        scenario = self._scenario
        outcome = "time-out"
        with trio.move_on_after(due + scenario.timeout_s - trio.current_time()):
            caller = await self._callers.receive()
            try:
                outcome = await self._request(caller, planned)
            except (OSError, h11.ProtocolError, trio.BrokenResourceError) as e:
                caller.close()
                outcome = type(e).__name__
            except trio.Cancelled:
                caller.close()
                raise
            finally:
                self._return_caller.send_nowait(caller)
        if planned.due_s >= scenario.warm_up_s:
            took = trio.current_time() - due
            self.tally.add(planned.kind.name, took, outcome)

    async def _request(
        self, caller: connection.Connection, planned: PlannedRequest
    ) -> str:
        kind = planned.kind
        headers = [("host", self._scenario.host)]
        if kind.key:
            key = f"{self._scenario.name}-{time.time_ns()}-{planned.number}"
            headers.append(("idempotency-key", key))
        path = kind.path.replace("{n}", str(planned.number))
        answer = await caller.request(kind.method, path, headers, kind.size)
        refused = answer.headers.get(b"hyssop-outcome")
        if refused is not None:
            return f"{answer.status} {refused.decode('latin-1')}"
        return str(answer.status)


async def look_up(scenario: scenarios.Scenario, entry: str) -> str:
    """Return the entry that `entry` names best for the first kind."""
    path = scenario.mix[0].path.replace("{n}", "0")
    stream = await trio.open_tcp_stream(*_split(entry))
    query = f"host={scenario.host}&path={path}&client=127.0.0.1"
    request = (
        f"GET /hyssop/v1/lookup?{query} HTTP/1.1\r\n"
        f"host: {scenario.host}\r\nconnection: close\r\n\r\n"
    )
    async with stream:
        await stream.send_all(request.encode())
        data = b""
        async for part in stream:
            data += part
    body = data.partition(b"\r\n\r\n")[2]
    found = msgspec.json.decode(body[body.index(b"{") : body.rindex(b"}") + 1])
    return str(found["entries"][0]["address"])


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
