"""Steps of core/balancing/local.feature."""

from collections import Counter
from unittest import mock

from behave import given
from behave import then
from behave import when

from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.membership import messages as membership

_OPEN = (messages.Region("dar", False),)


def _server(number, slots=3):
    return membership.Server(
        server_id=f"s{number}",
        pool="ledger",
        address=f"127.0.0.1:{7000 + number}",
        region="dar",
        failure_domain=f"dar-{number % 2}",
        slots=slots,
        connections=100,
        state="ready",
        incarnation=1,
        sequence=1,
        load=0.0,
    )


def _view(context, servers=None, cold=(), entries=("e1",)):
    return local.View(
        servers or context.local_servers,
        {*cold, *context.local_cold}.__contains__,
        context.local_cold_rate,
        3.0,
        entries,
        context.local_now,
    )


def _request(key, regions=_OPEN, priority=0):
    return messages.Request(
        "r", "ledger", regions, priority, 1e9, (), key, 0.25
    )


@given("{count:d} local servers of {slots:d} slots")
def _(context, count, slots):
    context.local_servers = [_server(n, slots) for n in range(count)]
    context.local_chooser = local.Chooser("e1")
    context.local_cold_rate = 0.0
    context.local_cold = set()
    context.local_now = 100.0
    context.local_answers = []


@given("the pool's cold servers bear {rate:g} requests a second")
def _(context, rate):
    context.local_cold_rate = rate


@given('the first server of "{key}" says that it is cold')
def _(context, key):
    context.local_cold = {_order(context, key)[0]}


def _order(context, key):
    return affinity.rank_unweighted(
        key, {one.server_id for one in context.local_servers}
    )


def _take_from_first(context, key, done):
    """Let a request that went to the object's first server end."""
    chooser = context.local_chooser
    grant = chooser.choose(_request(key), _view(context))
    assert grant.server.server_id == _order(context, key)[0]
    chooser.record_done(grant.server.server_id, done, 3.0, context.local_now)


@given('the first server of "{key}" told a load of {load:d} running or waiting')
def _(context, key, load):
    told = messages.Load(3, load - 3, 3)
    done = messages.Done("answered", 0.1, load=told)
    _take_from_first(context, key, done)


@given('the first {count:d} servers of "{key}" know it')
def _(context, count, key):
    chooser, now = context.local_chooser, context.local_now
    order = _order(context, key)
    for name in order[:count]:
        others = tuple(one for one in order if one != name)
        req = _request(key)._replace(avoid=others)
        grant = chooser.choose(req, _view(context))
        done = messages.Done("answered", 0.1)
        chooser.learn(grant, done, now)
        chooser.record_done(grant.server.server_id, done, 3.0, now)


@given('the first server of "{key}" took no connection')
def _(context, key):
    done = messages.Done("failed", 0.1, reached=False, good=False)
    _take_from_first(context, key, done)


@when('{count:d} requests for object "{key}" are placed locally')
def _(context, count, key):
    context.local_answers = [
        context.local_chooser.choose(_request(key), _view(context))
        for _ in range(count)
    ]


@when(
    '{count:d} requests of priority {priority:d} for object "{key}" are placed'
    " locally"
)
def _(context, count, priority, key):
    req = _request(key, priority=priority)
    context.local_answers = [
        context.local_chooser.choose(req, _view(context)) for _ in range(count)
    ]


@when("{seconds:g} s pass for the local entry")
def _(context, seconds):
    context.local_now += seconds


@when(
    '{count:d} requests for {keys:d} objects are placed locally with "{domain}" closed'
)
def _(context, count, keys, domain):
    regions = (messages.Region("dar", False, (domain,)),)
    context.local_answers = []
    for number in range(count):
        req = _request(f"object {number % keys}", regions)
        grant = context.local_chooser.choose(req, _view(context))
        context.local_answers.append(grant)
        done = messages.Done("answered", 0.1)
        server_id = grant.server.server_id
        context.local_chooser.record_done(
            server_id, done, 3.0, context.local_now
        )


def _went_to(context):
    return [one.server.server_id for one in context.local_answers]


@then('they all went to the first server of "{key}"')
def _(context, key):
    assert set(_went_to(context)) == {_order(context, key)[0]}


@then("they were placed as at a cold server")
def _(context):
    assert all(one.is_cold for one in context.local_answers)


@then('they all went to the second server of "{key}"')
def _(context, key):
    assert set(_went_to(context)) == {_order(context, key)[1]}


@then('they went to the first {count:d} servers of "{key}" alone')
def _(context, count, key):
    wanted = set(_order(context, key)[:count])
    assert set(_went_to(context)) == wanted, Counter(_went_to(context))


@then("two entries agree on the server of each of {count:d} objects")
def _(context, count):
    context.local_before = {}
    for number in range(count):
        key = f"object {number}"
        found = []
        for name in ("e1", "e2"):
            chooser = local.Chooser(name)
            grant = chooser.choose(_request(key), _view(context))
            found.append(grant.server.server_id)
        assert found[0] == found[1]
        context.local_before[key] = found[0]


@then("the loss of one server moves only its own objects")
def _(context):
    lost, *left = context.local_servers
    for key, before in context.local_before.items():
        chooser = local.Chooser("e1")
        grant = chooser.choose(_request(key), _view(context, left))
        moved = grant.server.server_id != before
        assert moved == (before == lost.server_id), key


@then('the first server of "{key}" gets at most {most:d} requests in a second')
def _(context, key, most):
    chooser, got = context.local_chooser, 0
    for _ in range(100):
        context.local_now += 0.01
        grant = chooser.choose(_request(key), _view(context))
        server_id = grant.server.server_id
        got += server_id == _order(context, key)[0]
        done = messages.Done("answered", 0.01)
        chooser.record_done(server_id, done, 3.0, context.local_now)
    assert 1 <= got <= most, got


