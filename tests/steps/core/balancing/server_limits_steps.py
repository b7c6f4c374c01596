"""Steps of core/balancing/server_limits.feature."""

import bisect
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import server_limits
from hyssopfold.core.membership import messages as membership

# What a limit tolerates in a window of `WINDOW_S`: half of it, and 5 requests.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
# A limit binds an entry from this time after it relayed an answer that names it.
BINDING_AFTER_S = 0.5
_OBJECTS = 200
_REGIONS = tuple(messages.Region(name, False) for name in ("dar", "arusha"))
_RUN_S = 0.1
_DELAY_S = 0.08
_KEY = 7


def _server(number):
    region = _REGIONS[number % 2].name
    return membership.Server(
        f"s{number}", "shop", f"10.0.0.{number}:80", region, region, 3, 300,
        "ready", 1, 1, 0.0,
    )  # fmt: skip


class _Fleet:
    """Entries that place requests, and servers that name limits."""

    def __init__(self, entries, servers, demand):
        self.names = tuple(f"entry-{number}" for number in range(entries))
        self.names_by_region = {
            region.name: set(self.names[index :: len(_REGIONS)])
            for index, region in enumerate(_REGIONS)
        }
        self.servers = tuple(_server(number) for number in range(servers))
        self.demand = demand
        self.limited = ()
        self.rate = 0.0
        self.begin_s = self.end_s = float("inf")
        self.lost_share = 0.0
        self.restart = (float("inf"), 0.0)
        self.burst = (0.0, 0.0, 1.0)
        self.sent = {server.server_id: [] for server in self.servers}
        # Of the requests, those of entries that the limit binds.
        self.bound = {server.server_id: [] for server in self.servers}

    def run(self, seconds, seed):
        """Run until a time, with a seed of the random numbers."""
        self._rng = random.Random(seed)
        self._choosers = {name: self._chooser(name) for name in self.names}
        # Times at which entries first relayed an answer that names a limit.
        self._told_at = {}
        self._events = []
        self._numbers = itertools.count()
        self._schedule(0.0, self._request)
        self._schedule(self.restart[0], self._restart)
        while self._events and self._events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _chooser(self, name):
        number = self.names.index(name)
        return local.Chooser(name, _REGIONS[number % 2].name)

    def _schedule(self, at, action, *arguments):
        event = (at, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _restart(self):
        share = self.restart[1]
        for name in self._rng.sample(
            self.names, round(share * len(self.names))
        ):
            self._choosers[name] = self._chooser(name)
            for server_id in self.limited:
                self._told_at.pop((name, server_id), None)

    def _request(self):
        begin, end, factor = self.burst
        demand = self.demand * (factor if begin <= self.now < end else 1.0)
        next_at = self.now + self._rng.expovariate(demand)
        self._schedule(next_at, self._request)
        name = self._rng.choice(self.names)
        chooser = self._choosers[name]
        view = local.View(
            self.servers, lambda _: False, 0.0, 0.0, self.names, self.now,
            self.names_by_region,
        )  # fmt: skip
        req = messages.Request(
            "r", "shop", _REGIONS, 1, 1e9, (),
            f"o{self._rng.randrange(_OBJECTS)}", 0.25, "all",
        )  # fmt: skip
        grant = chooser.choose(req, view)
        if isinstance(grant, messages.Grant):
            server_id = grant.server.server_id
            self.sent[server_id].append(self.now)
            told_at = self._told_at.get((name, server_id), float("inf"))
            if self.now >= told_at + BINDING_AFTER_S:
                self.bound[server_id].append(self.now)
            self._schedule(self.now + _RUN_S, self._answer, name, grant)

    def _answer(self, name, grant):
        server_id = grant.server.server_id
        chooser = self._choosers[name]
        rate = None
        if server_id in self.limited and self.begin_s <= self.now < self.end_s:
            rate = self.rate
            self._told_at.setdefault((name, server_id), self.now)
        result = messages.AttemptResult("answered", _RUN_S, rate_limit=rate)
        chooser.record_done(server_id, result, 0.0, self.now)
        server_limiter = chooser.server_limiter
        incarnation = (server_id, grant.server.incarnation)
        server_limiter.record_result(
            incarnation, result, grant.granted_at, self.now
        )
        if server_limiter.limits.has_reports:
            reports = server_limiter.limits.take_reports(self.now)
            for other in self._choosers.values():
                if self._rng.random() >= self.lost_share:
                    self._schedule(
                        self.now + _DELAY_S, self._report, other, reports
                    )

    def _report(self, chooser, reports):
        chooser.server_limiter.limits.record_reports(reports, self.now)

    def most_in_window(self, server_id):
        """Return the most requests in any 4 s that count for a limit."""
        times = self.bound[server_id]
        return max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def count_after(self, server_id, begin_s):
        """Return the requests to a server after a time."""
        return sum(at >= begin_s for at in self.sent[server_id])


@given(
    "{entries:d} entries and {servers:d} servers, which get {demand:d} requests"
    " a second"
)
def _(context, entries, servers, demand):
    context.fleet = _Fleet(entries, servers, demand)


@given(
    "{count:d} of the servers limit their requests to {rate:g} a second from"
    " {begin_s:g} s on"
)
def _(context, count, rate, begin_s):
    context.fleet.limited = tuple(f"s{number}" for number in range(count))
    context.fleet.rate = rate
    context.fleet.begin_s = begin_s


@given("the limits end at {end_s:g} s")
def _(context, end_s):
    context.fleet.end_s = end_s


@given(
    "{percent:d} % of the reports are lost, and a quarter of the entries"
    " restart at {at:g} s"
)
def _(context, percent, at):
    context.fleet.lost_share = percent / 100
    context.fleet.restart = (at, 0.25)


@given(
    "the demand is {factor:g} times as high from {begin_s:g} s to {end_s:g} s"
)
def _(context, factor, begin_s, end_s):
    context.fleet.burst = (begin_s, end_s, factor)


@when("the fleet runs for {seconds:g} s with seed {seed:d}")
def _(context, seconds, seed):
    context.fleet.run(seconds, seed)


def _excess(context):
    """Return by how many requests a server exceeded what is tolerated."""
    fleet = context.fleet
    tolerated = TOLERATED_FACTOR * WINDOW_S * fleet.rate + TOLERATED_REQUESTS
    return max(map(fleet.most_in_window, fleet.limited)) - tolerated


@then("no limited server got more than its limit tolerates in any 4 s")
def _(context):
    assert _excess(context) <= 0, _excess(context)


@then("some limited server got more than its limit tolerates in 4 s")
def _(context):
    assert _excess(context) > 0, _excess(context)


@given("entries that each use the whole limit of a server")
def _(context):
    def use_whole_limit(rate, entry_count):
        return allowance.Rate(rate * entry_count, entry_count, entry_count)

    original = allowance.limited_rate
    allowance.limited_rate = use_whole_limit
    context.add_cleanup(setattr, allowance, "limited_rate", original)


@then("each limited server got some requests after {begin_s:g} s")
def _(context, begin_s):
    fleet = context.fleet
    counts = {name: fleet.count_after(name, begin_s) for name in fleet.limited}
    assert min(counts.values()) > 0, counts


@then(
    "each limited server got at least half of a mean server's requests after"
    " {begin_s:g} s"
)
def _(context, begin_s):
    fleet = context.fleet
    counts = {name: fleet.count_after(name, begin_s) for name in fleet.sent}
    mean = sum(counts.values()) / len(counts)
    fewest = min(counts[name] for name in fleet.limited)
    assert fewest >= mean / 2, counts


@given("an entry that knows a limit of {rate:g} a second since {at:g} s")
def _(context, rate, at):
    context.limits = server_limits.ServerLimits("entry-1")
    context.limits.record_answer(_KEY, rate, at - 0.1, at)
    context.now = at


@when(
    "a request sent at {sent_at:g} s is answered at {now:g} s without a limit"
)
def _(context, sent_at, now):
    context.limits.record_answer(_KEY, None, sent_at, now)
    context.now = now


@when(
    'another entry reports at {now:g} s a limit of "{rate}" observed {age_s:g}'
    " s before"
)
def _(context, now, rate, age_s):
    value = None if rate == "none" else float(rate)
    report = messages.ReportedLimit(_KEY, value, age_s)
    context.limits.record_reports([report], now)
    context.now = now


@then("the entry knows no limit")
def _(context):
    assert context.limits.rate(_KEY, context.now) is None


@then("the entry knows a limit of {rate:g} a second")
def _(context, rate):
    assert context.limits.rate(_KEY, context.now) == rate


@given(
    "{count:d} entries that know a limit of {rate:g} a second since {at:g} s"
)
def _(context, count, rate, at):
    context.all_limits = []
    for number in range(count):
        limits = server_limits.ServerLimits(f"entry-{number}")
        limits.record_answer(_KEY, rate, at - 0.1, at)
        context.all_limits.append(limits)


def _knowing(context, now):
    return sum(
        limits.rate(_KEY, now) is not None for limits in context.all_limits
    )


@then("none of them drops it before {first_s:g} s, all of them by {last_s:g} s")
def _(context, first_s, last_s):
    assert _knowing(context, first_s) == len(context.all_limits)
    assert _knowing(context, last_s + 0.01) == 0


@then("at most {most:d} of them drop it within any second")
def _(context, most):
    for tenth in range(100, 420):
        now = tenth / 10
        dropped = _knowing(context, now) - _knowing(context, now + 1)
        assert dropped <= most, f"{dropped} at {now} s"
