"""Limits on the slots used of each server, from its health and warm-up."""

from collections.abc import Collection
import math
import statistics
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# Consecutive failures after which a server is ejected: it gets no new requests
# for a time that doubles with each ejection, within these bounds.
EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# At most this share of a pool's servers is ejected at the same time.
MAX_EJECTED_SHARE = 1 / 3
# Consecutive requests that a server refused, after which it gets one request at
# a time for `SHED_LIMIT_S`.
LIMIT_AFTER_SHEDS = 2
SHED_LIMIT_S = 1.0
# A server whose average duration exceeds the pool's median by this factor gets
# one request at a time; only servers with enough samples are compared.
SLOW_FACTOR = 4.0
MIN_SLOW_SAMPLES = 10
# Weight of the newest duration in the moving average.
_AVERAGE_GAIN = 0.1
# A server that ran no request for this long is assumed to be cold.
COLD_AFTER_IDLE_S = 300.0


class _ServerHealth(NamedTuple):
    incarnation: int
    warming_since: float
    failures: int = 0
    sheds: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    limited_until: float = 0.0
    average_s: float = 0.0
    samples: int = 0
    last_used: float = 0.0
    on_probation: bool = False
    resting_until: float = 0.0
    is_leaving: bool = False

    def accepts_requests(self, now: float) -> bool:
        """Return whether the server itself wants requests now."""
        return not self.is_leaving and self.resting_until <= now


class HealthTracker:
    """Health of the servers of a pool in a region, from request results.

    Load reports of the servers are not used, so that a server with false
    reports can neither be cut off from requests nor be flooded with them.

    Args:
        since: Monotonic seconds at which this process began to learn of
            servers. Servers that are first seen within `settle_s` seconds
            after it ran before and are assumed to be warm.
        settle_s: Seconds in which a new process learns of all servers.
    """

    def __init__(self, since: float, settle_s: float = 5.0) -> None:
        self._startup_until = since + settle_s
        self._records: dict[str, _ServerHealth] = {}

    def update_server(self, server: membership.Server, now: float) -> None:
        """Add or update a ready server; a new incarnation begins cold."""
        record = self._records.get(server.server_id)
        if record is not None and record.incarnation >= server.incarnation:
            return
        cold = record is not None or now > self._startup_until
        warming_since = now if cold else -math.inf
        self._records[server.server_id] = _ServerHealth(
            server.incarnation, warming_since, last_used=now
        )

    def remove_server(self, server_id: str) -> None:
        """Remove a server that left."""
        self._records.pop(server_id, None)

    def record_use(self, server_id: str, warm_up_s: float, now: float) -> None:
        """Record a request sent to a server; a long idle server is now cold.

        Args:
            server_id: A server that was given to `update_server`.
            warm_up_s: Warm-up time of the pool in seconds.
            now: Monotonic seconds.
        """
        record = self._records[server_id]
        if now - record.last_used > max(COLD_AFTER_IDLE_S, warm_up_s):
            record = record._replace(warming_since=now)
        self._records[server_id] = record._replace(last_used=now)

    def record_result(
        self, server_id: str, result: messages.AttemptResult, now: float
    ) -> None:
        """Update a server's health with the result of a request."""
        record = self._records.get(server_id)
        if record is None:
            return
        if result.kind == "failed":
            record = self._with_failure(record, now)
        elif result.kind == "shed":
            record = _with_shed(record, now)
        elif result.kind == "answered":
            record = _with_answer(record, result.duration_s, now)
        self._records[server_id] = _with_statements(record, result, now)

    def _with_failure(self, record: _ServerHealth, now: float) -> _ServerHealth:
        failures = record.failures + 1
        record = record._replace(failures=failures)
        if failures < EJECT_AFTER_FAILURES and not record.on_probation:
            return record
        ejection_s = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.ejections
        )
        return record._replace(
            failures=0,
            ejections=min(record.ejections + 1, 10),
            ejected_until=now + ejection_s,
            on_probation=True,
        )

    def slot_limits(
        self,
        servers: Collection[membership.Server],
        warm_up_s: float,
        now: float,
    ) -> dict[str, int]:
        """Return how many slots of each server may be used now, by server id.

        A limit never exceeds the server's slots. Servers that want no requests
        get 0. Ejected servers get 0 as well, but at most `MAX_EJECTED_SHARE`
        of the servers are ejected: when most of them fail, the cause is
        probably elsewhere, and an empty pool would refuse requests that could
        be served.

        Args:
            servers: Servers that were given to `update_server`.
            warm_up_s: Warm-up time of the pool in seconds.
            now: Monotonic seconds.
        """
        ejected = self._ejected_servers(servers, now)
        slow = self._slow_servers(servers)
        limits = {}
        for server in servers:
            record = self._records[server.server_id]
            limit = _warm_slots(server.slots, record, warm_up_s, now)
            is_limited_to_one = (
                record.on_probation
                or record.limited_until > now
                or server.server_id in slow
            )
            if server.server_id in ejected or not record.accepts_requests(now):
                limit = 0
            elif is_limited_to_one:
                limit = 1
            limits[server.server_id] = limit
        return limits

    def _ejected_servers(
        self, servers: Collection[membership.Server], now: float
    ) -> set[str]:
        server_ids = [
            server.server_id
            for server in servers
            if self._records[server.server_id].ejected_until > now
        ]
        server_ids.sort(
            key=lambda server_id: (
                -self._records[server_id].ejections,
                server_id,
            )
        )
        return set(server_ids[: int(len(servers) * MAX_EJECTED_SHARE)])

    def _slow_servers(self, servers: Collection[membership.Server]) -> set[str]:
        averages = {
            server.server_id: record.average_s
            for server in servers
            if (record := self._records[server.server_id]).samples
            >= MIN_SLOW_SAMPLES
        }
        if len(averages) < 3:
            return set()
        limit = SLOW_FACTOR * statistics.median(averages.values())
        server_ids = [
            server_id
            for server_id, average_s in averages.items()
            if average_s > limit
        ]
        server_ids.sort(key=lambda server_id: (-averages[server_id], server_id))
        return set(server_ids[: int(len(servers) * MAX_EJECTED_SHARE)])


