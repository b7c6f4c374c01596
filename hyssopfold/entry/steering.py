"""Steering at an entry: updates its traffic shares and applies them."""

from collections import defaultdict
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
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
    """Decide which regions may serve each request of this entry.

    Args:
        region: Region of this entry.
        delays_ms: One-way delay to each other region in milliseconds.
        config: Source of the tables in force.
        member_directory: Directory of the servers.
        client_regions: Home regions of the client blocks.

    Attributes:
        shares: The traffic shares in force at this entry.
    """

    def __init__(
        self,
        region: str,
        delays_ms: Mapping[str, float],
        config: configuration.Configuration,
        member_directory: directory.Directory,
        client_regions: blocks.ClientBlocks,
    ) -> None:
        self.shares = shares.TrafficShares()
        self._region = region
        self._delays_ms = delays_ms
        self._config = config
        self._directory = member_directory
        self._client_regions = client_regions
        self._revision = 0
        self._contexts: dict[str, regions.SteeringContext] = {}
        # The servers from which each context was made.
        self._context_servers: dict[str, tuple[messages.Server, ...]] = {}

    async def run(self, adopt_shares: Callable[[], Awaitable[None]]) -> None:
        """Step the shares until cancelled.

        Args:
            adopt_shares: Takes over the shares of a running entry; called when
                the shares were not stepped for too long.
        """
        while True:
            if self.shares.is_stale(trio.current_time()):
                await adopt_shares()
            self.step(trio.current_time(), time.time())
            await trio.sleep(PERIOD_S)

    def step(self, now: float, utc_s: float) -> None:
        """Update the shares by the revision in force and the ready servers.

        Args:
            now: Monotonic time in seconds.
            utc_s: UTC in seconds since 1970.
        """
        self._install(now, utc_s)
        ready = {}
        for pool in self._config.snapshot.tables.pools:
            ctx = self._update_context(pool.name)
            ready[pool.name] = frozenset(ctx.regions_by_delay)
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

    def _update_context(self, pool: str) -> regions.SteeringContext:
        """Return the context of a pool, made anew if its servers changed."""
        servers = self._directory.ready_servers(pool)
        ctx = self._contexts.get(pool)
        if ctx is None or self._context_servers.get(pool) is not servers:
            ctx = self._contexts[pool] = self._make_context(servers)
            self._context_servers[pool] = servers
        return ctx

    def _make_context(
        self, servers: Iterable[messages.Server]
    ) -> regions.SteeringContext:
        domains: dict[str, set[str]] = defaultdict(set)
        for server in servers:
            domains[server.region].add(server.failure_domain)
        regions_by_delay = regions.by_delay(
            self._region, domains, self._delays_ms
        )
        return regions.SteeringContext(self._region, regions_by_delay, domains)

    def home_region_of(self, client: str) -> str | None:
        """Return the home region of a client's address, None if unknown."""
        return self._client_regions.region_of(client) if client else None

    def is_moving(self, pool: str) -> bool:
        """Return whether a shift of the pool is in progress at this entry."""
        return self.shares.is_moving(pool)

    def decide(
        self,
        route: tables.Route,
        request_id: str,
        client: str,
        pool: str = "",
    ) -> regions.Decision:
        """Return the regions that may serve a request, best first.

        A caller's home region depends on its own address, if that is known,
        and not on the entry that it uses. Therefore neither a cached look-up
        nor the stop of an entry moves traffic between regions.

        Args:
            route: The request's route.
            request_id: The request's id; its hash selects a part of the shares.
            client: The caller's address.
            pool: The pool that serves the request, if not the route's own.
        """
        if self._config.snapshot.revision != self._revision:
            self._install(trio.current_time(), time.time())
        pool = pool or route.pool
        ctx = self._contexts.get(pool)
        if ctx is None:
            ctx = self._make_context(self._directory.ready_servers(pool))
        home = self.home_region_of(client)
        if home is not None and home != ctx.home_region:
            ctx = ctx._replace(home_region=home)
        return self.shares.decide(route, ctx, request_id, pool)

    def record_server(
        self, pool: str, decision: regions.Decision, server: messages.Server
    ) -> None:
        """Record which server got a request that `decide` steered.

        Args:
            pool: Name of the pool that served the request.
            decision: What `decide` returned for the request.
            server: The server.
        """
        if decision.shifted:
            region, domain = server.region, server.failure_domain
            self.shares.record_outcome(pool, decision, region, domain)
