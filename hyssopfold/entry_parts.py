"""The parts of an entry, wired."""

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


class Entry:
    """The parts of an entry, wired.

    Args:
        cfg: Its settings.
        adapters: How it is spoken to.
        output: Where its log goes.
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
        self.shared = security.load(cfg, self.rng)
        self.spread = gossip.Gossip(
            identity.myself(cfg, "entry"),
            cfg.gossip_seeds,
            cfg.lease_s,
            self.shared.links.keyring,
            self.rng,
        )
        self.known = self.spread.directory
        self.config = self._configuration()
        self.spread.on_revision = self.config.record_revision
        self.place = self._placement()
        self.connected = connections.Pool(
            self._bound, cfg.proven_connection_s, cfg.connect_timeout_s
        )
        self.meter = metrics.Metrics(cfg.name)
        self.crashes = crash_reports.CrashReports(
            self.spread,
            self.rng,
            lambda table: self.meter.quarantined.set({}, table.quarantined),
        )
        self.checks = crash_checks.CrashChecks(
            self.connected, self.crashes, self.meter
        )
        self.servers = upstream.Upstream(self.connected, self.checks)
        self.clients = blocks.ClientBlocks(cfg.client_blocks)
        self.steer = steering.Steering(
            cfg.region,
            cfg.region_delays_ms,
            self.config,
            self.known,
            self.clients,
        )
        self.catch_up = functools.partial(adoption.adopt_shares, self.spread)
        self.claimed = claims.Claims(
            lambda: self.spread.myself,
            self.known,
            rpc.Clients(self.shared.links),
            core_claims.ClaimTable(),
        )
        self.parts = self._outside(adapters)
        self.apps = self._apps(adapters)

    def _configuration(self) -> configuration.Configuration:
        cfg, links = self.cfg, self.shared.links
        addresses = [one.rpc_address for one in cfg.control]
        return configuration.Configuration(
            cfg.name,
            [
                rpc.Client(address, links)
                for address in addresses or cfg.control_seeds
            ],
            rpc.Clients(links),
            self.rng,
            timing=follower.Timing(hold_s=cfg.poll_s),
            control_is_complete=bool(addresses),
        )

    def _placement(
        self,
    ) -> "placement.Placement | local_placement.LocalPlacement":
        cfg = self.cfg
        if cfg.placement == "local":
            chooser = local.Chooser(cfg.name, cfg.region)
            return local_placement.LocalPlacement(
                chooser,
                self.spread,
                self.rng,
                lambda: self.config.snapshot.state.evacuated,
            )
        # Only entries that grant slots to each other load what that takes.
        from hyssopfold.core.balancing import node
        from hyssopfold.entry import placement

        return placement.Placement(
            node.Node(
                node.Config(
                    identity.member(self.spread.myself),
                    cfg.region,
                    cfg.failure_domain,
                    tuple(member.name for member in cfg.control),
                ),
                self.known,
                self.rng,
                trio.current_time(),
            ),
            self.spread,
        )

    def _bound(self, server: messages.Server) -> int:
        entries = len(self.known.ready_entries())
        pool = self.config.snapshot.tables.pool(server.pool)
        most = server.connections
        if pool is not None:
            most = min(most, pool.connections)
        return subset.connections_per_entry(most, server.slots, entries)

    def _outside(
        self, adapters: entry_adapters.EntryAdapters
    ) -> entry_adapters.EntryParts:
        cfg = self.cfg
        look_up = lookups.Lookups(
            cfg.region,
            cfg.region_delays_ms,
            cfg.lookup_ttl_s,
            self.config,
            self.spread,
            self.steer,
        )
        forward = proxy.Proxy(
            self.config,
            self.steer,
            self.place,
            pacing.Pacer(cfg.region, self.config, self.known),
            self.servers,
            self.meter,
            guards=proxy.Guards(self.claimed, self.crashes),
            here=proxy.Here(cfg.region, self.known),
            rng=self.rng,
            callers=proxy.Callers(
                cfg.max_body_bytes,
                adapters.headers,
                cfg.retry_share,
                cfg.shared_retry_reserve,
                cfg.log_lines_per_s,
            ),
        )
        app = entry_app.App(
            look_up,
            entry_status.Status(
                self.config, self.spread, self.steer, self.place
            ),
            self.config,
            self.spread,
            forward,
            self.place,
            self.meter,
            self.shared.announcers,
            self.output,
        )
        return entry_adapters.EntryParts(app, forward, look_up)

    def _apps(
        self, adapters: entry_adapters.EntryAdapters
    ) -> dict[str, http.App]:
        """Return what is served, by address."""
        cfg = self.cfg
        apps = {cfg.http_address: adapters.callers(self.parts)}
        if cfg.lookup_address:
            apps[cfg.lookup_address] = adapters.lookups(self.parts)
        if cfg.probe_address:
            apps[cfg.probe_address] = adapters.probes(self.parts)
        if cfg.metrics_address:
            apps[cfg.metrics_address] = self.parts.app
        return apps

    async def keep_state(self) -> None:
        """Become ready, then follow the tables and who is there."""
        config, spread = self.config, self.spread
        while config.snapshot.revision == 0 or not spread.ready:
            self._find_control()
            await trio.sleep(0.05)
        self.steer.step(trio.current_time(), time.time())
        await self.catch_up(self.steer.shares)
        if spread.myself.state == "starting":
            spread.update_self(state="ready")
        while True:
            self._find_control()
            revision = config.snapshot.revision
            self.place.set_pools(config.snapshot.tables.pools)
            load = float(self.parts.forward.in_flight)
            spread.update_self(revision=revision, load=load)
            await trio.sleep(0.1)

    def _find_control(self) -> None:
        """Follow which control instances there are, unless they are listed."""
        if self.cfg.control:
            return
        found = [
            one.rpc_address
            for one in self.known.instances.records()
            if one.role == "control" and one.rpc_address
        ]
        self.config.set_control(found)

    def children(self) -> list[Child]:
        """Return the tasks of the entry."""
        children: list[Child] = [
            ("configuration", self.config.run),
            ("gossip", self.spread.run),
            ("steering", functools.partial(self.steer.run, self.catch_up)),
            ("placement", self.place.run),
            ("client-blocks", self.clients.run),
            ("state", self.keep_state),
            ("reloading", self.shared.reloader.run),
            ("connections", self.connected.sweep),
            ("crash-checks", self.checks.run),
            ("crash-reports", self.crashes.run),
            ("claims", self.claimed.run),
        ]
        if self.cfg.rpc_address:
            handlers: dict[rpc.Method, rpc.Handler] = {
                poll_wire.POLL: self.config.publisher.poll,
                **self.claimed.handlers(),
            }
            serve = functools.partial(
                rpc.serve, self.cfg.rpc_address, handlers, self.shared.links
            )
            children.append(("rpc", serve))
        return children

    def leave(self, listener: serving.Listener) -> leaving.PlannedStop:
        """Return the steps of a planned stop."""
        return leaving.PlannedStop(
            core_stop.Stop(
                self.cfg.lookup_ttl_s,
                gossip.PROPAGATION_S + lookups.MAX_INDEX_AGE_S,
                self.cfg.stop_max_s,
                self.cfg.stop_serve_s,
            ),
            listener,
            self.spread,
            self.place.leave,
            self.claimed.hand_over,
        )
