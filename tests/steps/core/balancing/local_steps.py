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


@given("the pool's cold servers sustain {rate:g} requests a second")
def _(context, rate):
    context.local_cold_rate = rate


@given('the first server of "{key}" announces that it is cold')
def _(context, key):
    context.local_cold = {_order(context, key)[0]}


def _order(context, key):
    return affinity.rank_unweighted(
        key, {server.server_id for server in context.local_servers}
    )


def _end_at_first(context, key, result):
    """Send a request to the object's first server and end it with `result`."""
    chooser = context.local_chooser
    grant = chooser.choose(_request(key), _view(context))
    assert grant.server.server_id == _order(context, key)[0]
    chooser.record_done(grant.server.server_id, result, 3.0, context.local_now)


@given(
    'the first server of "{key}" reported {load:d} running or waiting requests'
)
def _(context, key, load):
    reported = messages.Load(3, load - 3, 3)
    result = messages.AttemptResult("answered", 0.1, load=reported)
    _end_at_first(context, key, result)


@given('the first {count:d} servers of "{key}" have it cached')
def _(context, count, key):
    chooser, now = context.local_chooser, context.local_now
    order = _order(context, key)
    for server_id in order[:count]:
        others = tuple(other for other in order if other != server_id)
        req = _request(key)._replace(avoid=others)
        grant = chooser.choose(req, _view(context))
        result = messages.AttemptResult("answered", 0.1)
        chooser.learn(grant, result, now)
        chooser.record_done(grant.server.server_id, result, 3.0, now)


@given('the first server of "{key}" refused a connection')
def _(context, key):
    result = messages.AttemptResult(
        "failed", 0.1, connected=False, healthy=False
    )
    _end_at_first(context, key, result)


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
    "{count:d} requests for {keys:d} objects are placed locally with"
    ' "{domain}" closed'
)
def _(context, count, keys, domain):
    regions = (messages.Region("dar", False, (domain,)),)
    context.local_answers = []
    for number in range(count):
        req = _request(f"object {number % keys}", regions)
        grant = context.local_chooser.choose(req, _view(context))
        context.local_answers.append(grant)
        result = messages.AttemptResult("answered", 0.1)
        server_id = grant.server.server_id
        context.local_chooser.record_done(
            server_id, result, 3.0, context.local_now
        )


def _chosen_ids(context):
    return [grant.server.server_id for grant in context.local_answers]


@then('all requests went to the first server of "{key}"')
def _(context, key):
    assert set(_chosen_ids(context)) == {_order(context, key)[0]}


@then("the grants mark the server as cold")
def _(context):
    assert all(grant.is_cold for grant in context.local_answers)


@then('all requests went to the second server of "{key}"')
def _(context, key):
    assert set(_chosen_ids(context)) == {_order(context, key)[1]}


@then('the requests went to exactly the first {count:d} servers of "{key}"')
def _(context, count, key):
    expected = set(_order(context, key)[:count])
    assert set(_chosen_ids(context)) == expected, Counter(_chosen_ids(context))


@then("two entries agree on the server of each of {count:d} objects")
def _(context, count):
    context.local_before = {}
    for number in range(count):
        key = f"object {number}"
        chosen = []
        for name in ("e1", "e2"):
            chooser = local.Chooser(name)
            grant = chooser.choose(_request(key), _view(context))
            chosen.append(grant.server.server_id)
        assert chosen[0] == chosen[1]
        context.local_before[key] = chosen[0]


@then("the loss of one server moves only its own objects")
def _(context):
    lost, *remaining = context.local_servers
    for key, before in context.local_before.items():
        chooser = local.Chooser("e1")
        grant = chooser.choose(_request(key), _view(context, remaining))
        moved = grant.server.server_id != before
        assert moved == (before == lost.server_id), key


@then('the first server of "{key}" gets at most {most:d} requests in a second')
def _(context, key, most):
    chooser, received = context.local_chooser, 0
    for _ in range(100):
        context.local_now += 0.01
        grant = chooser.choose(_request(key), _view(context))
        server_id = grant.server.server_id
        received += server_id == _order(context, key)[0]
        result = messages.AttemptResult("answered", 0.01)
        chooser.record_done(server_id, result, 3.0, context.local_now)
    assert 1 <= received <= most, received


@given("{count:d} local entries and a cold server with cold_rate {rate:g}")
def _(context, count, rate):
    context.local_cold_rate = rate
    context.local_cold = set()
    context.local_now = 100.0
    context.local_servers = [_server(1, 1000)]
    context.local_names = [f"e{n}" for n in range(count)]
    context.local_entries = [
        local.Chooser(name) for name in context.local_names
    ]
    context.local_cut_off = ()


