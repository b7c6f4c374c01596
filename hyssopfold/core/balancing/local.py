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
import zlib

from hyssopfold.core.balancing import accusations
from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import whereabouts
from hyssopfold.core.membership import messages as membership

# Servers that share an object; none else, whatever the load: on a server that
# does not know the object the same request takes three times as long, so that
# spreading out an overload makes it larger, until all servers are busy with
# objects they don't know.
SHARED_BY = 2
# Load, as a multiple of a server's slots, at which it is about to refuse.
FULL = 3.5
# Expected time of an answer, as a multiple of the goal, up to which a request
# is sent to a busy server, by its priority.
PATIENCE = (2.0, 1.5, 1.0)
# How much likelier a server of the entry's own region ranks first than one
# elsewhere. Most objects are asked for in one region; served there they spare
# the way between regions. More would fill a region that has few servers for
# its callers.
HOME_WEIGHT = 5.0
# A report of load is worth nothing once what ran then is done.
REPORT_S = 2.0
# Failures to connect, or failed answers in a row, after which a server gets
# nothing for a while; doubled each time, up to the most.
FAILURES = 3
FIRST_REST_S = 1.0
MAX_REST_S = 8.0
# A server is silent when requests wait at it and no answer came for so many
# times the latency goal: dead without a sign, or slow beyond use. It gets
# nothing until it answers, or none of them waits any more.
SILENT_GOALS = 2.0
USUAL_GOAL_S = 0.5
# One whose address belongs to another server now: its lease ends by then.
ELSEWHERE_REST_S = 4.0
# A server that refused for want of room gets nothing for so long: about the
# time in which one of its requests ends.
SHED_REST_S = 0.1
# When all are loaded, callers should come back once some requests are done.
RETRY_AFTER_S = 0.15


