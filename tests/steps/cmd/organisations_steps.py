"""Steps of cmd/organisations.feature."""

from behave import given
from behave import then
from behave import when

from hyssopfold import organisations
from hyssopfold.cmd import status


def _entry(name, in_window):
    row = {"name": name, "rate": 20.0, "burst": 20.0, "in_window": in_window}
    limits = {
        "coordinator": "e2",
        "answer_age_s": 0.4,
        "organisations": [row],
    }
    return {"limits": limits}


@given('entries that report 30, 12 and no requests of "{name}"')
def _(context, name):
    context.entries = [_entry(name, count) for count in (30, 12, 0)]


@given("one of the entries has no answer of the coordinator yet")
def _(context):
    context.entries[1]["limits"]["answer_age_s"] = 1e9


@given("entries that report no limits")
def _(context):
    context.entries = [{}, {"limits": {}}]


@when("the limits are shown")
def _(context):
    statuses = status.EntryStatuses(context.entries, [])
    context.lines = list(status.limit_lines(statuses))


@then('"{line}" is shown')
def _(context, line):
    assert line in context.lines, context.lines


@then('the key "{key}" is shown as "{shown}"')
def _(context, key, shown):
    assert organisations.masked_key(key) == shown
