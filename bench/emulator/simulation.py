"""Simulate servers, entries and callers in virtual time.

The entries choose servers with the code of the daemon, `local.Chooser`.
"""

import collections
from collections.abc import Sequence
import heapq
import itertools
import math
import random
from typing import Any
from typing import NamedTuple

from bench.emulator import sites
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import reopened
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership
from hyssopfold.entry import local_placement

# Service time for an object that the server has cached, as a share of the full
# service time.
CACHED_SHARE = 0.3
# Factor on the service time of a cold server.
COLD_FACTOR = 2.0
# A limit binds an entry from this time after it got an answer that names it.
LIMIT_BINDS_AFTER_S = 0.5
# Seconds for which a server stays cold.
WARM_UP_S = 3.0
# Servers to which an entry may send one try of a caller's request; failed
# connections allow two more (see `_handle_connect_failure`).
ATTEMPTS = 2
# Standard deviation of the logarithm of the service time (log-normal).
SERVICE_TIME_SIGMA = 0.15
# Share of a request's worth that a late answer earns.
LATE_WORTH_SHARE = 0.2
# Failure domains in each region.
DOMAINS_PER_REGION = 2
# Period of the sinusoidal variation of the request rates.
LOAD_PERIOD_S = 36.0


class CallerRequest(NamedTuple):
    """One try of a caller's request.

    `created_at` is the time of the first try, `tries` the number of this one.
    `number` identifies the attempt at one server: if attempts of a request had
    the same number, the timeout of the first would end the second.
    """

    kind: sites.RequestKind
    key: str
    region: str
    created_at: float
    tries: int
    number: int = -1


class LimitedSpan:
    """The requests that a server got while it named a limit.

    Args:
        rate: The limit in requests a second.

    Attributes:
        rate: As above.
        told_at: Times at which entries first got an answer with the limit.
        arrivals: Times of the requests from entries that the limit binds.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.told_at: dict[Any, float] = {}
        self.arrivals: list[float] = []

    def count(self, entry: Any, sent_at: float, now: float) -> None:
        """Count a request that arrives from an entry."""
        if sent_at >= self.told_at.get(entry, math.inf) + LIMIT_BINDS_AFTER_S:
            self.arrivals.append(now)


class Server:
    """A simulated server with slots, a bounded queue and a cache of objects.

    Args:
        record: Its record in the directory.
        cache_size: Number of objects in its cache.
        rng: Source of random numbers.
    """

    def __init__(
        self, record: membership.Server, cache_size: int, rng: random.Random
    ) -> None:
        self.record = record
        self.slowdown = 1.0
        # A server that is down accepts no connection; an unresponsive one
        # accepts requests and doesn't answer.
        self.is_down = False
        self.is_unresponsive = False
        # Requests a second that its answers name as its limit, and what it got
        # under each of its limits.
        self.rate_limit: float | None = None
        self.limited_spans: list[LimitedSpan] = []
        self.cold_until = 0.0
        # Whether its announcements say that it is cold.
        self.announces_cold = True
        # Times at which requests arrived while it was cold.
        self.cold_arrivals: list[float] = []
        self._rng = rng
        self._cache_size = cache_size
        self._cached_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.running = 0
        self.queue: collections.deque[Any] = collections.deque()
        self.cache_misses = 0
        self.runs = 0

    @property
    def load(self) -> messages.Load:
        """Return the server's load as it reports it."""
        slots = self.record.slots
        return messages.Load(self.running, len(self.queue), slots)

    def service_s(self, request: CallerRequest, now: float) -> float:
        """Return the service time of a request; its object becomes cached."""
        share = CACHED_SHARE if request.key in self._cached_objects else 1.0
        self.runs += 1
        self.cache_misses += share == 1.0
        self._cached_objects[request.key] = None
        self._cached_objects.move_to_end(request.key)
        if len(self._cached_objects) > self._cache_size:
            self._cached_objects.popitem(last=False)
        if now < self.cold_until:
            share *= COLD_FACTOR
        noise = self._rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        return request.kind.service_s * share * noise * self.slowdown


