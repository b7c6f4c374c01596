"""Servers, entries and callers in virtual time, around the real decisions."""

import collections
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

# What a server needs for an object that it handled lately, as a share.
WARM_SHARE = 0.3
# A server that has just started takes so many times as long.
COLD_FACTOR = 2.0
# How long a server that becomes cold stays so.
WARM_UP_S = 3.0
# Servers that one try of a caller may be sent to.
ATTEMPTS = 2
# Spread of the work of one request around its mean (log-normal).
SPREAD = 0.15
LATE_SHARE = 0.2
# Failure domains of a region.
DOMAINS = 2
PERIOD_S = 36.0


class Call(NamedTuple):
    """One request of a caller, on one of its tries."""

    kind: sites.Kind
    key: str
    region: str
    born: float
    tries: int
    number: int


class Server:
    """A server with slots, a queue that refuses, and objects it remembers."""

    def __init__(
        self, word: membership.Server, keeps: int, rng: random.Random
    ) -> None:
        self.word = word
        self.slow = 1.0
        # It takes no connection, or takes requests and answers none.
        self.is_dead = False
        self.is_mute = False
        self.cold_until = 0.0
        # Whether entries are told that it is cold.
        self.tells_cold = True
        # Times at which requests came while it was cold.
        self.cold_arrivals: list[float] = []
        self._rng = rng
        self._keeps = keeps
        self._known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.running = 0
        self.waiting: collections.deque[Any] = collections.deque()
        self.cold_runs = 0
        self.runs = 0

    @property
    def load(self) -> messages.Load:
        """Return what the server tells of its load."""
        slots = self.word.slots
        return messages.Load(self.running, len(self.waiting), slots)

    def work_s(self, call: Call, now: float) -> float:
        """Return the time for a request; the object is remembered."""
        share = WARM_SHARE if call.key in self._known else 1.0
        self.runs += 1
        self.cold_runs += share == 1.0
        self._known[call.key] = None
        self._known.move_to_end(call.key)
        if len(self._known) > self._keeps:
            self._known.popitem(last=False)
        if now < self.cold_until:
            share *= COLD_FACTOR
        noise = self._rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        return call.kind.work_s * share * noise * self.slow


