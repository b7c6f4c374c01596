"""Steps of core/steering/many_routes.feature."""

import gc
import time

from behave import given
from behave import then
from behave import when

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.steering import regions
from hyssopfold.core.steering import shares

UPDATES_PER_S = 5
READY = frozenset({"dar", "arusha"})
UTC_S = 1e9


def _state(pools, routes, extra=0):
    rows = [f"  - {{name: pool-{pool}, slots: 3}}" for pool in range(pools)]
    text = "\n".join(["pools:", *rows, "routes:"])
    for pool in range(pools):
        for route in range(routes + extra * (pool == 0)):
            text += (
                f"\n  - {{name: r-{pool}-{route},"
                f" path_prefix: /{pool}/{route}/, pool: pool-{pool}}}"
            )
    return state.State(tables.parse(text))


@given("traffic shares of {pools:d} pools with {routes:d} routes each")
def _(context, pools, routes):
    context.states = (_state(pools, routes), _state(pools, routes, extra=1))
    context.shares = shares.TrafficShares()
    context.shares.install(context.states[0], 0.0, UTC_S)
    context.busy_s = 0.0


@when("an edit changes one route")
def _(context):
    began = time.process_time()
    context.shares.install(context.states[1], 1.0, UTC_S)
    context.busy_s += time.process_time() - began


@when(
    "the shares are updated for {seconds:d} s while {requests:d} requests are"
    " decided"
)
def _(context, seconds, requests):
    context.seconds = seconds
    all_tables = context.states[1].tables
    domains = {region: {f"{region}-1"} for region in READY}
    ctx = regions.SteeringContext(
        "dar", regions.by_delay("dar", domains, {"arusha": 35.0}), domains
    )
    ready = {pool.name: READY for pool in all_tables.pools}
    updates = seconds * UPDATES_PER_S
    began = time.process_time()
    for number in range(updates):
        now = 1.0 + number / UPDATES_PER_S
        context.shares.step(now, UTC_S + now, ready)
        for request in range(requests // updates):
            route = all_tables.routes[(number * 7 + request) % 1400]
            key = f"{number}-{request}"
            context.shares.decide(route, ctx, key, route.pool)
    context.busy_s += time.process_time() - began


@then("that took at most {percent:g} % of a core")
def _(context, percent):
    share = 100 * context.busy_s / context.seconds
    assert share <= percent, f"{share:.1f} %"


@given('traffic shares of a pool whose failure domain "{domain}" is drained')
def _(context, domain):
    text = (
        f"pools: [{{name: p, slots: 3, drains: {{failure_domains: [{domain}]}}}}]"
        "\nroutes: [{name: r, pool: p, path_prefix: /}]"
    )
    context.tables = tables.parse(text)
    context.shares = shares.TrafficShares()
    context.shares.install(state.State(context.tables), 0.0, UTC_S)
    context.now = 0.0
    context.decisions = []


def _decide(context, names):
    domains = {"dar": set(names.split(", "))}
    ctx = regions.SteeringContext(
        "dar", regions.by_delay("dar", domains, {}), domains
    )
    context.now += 1 / UPDATES_PER_S
    ready = {"p": frozenset({"dar"})}
    context.shares.step(context.now, UTC_S + context.now, ready)
    route = context.tables.routes[0]
    decision = context.shares.decide(route, ctx, "key", "p")
    context.decisions.append(decision)


@when('only "{names}" has servers and a request is decided')
def _(context, names):
    _decide(context, names)


@when('"{names}" have servers, the shares are updated and it is decided')
def _(context, names):
    _decide(context, names)


@then('only the second decision closes "{domain}"')
def _(context, domain):
    closed = [
        any(domain in region.closed_domains for region in decision.regions)
        for decision in context.decisions
    ]
    assert closed == [False, True], context.decisions


@when("{edits:d} edits add a route and the shares are updated after each")
def _(context, edits):
    pools = context.states[0].tables.pools
    # The first revision is in memory already.
    context.max_layouts = _layout_count() + len(pools)
    ready = {pool.name: READY for pool in pools}
    for extra in range(1, edits + 1):
        new_state = _state(2, 50, extra=extra)
        context.shares.install(new_state, float(extra), UTC_S)
        context.shares.step(extra + 0.5, UTC_S + extra, ready)


@then("only the layouts of the two newest revisions are in memory")
def _(context):
    count = _layout_count()
    assert count <= context.max_layouts, f"{count} > {context.max_layouts}"


def _layout_count():
    gc.collect()
    return sum(isinstance(item, state.Layout) for item in gc.get_objects())


@given("traffic shares of {pools:d} pools and {routes:d} routes in all")
def _(context, pools, routes):
    route = tables.Route(
        "", "a.example", "/", tables.METHODS, "", True, 2000, 5, {}
    )
    context.tables = tables.ordered(
        [
            route._replace(name=f"r-{number}", pool=f"pool-{number % pools}")
            for number in range(routes)
        ],
        [
            tables.DEFAULT_POOL._replace(name=f"pool-{number}")
            for number in range(pools)
        ],
    )
    context.shares = shares.TrafficShares()
    context.shares.install(state.State(context.tables), 0.0, UTC_S)


@when("{edits:d} edits change one route each")
def _(context, edits):
    routes = list(context.tables.routes)
    context.edit_ms = []
    for edit in range(edits):
        routes[edit] = routes[edit]._replace(deadline_ms=1)
        new_tables = context.tables._replace(routes=tuple(routes))
        began = time.process_time()
        context.shares.install(state.State(new_tables), edit + 1.0, UTC_S)
        context.edit_ms.append((time.process_time() - began) * 1000)


# Several edits a second leave an entry most of its time for requests.
@then("an edit took at most {limit:d} ms")
def _(context, limit):
    assert min(context.edit_ms) <= limit, context.edit_ms
