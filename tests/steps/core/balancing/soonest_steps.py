"""Steps of core/balancing/soonest.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import estimates
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import object_locations
from hyssopfold.core.membership import messages as membership

_OPEN = (messages.Region("dakar", False),)
_ROUTES = {"booking": "book", "check": "status", "search": "search"}
_NOW = 100.0


def _server(number, slots):
    return membership.Server(
        f"s{number}", "p", f"127.0.0.1:{7000 + number}", "dakar", "dakar-a",
        slots, 100, "ready", 1, 1, 0.0,
    )  # fmt: skip


def _view(context):
    return local.View(
        context.soonest_servers, lambda _: False, 0.0, 3.0, ("e1",), _NOW
    )


def _request(kind, key, goal_s, avoid=()):
    route = _ROUTES[kind]
    return messages.Request(
        "r", "p", _OPEN, 2, 1e9, avoid, f"{route} {key}", goal_s, route
    )


def _nth(context, key, number):
    ids = [server.server_id for server in context.soonest_servers]
    return affinity.rank_unweighted(key, ids)[number]


def _all_but(context, server_id):
    """Return the ids of all other servers, which are to be avoided."""
    return tuple(
        server.server_id
        for server in context.soonest_servers
        if server.server_id != server_id
    )


def _answer(context, req, took_s, load=None):
    """Place a request and record its answer after `took_s` seconds."""
    chooser = context.soonest_chooser
    grant = chooser.choose(req, _view(context))
    result = messages.AttemptResult("answered", took_s, load=load)
    chooser.learn(grant, result, _NOW)
    chooser.record_done(grant.server.server_id, result, 3.0, _NOW)


@given("{count:d} servers of {slots:d} slots, compared by expected time")
def _(context, count, slots):
    context.soonest_servers = [_server(n, slots) for n in range(count)]
    context.soonest_chooser = local.Chooser("e1", "dakar")


def _record_answers(context, kind, cached_s, uncached_s):
    for number in range(40):
        for took_s in (uncached_s, *[cached_s] * 9):
            _answer(context, _request(kind, f"o{number}", 1.0), took_s)


@given(
    "bookings take {cached_s:g} s with the object cached and {uncached_s:g} s"
    " elsewhere"
)
def _(context, cached_s, uncached_s):
    _record_answers(context, "booking", cached_s, uncached_s)


@given(
    "checks take {cached_s:g} s with the object cached and {uncached_s:g} s"
    " elsewhere"
)
def _(context, cached_s, uncached_s):
    _record_answers(context, "check", cached_s, uncached_s)


@given(
    "searches take {cached_s:g} s with the object cached and {uncached_s:g} s"
    " elsewhere"
)
def _(context, cached_s, uncached_s):
    _record_answers(context, "search", cached_s, uncached_s)


@given('"{key}" was last answered by the second server')
def _(context, key):
    context.soonest_second = _nth(context, f"book {key}", 1)
    context.soonest_first = _nth(context, f"book {key}", 0)
    avoid = _all_but(context, context.soonest_second)
    _answer(context, _request("booking", key, 1.0, avoid), 0.35)


def _report_load(context, server_id, count):
    avoid = _all_but(context, server_id)
    slots = context.soonest_servers[0].slots
    load = messages.Load(min(slots, count), max(0, count - slots), slots)
    _answer(context, _request("search", "any", 0.25, avoid), 0.1, load)


@given("the second server has {count:d} requests")
def _(context, count):
    _report_load(context, context.soonest_second, count)


@given("the first server has {count:d} requests")
def _(context, count):
    _report_load(context, context.soonest_first, count)


@given("all servers have {count:d} requests")
def _(context, count):
    for server in context.soonest_servers:
        _report_load(context, server.server_id, count)


@given("the second server restarted")
def _(context):
    context.soonest_servers = [
        server._replace(incarnation=2)
        if server.server_id == context.soonest_second
        else server
        for server in context.soonest_servers
    ]


@when('a {kind} of "{key}" with a goal of {goal_s:g} s is placed')
def _(context, kind, key, goal_s):
    req = _request(kind, key, goal_s)
    context.soonest = context.soonest_chooser.choose(req, _view(context))


@when(
    'a {kind} of "{key}" with a goal of {goal_s:g} s is placed'
    " after {waited_s:g} s"
)
def _(context, kind, key, goal_s, waited_s):
    req = _request(kind, key, goal_s)._replace(waited_s=waited_s)
    context.soonest = context.soonest_chooser.choose(req, _view(context))


@then("it is refused, with a retry after {least:g} to {most:g} s")
def _(context, least, most):
    assert isinstance(context.soonest, messages.Refused), context.soonest
    assert least <= context.soonest.retry_after_s <= most, context.soonest


@then("it goes to the {which} server, expected within {most:g} s")
def _(context, which, most):
    expected = getattr(context, f"soonest_{which}")
    assert context.soonest.server.server_id == expected, context.soonest
    assert context.soonest.expected_s <= most, context.soonest


@then("it is refused")
def _(context):
    assert isinstance(context.soonest, messages.Refused), context.soonest


@then("it is sent")
def _(context):
    assert isinstance(context.soonest, messages.Grant), context.soonest


@when(
    "{count:d} bookings of cached objects take {took_s:g} s at servers with a"
    " queue"
)
def _(context, count, took_s):
    load = messages.Load(5, 9, 5)
    for number in range(count):
        req = _request("booking", f"o{number % 40}", 1.0)
        context.soonest_chooser.learn(
            messages.Grant(context.soonest_servers[0], "test", req=req),
            messages.AttemptResult("answered", took_s, load=load),
            _NOW,
        )


@when("{count:d} bookings of cached objects take {took_s:g} s")
def _(context, count, took_s):
    for number in range(count):
        _answer(context, _request("booking", f"o{number % 40}", 1.0), took_s)


@then("a booking is still expected to take {least:g} to {most:g} s")
def _(context, least, most):
    kind = estimates.RequestKind("book", "dakar")
    estimated = context.soonest_chooser._estimates
    run_s = estimated.run_s(kind, 1.0, is_cached=True)
    assert least <= run_s <= most, run_s


@when("{count:d} objects are answered by {servers:d} servers each")
def _(context, count, servers):
    context.locations = object_locations.ObjectLocations()
    for number in range(count):
        for server in range(servers):
            context.locations.record(f"o{number}", (f"s{server}", 1), _NOW)


@then("at most {objects:d} objects with {servers:d} servers each are tracked")
def _(context, objects, servers):
    tracked = context.locations._answered
    assert len(tracked) <= objects, len(tracked)
    assert all(len(servers_of) <= servers for servers_of in tracked.values())
