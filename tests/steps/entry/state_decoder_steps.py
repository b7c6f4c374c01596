"""Steps of entry/state_decoder.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from hyssopfold import organisations
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.distribution import rows
from hyssopfold.entry import state_decoder

_POOL = tables.DEFAULT_POOL._replace(name="pool")
_ROUTE = tables.Route(
    "r", "a.example", "/", tables.METHODS, "pool", True, 2000, 5, {}
)
_NAMES = strategies.sampled_from([f"r-{number}" for number in range(6)])
_ROUTES = strategies.dictionaries(
    _NAMES,
    strategies.builds(
        _ROUTE._replace,
        deadline_ms=strategies.integers(1, 3),
        methods=strategies.sampled_from([tables.METHODS, ("GET",)]),
        split=strategies.sampled_from([{}, {"pool": 1.0, "other": 2.0}]),
        public=strategies.booleans(),
    ),
    max_size=6,
)
_SHIFT = state.Shift("pool", (), state.Layout(), 1.0, 0.1)
_STATES = strategies.builds(
    lambda routes, organisation_rows, **fields: state.State(
        tables.ordered(
            [route._replace(name=name) for name, route in routes.items()],
            [_POOL],
            organisation_rows,
        ),
        rows=tuple(state.Row("routes", name, "{}") for name in routes),
        **fields,
    ),
    _ROUTES,
    strategies.sampled_from([(), (organisations.Organisation("o", ("k",)),)]),
    shifts=strategies.sampled_from([(), (_SHIFT,)]),
    version=strategies.integers(0, 9),
    evacuated=strategies.sampled_from([(), ("dar-1",)]),
)


def _rows(value):
    return rows.split(state.encode(value))


@when("states that follow each other by random edits are decoded")
def _(context):
    context.decoded = []

    @hypothesis.given(strategies.lists(_STATES, max_size=5))
    @hypothesis.settings(max_examples=100)
    def check(states):
        decoder = state_decoder.StateDecoder()
        for value in [*states, state.State()]:
            context.decoded.append((decoder.decode(_rows(value)), value))

    check()


@then("each is equal to the state that is decoded as a whole")
def _(context):
    assert len(context.decoded) >= 100
    for decoded, value in context.decoded:
        whole = state.decode(state.encode(value))
        # No entry needs the operator's document.
        assert decoded == whole._replace(rows=()), (decoded, whole)


@given("a decoded state with {count:d} routes")
def _(context, count):
    routes = [
        _ROUTE._replace(name=f"r-{number:03}", path_prefix=f"/{number}/")
        for number in range(count)
    ]
    context.value = state.State(tables.ordered(routes, [_POOL]))
    context.decoder = state_decoder.StateDecoder()
    context.former = context.decoder.decode(_rows(context.value))


@when("the state with another time limit of its route {number:d} is decoded")
def _(context, number):
    routes = list(context.value.tables.routes)
    routes[number] = routes[number]._replace(deadline_ms=1)
    new_tables = context.value.tables._replace(routes=tuple(routes))
    context.new = context.decoder.decode(
        _rows(context.value._replace(tables=new_tables))
    )


@then("all routes but route {number:d} are the objects of the former state")
def _(context, number):
    pairs = zip(
        context.former.tables.routes, context.new.tables.routes, strict=True
    )
    for index, (former, new) in enumerate(pairs):
        assert (former is new) == (index != number), index
    assert context.new.tables.routes[number].deadline_ms == 1


@when("values with routes that it doesn't know how to read are decoded")
def _(context):
    routes, pools = tables.encodable(context.value.tables)
    longer = (*context.value.tables.routes[0], "a later field")
    context.reasons = []
    for new_routes in ([*routes, longer], [["r"]], ["r"], [{}], 7):
        value = ((new_routes, pools), *context.value[1:])
        encoded = rows.split(msgspec.json.encode(value))
        context.reasons.append(context.decoder.unreadable_reason(encoded))
    context.reasons.append(context.decoder.unreadable_reason(rows.EMPTY))


@then("each is reported as unreadable and the former state can be decoded")
def _(context):
    *reasons, empty = context.reasons
    assert all(reasons), reasons
    assert not empty, empty
    assert context.decoder.decode(_rows(context.value)) == context.former
