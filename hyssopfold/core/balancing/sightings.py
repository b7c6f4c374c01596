"""What an entry has seen of each backend server by its own requests."""

from collections.abc import Collection
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# A report of load is worth nothing once what ran then is done.
REPORT_S = 2.0
# Failures to connect, or failed answers in a row, after which a server gets
# nothing for a while; doubled each time, up to the most.
FAILURES = 3
FIRST_REST_S = 1.0
MAX_REST_S = 8.0
# A server is silent when requests wait at it and no answer came for so many
# times the latency goal: dead without a sign, or slow beyond use. It gets
# nothing until it answers, or none of them waits any more.
SILENT_GOALS = 2.0
USUAL_GOAL_S = 0.5
# One whose address belongs to another server now: its lease ends by then.
ELSEWHERE_REST_S = 4.0
# A server that refused for want of room gets nothing for so long: about the
# time in which one of its requests ends.
SHED_REST_S = 0.1


class Sighting(NamedTuple):
    """What is known of one life of a server beside its announcement.

    `reported` is the load that it told last, `in_flight_then` this entry's
    requests under way at that time; `waits_since` is the time of its last
    answer, or of the request that waits longest; `rests` counts the rests in a
    row.
    """

    incarnation: int
    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    in_flight_then: int = 0
    waits_since: float = -math.inf
    goal_s: float = USUAL_GOAL_S
    failures: int = 0
    rests: int = 0
    resting_until: float = -math.inf
    cold_until: float = -math.inf

    def requests(self, now: float) -> float:
        """Return the requests that the server has, as far as is seen here."""
        known = float(self.in_flight)
        if now - self.reported_at > REPORT_S:
            return known
        since = self.in_flight - self.in_flight_then
        return max(known, self.reported + since)

    def is_silent(self, now: float) -> bool:
        """Return whether requests wait at a server that answers none."""
        waits_s = now - self.waits_since
        return self.in_flight > 0 and waits_s > self.goal_s * SILENT_GOALS


class Sightings:
    """Keep what is seen of each server, for the newest life of it."""

    def __init__(self) -> None:
        self._held: dict[str, Sighting] = {}
        self._by_key: dict[int, str] = {}

    def meet(self, server: membership.Server, now: float) -> Sighting:
        """Return what is seen of a server; of a new life, next to nothing."""
        seen = self._held.get(server.server_id)
        if seen is not None and seen.incarnation >= server.incarnation:
            return seen
        in_flight = 0
        if seen is not None:
            # What is said of its former life, still on its way, counts no more.
            in_flight = seen.in_flight
            former = life_key(server.server_id, seen.incarnation)
            self._by_key.pop(former, None)
        key = life_key(server.server_id, server.incarnation)
        self._by_key[key] = server.server_id
        seen = self._held[server.server_id] = Sighting(
            server.incarnation, in_flight=in_flight, waits_since=now
        )
        return seen

    def sent(
        self, server: membership.Server, goal_s: float, now: float
    ) -> Sighting:
        """Count a request sent to a server; return what was seen before."""
        seen = self.meet(server, now)
        self._held[server.server_id] = seen._replace(
            in_flight=seen.in_flight + 1,
            waits_since=seen.waits_since if seen.in_flight else now,
            goal_s=goal_s or USUAL_GOAL_S,
        )
        return seen

    def done(
        self,
        server_id: str,
        done: messages.AttemptResult,
        warm_up_s: float,
        now: float,
    ) -> None:
        """Take in how a request ended."""
        seen = self._held.get(server_id)
        if seen is None:
            return
        seen = seen._replace(in_flight=max(0, seen.in_flight - 1))
        if done.kind in ("answered", "shed"):
            seen = seen._replace(waits_since=now)
        if done.load is not None:
            seen = seen._replace(
                reported=float(done.load.running + done.load.waiting),
                reported_at=now,
                in_flight_then=seen.in_flight,
            )
        if done.kind != "cancelled":
            seen = _judged(seen, done, warm_up_s, now)
        self._held[server_id] = seen

    def key_of(self, server_id: str) -> int | None:
        """Return what stands for a server's life, if it was met."""
        seen = self._held.get(server_id)
        return life_key(server_id, seen.incarnation) if seen else None

    def server_of(self, key: int) -> str | None:
        """Return the server whose newest life `key` stands for."""
        return self._by_key.get(key)

    def silent(self, now: float) -> tuple[int, ...]:
        """Return the lives of servers at which requests wait in vain."""
        return tuple(
            life_key(server_id, seen.incarnation)
            for server_id, seen in self._held.items()
            if seen.is_silent(now)
        )

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return {
            server_id: seen.in_flight
            for server_id, seen in self._held.items()
            if seen.in_flight
        }

    def forget(self, known: Collection[str]) -> Collection[str]:
        """Drop the servers that are not `known` and have nothing under way.

        Returns:
            Those that are kept.
        """
        for server_id in self._held.keys() - set(known):
            if not self._held[server_id].in_flight:
                del self._held[server_id]
        self._by_key = {
            life_key(server_id, seen.incarnation): server_id
            for server_id, seen in self._held.items()
        }
        return self._held.keys()


def life_key(server_id: str, incarnation: int) -> int:
    """Return what stands for one life of a server between entries."""
    return zlib.crc32(f"{server_id} {incarnation}".encode())


def _judged(
    seen: Sighting, done: messages.AttemptResult, warm_up_s: float, now: float
) -> Sighting:
    if done.address_reassigned:
        return seen._replace(resting_until=now + ELSEWHERE_REST_S)
    if done.kind == "shed":
        return seen._replace(resting_until=now + SHED_REST_S)
    if done.healthy:
        return seen._replace(failures=0, rests=max(0, seen.rests - 1))
    failures = seen.failures + 1
    if done.connected and failures < FAILURES:
        return seen._replace(failures=failures)
    rest_s = min(MAX_REST_S, FIRST_REST_S * 2.0**seen.rests)
    until = now + rest_s
    # One that takes no connection has ended; it comes back cold, and its own
    # word of that may come later than its first request.
    cold_until = until + warm_up_s if not done.connected else seen.cold_until
    return seen._replace(
        failures=0,
        rests=seen.rests + 1,
        resting_until=until,
        cold_until=cold_until,
    )
