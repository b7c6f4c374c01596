"""Which server an entry chooses by itself, without asking anyone.

Consistent hashing with few servers an object: of those that rank first for it,
and so have handled it lately, the one is taken that is expected to answer
first, unless that would be too late to be of use. What this entry knows of a
server's load is what the server told in its last answer, and what this entry
itself has sent since.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple

from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import object_locations
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.balancing import silence_reports
from hyssopfold.core.membership import messages as membership

# Servers that share an object; none else, whatever the load: on a server that
# does not know the object the same request takes three times as long, so that
# spreading out an overload makes it larger, until all servers are busy with
# objects they don't know.
SERVERS_PER_OBJECT = 2
# Load, as a multiple of a server's slots, at which it is about to refuse.
FULL_LOAD = 3.5
# Expected time of an answer, as a multiple of the goal, up to which a request
# is sent to a busy server, by its priority.
MAX_GOAL_RATIOS = (2.0, 1.5, 1.0)
# How much likelier a server of the entry's own region ranks first than one
# elsewhere. Most objects are asked for in one region; served there they spare
# the way between regions. More would fill a region that has few servers for
# its callers.
HOME_REGION_WEIGHT = 5.0
# When all are loaded, callers should come back once some requests are done.
RETRY_AFTER_S = 0.15


class View(NamedTuple):
    """What an entry knows when it chooses: the pool, its servers, the time.

    `servers` is the same object until one of them changes. `is_cold` tells
    whether a server is to be taken for cold, `cold_rate` and `warm_up_s` are the
    pool's, `entries` the names of those that serve callers.
    """

    servers: Sequence[membership.Server]
    is_cold: Callable[[str], bool]
    cold_rate: float
    warm_up_s: float
    entries: Collection[str]
    now: float


class _Pool(NamedTuple):
    """A pool's servers, as they were made ready from `source`."""

    source: Sequence[membership.Server]
    servers: Mapping[str, membership.Server]
    weights: Mapping[str, float]
    ranking: affinity.Ranking


class _Choice(NamedTuple):
    """A server, why it was taken, and its load as a multiple of its slots.

    `expected_s` is the time until the answer, `wait_s` the part of it in the
    server's queue; `ordered_s` is that time by older reports too, which decide
    between servers but refuse nothing.
    """

    server: membership.Server
    reason: str
    load: float
    expected_s: float = 0.0
    wait_s: float = 0.0
    ordered_s: float = 0.0


