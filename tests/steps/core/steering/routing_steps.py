"""Steps of core/steering/routing.feature."""

import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hyssopfold import tables
from hyssopfold.core.steering import routing

_ROUTE = tables.Route(
    "r", "a.example", "/", tables.METHODS, "pool", True, 2000, 5, {}
)
_TABLES = """
pools: [{name: shop, slots: 1}]
routes: [{name: any, pool: shop}]
"""
_HOSTS = strategies.sampled_from(["a.example", "b.example", "*"])
_PATHS = strategies.text("ab/", max_size=5).map("/".__add__)
_METHODS = strategies.sampled_from(["GET", "POST"])
_ROUTES = strategies.lists(
    strategies.builds(
        _ROUTE._replace,
        name=strategies.text("xyz", min_size=1, max_size=4),
        host=_HOSTS,
        path_prefix=_PATHS,
        methods=strategies.sampled_from([("GET",), ("POST",), ("GET", "POST")]),
    ),
    max_size=12,
    unique_by=lambda route: route.name,
)


def _search(routes, host, path, method):
    """Return the route that decides, by its definition."""
    for wanted_host in (host.lower(), "*"):
        matching = [
            route
            for route in routes
            if route.host == wanted_host
            and path.startswith(route.path_prefix)
            and (method is None or method in route.methods)
        ]
        if matching:
            return min(
                matching, key=lambda row: (-len(row.path_prefix), row.name)
            )
    return None


@when("random requests are matched against random routes")
def _(context):
    context.matches = []

    @hypothesis.given(
        _ROUTES,
        strategies.sampled_from(["A.example", "b.example", "c.example"]),
        _PATHS,
        strategies.one_of(strategies.none(), _METHODS),
    )
    @hypothesis.settings(max_examples=1000)
    def check(routes, host, path, method):
        req = (host, path, method)
        matched = routing.Router(tuple(routes)).match(*req)
        context.matches.append((matched, _search(routes, *req)))

    check()


@then("each got the route that a search through all routes finds")
def _(context):
    assert sum(expected is not None for _, expected in context.matches) > 100
    for matched, expected in context.matches:
        assert matched is expected, (matched, expected)


@given("a router with {count:d} routes of one host")
def _(context, count):
    context.routes = [
        _ROUTE._replace(name=f"r-{number:05}", path_prefix=f"/{number:05}/")
        for number in range(count)
    ]
    context.router = routing.Router(tuple(context.routes))


@when("{count:d} requests to that host are matched")
def _(context, count):
    began = time.process_time()
    for number in range(count):
        route = context.routes[number * 7 % len(context.routes)]
        path = f"{route.path_prefix}object"
        assert context.router.match("a.example", path, "GET") is route
    context.us_per_request = (time.process_time() - began) / count * 1e6


@then("that took at most {limit:d} us a request")
def _(context, limit):
    assert context.us_per_request <= limit, f"{context.us_per_request:.0f} us"


@given("routes with these prefixes")
def _(context):
    (route,) = tables.parse(_TABLES).routes
    context.router = routing.Router(
        tuple(
            route._replace(name=row["name"], path_prefix=row["prefix"])
            for row in context.table
        )
    )


@then('the path "{path}" matches the route "{name}"')
def _(context, path, name):
    route = context.router.match("shop.example", path, "GET")
    assert route.name == name, route