class Tally(NamedTuple):
    """What became of the requests of one kind."""

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class World:
    """Play a site for some seconds.

    Args:
        site: The deployment.
        load: Factor on all rates.
        seed: Seed of everything random.
        make: Makes the decisions of an entry, by its name and region.
    """

    def __init__(
        self, site: sites.Site, load: float, seed: int, make: Any
    ) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.now = 0.0
        self._load = load
        self._events: list[Any] = []
        self._order = itertools.count()
        self.servers: dict[str, Server] = {}
        self.words: dict[str, list[membership.Server]] = {}
        self._make_servers()
        self.entries = {
            region: [make(f"{region}-{n}", region) for n in range(count)]
            for region, count in site.entries.items()
        }
        self.names = [
            f"{region}-{n}"
            for region, count in site.entries.items()
            for n in range(count)
        ]
        self.tallies = {kind.name: collections.Counter() for kind in site.kinds}
        self.windows: dict[int, list[float]] = {}
        self.zones: dict[str, list[float]] = {}
        self.far_bytes = 0
        self._numbers = itertools.count()
        self.grants: dict[int, messages.Grant] = {}
        self._closed: set[str] = set()
        self._reopened = reopened.ReopenedDomains(self._directory())
        self._bursts: list[tuple[float, float, float]] = []
        # Requests that wait for an answer, by number.
        self._waited_for: set[int] = set()

    def slow_down(
        self, share: float, factor: float, span: tuple[float, float]
    ) -> None:
        """Let a share of the servers work `factor` times as long for a span."""
        names = sorted(self.servers)
        for name in self.rng.sample(names, round(share * len(names))):
            self.at(span[0], self._set_slow, self.servers[name], factor)
            self.at(span[1], self._set_slow, self.servers[name], 1.0)

    def burst(self, factor: float, span: tuple[float, float]) -> None:
        """Let callers come `factor` times as often for a span."""
        self._bursts.append((factor, *span))

    def _burst(self) -> float:
        """Return how much more callers come now than usual."""
        return math.prod(
            factor
            for factor, begin, end in self._bursts
            if begin <= self.now < end
        )

    def evacuate(self, domain: str, span: tuple[float, float]) -> None:
        """Take the servers of a failure domain out for a span."""
        self.at(span[0], self._close, domain)
        self.at(span[1], self._open, domain)

    def _close(self, domain: str) -> None:
        self._closed.add(domain)
        self._reopened.update(self._closed, self.now)

    def _open(self, domain: str) -> None:
        self._closed.discard(domain)
        self._reopened.update(self._closed, self.now)

    def _directory(self) -> directory.Directory:
        """Return the servers as entries know them from gossip."""
        known = directory.Directory(math.inf)
        for name, server in self.servers.items():
            known.servers.update(name, server.word, 0.0)
        return known

    def _is_cold(self, server_id: str) -> bool:
        """Return whether entries take a server for cold."""
        server = self.servers[server_id]
        if server.tells_cold and server.cold_until > self.now:
            return True
        return self._reopened.is_cold(server_id, WARM_UP_S, self.now)

    @staticmethod
    def _set_slow(server: Server, factor: float) -> None:
        server.slow = factor

    def tell_silent(self, period_s: float) -> None:
        """Let the entries of a region tell each other who is silent."""
        for region in self.site.entries:
            self.at(self.rng.random() * period_s, self._tell, region, period_s)

    def _tell(self, region: str, period_s: float) -> None:
        entries = self.entries[region]
        told = [entry.silent_keys(self.now) for entry in entries]
        for entry in entries:
            for number, silent in enumerate(told):
                if entries[number] is not entry and silent:
                    entry.record_silent(f"{region}-{number}", silent, self.now)
        self.at(self.now + period_s, self._tell, region, period_s)

    def tell_busy(self, batch_s: float, each_side: int) -> None:
        """Let entries of a failure domain tell their neighbours of loads."""
        for region, entries in self.site.entries.items():
            for number in range(entries):
                self.at(
                    self.rng.random() * batch_s,
                    self._tell_busy, region, number, batch_s, each_side,
                )  # fmt: skip

    def _tell_busy(
        self, region: str, number: int, batch_s: float, each_side: int
    ) -> None:
        entries = self.entries[region]
        loads = entries[number].take_busy()
        if loads:
            # Entries are dealt out to the failure domains in turn.
            mates = range(number % DOMAINS, len(entries), DOMAINS)
            names = [f"{one:04d}" for one in mates]
            told = load_reports.neighbours(f"{number:04d}", names, each_side)
            for name in told:
                self.at(
                    self.now + self.site.zone_s,
                    self._hear_busy, entries[int(name)], loads,
                )  # fmt: skip
        self.at(
            self.now + batch_s,
            self._tell_busy, region, number, batch_s, each_side,
        )  # fmt: skip

    def _hear_busy(self, entry: Any, loads: Any) -> None:
        entry.record_loads(loads, self.now)

    def _make_servers(self) -> None:
        for pool in self.site.pools:
            words = []
            for region, count in pool.servers.items():
                for number in range(count):
                    name = f"{pool.name}-{region}-{number}"
                    word = membership.Server(
                        name, pool.name, name, region, f"{region}-{number % DOMAINS}",
                        pool.slots, 300, "ready", 1, 1, 0.0,
                    )  # fmt: skip
                    words.append(word)
                    self.servers[name] = Server(word, pool.keeps, self.rng)
            self.words[pool.name] = words

    def at(self, when: float, act: Any, *args: Any) -> None:
        """Call `act` at a time."""
        heapq.heappush(self._events, (when, next(self._order), act, args))

    def run(self, seconds: float) -> None:
        """Play."""
        for kind in self.site.kinds:
            for index, region in enumerate(self.site.entries):
                self.at(0.0, self._arrive, kind, region, index)
        while self._events and self._events[0][0] < seconds + 5:
            self.now, _, act, args = heapq.heappop(self._events)
            if act == self._arrive and self.now > seconds:
                continue
            act(*args)

    def _arrive(self, kind: sites.Kind, region: str, index: int) -> None:
        mean = kind.rate * self._load / len(self.site.entries)
        phase = index / len(self.site.entries)
        wave = math.sin(2 * math.pi * (self.now / PERIOD_S + phase))
        rate = mean * (1 + self.site.swing * wave) * self._burst()
        self.at(
            self.now + self.rng.expovariate(rate),
            self._arrive, kind, region, index,
        )  # fmt: skip
        # A mild skew: the square root of a uniform draw prefers some objects.
        draw = self.rng.random() ** 1.2
        key = f"{kind.name} {region} {int(draw * kind.objects)}"
        number = next(self._numbers)
        call = Call(kind, key, region, self.now, 1, number)
        self.tallies[kind.name]["asked"] += 1
        self.at(self.now + self.site.caller_s, self._at_entry, call)

    def _at_entry(self, call: Call) -> None:
        entry = self.rng.choice(self.entries[call.region])
        self._place(call, entry, ())

    def _place(self, call: Call, entry: Any, tried: tuple[str, ...]) -> None:
        kind = call.kind
        pool = next(p for p in self.site.pools if p.name == kind.pool)
        others = [one for one in self.site.entries if one != call.region]
        regions = tuple(
            messages.Region(name, False, tuple(self._closed))
            for name in (call.region, *others)
        )
        left = call.born + min(kind.deadline_s, kind.timeout_s) - self.now
        req = messages.Request(
            str(call.number), kind.pool, regions, kind.priority,
            self.now + left, tried, call.key, kind.goal_s, kind.name,
            self.now - call.born if call.tries == 1 else 0.0,
        )  # fmt: skip
        view = local.View(
            self.words[pool.name],
            self._is_cold,
            pool.cold_rate,
            WARM_UP_S,
            self.names,
            self.now,
        )
        answer = entry.choose(req, view)
        if isinstance(answer, messages.Refused):
            self._refuse(call, answer.retry_after_s)
            return
        server = self.servers[answer.server.server_id]
        self.grants[call.number] = answer
        self._waited_for.add(call.number)
        self.at(self.now + left, self._give_up, call, entry, server)
        delay = self._way(call.region, server)
        self.far_bytes += delay == self.site.region_s
        sent = self.now
        self.at(
            self.now + delay, self._at_server, call, entry, server, tried, sent
        )

    def _give_up(self, call: Call, entry: Any, server: Server) -> None:
        """End a request that got no answer within its time."""
        if call.number not in self._waited_for:
            return
        self._waited_for.remove(call.number)
        took = self.now - call.born
        done = messages.AttemptResult("failed", took, True, False)
        entry.record_done(server.word.server_id, done, 3.0, self.now)
        self._count(call, "failed", 0.0)

    def _way(self, region: str, server: Server) -> float:
        near = server.word.region == region
        return self.site.zone_s if near else self.site.region_s

    def _at_server(
        self, call: Call, entry: Any, server: Server,
        tried: tuple[str, ...], sent: float,
    ) -> None:  # fmt: skip
        slots = server.word.slots
        if server.is_dead:
            self._unreached(call, entry, server, tried)
            return
        if self.now < server.cold_until:
            server.cold_arrivals.append(self.now)
        if server.is_mute:
            return
        if server.running < slots:
            self._begin(call, entry, server, sent)
        elif len(server.waiting) < 3 * slots:
            server.waiting.append((call, entry, sent))
        else:
            done = messages.AttemptResult("shed", 0.0, True, False, server.load)
            way = self._way(call.region, server)
            self.at(
                self.now + way, self._shed, call, entry, server, done, tried
            )

    def _unreached(
        self, call: Call, entry: Any, server: Server, tried: tuple[str, ...]
    ) -> None:
        if call.number not in self._waited_for:
            return
        self._waited_for.remove(call.number)
        done = messages.AttemptResult("failed", 0.0, False, False)
        entry.record_done(server.word.server_id, done, 3.0, self.now)
        # Nothing was sent: two more may be asked (see core/attempts).
        if len(tried) + 1 >= ATTEMPTS + 2:
            self._refuse(call, 0.1)
            return
        self._place(call, entry, (*tried, server.word.server_id))

    def _shed(
        self, call: Call, entry: Any, server: Server,
        done: messages.AttemptResult, tried: tuple[str, ...],
    ) -> None:  # fmt: skip
        if call.number not in self._waited_for:
            return
        self._waited_for.remove(call.number)
        entry.record_done(server.word.server_id, done, 3.0, self.now)
        if len(tried) + 1 >= ATTEMPTS:
            self._refuse(call, 0.1)
            return
        self._place(call, entry, (*tried, server.word.server_id))

    def _begin(
        self, call: Call, entry: Any, server: Server, sent: float
    ) -> None:
        server.running += 1
        took = server.work_s(call, self.now)
        self.at(self.now + took, self._end, call, entry, server, sent)

    def _end(self, call: Call, entry: Any, server: Server, sent: float) -> None:
        server.running -= 1
        while server.waiting and server.running < server.word.slots:
            following, other, sent_then = server.waiting.popleft()
            limit = min(following.kind.deadline_s, following.kind.timeout_s)
            if self.now - following.born < limit:
                self._begin(following, other, server, sent_then)
        way = self._way(call.region, server)
        load = server.load
        self.at(self.now + way, self._answered, call, entry, server, sent, load)

    def _answered(
        self, call: Call, entry: Any, server: Server,
        sent: float, load: messages.Load,
    ) -> None:  # fmt: skip
        if call.number not in self._waited_for:
            return
        self._waited_for.remove(call.number)
        done = messages.AttemptResult(
            "answered", self.now - sent, True, True, load
        )
        entry.learn(self.grants[call.number], done, self.now)
        entry.record_done(server.word.server_id, done, 3.0, self.now)
        kind = call.kind
        took = self.now + self.site.caller_s - call.born
        if took <= kind.goal_s:
            self._count(call, "in_goal", 1.0)
        else:
            self._count(call, "late", LATE_SHARE)

    def _refuse(self, call: Call, wait_s: float) -> None:
        left = call.born + call.kind.deadline_s - self.now
        wait_s *= self.rng.uniform(1, 3)
        if call.tries < 2 and wait_s <= left / 3:
            again = call._replace(tries=call.tries + 1)
            self.at(
                self.now + wait_s + 2 * self.site.caller_s,
                self._at_entry, again,
            )  # fmt: skip
            return
        self._count(call, "refused", 0.0)

    def _count(self, call: Call, what: str, credit: float) -> None:
        self.tallies[call.kind.name][what] += 1
        worth = call.kind.worth
        pairs = (
            (self.windows, int(call.born / 2)),
            (self.zones, call.region),
        )
        for held, key in pairs:
            sums = held.setdefault(key, [0.0, 0.0])
            sums[0] += worth * credit
            sums[1] += worth

    def worth(self) -> dict[str, float]:
        """Return the share of the worth earned: all, worst parts, served."""
        total = [0.0, 0.0]
        by_kind = []
        served = asked = 0
        for kind in self.site.kinds:
            tally = self.tallies[kind.name]
            earned = tally["in_goal"] + LATE_SHARE * tally["late"]
            ended = sum(
                tally[k] for k in ("in_goal", "late", "refused", "failed")
            )
            total[0] += kind.worth * earned
            total[1] += kind.worth * ended
            by_kind.append(earned / max(1, ended))
            served += tally["in_goal"] + tally["late"]
            asked += ended
        worst = sorted(a / b for a, b in self.windows.values() if b)[:2]
        return {
            "day": total[0] / total[1],
            "windows": sum(worst) / len(worst),
            "kind": min(by_kind),
            "region": min(a / b for a, b in self.zones.values()),
            "served": served / asked,
            "cold": sum(s.cold_runs for s in self.servers.values())
            / max(1, sum(s.runs for s in self.servers.values())),
            "far": self.far_bytes / asked,
        }
