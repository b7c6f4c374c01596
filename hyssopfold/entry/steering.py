"""The task that steps an entry's shares, and the look into them per request."""

from collections import defaultdict
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import logging
import time

import trio

from hyssopfold import logs
from hyssopfold import tables
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.steering import regions
from hyssopfold.core.steering import shares
from hyssopfold.entry import blocks
from hyssopfold.entry import configuration

logger = logging.getLogger(__name__)

PERIOD_S = 0.2


class Steering:
    """Say where each request may go.

    Args:
        region: Region of this entry.
        delays_ms: One-way delay to each other region.
        config: Source of the tables in force.
        known: Directory of the servers.
        clients: Regions of client blocks.
    """

    def __init__(
        self,
        region: str,
        delays_ms: Mapping[str, float],
        config: configuration.Configuration,
        known: directory.Directory,
        clients: blocks.ClientBlocks,
    ) -> None:
        self.shares = shares.TrafficShares()
        self._region = region
        self._delays_ms = delays_ms
        self._config = config
        self._directory = known
        self._blocks = clients
        self._revision = 0
        self._places: dict[str, regions.SteeringContext] = {}

    async def run(
        self, catch_up: Callable[[shares.TrafficShares], Awaitable[None]]
    ) -> None:
        """Step the shares for as long as the entry runs.

        Args:
            catch_up: Takes over the shares of a running entry.
        """
        while True:
            if self.shares.is_stale(trio.current_time()):
                await catch_up(self.shares)
            self.step(trio.current_time(), time.time())
            await trio.sleep(PERIOD_S)

    def step(self, now: float, utc_s: float) -> None:
        """Follow the revision in force and who is there.

        Args:
            now: Monotonic time in seconds.
            utc_s: UTC in seconds since 1970.
        """
        self._install(now, utc_s)
        ready = {}
        for pool in self._config.snapshot.tables.pools:
            place = self._look_around(pool.name)
            self._places[pool.name] = place
            ready[pool.name] = frozenset(place.regions_by_delay)
        for change in self.shares.step(now, utc_s, ready):
            logger.info(
                logs.Event(
                    "shift-decision",
                    pool=change.pool,
                    phase=change.phase,
                    reason=change.reason,
                    progress=round(change.progress, 4),
                    lost=",".join(change.lost),
                    gained=change.gained,
                    turned_back=change.turned_back,
                    revision=self._revision,
                )
            )

    def _install(self, now: float, utc_s: float) -> None:
        snapshot = self._config.snapshot
        if snapshot.revision != self._revision:
            self._revision = snapshot.revision
            self.shares.install(snapshot.state, now, utc_s)

    def _look_around(self, pool: str) -> regions.SteeringContext:
        domains: dict[str, set[str]] = defaultdict(set)
        for server in self._directory.ready_servers(pool):
            domains[server.region].add(server.failure_domain)
        near = regions.by_delay(self._region, domains, self._delays_ms)
        return regions.SteeringContext(self._region, near, domains)

    def home_region_of(self, client: str) -> str | None:
        """Return the region at home for a client's address, if known."""
        return self._blocks.region_of(client) if client else None

    def is_moving(self, pool: str) -> bool:
        """Return whether a shift of the pool is under way here."""
        return self.shares.is_moving(pool)

    def decide(
        self,
        route: tables.Route,
        request_id: str,
        client: str,
        pool: str = "",
    ) -> regions.Decision:
        """Return where a request may go, best first.

        A caller's home goes by its own address, where that is known, and not
        by the entry it happens to use: a cached look-up, or an entry that
        stops, moves no traffic between regions.

        Args:
            route: The request's route.
            request_id: Its id, which draws its place in the shares.
            client: The caller's address.
            pool: The pool that serves it, when not the route's own.
        """
        if self._config.snapshot.revision != self._revision:
            self._install(trio.current_time(), time.time())
        pool = pool or route.pool
        place = self._places.get(pool)
        if place is None:
            place = self._look_around(pool)
        home = self.home_region_of(client)
        if home is not None and home != place.home_region:
            place = place._replace(home_region=home)
        return self.shares.decide(route, place, request_id, pool)

    def record_server(
        self, pool: str, decision: regions.Decision, server: messages.Server
    ) -> None:
        """Take in which server got a request that `decide` steered."""
        if decision.shifted:
            region, domain = server.region, server.failure_domain
            self.shares.record_outcome(pool, decision, region, domain)
