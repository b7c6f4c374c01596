"""Steps of core/balancing/load_reports.feature."""

from behave import given
from behave import then
from behave import when

from bench.emulator import sites
from bench.emulator import world
from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.membership import messages as membership

_OPEN = (messages.Region("dakar", False),)
_BATCH_S = 0.1
_EACH_SIDE = 4


def _server(number, slots):
    return membership.Server(
        f"s{number}", "p", f"127.0.0.1:{7000 + number}", "dakar", "dakar-a",
        slots, 100, "ready", 1, 1, 0.0,
    )  # fmt: skip


def _request(key, avoid=()):
    return messages.Request("r", "p", _OPEN, 2, 1e9, avoid, key, 0.8, "book")


def _choose(context, req):
    view = local.View(
        context.servers, lambda _: False, 0.0, 3.0, ("e1",), context.now
    )
    return context.chooser.choose(req, view)


def _incarnation_key(name):
    return server_stats.incarnation_key(name, 1)


def _order(context, key):
    ids = [one.server_id for one in context.servers]
    return affinity.rank_unweighted(key, ids)


@given("an entry that has met {count:d} servers of {slots:d} slots")
def _(context, count, slots):
    context.now = 100.0
    context.servers = [_server(number, slots) for number in range(count)]
    context.chooser = local.Chooser("e1", "dakar")
    names = [one.server_id for one in context.servers]
    for name in names:
        others = tuple(other for other in names if other != name)
        grant = _choose(context, _request("any", others))
        done = messages.Done("answered", 0.3)
        context.chooser.record_done(
            grant.server.server_id, done, 3.0, context.now
        )


@when(
    'another entry tells that the first server of "{key}" has'
    " {requests:d} requests"
)
def _(context, key, requests):
    first = _order(context, key)[0]
    context.chooser.record_loads(
        [(_incarnation_key(first), requests)], context.now
    )


@when(
    'another entry tells that both servers of "{key}" have'
    " {requests:d} requests"
)
def _(context, key, requests):
    loads = [
        (_incarnation_key(name), requests) for name in _order(context, key)[:2]
    ]
    context.chooser.record_loads(loads, context.now)


@when("{seconds:g} s pass for the entry that was told")
def _(context, seconds):
    context.now += seconds


@when(
    'the first server of "{key}" then answers here that it has'
    " {requests:d} {word}"
)
def _(context, key, requests, word):
    # Past the time in which the report refuses requests.
    context.now += 0.6
    order = _order(context, key)
    grant = _choose(context, _request(key, order[1:]))
    slots = grant.server.slots
    load = messages.Load(min(requests, slots), max(0, requests - slots), slots)
    done = messages.Done("answered", 0.3, load=load)
    context.chooser.record_done(order[0], done, 3.0, context.now)


@then('a request for "{key}" goes to its {place} server')
def _(context, key, place):
    wanted = _order(context, key)[("first", "second").index(place)]
    assert _choose(context, _request(key)).server.server_id == wanted


@then('a request for "{key}" is {outcome}')
def _(context, key, outcome):
    found = _choose(context, _request(key))
    kind = messages.Refused if outcome == "refused" else messages.Grant
    assert isinstance(found, kind), found


@then("the entry has nothing to tell")
def _(context):
    assert not context.chooser.has_busy


@then("the entry tells once of {requests:d} requests")
def _(context, requests):
    told = context.chooser.take_busy()
    assert [count for _, count in told] == [requests], told
    assert not context.chooser.take_busy()


@then("of {count:d} entries each tells {told:d} others, and is told by them")
def _(context, count, told):
    names = [f"entry-{number}" for number in range(count)]
    tells = {
        name: load_reports.neighbours(name, names, _EACH_SIDE) for name in names
    }
    for name, others in tells.items():
        assert len(others) == told, (name, others)
        assert all(name in tells[other] for other in others), name


def _late(told):
    """Return the share of late answers of a burst."""
    site = sites.SITES["large-shops"]
    held = world.World(site, 1.1, 1, local.Chooser)
    held.burst(1.7, (8.0, 13.0))
    held.evacuate("pacifico-0", (4.0, 14.0))
    if told:
        held.tell_busy(_BATCH_S, _EACH_SIDE)
    held.run(16.0)
    late = sum(one["late"] for one in held.tallies.values())
    return late / sum(one["asked"] for one in held.tallies.values())


@when("the burst is played with and without reports of loads")
def _(context):
    context.late = _late(told=True), _late(told=False)


@then("at least a fifth fewer answers are late with them")
def _(context):
    with_them, without = context.late
    assert with_them <= 0.8 * without, context.late
