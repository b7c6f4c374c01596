"""Status of an entry: traffic shares, headroom and servers being emptied."""

from collections import defaultdict
import time
from typing import Any

import trio

from hyssopfold import http
from hyssopfold import tables
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import shares
from hyssopfold.entry import attempt_dependencies
from hyssopfold.entry import configuration
from hyssopfold.entry import limits
from hyssopfold.entry import steering
from hyssopfold.transport import gossip


class Status:
    """Answer `GET /hyssop/v1/status`, which operators use.

    Args:
        config: Source of the tables in force.
        gossip_service: Has the directory of servers.
        region_steering: Traffic shares in force.
        placement: Counts of the requests under way.
        organisation_limits: Use of the limits of organisations.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        gossip_service: gossip.Gossip,
        region_steering: steering.Steering,
        placement: attempt_dependencies.Placement,
        organisation_limits: limits.Limits,
    ) -> None:
        self._limits = organisation_limits
        self._config = config
        self._gossip = gossip_service
        self._steering = region_steering
        self._placement = placement
        # For each server being emptied: when that was first observed, and the
        # number of its requests at that time.
        self._emptying: dict[str, tuple[float, int]] = {}

    def answer(self) -> http.Answer:
        """Return the status of this entry as JSON."""
        me = self._gossip.myself
        reports = {
            report.pool: report for report in self._steering.shares.reports()
        }
        pools = [
            self._pool_status(pool, reports.get(pool.name))
            for pool in self._config.snapshot.tables.pools
        ]
        return http.json_answer(
            {
                "instance": me.name,
                "region": me.region,
                "state": me.state,
                "revision": self._config.snapshot.revision,
                "utc_s": time.time(),
                "pools": pools,
                "limits": self._limits.status(),
            }
        )

    def _pool_status(
        self, pool: tables.Pool, report: shares.Report | None
    ) -> dict[str, Any]:
        in_flight = self._placement.in_flight()
        now = trio.current_time()
        by_region: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for server in self._gossip.directory.servers.records():
            if server.pool == pool.name:
                server_requests = in_flight.get(server.server_id, 0)
                row = self._server_status(pool, server, server_requests, now)
                by_region[server.region].append(row)
        return {
            "pool": pool.name,
            "headroom": pool.headroom,
            "shift_cap": pool.shift_cap,
            "shift": None if report is None else report._asdict(),
            "regions": by_region,
        }

    def _server_status(
        self,
        pool: tables.Pool,
        server: messages.Server,
        in_flight: int,
        now: float,
    ) -> dict[str, Any]:
        reason = drain_reason(pool, server)
        left_s = None
        if reason:
            began_at, requests_then = self._emptying.setdefault(
                server.server_id, (now, in_flight)
            )
            ended = requests_then - in_flight
            if not in_flight:
                left_s = 0.0
            elif ended > 0:
                left_s = in_flight * (now - began_at) / ended
        else:
            self._emptying.pop(server.server_id, None)
        return {
            "server": server.server_id,
            "failure_domain": server.failure_domain,
            "state": server.state,
            "slots": server.slots,
            "in_flight": in_flight,
            "load": server.load,
            "emptying": reason,
            "left_s": left_s,
        }


def drain_reason(pool: tables.Pool, server: messages.Server) -> str:
    """Return why a server is being emptied, or "" if it is not."""
    drains = pool.drains
    if server.state == "leaving":
        return "leaving"
    if server.server_id in drains.servers:
        return "server drained"
    if server.failure_domain in drains.failure_domains:
        return "failure domain drained"
    if server.region in drains.regions:
        return "region drained"
    return ""
