"""Steps of core/orders/orders.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold import errors
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.orders import orders


def _document(name):
    text = f"""
pools: [{{name: ledger, slots: 3}}]
routes: [{{name: {name}, pool: ledger}}]
"""
    return orders.Document((), tables.parse(text))


def _apply(context, order):
    context.order_error = None
    try:
        context.replicated_state = orders.apply(
            order, context.replicated_state, 0.0
        )
    except errors.HyssopError as exc:
        context.order_error = exc


@given("replicated tables at version {version:d}")
def _(context, version):
    document = _document("first")
    context.replicated_state = state.State(document.tables, version=version)


@when('an order sets version {version:d} based on {base:d} with route "{name}"')
def _(context, version, base, name):
    _apply(context, orders.Edit(base, version, lambda _: _document(name)))


@when('an order evacuates "{domain}"')
def _(context, domain):
    _apply(context, orders.Evacuate(domain))


@when('an order ends the evacuation of "{domain}"')
def _(context, domain):
    _apply(context, orders.EndEvacuation(domain))


@then("the last order is refused as a conflict with version {version:d}")
def _(context, version):
    assert isinstance(context.order_error, errors.VersionConflictError)
    assert context.order_error.in_force == version


@then("the last order is refused as invalid")
def _(context):
    assert isinstance(context.order_error, errors.InvalidDocumentError)


@then('the route in force is "{name}"')
def _(context, name):
    assert [route.name for route in context.replicated_state.tables.routes] == [
        name
    ]


@then('"{domain}" is evacuated in the state')
def _(context, domain):
    assert context.replicated_state.evacuated == (domain,)


@then("nothing is evacuated in the state")
def _(context):
    assert context.replicated_state.evacuated == ()
