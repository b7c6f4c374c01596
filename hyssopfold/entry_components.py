"""Composition root of an entry."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time
from typing import TYPE_CHECKING

import trio

from hyssopfold import http
from hyssopfold import identity
from hyssopfold import log_output
from hyssopfold import metrics
from hyssopfold import security
from hyssopfold import serving
from hyssopfold import settings
from hyssopfold.core.attempts import claims as core_claims
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import subset
from hyssopfold.core.distribution import follower
from hyssopfold.core.draining import stop as core_stop
from hyssopfold.core.membership import messages
from hyssopfold.entry import adapters as entry_adapters
from hyssopfold.entry import adoption
from hyssopfold.entry import app as entry_app
from hyssopfold.entry import blocks
from hyssopfold.entry import claims
from hyssopfold.entry import configuration
from hyssopfold.entry import connections
from hyssopfold.entry import crash_checks
from hyssopfold.entry import leaving
from hyssopfold.entry import limits
from hyssopfold.entry import local_placement
from hyssopfold.entry import lookups
from hyssopfold.entry import pacing
from hyssopfold.entry import proxy
from hyssopfold.entry import status as entry_status
from hyssopfold.entry import steering
from hyssopfold.entry import upstream
from hyssopfold.transport import crash_reports
from hyssopfold.transport import gossip
from hyssopfold.transport import poll_wire
from hyssopfold.transport import rpc

if TYPE_CHECKING:
    from hyssopfold.entry import placement

Child = tuple[str, Callable[[], Awaitable[None]]]

# Time between two updates of the load in the entry's own record; revisions are
# recorded as they come into force.
_RECORD_PERIOD_S = 0.5
# While the entry starts: time between two searches for control instances, and
# between two checks whether its directory is filled.
_START_PERIOD_S = 0.2
_READY_PERIOD_S = 0.05


class EntryComponents:
    """Builds the components of an entry and connects them.

    Args:
        cfg: Settings of the entry.
        adapters: Applications on its addresses and headers of its data path.
        output: Handler that writes the log and counts dropped lines.
    """

    def __init__(
        self,
        cfg: settings.EntrySettings,
        adapters: entry_adapters.EntryAdapters,
        output: log_output.BoundedHandler,
    ) -> None:
        self.cfg = cfg
        self.output = output
        self.rng = random.Random()
        self.security = security.load(cfg, self.rng)
        self.gossip_service = gossip.Gossip(
            identity.initial_record(cfg, "entry"),
            cfg.gossip_seeds,
            cfg.lease_s,
            self.security.connection_config.keyring,
            self.rng,
        )
        self.directory = self.gossip_service.directory
        self.config = self._create_configuration()
        self.gossip_service.on_revision = self.config.record_revision
        self.placement = self._create_placement()
        self.connection_pool = connections.ConnectionPool(
            self._connection_limit,
            cfg.proven_connection_s,
            cfg.connect_timeout_s,
        )
        self.metrics = metrics.Metrics(cfg.name)
        self.crash_reports = crash_reports.CrashReports(
            self.gossip_service,
            self.rng,
            lambda table: self.metrics.quarantined.set({}, table.quarantined),
        )
        self.crash_checks = crash_checks.CrashChecks(
            self.connection_pool, self.crash_reports, self.metrics
        )
        self.upstream = upstream.Upstream(
            self.connection_pool, self.crash_checks
        )
        self.client_blocks = blocks.ClientBlocks(cfg.client_blocks)
        self.steering = steering.Steering(
            cfg.region,
            cfg.region_delays_ms,
            self.config,
            self.directory,
            self.client_blocks,
        )
        entry_clients = rpc.Clients(self.security.connection_config)
        self.adoption = adoption.Adoption(
            self.gossip_service, entry_clients, self.steering.shares
        )
        self.claims = claims.Claims(
            lambda: self.gossip_service.myself,
            self.directory,
            entry_clients,
            core_claims.ClaimTable(),
        )
        self.limits = limits.Limits(
            self.config, self.gossip_service, cfg.limit_slack
        )
        self.interfaces = self._create_interfaces(adapters)
        self.apps = self._create_apps(adapters)

    def _create_configuration(self) -> configuration.Configuration:
        cfg, connection_config = self.cfg, self.security.connection_config
        addresses = [member.rpc_address for member in cfg.control]
        return configuration.Configuration(
            cfg.name,
            [
                rpc.Client(address, connection_config)
                for address in addresses or cfg.control_seeds
            ],
            rpc.Clients(connection_config),
            self.rng,
            timing=follower.Timing(hold_s=cfg.poll_s).within(cfg.max_key_age_s),
            control_is_complete=bool(addresses),
        )

    def _create_placement(
        self,
    ) -> "placement.Placement | local_placement.LocalPlacement":
        cfg = self.cfg
        if cfg.placement == "local":
            chooser = local.Chooser(cfg.name, cfg.region)
            return local_placement.LocalPlacement(
                chooser,
                self.gossip_service,
                self.rng,
                lambda: self.config.snapshot.state.evacuated,
            )
        # Imported here: only entries that grant slots to each other need them.
        from hyssopfold.core.balancing import node
        from hyssopfold.entry import placement

        return placement.Placement(
            node.Node(
                node.Config(
                    identity.member(self.gossip_service.myself),
                    cfg.region,
                    cfg.failure_domain,
                    tuple(member.name for member in cfg.control),
                ),
                self.directory,
                self.rng,
                trio.current_time(),
            ),
            self.gossip_service,
        )

    def _connection_limit(self, server: messages.Server) -> int:
        entry_count = len(self.directory.ready_entries())
        pool = self.config.snapshot.tables.pool(server.pool)
        max_connections = server.connections
        if pool is not None:
            max_connections = min(max_connections, pool.connections)
        return subset.connections_per_entry(
            max_connections, server.slots, entry_count
        )

    def _create_interfaces(
        self, adapters: entry_adapters.EntryAdapters
    ) -> entry_adapters.EntryInterfaces:
        cfg = self.cfg
        entry_lookups = lookups.Lookups(
            cfg.region,
            cfg.region_delays_ms,
            cfg.lookup_ttl_s,
            self.config,
            self.gossip_service,
            self.steering,
        )
        entry_proxy = proxy.Proxy(
            self.config,
            self.steering,
            self.placement,
            pacing.Pacer(cfg.region, self.config, self.directory),
            self.upstream,
            self.metrics,
            guards=proxy.RequestGuards(
                self.claims, self.crash_reports, self.limits
            ),
            context=proxy.EntryContext(cfg.region, self.directory),
            rng=self.rng,
            options=proxy.CallerOptions(
                cfg.max_body_bytes,
                adapters.headers,
                cfg.retry_share,
                cfg.shared_retry_reserve,
                cfg.log_lines_per_s,
                cfg.max_key_age_s,
            ),
        )
        app = entry_app.App(
            entry_lookups,
            entry_status.Status(
                self.config,
                self.gossip_service,
                self.steering,
                self.placement,
                self.limits,
            ),
            self.config,
            self.gossip_service,
            entry_proxy,
            self.placement,
            self.metrics,
            self.security.announcers,
            self.output,
        )
        return entry_adapters.EntryInterfaces(app, entry_proxy, entry_lookups)

    def _create_apps(
        self, adapters: entry_adapters.EntryAdapters
    ) -> dict[str, http.App]:
        """Return the applications to serve, by address."""
        cfg = self.cfg
        apps = {cfg.http_address: adapters.callers(self.interfaces)}
        if cfg.lookup_address:
            apps[cfg.lookup_address] = adapters.lookups(self.interfaces)
        if cfg.probe_address:
            apps[cfg.probe_address] = adapters.probes(self.interfaces)
        if cfg.metrics_address:
            apps[cfg.metrics_address] = self.interfaces.app
        return apps

    async def maintain_state(self) -> None:
        """Become ready, then keep pools and this entry's record up to date.

        The entry is ready once it has tables and its directory is filled by
        gossip.
        """
        config, gossip_service = self.config, self.gossip_service
        while config.snapshot.revision == 0:
            self._update_control_addresses()
            await config.wait_for_revision(_START_PERIOD_S)
        while not gossip_service.ready:
            await trio.sleep(_READY_PERIOD_S)
        self.steering.step(trio.current_time(), time.time())
        await self.adoption.adopt()
        if gossip_service.myself.state == "starting":
            gossip_service.update_self(state="ready")
        while True:
            self._update_control_addresses()
            revision = config.snapshot.revision
            self.placement.set_pools(config.snapshot.tables.pools)
            load = float(self.interfaces.data_path.in_flight)
            gossip_service.update_self(revision=revision, load=load)
            await config.wait_for_revision(_RECORD_PERIOD_S)

    def _update_control_addresses(self) -> None:
        """Use the directory's control instances unless settings list them."""
        if self.cfg.control:
            return
        addresses = [
            record.rpc_address
            for record in self.directory.instances.records()
            if record.role == "control" and record.rpc_address
        ]
        self.config.set_control(addresses)

    def children(self) -> list[Child]:
        """Return the names and tasks of the entry to supervise."""
        children: list[Child] = [
            ("configuration", self.config.run),
            ("gossip", self.gossip_service.run),
            (
                "steering",
                functools.partial(self.steering.run, self.adoption.adopt),
            ),
            ("placement", self.placement.run),
            ("client-blocks", self.client_blocks.run),
            ("state", self.maintain_state),
            ("reloading", self.security.reloader.run),
            ("connections", self.connection_pool.sweep),
            ("crash-checks", self.crash_checks.run),
            ("crash-reports", self.crash_reports.run),
            ("claims", self.claims.run),
            ("limits", self.limits.run),
        ]
        if self.cfg.rpc_address:
            handlers: dict[rpc.Method, rpc.Handler] = {
                poll_wire.POLL: self.config.publisher.poll,
                **self.claims.handlers(),
                **self.adoption.handlers(),
            }
            serve = functools.partial(
                rpc.serve,
                self.cfg.rpc_address,
                handlers,
                self.security.connection_config,
            )
            children.append(("rpc", serve))
        return children

    def create_planned_stop(
        self, listener: serving.Listener
    ) -> leaving.PlannedStop:
        """Return the planned stop of this entry.

        Args:
            listener: Serves the connections of callers.
        """
        return leaving.PlannedStop(
            core_stop.Stop(
                self.cfg.lookup_ttl_s,
                gossip.PROPAGATION_S + lookups.MAX_INDEX_AGE_S,
                self.cfg.stop_max_s,
                self.cfg.stop_serve_s,
            ),
            listener,
            self.gossip_service,
            self.placement.leave,
            self.claims.hand_over,
        )