def _with_statements(
    record: _ServerHealth, result: messages.AttemptResult, now: float
) -> _ServerHealth:
    """Return the record after what the server said of itself in its answer."""
    if result.address_reassigned:
        return record
    return record._replace(
        resting_until=max(record.resting_until, now + result.rest_s),
        is_leaving=record.is_leaving or result.is_leaving,
    )


def _with_shed(record: _ServerHealth, now: float) -> _ServerHealth:
    sheds = record.sheds + 1
    if sheds < LIMIT_AFTER_SHEDS:
        return record._replace(sheds=sheds)
    return record._replace(sheds=0, limited_until=now + SHED_LIMIT_S)


def _with_answer(
    record: _ServerHealth, duration_s: float, now: float
) -> _ServerHealth:
    if record.on_probation:
        # The ejected server answers again and warms up like a cold server.
        record = record._replace(on_probation=False, warming_since=now)
    average_s = record.average_s + _AVERAGE_GAIN * (
        duration_s - record.average_s
    )
    return record._replace(
        failures=0,
        sheds=0,
        ejections=max(0, record.ejections - 1)
        if record.samples % 20 == 0
        else record.ejections,
        average_s=average_s if record.samples else duration_s,
        samples=record.samples + 1,
    )


def _warm_slots(
    slots: int, record: _ServerHealth, warm_up_s: float, now: float
) -> int:
    if warm_up_s <= 0:
        return slots
    share = (now - record.warming_since) / warm_up_s
    if share >= 1:
        return slots
    return max(1, math.floor(slots * share))