class Chooser:
    """Choose servers for the requests of one entry.

    Args:
        name: Name of the entry.
        region: Region that the entry is in.
    """

    def __init__(self, name: str, region: str = "") -> None:
        self._region = region
        self._server_stats = server_stats.ServerStatsTable()
        self._pools: dict[str, _Pool] = {}
        self._allowance = allowance.Allowance(name)
        self._silence_reports = silence_reports.SilenceReports()
        self._estimates = estimates.Estimates()
        self._locations = object_locations.ObjectLocations()
        self._load_reports = load_reports.LoadReports()

    def choose(
        self, req: messages.Request, view: View
    ) -> messages.Grant | messages.Refused:
        """Return the server for a request, counted as sent, or why none.

        For a request that names its object only the few servers that rank
        first are looked at: the cost does not grow with the pool.
        """
        held = self._pool(req.pool, view)
        if req.object_key:
            order = held.ranking.rank(req.object_key, held.weights)
            found = self._by_object(req, order, held.servers, view)
        else:
            found = self._least_loaded(req, held.servers, view)
        if isinstance(found, messages.Refused):
            return found
        server, load = found.server, found.load
        stats = self._server_stats.record_sent(server, req.goal_s, view.now)
        is_cold = self._is_cold(stats, server.server_id, view)
        if is_cold:
            self._allowance.spend(server.server_id)
        age_s = min(messages.NEVER_S, view.now - stats.reported_at)
        return messages.Grant(
            server,
            found.reason,
            known_load=load,
            load_age_s=age_s,
            expected_s=found.expected_s,
            asked=req,
            is_cold=is_cold,
        )

    def _pool(self, name: str, view: View) -> "_Pool":
        """Return a pool's servers by id and weight, made once a change."""
        servers = view.servers
        held = self._pools.get(name)
        if held is not None and held.source is servers:
            return held
        weights: Mapping[str, float] = {
            server.server_id: server.slots
            * (HOME_REGION_WEIGHT if server.region == self._region else 1.0)
            for server in servers
        }
        ranking = held.ranking if held is not None else affinity.Ranking()
        if held is not None and held.weights == weights:
            weights = held.weights
        by_id = {server.server_id: server for server in servers}
        for server_id in filter(view.is_cold, by_id):
            self._allowance.record_cold(server_id, view.now)
        held = _Pool(servers, by_id, weights, ranking)
        self._pools[name] = held
        return held

    def _by_object(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> "_Choice | messages.Refused":
        """Return who answers soonest of those that share the object."""
        usable = self._usable(req, order, servers, view)
        sharing = tuple(itertools.islice(usable, SERVERS_PER_OBJECT))
        if not sharing:
            return messages.Refused(
                _why_none(req, servers.values()), RETRY_AFTER_S
            )
        choices = self._by_time(req, sharing, view.now)
        for choice in choices:
            if _has_room(req, choice):
                return choice
        # By then what waits at the best of them now is done.
        wait_s = max(RETRY_AFTER_S, choices[0].wait_s)
        return messages.Refused("no-slot", wait_s)

    def _usable(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> Iterator[membership.Server]:
        """Yield the servers that may serve a request and take requests."""
        closed = _closed_domains(req)
        for name in order:
            server = servers[name]
            if _may_serve(server, req, closed) and self._is_open(server, view):
                yield server

    def _by_time(
        self,
        req: messages.Request,
        found: Sequence[membership.Server],
        now: float,
    ) -> "list[_Choice]":
        """Return the servers, the one expected to answer first at the front.

        The one that ranks first is taken for one that knows the object: other
        entries may have sent it there, and if not it is to learn it. Held to
        where it was answered last, an object would stay at as many servers as
        there are entries, and these would forget others for it.
        """
        known = [
            self._locations.is_cached(
                req.object_key, (one.server_id, one.incarnation), now
            )
            for one in found
        ]
        known[0] = True
        choices = [
            self._expected(req, one, is_cached, now)
            for one, is_cached in zip(found, known, strict=True)
        ]
        return sorted(choices, key=lambda one: one.ordered_s)

    def _expected(
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
        told = self._load(server, now, load_reports.CHOICE_MAX_AGE_S)
        ordered_s = run_s + self._wait_s(req, server, told)
        reason = "affinity" if wait_s == 0 else "affinity-wait"
        return _Choice(server, reason, load, run_s + wait_s, wait_s, ordered_s)

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
        usable = [
            server
            for server in servers.values()
            if _may_serve(server, req, closed)
        ]
        if not usable:
            return messages.Refused("no-server", RETRY_AFTER_S)
        loads = [
            (self._load(server, view.now), server.server_id)
            for server in usable
            if self._is_open(server, view)
        ]
        least, name = min(loads, default=(math.inf, ""))
        if least >= FULL_LOAD:
            return messages.Refused("no-slot", RETRY_AFTER_S)
        return _Choice(servers[name], "least-loaded", least)

    def _is_open(self, server: membership.Server, view: View) -> bool:
        """Return whether a server takes requests as far as is known here."""
        server_id = server.server_id
        stats = self._server_stats.current(server, view.now)
        if stats.ejected_until > view.now:
            return False
        if stats.is_silent(view.now) or self._silence_reports.is_confirmed(
            server_id, view.now
        ):
            return False
        if not self._is_cold(stats, server_id, view):
            return True
        return self._allowance.may_send(
            server_id, view.cold_rate, view.entries, view.now
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
        told_s: float = load_reports.REFUSAL_MAX_AGE_S,
    ) -> float:
        """Return a server's requests as a multiple of its slots.

        Args:
            server: The server.
            now: The time.
            told_s: How old another entry's report may be.
        """
        stats = self._server_stats.current(server, now)
        told = self._load_reports.estimated_requests(
            server.server_id, stats.reported_at, stats.in_flight, now - told_s
        )
        return max(stats.estimated_requests(now), told) / max(1, server.slots)

    def learn(
        self, grant: messages.Grant, done: messages.Done, now: float
    ) -> None:
        """Take in what a grant's answer tells of run times and objects."""
        req, server = grant.asked, grant.server
        if req is None or done.kind != "answered" or not done.good:
            return
        life = (server.server_id, server.incarnation)
        if req.object_key:
            was_cached = self._locations.is_cached(req.object_key, life, now)
            self._locations.record(req.object_key, life, now)
        else:
            was_cached = True
        had_queue = done.load is not None and done.load.waiting > 0
        kind = estimates.RequestKind(req.route, server.region)
        self._estimates.observe(
            estimates.AnswerSample(
                kind, req.pool, req.goal_s, done.seconds, was_cached, had_queue
            )
        )

    def record_done(
        self, server_id: str, done: messages.Done, warm_up_s: float, now: float
    ) -> None:
        """Take in how a request ended."""
        self._server_stats.record_done(server_id, done, warm_up_s, now)
        key = self._server_stats.key_of(server_id)
        if done.load is not None and key is not None:
            self._load_reports.record_answer(key, done.load)

    def silent_keys(self, now: float) -> tuple[int, ...]:
        """Return the lives of servers at which requests wait in vain.

        Each of many entries sends a server few requests, and would else learn
        by its own losses that none is answered.
        """
        return self._server_stats.silent_keys(now)

    def record_silent(
        self, sender: str, keys: Iterable[int], now: float
    ) -> tuple[str, ...]:
        """Take in at which servers another entry waits in vain just now.

        Returns:
            Servers that get nothing more, by this and others' word.
        """
        known = (self._server_stats.server_id_of(key) for key in keys)
        return tuple(
            server_id
            for server_id in known
            if server_id is not None
            and self._silence_reports.record(server_id, sender, now)
        )

    @property
    def has_busy(self) -> bool:
        """Return whether there are busy servers to tell others of."""
        return self._load_reports.has_busy

    def take_busy(self) -> tuple[tuple[int, int], ...]:
        """Return the lives of busy servers and their requests, once."""
        return self._load_reports.take_busy()

    def record_loads(
        self, loads: Iterable[tuple[int, int]], now: float
    ) -> None:
        """Take in which servers another entry found busy just now."""
        in_flight = self._server_stats.in_flight()
        for key, requests in loads:
            server_id = self._server_stats.server_id_of(key)
            if server_id is not None:
                mine = in_flight.get(server_id, 0)
                self._load_reports.record_report(server_id, requests, mine, now)

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._server_stats.in_flight()

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are gone and have nothing under way."""
        self._allowance.prune(server_ids)
        self._locations.prune(server_ids)
        self._load_reports.prune(server_ids)
        self._silence_reports.prune(self._server_stats.prune(server_ids))


def _closed_domains(req: messages.Request) -> dict[str, set[str]]:
    """Return the regions that may serve a request, with what is closed there."""
    return {one.name: set(one.closed_domains) for one in req.regions}


def _has_room(req: messages.Request, choice: _Choice) -> bool:
    """Return whether a busy server is to take a request.

    One whose answer would come too late to be of much use makes all behind it
    late too; it finds room only where nothing waits.
    """
    if choice.load >= FULL_LOAD:
        return False
    max_ratio = MAX_GOAL_RATIOS[min(req.priority, len(MAX_GOAL_RATIOS) - 1)]
    in_all_s = req.waited_s + choice.expected_s
    goal_s = req.goal_s or server_stats.DEFAULT_GOAL_S
    return choice.load < 1 or in_all_s <= max_ratio * goal_s


def _why_none(
    req: messages.Request, servers: Iterable[membership.Server]
) -> str:
    """Return why no server takes a request: none may serve it, or all rest."""
    closed = _closed_domains(req)
    may = any(_may_serve(server, req, closed) for server in servers)
    return "no-slot" if may else "no-server"


def _may_serve(
    server: membership.Server,
    req: messages.Request,
    closed: Mapping[str, Collection[str]],
) -> bool:
    domains = closed.get(server.region)
    if domains is None or server.failure_domain in domains:
        return False
    return server.server_id not in req.avoid
