"""Steps of tables.feature."""

import pathlib

from behave import given
from behave import then
from behave import when
import msgspec

from hyssopfold import errors
from hyssopfold import tables


def _faults(text):
    try:
        tables.parse(text)
    except errors.InvalidDocumentError as exc:
        return exc.faults
    return ()


@given('the tables of "{path}"')
def _(context, path):
    text = pathlib.Path(path).read_text(encoding="utf-8")
    context.tables = tables.parse(text, path)


@then("they are read back unchanged from YAML and from the canonical encoding")
def _(context):
    original = context.tables
    assert original.routes
    assert tables.parse(tables.to_yaml(original, 7)) == original
    encoded = tables.encode(original)
    assert tables.decode(encoded) == original
    assert tables.encode(tables.decode(encoded)) == encoded


@then(
    "a route is encoded in {route_fields:d} fields, and the tables in {count:d}"
)
def _(context, route_fields, count):
    plain = msgspec.json.decode(tables.encode(context.tables))
    assert len(plain) == count, plain
    assert {len(route) for route in plain[0]} == {route_fields}, plain[0]


@then('no fault names "{first}" or "{second}"')
def _(context, first, second):
    text = " ".join(map(str, context.faults))
    assert first not in text, text
    assert second not in text, text


@when("these tables are checked")
def _(context):
    context.faults = _faults(context.text)


@when("tables nested {depth:d} deep are checked")
def _(context, depth):
    context.faults = _faults("routes: " + "[" * depth + "]" * depth)


@then("the faults are")
def _(context):
    actual = [(str(fault.line), fault.where) for fault in context.faults]
    expected = [(row["line"], row["where"]) for row in context.table]
    assert actual == expected, context.faults


@then("{count:d} fault is found")
def _(context, count):
    assert len(context.faults) == count, context.faults