@given(
    "{count:d} local entries that know a cold server bearing {rate:g} a second"
)
def _(context, count, rate):
    context.local_cold_rate = rate
    context.local_cold = set()
    context.local_now = 100.0
    context.local_servers = [_server(1, 1000)]
    context.local_names = [f"e{n}" for n in range(count)]
    context.local_entries = [local.Chooser(one) for one in context.local_names]
    context.local_cut_off = ()


@given("the {count:d} that rank last for it know of no other entry")
def _(context, count):
    ranked = affinity.rank_unweighted("s1", context.local_names)
    context.local_cut_off = ranked[-count:]


@when("all of them place as many requests as they may for {seconds:d} s")
def _(context, seconds):
    context.local_sent = []
    for _ in range(seconds * 100):
        context.local_now += 0.01
        names = tuple(context.local_names)
        for name, chooser in zip(names, context.local_entries, strict=True):
            known = (name,) if name in context.local_cut_off else names
            view = _view(context, cold={"s1"}, entries=known)
            for _ in range(3):
                answer = chooser.choose(_request("book"), view)
                if isinstance(answer, messages.Grant):
                    context.local_sent.append(context.local_now)
                    done = messages.Done("answered", 0.0)
                    chooser.record_done("s1", done, 3.0, context.local_now)


@then("in no second did the cold server get more than {most:d} requests")
def _(context, most):
    sent = context.local_sent
    for at in sent:
        assert sum(at <= other < at + 1 for other in sent) <= most


@then("in {seconds:d} s it got at least {least:d}")
def _(context, seconds, least):
    assert len(context.local_sent) >= least, len(context.local_sent)


@then('no server of "{domain}" got any')
def _(context, domain):
    used = {one.server.failure_domain for one in context.local_answers}
    assert used
    assert domain not in used


@then("{count:d} of them were refused for want of room")
def _(context, count):
    refused = [
        one
        for one in context.local_answers
        if isinstance(one, messages.Refused)
    ]
    assert len(refused) == count, len(refused)


@then(
    'those that were not refused went to the first {count:d} servers of "{key}"'
)
def _(context, count, key):
    went = {
        one.server.server_id
        for one in context.local_answers
        if isinstance(one, messages.Grant)
    }
    assert went == set(_order(context, key)[:count]), went


@given('local servers, {near:d} of region "{region}" and {far:d} elsewhere')
def _(context, near, region, far):
    context.local_servers = [
        _server(number)._replace(region=region if number < near else "far")
        for number in range(near + far)
    ]
    context.local_cold_rate, context.local_now = 0.0, 100.0
    context.local_cold = set()


@then(
    'an entry of "{region}" places {least:g} to {most:g} of {count:d} objects in "{same}"'
)
def _(context, region, least, most, count, same):
    regions = (messages.Region(region, False), messages.Region("far", False))
    placed = 0
    for number in range(count):
        chooser = local.Chooser("e1", region)
        req = _request(f"object {number}", regions)
        grant = chooser.choose(req, _view(context))
        placed += grant.server.region == same
    assert least <= placed / count <= most, placed / count


@given(
    'the first server of "{key}" holds a request for {seconds:g} s without an answer'
)
def _(context, key, seconds):
    grant = context.local_chooser.choose(_request(key), _view(context))
    assert grant.server.server_id == _order(context, key)[0]
    context.local_now += seconds


@when('the request held at the first server of "{key}" ends unanswered')
def _(context, key):
    done = messages.Done("failed", 1.0, good=False)
    first = _order(context, key)[0]
    context.local_chooser.record_done(first, done, 3.0, context.local_now)


@given('at the address of the first server of "{key}" another one answered')
def _(context, key):
    done = messages.Done("shed", 0.1, good=False, elsewhere=True)
    _take_from_first(context, key, done)


def _other_entries(context, count):
    context.local_others = {
        f"other-{n}": local.Chooser(f"other-{n}") for n in range(count)
    }
    return context.local_others.values()


def _meet_first(context, key):
    """Let this entry know the server, as one that has used it does."""
    grant = context.local_chooser.choose(_request(key), _view(context))
    done = messages.Done("answered", 0.1)
    server_id = grant.server.server_id
    context.local_chooser.record_done(server_id, done, 3.0, context.local_now)


@given('{count:d} other entries wait in vain at the first server of "{key}"')
def _(context, count, key):
    others = _other_entries(context, count)
    for other in others:
        other.choose(_request(key), _view(context))
    _meet_first(context, key)
    context.local_now += 1.0


@given('the first server of "{key}" starts again')
def _(context, key):
    first = _order(context, key)[0]
    context.local_servers = [
        one._replace(incarnation=2) if one.server_id == first else one
        for one in context.local_servers
    ]
    _meet_first(context, key)


@when("the other entries tell what they learned")
def _(context):
    now = context.local_now
    for name, other in context.local_others.items():
        context.local_chooser.record_silent(name, other.silent_keys(now), now)


@when('{count:d} requests for object "{key}" are placed and answered locally')
def _(context, count, key):
    current = server_stats.ServerStatsTable.current
    context.local_looked_at = set()

    def current_recorded(table, server, now):
        context.local_looked_at.add(server.server_id)
        return current(table, server, now)

    with mock.patch.object(
        server_stats.ServerStatsTable, "current", current_recorded
    ):
        for _ in range(count):
            _meet_first(context, key)


@then("at most {most:d} servers were looked at for each")
def _(context, most):
    assert len(context.local_looked_at) <= most, context.local_looked_at
