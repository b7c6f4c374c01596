"""Steps of core/balancing/load_reports.feature."""

from behave import given
from behave import then
from behave import when

from bench.emulator import simulation
from bench.emulator import sites
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
    ids = [server.server_id for server in context.servers]
    return affinity.rank_unweighted(key, ids)


@given("an entry that has used {count:d} servers of {slots:d} slots")
def _(context, count, slots):
    context.now = 100.0
    context.servers = [_server(number, slots) for number in range(count)]
    context.chooser = local.Chooser("e1", "dakar")
    server_ids = [server.server_id for server in context.servers]
    for server_id in server_ids:
        others = tuple(other for other in server_ids if other != server_id)
        grant = _choose(context, _request("any", others))
        result = messages.AttemptResult("answered", 0.3)
        context.chooser.record_done(
            grant.server.server_id, result, 3.0, context.now
        )


@when(
    'another entry reports {requests:d} requests at the first server of "{key}"'
)
def _(context, key, requests):
    first = _order(context, key)[0]
    context.chooser.record_loads(
        [(_incarnation_key(first), requests)], context.now
    )


@when('another entry reports {requests:d} requests at both servers of "{key}"')
def _(context, key, requests):
    loads = [
        (_incarnation_key(name), requests) for name in _order(context, key)[:2]
    ]
    context.chooser.record_loads(loads, context.now)


@when("{seconds:g} s pass after the report")
def _(context, seconds):
    context.now += seconds


@when(
    'the first server of "{key}" then answers with a load of'
    " {requests:d} {noun}"
)
def _(context, key, requests, noun):
    # The report is by then too old to cause refusals.
    context.now += 0.6
    order = _order(context, key)
    grant = _choose(context, _request(key, order[1:]))
    slots = grant.server.slots
    load = messages.Load(min(requests, slots), max(0, requests - slots), slots)
    result = messages.AttemptResult("answered", 0.3, load=load)
    context.chooser.record_done(order[0], result, 3.0, context.now)


@then('a request for "{key}" goes to its {place} server')
def _(context, key, place):
    expected = _order(context, key)[("first", "second").index(place)]
    assert _choose(context, _request(key)).server.server_id == expected


@then('a request for "{key}" is {outcome}')
def _(context, key, outcome):
    answer = _choose(context, _request(key))
    kind = messages.Refused if outcome == "refused" else messages.Grant
    assert isinstance(answer, kind), answer


@then("the entry has no load to report")
def _(context):
    assert not context.chooser.has_busy


@then("the entry reports once a load of {requests:d} requests")
def _(context, requests):
    loads = context.chooser.take_busy()
    assert [count for _, count in loads] == [requests], loads
    assert not context.chooser.take_busy()


@then(
    "of {count:d} entries each sends reports to {others:d} others, and receives"
    " theirs"
)
def _(context, count, others):
    names = [f"entry-{number}" for number in range(count)]
    receivers = {
        name: load_reports.neighbours(name, names, _EACH_SIDE) for name in names
    }
    for name, neighbours in receivers.items():
        assert len(neighbours) == others, (name, neighbours)
        assert all(name in receivers[other] for other in neighbours), name


def _late_share(with_reports):
    """Return the share of late answers in a burst."""
    site = sites.SITES["large-shops"]
    sim = simulation.Simulation(site, 1.1, 1, local.Chooser)
    sim.add_burst(1.7, (8.0, 13.0))
    sim.evacuate("pacifico-0", (4.0, 14.0))
    if with_reports:
        sim.enable_load_reports(_BATCH_S, _EACH_SIDE)
    sim.run(16.0)
    late = sum(counts["late"] for counts in sim.outcome_counts.values())
    return late / sum(counts["asked"] for counts in sim.outcome_counts.values())


@when("the burst is emulated with and without load reports")
def _(context):
    context.late = (
        _late_share(with_reports=True),
        _late_share(with_reports=False),
    )


@then("with load reports at least a fifth fewer answers are late")
def _(context):
    with_reports, without = context.late
    assert with_reports <= 0.8 * without, context.late
