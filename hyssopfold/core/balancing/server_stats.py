"""Statistics of an entry's own requests to each backend server."""

from collections.abc import Collection
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# A load report is ignored after this time: the requests that it counted have
# ended by then.
REPORT_MAX_AGE_S = 2.0
# A server is ejected after one failure to connect, or after this number of
# failed answers in a row. The duration of the ejection doubles each time, up to
# MAX_EJECTION_S.
EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
# A server is silent when requests are under way to it and no answer came for
# this multiple of the latency goal: it died without closing its connections, or
# it is too slow to be of use. It gets no requests until it answers, or until
# none is under way any more.
SILENT_AFTER_GOALS = 2.0
# Latency goal of routes without one in their row of the table.
DEFAULT_GOAL_S = 0.5
# Ejection of a server whose address belongs to another server now; the lease of
# its announcement ends within this time.
ADDRESS_REASSIGNED_EJECTION_S = 4.0
# Ejection of a server that refused a request for lack of capacity: about
# the time in which one of its requests ends.
SHED_EJECTION_S = 0.1


class ServerStats(NamedTuple):
    """Statistics of one server incarnation, from this entry's requests to it.

    Attributes:
        incarnation: The incarnation of the server.
        in_flight: This entry's requests under way.
        reported_requests: Requests running and waiting at the server, by its
            last load report.
        reported_at: Time of that report.
        in_flight_at_report: This entry's requests under way at that time.
        waiting_since: Time of the last answer, or of the oldest request under
            way if that is later.
        goal_s: Latency goal of the last request in seconds.
        failures: Failed answers in a row.
        ejections: Ejections in a row; reduced by one with each good answer.
        ejected_until: Time at which the ejection ends.
        cold_until: Time until which the server is treated as cold.
        resting_until: Time until which the server wants no requests from this
            entry, by its own answers.
        is_leaving: Whether an answer of the server said that it leaves, which
            is final for an incarnation.
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
    resting_until: float = -math.inf
    is_leaving: bool = False

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the server.

        That is its last report plus the requests that were sent since, but no
        fewer than this entry's own requests under way.
        """
        own = float(self.in_flight)
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return own
        sent_since = self.in_flight - self.in_flight_at_report
        return max(own, self.reported_requests + sent_since)

    def is_silent(self, now: float) -> bool:
        """Return whether the server answers none of its pending requests."""
        waited_s = now - self.waiting_since
        return (
            self.in_flight > 0 and waited_s > self.goal_s * SILENT_AFTER_GOALS
        )


class ServerStatsTable:
    """The statistics of each server, of its newest incarnation."""

    def __init__(self) -> None:
        self._stats: dict[str, ServerStats] = {}
        self._by_key: dict[int, str] = {}

    def current(self, server: membership.Server, now: float) -> ServerStats:
        """Return the statistics of a server, reset for a new incarnation.

        Only the requests under way are carried over to a new incarnation.
        """
        stats = self._stats.get(server.server_id)
        if stats is not None and stats.incarnation >= server.incarnation:
            return stats
        in_flight = 0
        if stats is not None:
            # Reports on the former incarnation that arrive from now on are
            # ignored: its key is no longer known.
            in_flight = stats.in_flight
            former_key = incarnation_key(server.server_id, stats.incarnation)
            self._by_key.pop(former_key, None)
        key = incarnation_key(server.server_id, server.incarnation)
        self._by_key[key] = server.server_id
        stats = self._stats[server.server_id] = ServerStats(
            server.incarnation, in_flight=in_flight, waiting_since=now
        )
        return stats

    def record_sent(
        self, server: membership.Server, goal_s: float, now: float
    ) -> ServerStats:
        """Count a request sent to a server.

        Returns:
            The statistics before the request.
        """
        stats = self.current(server, now)
        self._stats[server.server_id] = stats._replace(
            in_flight=stats.in_flight + 1,
            waiting_since=stats.waiting_since if stats.in_flight else now,
            goal_s=goal_s or DEFAULT_GOAL_S,
        )
        return stats

    def record_done(
        self,
        server_id: str,
        result: messages.AttemptResult,
        warm_up_s: float,
        now: float,
    ) -> None:
        """Record how a request ended.

        Args:
            server_id: The server that it was sent to.
            result: How it ended.
            warm_up_s: Seconds for which a restarted server stays cold.
            now: Monotonic time in seconds.
        """
        stats = self._stats.get(server_id)
        if stats is None:
            return
        stats = stats._replace(in_flight=max(0, stats.in_flight - 1))
        if result.kind in ("answered", "shed"):
            stats = stats._replace(waiting_since=now)
        if result.load is not None:
            stats = stats._replace(
                reported_requests=float(
                    result.load.running + result.load.waiting
                ),
                reported_at=now,
                in_flight_at_report=stats.in_flight,
            )
        if result.rest_s and not result.address_reassigned:
            # Answers to requests sent before may name a shorter time or none.
            resting_until = max(stats.resting_until, now + result.rest_s)
            stats = stats._replace(resting_until=resting_until)
        if result.is_leaving and not result.address_reassigned:
            stats = stats._replace(is_leaving=True)
        if result.kind != "cancelled":
            stats = _update_health(stats, result, warm_up_s, now)
        self._stats[server_id] = stats

    def key_of(self, server_id: str) -> int | None:
        """Return the key of a server's incarnation, None if it is unknown."""
        stats = self._stats.get(server_id)
        return incarnation_key(server_id, stats.incarnation) if stats else None

    def server_id_of(self, key: int) -> str | None:
        """Return the server whose newest incarnation has `key`."""
        return self._by_key.get(key)

    def silent_keys(self, now: float) -> tuple[int, ...]:
        """Return the incarnation keys of the silent servers."""
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
        """Drop servers not in `server_ids` that have no requests under way.

        Returns:
            The ids of the remaining servers.
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
    """Return the number that identifies a server incarnation in messages."""
    return zlib.crc32(f"{server_id} {incarnation}".encode())


def _update_health(
    stats: ServerStats,
    result: messages.AttemptResult,
    warm_up_s: float,
    now: float,
) -> ServerStats:
    if result.address_reassigned:
        return stats._replace(ejected_until=now + ADDRESS_REASSIGNED_EJECTION_S)
    if result.kind == "shed":
        return stats._replace(ejected_until=now + SHED_EJECTION_S)
    if result.healthy:
        return stats._replace(failures=0, ejections=max(0, stats.ejections - 1))
    failures = stats.failures + 1
    if result.connected and failures < EJECT_AFTER_FAILURES:
        return stats._replace(failures=failures)
    ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**stats.ejections)
    until = now + ejection_s
    # A server that refuses connections has terminated. It will be cold when it
    # restarts, and its announcement of that may arrive after its first request.
    cold_until = until + warm_up_s if not result.connected else stats.cold_until
    return stats._replace(
        failures=0,
        ejections=stats.ejections + 1,
        ejected_until=until,
        cold_until=cold_until,
    )