@given("the {count:d} entries that rank last for it know no other entry")
def _(context, count):
    ranked = affinity.rank_unweighted("s1", context.local_names)
    context.local_cut_off = ranked[-count:]


@when("all entries place as many requests as they can for {seconds:d} s")
def _(context, seconds):
    context.local_sent = []
    for _ in range(seconds * 100):
        context.local_now += 0.01
        names = tuple(context.local_names)
        for name, chooser in zip(names, context.local_entries, strict=True):
            entries = (name,) if name in context.local_cut_off else names
            view = _view(context, cold={"s1"}, entries=entries)
            for _ in range(3):
                answer = chooser.choose(_request("book"), view)
                if isinstance(answer, messages.Grant):
                    context.local_sent.append(context.local_now)
                    result = messages.AttemptResult("answered", 0.0)
                    chooser.record_done("s1", result, 3.0, context.local_now)


@then("the cold server got at most {most:d} requests in any second")
def _(context, most):
    sent = context.local_sent
    for begin in sent:
        assert sum(begin <= time < begin + 1 for time in sent) <= most


@then("in {seconds:d} s the cold server got at least {least:d} requests")
def _(context, seconds, least):
    assert len(context.local_sent) >= least, len(context.local_sent)


@then('no server of "{domain}" got a request')
def _(context, domain):
    used = {grant.server.failure_domain for grant in context.local_answers}
    assert used
    assert domain not in used


@then("{count:d} of the requests were refused")
def _(context, count):
    refused = [
        answer
        for answer in context.local_answers
        if isinstance(answer, messages.Refused)
    ]
    assert len(refused) == count, len(refused)


@then('the accepted requests went to the first {count:d} servers of "{key}"')
def _(context, count, key):
    chosen = {
        answer.server.server_id
        for answer in context.local_answers
        if isinstance(answer, messages.Grant)
    }
    assert chosen == set(_order(context, key)[:count]), chosen


@given('local servers, {near:d} of region "{region}" and {far:d} elsewhere')
def _(context, near, region, far):
    context.local_servers = [
        _server(number)._replace(region=region if number < near else "far")
        for number in range(near + far)
    ]
    context.local_cold_rate, context.local_now = 0.0, 100.0
    context.local_cold = set()


@then(
    'an entry of "{region}" places {least:g} to {most:g} of {count:d} objects'
    ' in "{same}"'
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
    'a request to the first server of "{key}" is unanswered for {seconds:g} s'
)
def _(context, key, seconds):
    grant = context.local_chooser.choose(_request(key), _view(context))
    assert grant.server.server_id == _order(context, key)[0]
    context.local_now += seconds


@when('the pending request to the first server of "{key}" fails')
def _(context, key):
    result = messages.AttemptResult("failed", 1.0, healthy=False)
    first = _order(context, key)[0]
    context.local_chooser.record_done(first, result, 3.0, context.local_now)


@given('another server answered at the address of the first server of "{key}"')
def _(context, key):
    result = messages.AttemptResult(
        "shed", 0.1, healthy=False, address_reassigned=True
    )
    _end_at_first(context, key, result)


def _other_entries(context, count):
    context.local_other_entries = {
        f"other-{n}": local.Chooser(f"other-{n}") for n in range(count)
    }
    return context.local_other_entries.values()


def _use_first(context, key):
    """Let this entry use the server once, so that it has statistics of it."""
    grant = context.local_chooser.choose(_request(key), _view(context))
    result = messages.AttemptResult("answered", 0.1)
    server_id = grant.server.server_id
    context.local_chooser.record_done(server_id, result, 3.0, context.local_now)


@given(
    "{count:d} other entries have unanswered requests at the first server of"
    ' "{key}"'
)
def _(context, count, key):
    others = _other_entries(context, count)
    for other in others:
        other.choose(_request(key), _view(context))
    _use_first(context, key)
    context.local_now += 1.0


@given('the first server of "{key}" restarts')
def _(context, key):
    first = _order(context, key)[0]
    context.local_servers = [
        server._replace(incarnation=2) if server.server_id == first else server
        for server in context.local_servers
    ]
    _use_first(context, key)


@when("the other entries report their silent servers")
def _(context):
    now = context.local_now
    for name, other in context.local_other_entries.items():
        context.local_chooser.record_silent(name, other.silent_keys(now), now)


@when('{count:d} requests for object "{key}" are placed and answered locally')
def _(context, count, key):
    current = server_stats.ServerStatsTable.current
    context.local_examined = set()

    def current_recorded(table, server, now):
        context.local_examined.add(server.server_id)
        return current(table, server, now)

    with mock.patch.object(
        server_stats.ServerStatsTable, "current", current_recorded
    ):
        for _ in range(count):
            _use_first(context, key)


@then("at most {most:d} servers were examined")
def _(context, most):
    assert len(context.local_examined) <= most, context.local_examined
