"""Local placement: an entry chooses servers without asking another entry.

The choice is based on the load that the entry knows of, and on reports that it
exchanges with other entries: of silent servers and of busy ones.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import logging
import random

import trio

from hyssopfold import logs
from hyssopfold import tables
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import reopened
from hyssopfold.core.balancing import silence_reports
from hyssopfold.core.membership import messages as membership
from hyssopfold.entry import answers
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

_PRUNE_PERIOD_S = 5.0
# Time between two reports of silent servers to the entries of the region.
SILENCE_REPORT_PERIOD_S = 0.5
# Entries that get a report, drawn at random for each report: bounds the number
# of messages in a large region.
MAX_SILENCE_REPORT_RECEIVERS = 24
# Time during which loads of busy servers are collected into one report.
BUSY_BATCH_S = 0.1
# Entries that get this report on each side of this entry, in a ring of the
# failure domain's entries ordered by name.
NEIGHBOURS_EACH_SIDE = 4
# Servers in one datagram, of 5 bytes each; no region has more silent or busy
# servers at the same time.
MAX_SERVERS_PER_DATAGRAM = 200
# Time during which rate limits of servers are collected into one report.
LIMIT_BATCH_S = 0.05
# Rate limits in one datagram, of 24 bytes each.
MAX_LIMITS_PER_DATAGRAM = 50


class LocalPlacement:
    """Place the requests of this entry by its own choice of servers.

    Args:
        chooser: Chooses the servers.
        gossip_service: Has the directory of servers and entries, and sends the
            reports.
        rng: Draws the entries that get a report.
        evacuated: Returns the failure domains that are evacuated now.
    """

    def __init__(
        self,
        chooser: local.Chooser,
        gossip_service: gossip.Gossip,
        rng: random.Random,
        evacuated: Callable[[], Collection[str]],
    ) -> None:
        self._chooser = chooser
        self._gossip = gossip_service
        self._directory = gossip_service.directory
        self._rng = rng
        self._evacuated = evacuated
        self._reopened = reopened.ReopenedDomains(gossip_service.directory)
        self._warm_up_s: dict[str, float] = {}
        # Entries that serve callers, their names, and the names of those that
        # get reports of busy servers. The names are computed again only when
        # the entries change.
        self._entries: tuple[membership.Instance, ...] = ()
        self._names: tuple[str, ...] = ()
        self._names_by_region: dict[str, set[str]] = {}
        self._neighbours: tuple[str, ...] = ()
        self._busy_event = trio.Event()
        self._limit_event = trio.Event()

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Choose a server without waiting.

        Args:
            req: The request.
            pool: Its pool.

        Returns:
            The grant of a server, or why there is none.
        """
        now = trio.current_time()
        self._update_reopened(now)
        view = local.View(
            self._directory.ready_servers(pool.name),
            lambda server_id: self._reopened.is_cold(
                server_id, pool.warm_up_s, now
            ),
            pool.cold_rate,
            pool.warm_up_s,
            self._entry_names(),
            now,
            self._names_by_region,
        )
        return self._chooser.choose(req, view)

    def _update_reopened(self, now: float) -> None:
        """Update the reopened domains, before each request is placed.

        The first request after the end of an evacuation must already treat the
        servers of the domain as cold.
        """
        for domain in self._reopened.update(self._evacuated(), now):
            logger.info(logs.Event("domain-reopened", domain=domain))

    def _entry_names(self) -> tuple[str, ...]:
        entries = self._directory.ready_entries()
        if entries is not self._entries:
            self._entries = entries
            self._names = tuple(entry.name for entry in entries)
            self._names_by_region = {}
            for entry in entries:
                names = self._names_by_region.setdefault(entry.region, set())
                names.add(entry.name)
            self._neighbours = self._find_neighbours()
        return self._names

    def _find_neighbours(self) -> tuple[str, ...]:
        me = self._gossip.myself
        domain_names = [
            entry.name
            for entry in self._entries
            if entry.region == me.region
            and entry.failure_domain == me.failure_domain
        ]
        return load_reports.neighbours(
            me.name, domain_names, NEIGHBOURS_EACH_SIDE
        )

    def release(
        self, grant: messages.Grant, attempt_result: messages.AttemptResult
    ) -> None:
        """Release a slot and record how its attempt ended."""
        warm_up_s = self._warm_up_s.get(grant.server.pool, 0.0)
        now = trio.current_time()
        self._chooser.learn(grant, attempt_result, now)
        self._chooser.record_done(
            grant.server.server_id, attempt_result, warm_up_s, now
        )
        if self._chooser.has_busy:
            self._busy_event.set()
        self._record_rate_limit(grant, attempt_result, now)

    def _record_rate_limit(
        self,
        grant: messages.Grant,
        attempt_result: messages.AttemptResult,
        now: float,
    ) -> None:
        server = grant.server
        server_limiter = self._chooser.server_limiter
        if server_limiter.record_result(
            (server.server_id, server.incarnation),
            attempt_result,
            grant.granted_at,
            now,
        ):
            _log_limit(server.server_id, attempt_result.rate_limit, "answer")
        if server_limiter.limits.has_reports:
            self._limit_event.set()

    def in_flight(self) -> dict[str, int]:
        """Return the number of running requests by server id."""
        return self._chooser.in_flight()

    def set_pools(self, pools: Iterable[tables.Pool]) -> None:
        """Replace the rows of the pools."""
        self._warm_up_s = {pool.name: pool.warm_up_s for pool in pools}

    def leave(self) -> None:
        """Do nothing: this entry grants no slots to others."""

    async def run(self) -> None:
        """Exchange reports on servers, and prune servers that are gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._prune)
            nursery.start_soon(self._report_silent)
            nursery.start_soon(self._report_busy)
            nursery.start_soon(self._report_limits)
            nursery.start_soon(self._receive)

    async def _prune(self) -> None:
        while True:
            await trio.sleep(_PRUNE_PERIOD_S)
            servers = self._directory.servers.records()
            self._chooser.prune(
                {server.server_id for server in servers}, trio.current_time()
            )

    async def _report_silent(self) -> None:
        """Report silent servers to entries of this region.

        These entries send most of their requests to the same servers.
        """
        while True:
            await trio.sleep(SILENCE_REPORT_PERIOD_S)
            silent_keys = self._chooser.silent_keys(trio.current_time())
            if not silent_keys:
                continue
            me = self._gossip.myself
            region_names = [
                entry.name
                for entry in self._directory.ready_entries()
                if entry.region == me.region and entry.name != me.name
            ]
            receivers = self._rng.sample(
                region_names,
                min(MAX_SILENCE_REPORT_RECEIVERS, len(region_names)),
            )
            self._gossip.post_all(
                receivers,
                messages.SilentServers(silent_keys[:MAX_SERVERS_PER_DATAGRAM]),
            )

    async def _report_busy(self) -> None:
        """Report to neighbouring entries the servers at which requests wait."""
        while True:
            await self._busy_event.wait()
            await trio.sleep(BUSY_BATCH_S)
            self._busy_event = trio.Event()
            loads = self._chooser.take_busy()[:MAX_SERVERS_PER_DATAGRAM]
            self._gossip.post_all(self._neighbours, messages.BusyServers(loads))

    async def _report_limits(self) -> None:
        """Report to all entries the rate limits that servers named."""
        while True:
            await self._limit_event.wait()
            await trio.sleep(LIMIT_BATCH_S)
            self._limit_event = trio.Event()
            reports = self._chooser.server_limiter.limits.take_reports(
                trio.current_time()
            )
            names = [
                name
                for name in self._entry_names()
                if name != self._gossip.myself.name
            ]
            for batch in _batches(reports, MAX_LIMITS_PER_DATAGRAM):
                self._gossip.post_all(names, messages.LimitedServers(batch))

    async def _receive(self) -> None:
        received: datagram_wire.ReceivedMessage
        async for received in self._gossip.received_messages:
            match received.message:
                case messages.SilentServers(incarnation_keys):
                    self._record_silent(received.sender, incarnation_keys)
                case messages.BusyServers(loads):
                    self._chooser.record_loads(loads, trio.current_time())
                case messages.LimitedServers(limits):
                    self._record_limits(received.sender, limits)
                case _:
                    # The sender is an entry that uses another placement.
                    logger.warning(
                        logs.Event("parcel-dropped", sender=received.sender)
                    )

    def _record_limits(
        self, sender: str, limits: tuple[messages.ReportedLimit, ...]
    ) -> None:
        now = trio.current_time()
        known_limits = self._chooser.server_limiter.limits
        for limit in known_limits.record_reports(limits, now):
            # This entry may not have sent a request to the server yet.
            server_id = self._chooser.server_id_of(limit.key)
            _log_limit(server_id or f"key-{limit.key}", limit.rate, sender)

    def _record_silent(
        self, sender: str, incarnation_keys: tuple[int, ...]
    ) -> None:
        for server_id in self._chooser.record_silent(
            sender, incarnation_keys, trio.current_time()
        ):
            logger.info(
                logs.Event(
                    "server-silent",
                    server=server_id,
                    by=sender,
                    others=silence_reports.MIN_REPORTERS,
                    held_s=silence_reports.REPORT_VALID_S,
                )
            )


def _log_limit(server_id: str, rate: float | None, source: str) -> None:
    logger.info(
        logs.Event(
            "server-limit-changed",
            server=server_id,
            rate_limit=answers.format_rate_limit(rate),
            by=source,
        )
    )


def _batches(
    reports: Sequence[messages.ReportedLimit], size: int
) -> Iterator[tuple[messages.ReportedLimit, ...]]:
    for begin in range(0, len(reports), size):
        yield tuple(reports[begin : begin + size])
