"""Steps of core/steering/routing.feature."""

from behave import given
from behave import then

from hyssopfold import tables
from hyssopfold.core.steering import routing

_TABLES = """
pools: [{name: shop, slots: 1}]
routes: [{name: any, pool: shop}]
"""


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