class OutcomeCounts(NamedTuple):
    """Numbers of the requests of one kind, by outcome."""

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class Simulation:
    """Discrete-event simulation of one site.

    Args:
        site: The deployment.
        load: Factor on all request rates.
        seed: Seed of the random numbers.
        make_chooser: Returns the object that chooses servers for an entry;
            called with the entry's name and region.
    """

    def __init__(
        self, site: sites.Site, load: float, seed: int, make_chooser: Any
    ) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.now = 0.0
        self._load = load
        self._events: list[Any] = []
        self._event_numbers = itertools.count()
        self.servers: dict[str, Server] = {}
        self.records_by_pool: dict[str, list[membership.Server]] = {}
        self._create_servers()
        self.entries = {
            region: [
                make_chooser(f"{region}-{n}", region) for n in range(count)
            ]
            for region, count in site.entries.items()
        }
        self.entry_names = [
            f"{region}-{n}"
            for region, count in site.entries.items()
            for n in range(count)
        ]
        self.names_by_region = {
            region: {f"{region}-{n}" for n in range(count)}
            for region, count in site.entries.items()
        }
        self.outcome_counts = {
            kind.name: collections.Counter() for kind in site.kinds
        }
        self.worth_by_window: dict[int, list[float]] = {}
        self.worth_by_region: dict[str, list[float]] = {}
        self.far_requests = 0
        self._attempt_numbers = itertools.count()
        self.grants: dict[int, messages.Grant] = {}
        self._closed_domains: set[str] = set()
        self._reopened = reopened.ReopenedDomains(self._build_directory())
        self._bursts: list[tuple[float, float, float]] = []
        # Numbers of the requests that wait for an answer.
        self._pending: set[int] = set()

    def slow_down(
        self, share: float, factor: float, span: tuple[float, float]
    ) -> None:
        """Multiply the service time of a share of the servers during a span.

        Args:
            share: Share of the servers.
            factor: Factor on their service time.
            span: Begin and end, in seconds from the start.
        """
        names = sorted(self.servers)
        for name in self.rng.sample(names, round(share * len(names))):
            self.schedule(
                span[0], self._set_slowdown, self.servers[name], factor
            )
            self.schedule(span[1], self._set_slowdown, self.servers[name], 1.0)

    def limit_rates(
        self, names: Sequence[str], rate: float, span: tuple[float, float]
    ) -> None:
        """Let servers name a limit of their requests a second during a span.

        Args:
            names: The servers.
            rate: The limit.
            span: Begin and end, in seconds from the start.
        """
        for name in names:
            server = self.servers[name]
            self.schedule(span[0], self._set_rate_limit, server, rate)
            self.schedule(span[1], self._set_rate_limit, server, None)

    @staticmethod
    def _set_rate_limit(server: Server, rate: float | None) -> None:
        server.rate_limit = rate
        if rate is not None:
            server.limited_spans.append(LimitedSpan(rate))

    def add_burst(self, factor: float, span: tuple[float, float]) -> None:
        """Multiply the request rates during a span.

        Args:
            factor: Factor on the rates.
            span: Begin and end, in seconds from the start.
        """
        self._bursts.append((factor, *span))

    def _burst_factor(self) -> float:
        """Return the present factor on the request rates."""
        return math.prod(
            factor
            for factor, begin, end in self._bursts
            if begin <= self.now < end
        )

    def evacuate(self, domain: str, span: tuple[float, float]) -> None:
        """Send no requests to a failure domain during a span.

        Args:
            domain: Name of the failure domain.
            span: Begin and end, in seconds from the start.
        """
        self.schedule(span[0], self._close_domain, domain)
        self.schedule(span[1], self._open_domain, domain)

    def _close_domain(self, domain: str) -> None:
        self._closed_domains.add(domain)
        self._reopened.update(self._closed_domains, self.now)

    def _open_domain(self, domain: str) -> None:
        self._closed_domains.discard(domain)
        self._reopened.update(self._closed_domains, self.now)

    def _build_directory(self) -> directory.Directory:
        """Return a directory of all servers, as entries get it by gossip."""
        server_directory = directory.Directory(math.inf)
        for name, server in self.servers.items():
            server_directory.servers.update(name, server.record, 0.0)
        return server_directory

    def _is_cold(self, server_id: str) -> bool:
        """Return whether entries treat a server as cold."""
        server = self.servers[server_id]
        if server.announces_cold and server.cold_until > self.now:
            return True
        return self._reopened.is_cold(server_id, WARM_UP_S, self.now)

    @staticmethod
    def _set_slowdown(server: Server, factor: float) -> None:
        server.slowdown = factor

    def enable_silence_reports(self, period_s: float) -> None:
        """Let the entries of each region report silent servers to each other.

        Args:
            period_s: Seconds between two reports of an entry.
        """
        for region in self.site.entries:
            self.schedule(
                self.rng.random() * period_s,
                self._exchange_silence_reports,
                region,
                period_s,
            )

    def _exchange_silence_reports(self, region: str, period_s: float) -> None:
        entries = self.entries[region]
        reports = [entry.silent_keys(self.now) for entry in entries]
        for entry in entries:
            for number, incarnation_keys in enumerate(reports):
                if entries[number] is not entry and incarnation_keys:
                    entry.record_silent(
                        f"{region}-{number}", incarnation_keys, self.now
                    )
        self.schedule(
            self.now + period_s,
            self._exchange_silence_reports,
            region,
            period_s,
        )

    def enable_load_reports(self, batch_s: float, each_side: int) -> None:
        """Let entries report servers' loads to neighbours in their domain.

        Args:
            batch_s: Seconds between two reports of an entry.
            each_side: Number of neighbours on each side that receive them.
        """
        for region, entries in self.site.entries.items():
            for number in range(entries):
                self.schedule(
                    self.rng.random() * batch_s,
                    self._send_load_reports, region, number, batch_s, each_side,
                )  # fmt: skip

    def _send_load_reports(
        self, region: str, number: int, batch_s: float, each_side: int
    ) -> None:
        entries = self.entries[region]
        loads = entries[number].take_busy()
        if loads:
            # Entry numbers are assigned to the failure domains in turn.
            numbers = range(
                number % DOMAINS_PER_REGION, len(entries), DOMAINS_PER_REGION
            )
            names = [f"{index:04d}" for index in numbers]
            receivers = load_reports.neighbours(
                f"{number:04d}", names, each_side
            )
            for name in receivers:
                self.schedule(
                    self.now + self.site.local_delay_s,
                    self._record_load_reports, entries[int(name)], loads,
                )  # fmt: skip
        self.schedule(
            self.now + batch_s,
            self._send_load_reports, region, number, batch_s, each_side,
        )  # fmt: skip

    def _record_load_reports(self, entry: Any, loads: Any) -> None:
        entry.record_loads(loads, self.now)

    def _create_servers(self) -> None:
        for pool in self.site.pools:
            records = []
            for region, count in pool.servers.items():
                for number in range(count):
                    name = f"{pool.name}-{region}-{number}"
                    record = membership.Server(
                        name, pool.name, name, region,
                        f"{region}-{number % DOMAINS_PER_REGION}",
                        pool.slots, 300, "ready", 1, 1, 0.0,
                    )  # fmt: skip
                    records.append(record)
                    self.servers[name] = Server(
                        record, pool.cached_objects, self.rng
                    )
            self.records_by_pool[pool.name] = records

    def schedule(self, when: float, action: Any, *args: Any) -> None:
        """Call `action` with `args` at a point in virtual time, in seconds."""
        heapq.heappush(
            self._events, (when, next(self._event_numbers), action, args)
        )

    def run(self, seconds: float) -> None:
        """Run the simulation.

        Requests are created for this many seconds. Events are handled for 5 s
        more, so that most of the requests end.
        """
        for kind in self.site.kinds:
            for index, region in enumerate(self.site.entries):
                self.schedule(0.0, self._create_request, kind, region, index)
        while self._events and self._events[0][0] < seconds + 5:
            self.now, _, action, args = heapq.heappop(self._events)
            if action == self._create_request and self.now > seconds:
                continue
            action(*args)

    def _create_request(
        self, kind: sites.RequestKind, region: str, index: int
    ) -> None:
        mean = kind.rate * self._load / len(self.site.entries)
        phase = index / len(self.site.entries)
        wave = math.sin(2 * math.pi * (self.now / LOAD_PERIOD_S + phase))
        rate = mean * (1 + self.site.load_swing * wave) * self._burst_factor()
        self.schedule(
            self.now + self.rng.expovariate(rate),
            self._create_request, kind, region, index,
        )  # fmt: skip
        # Raising a uniform draw to the power of 1.2 skews the popularity of the
        # objects a little.
        draw = self.rng.random() ** 1.2
        key = f"{kind.name} {region} {int(draw * kind.objects)}"
        request = CallerRequest(kind, key, region, self.now, 1)
        self.outcome_counts[kind.name]["asked"] += 1
        self.schedule(
            self.now + self.site.caller_delay_s, self._arrive_at_entry, request
        )

    def _arrive_at_entry(self, request: CallerRequest) -> None:
        entry = self.rng.choice(self.entries[request.region])
        self._place_request(request, entry, ())

    def _place_request(
        self, request: CallerRequest, entry: Any, tried: tuple[str, ...]
    ) -> None:
        request = request._replace(number=next(self._attempt_numbers))
        kind = request.kind
        pool = next(p for p in self.site.pools if p.name == kind.pool)
        other_regions = [
            region for region in self.site.entries if region != request.region
        ]
        regions = tuple(
            messages.Region(name, False, tuple(self._closed_domains))
            for name in (request.region, *other_regions)
        )
        left_s = (
            request.created_at + min(kind.deadline_s, kind.timeout_s) - self.now
        )
        req = messages.Request(
            str(request.number), kind.pool, regions, kind.priority,
            self.now + left_s, tried, request.key, kind.goal_s, kind.name,
            self.now - request.created_at if request.tries == 1 else 0.0,
        )  # fmt: skip
        view = local.View(
            self.records_by_pool[pool.name],
            self._is_cold,
            pool.cold_rate,
            WARM_UP_S,
            self.entry_names,
            self.now,
            self.names_by_region,
        )
        answer = entry.choose(req, view)
        if isinstance(answer, messages.Refused):
            self._refuse(request, answer.retry_after_s)
            return
        server = self.servers[answer.server.server_id]
        self.grants[request.number] = answer
        self._pending.add(request.number)
        self.schedule(self.now + left_s, self._time_out, request, entry, server)
        delay_s = self._delay_s(request.region, server)
        self.far_requests += delay_s == self.site.remote_delay_s
        sent = self.now
        self.schedule(
            self.now + delay_s,
            self._arrive_at_server,
            request,
            entry,
            server,
            tried,
            sent,
        )

    def _time_out(
        self, request: CallerRequest, entry: Any, server: Server
    ) -> None:
        """End a request that got no answer before its deadline."""
        if request.number not in self._pending:
            return
        self._pending.remove(request.number)
        duration_s = self.now - request.created_at
        result = messages.AttemptResult("failed", duration_s, True, False)
        entry.record_done(server.record.server_id, result, 3.0, self.now)
        self._record_outcome(request, "failed", 0.0)

    def _delay_s(self, region: str, server: Server) -> float:
        is_near = server.record.region == region
        return self.site.local_delay_s if is_near else self.site.remote_delay_s

    def _arrive_at_server(
        self, request: CallerRequest, entry: Any, server: Server,
        tried: tuple[str, ...], sent: float,
    ) -> None:  # fmt: skip
        slots = server.record.slots
        if server.is_down:
            self._handle_connect_failure(request, entry, server, tried)
            return
        if self.now < server.cold_until:
            server.cold_arrivals.append(self.now)
        if server.rate_limit is not None:
            server.limited_spans[-1].count(entry, sent, self.now)
        if server.is_unresponsive:
            return
        if server.running < slots:
            self._start_service(request, entry, server, sent)
        elif len(server.queue) < 3 * slots:
            server.queue.append((request, entry, sent))
        else:
            result = messages.AttemptResult(
                "shed", 0.0, True, False, server.load
            )
            delay_s = self._delay_s(request.region, server)
            self.schedule(
                self.now + delay_s,
                self._handle_shed,
                request,
                entry,
                server,
                result,
                tried,
            )

    def _handle_connect_failure(
        self,
        request: CallerRequest,
        entry: Any,
        server: Server,
        tried: tuple[str, ...],
    ) -> None:
        if request.number not in self._pending:
            return
        self._pending.remove(request.number)
        result = messages.AttemptResult("failed", 0.0, False, False)
        entry.record_done(server.record.server_id, result, 3.0, self.now)
        # Nothing was sent, so two more attempts are allowed (see
        # core/attempts).
        if len(tried) + 1 >= ATTEMPTS + 2:
            self._refuse(request, 0.1)
            return
        self._place_request(request, entry, (*tried, server.record.server_id))

    def _handle_shed(
        self, request: CallerRequest, entry: Any, server: Server,
        result: messages.AttemptResult, tried: tuple[str, ...],
    ) -> None:  # fmt: skip
        if request.number not in self._pending:
            return
        self._pending.remove(request.number)
        entry.record_done(server.record.server_id, result, 3.0, self.now)
        if len(tried) + 1 >= ATTEMPTS:
            self._refuse(request, 0.1)
            return
        self._place_request(request, entry, (*tried, server.record.server_id))

    def _start_service(
        self, request: CallerRequest, entry: Any, server: Server, sent: float
    ) -> None:
        server.running += 1
        service_s = server.service_s(request, self.now)
        self.schedule(
            self.now + service_s,
            self._finish_service,
            request,
            entry,
            server,
            sent,
        )

    def _finish_service(
        self, request: CallerRequest, entry: Any, server: Server, sent: float
    ) -> None:
        server.running -= 1
        while server.queue and server.running < server.record.slots:
            next_request, next_entry, next_sent = server.queue.popleft()
            limit = min(
                next_request.kind.deadline_s, next_request.kind.timeout_s
            )
            if self.now - next_request.created_at < limit:
                self._start_service(next_request, next_entry, server, next_sent)
        delay_s = self._delay_s(request.region, server)
        load = server.load
        self.schedule(
            self.now + delay_s,
            self._handle_answer,
            request,
            entry,
            server,
            sent,
            load,
        )

    def _handle_answer(
        self, request: CallerRequest, entry: Any, server: Server,
        sent: float, load: messages.Load,
    ) -> None:  # fmt: skip
        if request.number not in self._pending:
            return
        self._pending.remove(request.number)
        result = messages.AttemptResult(
            "answered",
            self.now - sent,
            load=load,
            rate_limit=server.rate_limit,
        )
        if server.rate_limit is not None:
            server.limited_spans[-1].told_at.setdefault(entry, self.now)
        grant = self.grants[request.number]
        entry.learn(grant, result, self.now)
        entry.record_done(server.record.server_id, result, 3.0, self.now)
        server_limiter = entry.server_limiter
        incarnation = (grant.server.server_id, grant.server.incarnation)
        server_limiter.record_result(incarnation, result, sent, self.now)
        if server_limiter.limits.has_reports:
            self._send_limit_reports(
                server_limiter.limits.take_reports(self.now)
            )
        kind = request.kind
        duration_s = self.now + self.site.caller_delay_s - request.created_at
        if duration_s <= kind.goal_s:
            self._record_outcome(request, "in_goal", 1.0)
        else:
            self._record_outcome(request, "late", LATE_WORTH_SHARE)

    def _send_limit_reports(self, reports: Any) -> None:
        due_at = self.now + local_placement.LIMIT_BATCH_S
        for entries in self.entries.values():
            for entry in entries:
                self.schedule(
                    due_at + self.site.remote_delay_s,
                    self._record_limit_reports, entry, reports,
                )  # fmt: skip

    def _record_limit_reports(self, entry: Any, reports: Any) -> None:
        entry.server_limiter.limits.record_reports(reports, self.now)

    def _refuse(self, request: CallerRequest, wait_s: float) -> None:
        left_s = request.created_at + request.kind.deadline_s - self.now
        wait_s *= self.rng.uniform(1, 3)
        if request.tries < 2 and wait_s <= left_s / 3:
            retry = request._replace(tries=request.tries + 1)
            self.schedule(
                self.now + wait_s + 2 * self.site.caller_delay_s,
                self._arrive_at_entry, retry,
            )  # fmt: skip
            return
        self._record_outcome(request, "refused", 0.0)

    def _record_outcome(
        self, request: CallerRequest, outcome: str, worth_share: float
    ) -> None:
        self.outcome_counts[request.kind.name][outcome] += 1
        worth = request.kind.worth
        pairs = (
            (self.worth_by_window, int(request.created_at / 2)),
            (self.worth_by_region, request.region),
        )
        for sums_by_key, key in pairs:
            sums = sums_by_key.setdefault(key, [0.0, 0.0])
            sums[0] += worth * worth_share
            sums[1] += worth

    def worth(self) -> dict[str, float]:
        """Return the scores of the simulation by name.

        "day" is the share of the total worth that was earned; "windows" is the
        mean of that share in the two worst windows of 2 s, "kind" and "region"
        its value for the worst kind of request and the worst region. "served"
        is the share of requests with an answer, "cold" the share of executions
        whose object was not cached, and "far" the number of attempts sent to
        another region per request.
        """
        total = [0.0, 0.0]
        by_kind = []
        served = asked = 0
        for kind in self.site.kinds:
            counts = self.outcome_counts[kind.name]
            earned = counts["in_goal"] + LATE_WORTH_SHARE * counts["late"]
            ended = sum(
                counts[k] for k in ("in_goal", "late", "refused", "failed")
            )
            total[0] += kind.worth * earned
            total[1] += kind.worth * ended
            by_kind.append(earned / max(1, ended))
            served += counts["in_goal"] + counts["late"]
            asked += ended
        worst = sorted(a / b for a, b in self.worth_by_window.values() if b)[:2]
        return {
            "day": total[0] / total[1],
            "windows": sum(worst) / len(worst),
            "kind": min(by_kind),
            "region": min(a / b for a, b in self.worth_by_region.values()),
            "served": served / asked,
            "cold": sum(s.cache_misses for s in self.servers.values())
            / max(1, sum(s.runs for s in self.servers.values())),
            "far": self.far_requests / asked,
        }
