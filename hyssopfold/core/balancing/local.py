"""Local placement: an entry chooses servers without asking a grantor.

Rendezvous hashing with a fixed number of servers per object: of the servers
that rank first for an object, and so are likely to have it cached, the entry
takes the one with the shortest expected time to answer. It refuses the request
if that answer would come too late to be of use. The entry derives a server's
load from the report in the server's last answer, from the requests that it has
itself sent since, and from reports of other entries.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
from typing import NamedTuple

from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import object_locations
from hyssopfold.core.balancing import server_limits
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.balancing import silence_reports
from hyssopfold.core.membership import messages as membership

# Servers that handle the requests for one object, whatever the load. On a
# server that does not have the object cached the same request takes three times
# as long: spreading an overload over more servers would make it larger, until
# all servers are busy with objects that they don't have cached.
SERVERS_PER_OBJECT = 2
# Servers of one object that are passed over because they are at the rate limit
# that they named, or want no requests for some time. With many such servers in
# a pool, their requests would take three times as long at the rest and overload
# it.
MAX_DECLINING_PASSED_OVER = 4
# Load, as a multiple of a server's slots, at which the server would soon refuse
# requests.
FULL_LOAD = 3.5
# Greatest expected time to answer, as a multiple of the latency goal, at which
# a request is still sent to a busy server; indexed by the request's priority.
MAX_GOAL_RATIOS = (2.0, 1.5, 1.0)
# Weight in the ranking of a server in the entry's own region; one in another
# region has weight 1. Most objects are requested in one region, and serving
# them there saves the delay between regions. A greater weight would overload a
# region that has few servers for its callers.
HOME_REGION_WEIGHT = 5.0
# When all servers are loaded, callers should retry after some of the requests
# under way have ended.
RETRY_AFTER_S = 0.15


class View(NamedTuple):
    """The state of a pool on which the choice of a server is based.

    Attributes:
        servers: The ready servers of the pool; the same object until one of
            them changes.
        is_cold: Returns whether a server, given by its id, is treated as cold.
        cold_rate: Requests a second that a cold server of the pool sustains; 0
            if cold servers need no protection.
        warm_up_s: Seconds for which a server of the pool stays cold.
        entries: Names of the entries that serve callers.
        now: Monotonic time in seconds.
        entries_by_region: The names of the entries of each region.
    """

    servers: Sequence[membership.Server]
    is_cold: Callable[[str], bool]
    cold_rate: float
    warm_up_s: float
    entries: Collection[str]
    now: float
    entries_by_region: Mapping[str, Collection[str]] = {}


class _Pool(NamedTuple):
    """A pool's servers by id and their weights, derived from `source`."""

    source: Sequence[membership.Server]
    servers: Mapping[str, membership.Server]
    weights: Mapping[str, float]
    ranking: affinity.RankingCache


class _Choice(NamedTuple):
    """A candidate server with its expected time to answer.

    Attributes:
        server: The server.
        reason: Why it was chosen, for the log.
        load: Its requests as a multiple of its slots.
        expected_s: Seconds until the answer.
        wait_s: The part of `expected_s` spent in the server's queue.
        ranking_s: Like `expected_s`, but taking older load reports of other
            entries into account; these may decide between servers, yet must
            not cause a refusal.
    """

    server: membership.Server
    reason: str
    load: float
    expected_s: float = 0.0
    wait_s: float = 0.0
    ranking_s: float = 0.0


