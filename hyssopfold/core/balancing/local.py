"""Which server an entry chooses by itself, without asking anyone.

Bounded-load consistent hashing: requests for an object go to the servers that
rank first for it and so have handled it lately, unless those are loaded
beyond a bound; then to the next. A short wait at a warm server beats a cold
one. What this entry knows of a server's load is what the server told in its
last answer, and what this entry itself has sent since.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# Servers that share an object. One handles it while its wait is short, the
# second beyond that; none else, whatever the load: on a cold server the same
# request takes three times as long, so that spreading out an overload makes
# it larger, until all servers are busy with objects they don't know. In the
# model (bench/emulator) at 1.3 times the usual load, 0.97 of the worth is
# earned so, and 0.47 with any server taken when the first ones are loaded.
SHARED_BY = 2
# Loads, as multiples of a server's slots. Up to the first a request waits
# about as long as a warm one takes, a third of what a cold one takes; beyond
# the second a server is about to refuse.
SHORT_WAIT = 2.2
FULL = 3.5
# How much likelier a server of the entry's own region ranks first than one
# elsewhere. Most objects are asked for in one region; served there they spare
# the way between regions (0.36 of the requests go far, with 1 it is 0.66). More
# would fill a region that has few servers for its callers: at 14 the worst
# seconds of a busy day earn 0.46 in place of 0.55 (bench/emulator, 4 seeds).
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
    failures: int = 0
    rests: int = 0
    resting_until: float = -math.inf
    cold_until: float = -math.inf


class View(NamedTuple):
    """What an entry knows when it chooses: the pool, its servers, the time.

    `cold` are servers that say they are cold, `cold_rate` and `warm_up_s` the
    pool's, `entries` the names of those that serve callers.
    """

    servers: Sequence[membership.Server]
    cold: Collection[str]
    cold_rate: float
    warm_up_s: float
    entries: Collection[str]
    now: float


class Chooser:
    """Choose servers for the requests of one entry.

    Args:
        name: Name of the entry.
        region: Region that the entry is in.
    """

    def __init__(self, name: str, region: str = "") -> None:
        self._region = region
        self._seen: dict[str, _Seen] = {}
        self._rankings: dict[str, affinity.Ranking] = {}
        self._allowance = allowance.Allowance(name)

    def choose(
        self, req: messages.Request, view: View
    ) -> messages.Grant | messages.Refused:
        """Return the server for a request, counted as sent, or why none."""
        usable = self._usable(req, view)
        if not usable:
            return messages.Refused("no-server", RETRY_AFTER_S)
        chosen = self._pick(req, usable, view)
        if chosen is None:
            return messages.Refused("no-slot", RETRY_AFTER_S)
        server, reason = chosen
        seen = self._seen[server.server_id]
        if self._is_cold(seen, server.server_id, view):
            self._allowance.take(server.server_id)
        load = self._load(server, view.now)
        since = seen.waits_since if seen.in_flight else view.now
        self._seen[server.server_id] = seen._replace(
            in_flight=seen.in_flight + 1, waits_since=since
        )
        age_s = min(messages.NEVER_S, view.now - seen.reported_at)
        return messages.Grant(server, reason, known_load=load, load_age_s=age_s)

    def _usable(
        self, req: messages.Request, view: View
    ) -> dict[str, membership.Server]:
        """Return the servers that the request may go to, by id."""
        closed = {one.name: set(one.closed_domains) for one in req.regions}
        usable = {}
        for server in view.servers:
            self._meet(server, view.now)
            domains = closed.get(server.region)
            if domains is None or server.failure_domain in domains:
                continue
            if server.server_id not in req.avoid:
                usable[server.server_id] = server
        return usable

    def _meet(self, server: membership.Server, now: float) -> None:
        seen = self._seen.get(server.server_id)
        if seen is None:
            self._seen[server.server_id] = _Seen(server.incarnation)
        elif seen.incarnation < server.incarnation:
            self._seen[server.server_id] = _Seen(
                server.incarnation,
                in_flight=seen.in_flight,
                waits_since=now,
            )

    def _pick(
        self,
        req: messages.Request,
        usable: Mapping[str, membership.Server],
        view: View,
    ) -> tuple[membership.Server, str] | None:
        loads = {
            name: self._load(server, view.now)
            for name, server in usable.items()
            if self._is_open(name, req, view)
        }
        if not loads:
            return None
        if req.object_key:
            order = [name for name in self._order(req, view) if name in loads]
            return self._by_object(order, loads, usable)
        least = min(loads, key=lambda name: (loads[name], name))
        if loads[least] >= FULL:
            return None
        return usable[least], "least-loaded"

    def _by_object(
        self,
        order: Sequence[str],
        loads: Mapping[str, float],
        usable: Mapping[str, membership.Server],
    ) -> tuple[membership.Server, str] | None:
        for name in order[:SHARED_BY]:
            if loads[name] < SHORT_WAIT:
                return usable[name], "affinity"
        least = min(order[:SHARED_BY], key=lambda name: (loads[name], name))
        if loads[least] >= FULL:
            return None
        return usable[least], "affinity-wait"

    def _order(self, req: messages.Request, view: View) -> tuple[str, ...]:
        """Return the pool's servers, those that know the object best first."""
        ranking = self._rankings.setdefault(req.pool, affinity.Ranking())
        weights = {
            server.server_id: server.slots
            * (HOME_WEIGHT if server.region == self._region else 1.0)
            for server in view.servers
        }
        return ranking.rank(req.object_key, weights)

    def _is_open(
        self, server_id: str, req: messages.Request, view: View
    ) -> bool:
        """Return whether a server takes requests as far as is known here."""
        seen = self._seen[server_id]
        if seen.resting_until > view.now:
            return False
        silent_s = (req.goal_s or USUAL_GOAL_S) * SILENT_GOALS
        if seen.in_flight and view.now - seen.waits_since > silent_s:
            return False
        if not self._is_cold(seen, server_id, view):
            return True
        return self._allowance.may_send(
            server_id, view.cold_rate, view.entries, view.now
        )

    def _is_cold(self, seen: _Seen, server_id: str, view: View) -> bool:
        if not view.cold_rate:
            return False
        return server_id in view.cold or seen.cold_until > view.now

    def _load(self, server: membership.Server, now: float) -> float:
        """Return a server's requests as a multiple of its slots."""
        seen = self._seen[server.server_id]
        known = float(seen.in_flight)
        if now - seen.reported_at <= REPORT_S:
            since = seen.in_flight - seen.in_flight_then
            known = max(known, seen.reported + since)
        return known / max(1, server.slots)

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
        if done.kind != "cancelled":
            seen = _judged(seen, done, warm_up_s, now)
        self._seen[server_id] = seen

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
        for server_id in self._seen.keys() - set(known):
            if not self._seen[server_id].in_flight:
                del self._seen[server_id]


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
