"""Steps of tables.feature."""

import pathlib

from behave import given
from behave import then
from behave import when

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