class Chooser:
    """Choose servers for the requests of one entry that uses local placement.

    It holds all that the entry knows of the servers' load, and is updated with
    each answer and each report of another entry.

    Args:
        name: Name of the entry.
        region: Region that the entry is in.

    Attributes:
        server_limiter: The servers that limit their requests a second.
    """

    def __init__(self, name: str, region: str = "") -> None:
        self._region = region
        self._server_stats = server_stats.ServerStatsTable()
        self._pools: dict[str, _Pool] = {}
        self._cold_allowance = allowance.ServerAllowance(name)
        self._limit_allowance = allowance.ServerAllowance(name)
        self._silence_reports = silence_reports.SilenceReports()
        self._estimates = estimates.Estimates()
        self._locations = object_locations.ObjectLocations()
        self._load_reports = load_reports.LoadReports()
        self.server_limiter = server_limits.ServerLimiter(name)

    def choose(
        self, req: messages.Request, view: View
    ) -> messages.Grant | messages.Refused:
        """Choose a server for a request and count the request as sent.

        For a request with an object key only the servers that rank first are
        examined, so that the cost does not grow with the pool.

        Args:
            req: The request.
            view: The state of its pool.

        Returns:
            The grant of a server, or why there is none.
        """
        pool = self._prepared_pool(req.pool, view)
        if req.object_key:
            order = pool.ranking.rank(req.object_key, pool.weights)
            choice = self._by_object(req, order, pool.servers, view)
        else:
            choice = self._least_loaded(req, pool.servers, view)
        if isinstance(choice, messages.Refused):
            return choice
        server, load = choice.server, choice.load
        stats = self._server_stats.record_sent(server, req.goal_s, view.now)
        is_cold = self._is_cold(stats, server.server_id, view)
        if is_cold:
            self._cold_allowance.spend(server.server_id)
        rate_limit = self.server_limiter.spend(server, view.now)
        age_s = min(messages.NEVER_S, view.now - stats.reported_at)
        return messages.Grant(
            server,
            choice.reason,
            estimated_load=load,
            load_age_s=age_s,
            expected_s=choice.expected_s,
            req=req,
            is_cold=is_cold,
            rate_limit=rate_limit,
            granted_at=view.now,
        )

    def _prepared_pool(self, name: str, view: View) -> "_Pool":
        """Return a pool's servers and weights, rebuilt after changes."""
        servers = view.servers
        pool = self._pools.get(name)
        if pool is not None and pool.source is servers:
            return pool
        weights: Mapping[str, float] = {
            server.server_id: server.slots
            * (HOME_REGION_WEIGHT if server.region == self._region else 1.0)
            for server in servers
        }
        ranking = pool.ranking if pool is not None else affinity.RankingCache()
        if pool is not None and pool.weights == weights:
            weights = pool.weights
        by_id = {server.server_id: server for server in servers}
        for server_id in filter(view.is_cold, by_id):
            self._cold_allowance.start(server_id, view.now)
        pool = _Pool(servers, by_id, weights, ranking)
        self._pools[name] = pool
        return pool

    def _by_object(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> "_Choice | messages.Refused":
        """Return the candidate with the shortest expected time to answer."""
        usable = self._usable(req, order, servers, view)
        candidates = tuple(itertools.islice(usable, SERVERS_PER_OBJECT))
        if not candidates:
            return self._refuse(req, order, servers, view.now)
        choices = self._by_expected_time(req, candidates, view.now)
        for choice in choices:
            if _has_room(req, choice):
                return choice
        # By then the queue of the best candidate will have been served.
        wait_s = max(RETRY_AFTER_S, choices[0].wait_s)
        return messages.Refused("no-slot", wait_s)

    def _usable(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> Iterator[membership.Server]:
        """Yield the servers that may serve a request and accept requests."""
        closed = _closed_domains(req)
        passed_over = 0
        for server_id in order:
            server = servers[server_id]
            if not _may_serve(server, req, closed):
                continue
            if self._is_declining(server, view):
                passed_over += 1
                if passed_over == MAX_DECLINING_PASSED_OVER:
                    return
            elif self._is_available(server, view):
                yield server

    def _by_expected_time(
        self,
        req: messages.Request,
        candidates: Sequence[membership.Server],
        now: float,
    ) -> "list[_Choice]":
        """Return the candidates, the first one expected to answer first.

        The server that ranks first is assumed to have the object cached: other
        entries may have sent requests for it there, and if not, this server is
        to cache it now. If an object stayed at the servers that answered for it
        last, it would be cached at as many servers as there are entries, and
        evict other objects there.
        """
        cached = [
            self._locations.is_cached(
                req.object_key, (server.server_id, server.incarnation), now
            )
            for server in candidates
        ]
        cached[0] = True
        choices = [
            self._estimate_choice(req, server, is_cached, now)
            for server, is_cached in zip(candidates, cached, strict=True)
        ]
        return sorted(choices, key=lambda choice: choice.ranking_s)

    def _estimate_choice(
        self,
        req: messages.Request,
        server: membership.Server,
        is_cached: bool,
        now: float,
    ) -> "_Choice":
        load = self._load(server, now)
        kind = estimates.RequestKind(req.route, server.region)
        run_s = self._estimates.run_s(kind, req.goal_s, is_cached)
        wait_s = self._wait_s(req, server, load)
        ranking_load = self._load(server, now, load_reports.CHOICE_MAX_AGE_S)
        ranking_s = run_s + self._wait_s(req, server, ranking_load)
        reason = "affinity" if wait_s == 0 else "affinity-wait"
        return _Choice(server, reason, load, run_s + wait_s, wait_s, ranking_s)

    def _wait_s(
        self, req: messages.Request, server: membership.Server, load: float
    ) -> float:
        return self._estimates.wait_s(
            req.pool, load * server.slots, server.slots, req.goal_s
        )

    def _least_loaded(
        self,
        req: messages.Request,
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> "_Choice | messages.Refused":
        closed = _closed_domains(req)
        allowed = [
            server
            for server in servers.values()
            if _may_serve(server, req, closed)
        ]
        if not allowed:
            return messages.Refused("no-server", RETRY_AFTER_S)
        loads = [
            (self._load(server, view.now), server.server_id)
            for server in allowed
            if self._is_available(server, view)
            and not self._is_declining(server, view)
        ]
        if not loads:
            retry_after_s = self._retry_after_s(allowed, view.now)
            return messages.Refused("no-slot", retry_after_s)
        load, server_id = min(loads)
        if load >= FULL_LOAD:
            return messages.Refused("no-slot", RETRY_AFTER_S)
        return _Choice(servers[server_id], "least-loaded", load)

    def _is_available(self, server: membership.Server, view: View) -> bool:
        """Return whether requests may be sent to a server now.

        Not to an ejected, silent or leaving server, nor to a cold one beyond
        this entry's allowance.
        """
        server_id = server.server_id
        stats = self._server_stats.current(server, view.now)
        if stats.is_leaving or stats.ejected_until > view.now:
            return False
        if stats.is_silent(view.now) or self._silence_reports.is_confirmed(
            server_id, view.now
        ):
            return False
        if not self._is_cold(stats, server_id, view):
            return True
        rate = allowance.cold_rate(view.cold_rate)
        return self._cold_allowance.may_send(
            server_id, rate, view.entries, view.now
        )

    def _is_declining(self, server: membership.Server, view: View) -> bool:
        """Return whether a server wants no more requests from this entry now.

        It asked for a time without requests, or is at its rate limit.
        """
        stats = self._server_stats.current(server, view.now)
        return stats.resting_until > view.now or not self._is_within_limit(
            server, view
        )

    def _refuse(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        now: float,
    ) -> messages.Refused:
        """Return the refusal of a request that no server may get now."""
        closed = _closed_domains(req)
        ranked = (servers[server_id] for server_id in order)
        allowed = (
            server for server in ranked if _may_serve(server, req, closed)
        )
        passed_over = itertools.islice(allowed, MAX_DECLINING_PASSED_OVER)
        return messages.Refused(
            _refusal_reason(req, servers.values()),
            self._retry_after_s(passed_over, now),
        )

    def _retry_after_s(
        self, servers: Iterable[membership.Server], now: float
    ) -> float:
        """Return the time until the first of some servers accepts requests.

        Args:
            servers: Servers of which none is usable now.
            now: Monotonic time in seconds.
        """
        rests_s = [
            self._server_stats.current(server, now).resting_until - now
            for server in servers
        ]
        return max(RETRY_AFTER_S, min(rests_s, default=RETRY_AFTER_S))

    def _is_within_limit(self, server: membership.Server, view: View) -> bool:
        """Return whether a server's rate limit allows a request now."""
        if self.server_limiter.limits.is_empty:
            return True
        home_entries = view.entries_by_region.get(server.region, ())
        return self.server_limiter.may_send(
            server, view.entries, view.now, home_entries
        )

    def _is_cold(
        self, stats: server_stats.ServerStats, server_id: str, view: View
    ) -> bool:
        if not view.cold_rate:
            return False
        return stats.cold_until > view.now or view.is_cold(server_id)

    def _load(
        self,
        server: membership.Server,
        now: float,
        max_age_s: float = load_reports.REFUSAL_MAX_AGE_S,
    ) -> float:
        """Return a server's requests as a multiple of its slots.

        Args:
            server: The server.
            now: Monotonic time in seconds.
            max_age_s: Greatest age in seconds of another entry's report.
        """
        stats = self._server_stats.current(server, now)
        reported = self._load_reports.estimated_requests(
            server.server_id,
            stats.reported_at,
            stats.in_flight,
            now - max_age_s,
        )
        return max(stats.estimated_requests(now), reported) / max(
            1, server.slots
        )

    def learn(
        self, grant: messages.Grant, result: messages.AttemptResult, now: float
    ) -> None:
        """Update run times and object locations from a grant's answer.

        Args:
            grant: The grant of this entry.
            result: How its request ended.
            now: Monotonic time in seconds.
        """
        req, server = grant.req, grant.server
        if req is None or result.kind != "answered" or not result.healthy:
            return
        incarnation = (server.server_id, server.incarnation)
        if req.object_key:
            was_cached = self._locations.is_cached(
                req.object_key, incarnation, now
            )
            self._locations.record(req.object_key, incarnation, now)
        else:
            was_cached = True
        had_queue = result.load is not None and result.load.waiting > 0
        kind = estimates.RequestKind(req.route, server.region)
        self._estimates.observe(
            estimates.AnswerSample(
                kind,
                req.pool,
                req.goal_s,
                result.duration_s,
                was_cached,
                had_queue,
            )
        )

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
            warm_up_s: Seconds for which a server of the pool stays cold.
            now: Monotonic time in seconds.
        """
        self._server_stats.record_done(server_id, result, warm_up_s, now)
        key = self._server_stats.key_of(server_id)
        if result.load is not None and key is not None:
            self._load_reports.record_answer(key, result.load)

    def server_id_of(self, key: int) -> str | None:
        """Return the server with an incarnation key, None if it is unknown."""
        return self._server_stats.server_id_of(key)

    def silent_keys(self, now: float) -> tuple[int, ...]:
        """Return the incarnation keys of silent servers, to be sent to others.

        Each of many entries sends a server few requests; without the reports
        each of them would lose requests before it finds the server silent.
        """
        return self._server_stats.silent_keys(now)

    def record_silent(
        self, sender: str, keys: Iterable[int], now: float
    ) -> tuple[str, ...]:
        """Record which servers another entry reports as silent.

        Args:
            sender: Name of the other entry.
            keys: Incarnation keys of the servers.
            now: Monotonic time in seconds.

        Returns:
            Ids of the servers that are newly confirmed as silent by this report
            and those of other entries, and so get no requests.
        """
        server_ids = (self._server_stats.server_id_of(key) for key in keys)
        return tuple(
            server_id
            for server_id in server_ids
            if server_id is not None
            and self._silence_reports.record(server_id, sender, now)
        )

    @property
    def has_busy(self) -> bool:
        """Return whether there are busy servers to report to other entries."""
        return self._load_reports.has_busy

    def take_busy(self) -> tuple[tuple[int, int], ...]:
        """Return and clear the busy servers: incarnation keys and requests."""
        return self._load_reports.take_busy()

    def record_loads(
        self, loads: Iterable[tuple[int, int]], now: float
    ) -> None:
        """Record the loads of busy servers that another entry reports.

        Args:
            loads: Incarnation keys of the servers, and their requests.
            now: Monotonic time in seconds.
        """
        in_flight = self._server_stats.in_flight()
        for key, requests in loads:
            server_id = self._server_stats.server_id_of(key)
            if server_id is not None:
                own = in_flight.get(server_id, 0)
                self._load_reports.record_report(server_id, requests, own, now)

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._server_stats.in_flight()

    def prune(self, server_ids: Collection[str], now: float) -> None:
        """Drop servers that are gone, and rate limits that nothing confirms.

        Args:
            server_ids: The servers that are kept; others are dropped once they
                have no requests under way.
            now: Monotonic time in seconds.
        """
        self._cold_allowance.prune(server_ids)
        self.server_limiter.prune(server_ids, now)
        self._locations.prune(server_ids)
        self._load_reports.prune(server_ids)
        self._silence_reports.prune(self._server_stats.prune(server_ids))


def _closed_domains(req: messages.Request) -> dict[str, set[str]]:
    """Return the closed failure domains of each region that may serve."""
    return {region.name: set(region.closed_domains) for region in req.regions}


def _has_room(req: messages.Request, choice: _Choice) -> bool:
    """Return whether a server may get a request, given its load.

    A request whose answer would come too late to be of much use delays all
    requests queued behind it. It is sent only to a server without a queue.
    """
    if choice.load >= FULL_LOAD:
        return False
    max_ratio = MAX_GOAL_RATIOS[min(req.priority, len(MAX_GOAL_RATIOS) - 1)]
    total_s = req.waited_s + choice.expected_s
    goal_s = req.goal_s or server_stats.DEFAULT_GOAL_S
    return choice.load < 1 or total_s <= max_ratio * goal_s


def _refusal_reason(
    req: messages.Request, servers: Iterable[membership.Server]
) -> str:
    """Return "no-slot" if some server may serve a request, else "no-server"."""
    closed = _closed_domains(req)
    is_allowed = any(_may_serve(server, req, closed) for server in servers)
    return "no-slot" if is_allowed else "no-server"


def _may_serve(
    server: membership.Server,
    req: messages.Request,
    closed: Mapping[str, Collection[str]],
) -> bool:
    domains = closed.get(server.region)
    if domains is None or server.failure_domain in domains:
        return False
    return server.server_id not in req.avoid