class _Seen(NamedTuple):
    """What this entry knows of a server beside its announcement."""

    incarnation: int
    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    in_flight_then: int = 0
    waits_since: float = -math.inf
    goal_s: float = USUAL_GOAL_S
    failures: int = 0
    rests: int = 0
    resting_until: float = -math.inf
    cold_until: float = -math.inf


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
        self._seen: dict[str, _Seen] = {}
        self._pools: dict[str, _Pool] = {}
        self._allowance = allowance.Allowance(name)
        self._accusations = accusations.Accusations()
        self._by_key: dict[int, str] = {}
        self._estimates = estimates.Estimates()
        self._whereabouts = whereabouts.Whereabouts()
        self._reports = load_reports.LoadReports()

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
        seen = self._met(server, view.now)
        is_cold = self._is_cold(seen, server.server_id, view)
        if is_cold:
            self._allowance.take(server.server_id)
        since = seen.waits_since if seen.in_flight else view.now
        self._seen[server.server_id] = seen._replace(
            in_flight=seen.in_flight + 1,
            waits_since=since,
            goal_s=req.goal_s or USUAL_GOAL_S,
        )
        age_s = min(messages.NEVER_S, view.now - seen.reported_at)
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
            * (HOME_WEIGHT if server.region == self._region else 1.0)
            for server in servers
        }
        ranking = held.ranking if held is not None else affinity.Ranking()
        if held is not None and held.weights == weights:
            weights = held.weights
        by_id = {server.server_id: server for server in servers}
        for server_id in filter(view.is_cold, by_id):
            self._allowance.note(server_id, view.now)
        held = _Pool(servers, by_id, weights, ranking)
        self._pools[name] = held
        return held

    def _met(self, server: membership.Server, now: float) -> "_Seen":
        seen = self._seen.get(server.server_id)
        if seen is not None and seen.incarnation >= server.incarnation:
            return seen
        in_flight = 0
        if seen is not None:
            # What is said of its former life, still on its way, counts no more.
            in_flight = seen.in_flight
            former = life_key(server.server_id, seen.incarnation)
            self._by_key.pop(former, None)
        key = life_key(server.server_id, server.incarnation)
        self._by_key[key] = server.server_id
        seen = self._seen[server.server_id] = _Seen(
            server.incarnation, in_flight=in_flight, waits_since=now
        )
        return seen

    def _by_object(
        self,
        req: messages.Request,
        order: Sequence[str],
        servers: Mapping[str, membership.Server],
        view: View,
    ) -> "_Choice | messages.Refused":
        """Return who answers soonest of those that share the object."""
        usable = self._usable(req, order, servers, view)
        sharing = tuple(itertools.islice(usable, SHARED_BY))
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
            self._whereabouts.knows(
                req.object_key, (one.server_id, one.incarnation), now
            )
            for one in found
        ]
        known[0] = True
        choices = [
            self._expected(req, one, is_known, now)
            for one, is_known in zip(found, known, strict=True)
        ]
        return sorted(choices, key=lambda one: one.ordered_s)

    def _expected(
        self,
        req: messages.Request,
        server: membership.Server,
        is_known: bool,
        now: float,
    ) -> "_Choice":
        load = self._load(server, now)
        kind = estimates.Kind(req.route, server.region)
        run_s = self._estimates.run_s(kind, req.goal_s, is_known)
        wait_s = self._wait_s(req, server, load)
        told = self._load(server, now, load_reports.CHOICE_S)
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
        if least >= FULL:
            return messages.Refused("no-slot", RETRY_AFTER_S)
        return _Choice(servers[name], "least-loaded", least)

    def _is_open(self, server: membership.Server, view: View) -> bool:
        """Return whether a server takes requests as far as is known here."""
        server_id = server.server_id
        seen = self._met(server, view.now)
        if seen.resting_until > view.now:
            return False
        if _is_silent(seen, view.now) or self._accusations.is_accused(
            server_id, view.now
        ):
            return False
        if not self._is_cold(seen, server_id, view):
            return True
        return self._allowance.may_send(
            server_id, view.cold_rate, view.entries, view.now
        )

    def _is_cold(self, seen: _Seen, server_id: str, view: View) -> bool:
        if not view.cold_rate:
            return False
        return seen.cold_until > view.now or view.is_cold(server_id)

    def _load(
        self,
        server: membership.Server,
        now: float,
        told_s: float = load_reports.ROOM_S,
    ) -> float:
        """Return a server's requests as a multiple of its slots.

        Args:
            server: The server.
            now: The time.
            told_s: How old another entry's report may be.
        """
        seen = self._met(server, now)
        known = float(seen.in_flight)
        if now - seen.reported_at <= REPORT_S:
            since = seen.in_flight - seen.in_flight_then
            known = max(known, seen.reported + since)
        told = self._reports.requests(
            server.server_id, seen.reported_at, seen.in_flight, now - told_s
        )
        return max(known, told) / max(1, server.slots)

    def learn(
        self, grant: messages.Grant, done: messages.Done, now: float
    ) -> None:
        """Take in what a grant's answer tells of run times and objects."""
        req, server = grant.asked, grant.server
        if req is None or done.kind != "answered" or not done.good:
            return
        life = (server.server_id, server.incarnation)
        if req.object_key:
            was_known = self._whereabouts.knows(req.object_key, life, now)
            self._whereabouts.note(req.object_key, life, now)
        else:
            was_known = True
        waits = done.load is not None and done.load.waiting > 0
        kind = estimates.Kind(req.route, server.region)
        self._estimates.observe(
            estimates.Answer(
                kind, req.pool, req.goal_s, done.seconds, was_known, waits
            )
        )

    def done(
        self, server_id: str, done: messages.Done, warm_up_s: float, now: float
    ) -> None:
        """Take in how a request ended."""
        seen = self._seen.get(server_id)
        if seen is None:
            return
        seen = seen._replace(in_flight=max(0, seen.in_flight - 1))
        if done.kind in ("answered", "shed"):
            seen = seen._replace(waits_since=now)
        if done.load is not None:
            seen = seen._replace(
                reported=float(done.load.running + done.load.waiting),
                reported_at=now,
                in_flight_then=seen.in_flight,
            )
            key = life_key(server_id, seen.incarnation)
            self._reports.note(key, done.load)
        if done.kind != "cancelled":
            seen = _judged(seen, done, warm_up_s, now)
        self._seen[server_id] = seen

    def silent(self, now: float) -> tuple[int, ...]:
        """Return the servers, by `life_key`, at which requests wait in vain.

        Each of many entries sends a server few requests, and would else learn
        by its own losses that none is answered.
        """
        return tuple(
            life_key(server_id, seen.incarnation)
            for server_id, seen in self._seen.items()
            if _is_silent(seen, now)
        )

    def hear(
        self, sender: str, silent: Iterable[int], now: float
    ) -> tuple[str, ...]:
        """Take in at which servers another entry waits in vain just now.

        Returns:
            Servers that get nothing more, by this and others' word.
        """
        known = (self._by_key.get(key) for key in silent)
        return tuple(
            server_id
            for server_id in known
            if server_id is not None
            and self._accusations.accuse(server_id, sender, now)
        )

    @property
    def has_busy(self) -> bool:
        """Return whether there are busy servers to tell others of."""
        return self._reports.has_busy

    def take_busy(self) -> tuple[tuple[int, int], ...]:
        """Return the busy servers, by `life_key`, and their requests, once."""
        return self._reports.take_busy()

    def hear_loads(self, loads: Iterable[tuple[int, int]], now: float) -> None:
        """Take in which servers another entry found busy just now."""
        for key, requests in loads:
            server_id = self._by_key.get(key)
            if server_id is not None:
                in_flight = self._seen[server_id].in_flight
                self._reports.hear(server_id, requests, in_flight, now)

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return {
            server_id: seen.in_flight
            for server_id, seen in self._seen.items()
            if seen.in_flight
        }

    def forget(self, known: Collection[str]) -> None:
        """Drop the servers that are gone and have nothing under way."""
        self._allowance.forget(known)
        self._whereabouts.forget(known)
        self._reports.forget(known)
        for server_id in self._seen.keys() - set(known):
            if not self._seen[server_id].in_flight:
                del self._seen[server_id]
        self._accusations.forget(self._seen.keys())
        self._by_key = {
            life_key(server_id, seen.incarnation): server_id
            for server_id, seen in self._seen.items()
        }


