"""What an entry has stats of each backend server by its own requests."""

from collections.abc import Collection
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# A report of load is worth nothing once what ran then is done.
REPORT_MAX_AGE_S = 2.0
# Failures to connect, or failed answers in a row, after which a server gets
# nothing for a while; doubled each time, up to the most.
EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# A server is silent when requests wait at it and no answer came for so many
# times the latency goal: dead without a sign, or slow beyond use. It gets
# nothing until it answers, or none of them waits any more.
SILENT_AFTER_GOALS = 2.0
DEFAULT_GOAL_S = 0.5
# One whose address belongs to another server now: its lease ends by then.
ADDRESS_TAKEN_EJECTION_S = 4.0
# A server that refused for want of room gets nothing for so long: about the
# time in which one of its requests ends.
SHED_EJECTION_S = 0.1


class ServerStats(NamedTuple):
    """What is known of one life of a server beside its announcement.

    `reported` is the load that it told last, `in_flight_at_report` this entry's
    requests under way at that time; `waiting_since` is the time of its last
    answer, or of the request that waits longest; `rests` counts the rests in a
    row.
    """

    incarnation: int
    in_flight: int = 0
    reported_requests: float = 0.0
    reported_at: float = -math.inf
    in_flight_at_report: int = 0
    waiting_since: float = -math.inf
    goal_s: float = DEFAULT_GOAL_S
    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    cold_until: float = -math.inf

    def estimated_requests(self, now: float) -> float:
        """Return the requests that the server has, as far as is stats here."""
        known = float(self.in_flight)
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return known
        since = self.in_flight - self.in_flight_at_report
        return max(known, self.reported_requests + since)

    def is_silent(self, now: float) -> bool:
        """Return whether requests wait at a server that answers none."""
        waits_s = now - self.waiting_since
        return self.in_flight > 0 and waits_s > self.goal_s * SILENT_AFTER_GOALS


class ServerStatsTable:
    """Keep what is stats of each server, for the newest life of it."""

    def __init__(self) -> None:
        self._stats: dict[str, ServerStats] = {}
        self._by_key: dict[int, str] = {}

    def current(self, server: membership.Server, now: float) -> ServerStats:
        """Return what is stats of a server; of a new life, next to nothing."""
        stats = self._stats.get(server.server_id)
        if stats is not None and stats.incarnation >= server.incarnation:
            return stats
        in_flight = 0
        if stats is not None:
            # What is said of its former life, still on its way, counts no more.
            in_flight = stats.in_flight
            former = incarnation_key(server.server_id, stats.incarnation)
            self._by_key.pop(former, None)
        key = incarnation_key(server.server_id, server.incarnation)
        self._by_key[key] = server.server_id
        stats = self._stats[server.server_id] = ServerStats(
            server.incarnation, in_flight=in_flight, waiting_since=now
        )
        return stats

    def record_sent(
        self, server: membership.Server, goal_s: float, now: float
    ) -> ServerStats:
        """Count a request sent to a server; return what was stats before."""
        stats = self.current(server, now)
        self._stats[server.server_id] = stats._replace(
            in_flight=stats.in_flight + 1,
            waiting_since=stats.waiting_since if stats.in_flight else now,
            goal_s=goal_s or DEFAULT_GOAL_S,
        )
        return stats

    def record_done(
        self, server_id: str, done: messages.Done, warm_up_s: float, now: float
    ) -> None:
        """Take in how a request ended."""
        stats = self._stats.get(server_id)
        if stats is None:
            return
        stats = stats._replace(in_flight=max(0, stats.in_flight - 1))
        if done.kind in ("answered", "shed"):
            stats = stats._replace(waiting_since=now)
        if done.load is not None:
            stats = stats._replace(
                reported_requests=float(done.load.running + done.load.waiting),
                reported_at=now,
                in_flight_at_report=stats.in_flight,
            )
        if done.kind != "cancelled":
            stats = _judged(stats, done, warm_up_s, now)
        self._stats[server_id] = stats

    def key_of(self, server_id: str) -> int | None:
        """Return what stands for a server's life, if it was met."""
        stats = self._stats.get(server_id)
        return incarnation_key(server_id, stats.incarnation) if stats else None

    def server_id_of(self, key: int) -> str | None:
        """Return the server whose newest life `key` stands for."""
        return self._by_key.get(key)

    def silent_keys(self, now: float) -> tuple[int, ...]:
        """Return the lives of servers at which requests wait in vain."""
        return tuple(
            incarnation_key(server_id, stats.incarnation)
            for server_id, stats in self._stats.items()
            if stats.is_silent(now)
        )

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return {
            server_id: stats.in_flight
            for server_id, stats in self._stats.items()
            if stats.in_flight
        }

    def prune(self, server_ids: Collection[str]) -> Collection[str]:
        """Drop the servers that are not in `server_ids` and have nothing under way.

        Returns:
            Those that are kept.
        """
        for server_id in self._stats.keys() - set(server_ids):
            if not self._stats[server_id].in_flight:
                del self._stats[server_id]
        self._by_key = {
            incarnation_key(server_id, stats.incarnation): server_id
            for server_id, stats in self._stats.items()
        }
        return self._stats.keys()


def incarnation_key(server_id: str, incarnation: int) -> int:
    """Return what stands for one life of a server between entries."""
    return zlib.crc32(f"{server_id} {incarnation}".encode())


def _judged(
    stats: ServerStats, done: messages.Done, warm_up_s: float, now: float
) -> ServerStats:
    if done.elsewhere:
        return stats._replace(ejected_until=now + ADDRESS_TAKEN_EJECTION_S)
    if done.kind == "shed":
        return stats._replace(ejected_until=now + SHED_EJECTION_S)
    if done.good:
        return stats._replace(failures=0, ejections=max(0, stats.ejections - 1))
    failures = stats.failures + 1
    if done.reached and failures < EJECT_AFTER_FAILURES:
        return stats._replace(failures=failures)
    ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**stats.ejections)
    until = now + ejection_s
    # One that takes no connection has ended; it comes back cold, and its own
    # word of that may come later than its first request.
    cold_until = until + warm_up_s if not done.reached else stats.cold_until
    return stats._replace(
        failures=0,
        ejections=stats.ejections + 1,
        ejected_until=until,
        cold_until=cold_until,
    )