def life_key(server_id: str, incarnation: int) -> int:
    """Return what stands for one life of a server between entries."""
    return zlib.crc32(f"{server_id} {incarnation}".encode())


def _closed_domains(req: messages.Request) -> dict[str, set[str]]:
    """Return the regions that may serve a request, with what is closed there."""
    return {one.name: set(one.closed_domains) for one in req.regions}


def _has_room(req: messages.Request, choice: _Choice) -> bool:
    """Return whether a busy server is to take a request.

    One whose answer would come too late to be of much use makes all behind it
    late too; it finds room only where nothing waits.
    """
    if choice.load >= FULL:
        return False
    patience = PATIENCE[min(req.priority, len(PATIENCE) - 1)]
    in_all_s = req.waited_s + choice.expected_s
    goal_s = req.goal_s or USUAL_GOAL_S
    return choice.load < 1 or in_all_s <= patience * goal_s


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


def _is_silent(seen: _Seen, now: float) -> bool:
    """Return whether requests wait at a server that answers none."""
    waits_s = now - seen.waits_since
    return seen.in_flight > 0 and waits_s > seen.goal_s * SILENT_GOALS


def _judged(
    seen: _Seen, done: messages.Done, warm_up_s: float, now: float
) -> _Seen:
    if done.elsewhere:
        return seen._replace(resting_until=now + ELSEWHERE_REST_S)
    if done.kind == "shed":
        return seen._replace(resting_until=now + SHED_REST_S)
    if done.good:
        return seen._replace(failures=0, rests=max(0, seen.rests - 1))
    failures = seen.failures + 1
    if done.reached and failures < FAILURES:
        return seen._replace(failures=failures)
    rest_s = min(MAX_REST_S, FIRST_REST_S * 2.0**seen.rests)
    until = now + rest_s
    # One that takes no connection has ended; it comes back cold, and its own
    # word of that may come later than its first request.
    cold_until = until + warm_up_s if not done.reached else seen.cold_until
    return seen._replace(
        failures=0,
        rests=seen.rests + 1,
        resting_until=until,
        cold_until=cold_until,
    )
