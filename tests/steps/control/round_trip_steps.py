"""Steps of round_trip.feature."""

from behave import given
from behave import then
from behave import when
import msgspec

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.cmd import ctl
from hyssopfold.core.steering import plans

_TABLES = """
pools:
  - {name: shop, slots: 3, cold_rate: 4.5, drains: {regions: [west]}}
routes:
  - name: all
    pool: shop
    deadline_ms: 800
    sticky: true
    latency_goal_ms: 250
    weights: {dar: 0.5, west: 0.5}
"""


@given("a state with tables {what}")
def _(context, what):
    held = state.State(tables.parse(_TABLES))
    if "evacuations" in what:
        held = held._replace(evacuated=("dar-1", "west-2"))
    if "shifts" in what:
        edited = tables.parse(_TABLES.replace("[west]", "[]"))
        held = plans.after_edit(held, edited, 1000.0)
        assert held.shifts
    context.round_state = held


@when("its tables are printed by hyssopctl and read back")
def _(context):
    # As the control instance's answer to `GET /hyssop/v1/tables`.
    held = context.round_state
    body = {"revision": 7, **tables.to_plain(held.tables)}
    body["evacuated"] = held.evacuated
    answer = msgspec.json.decode(msgspec.json.encode(body))
    context.round_printed = ctl._format_tables(answer)
    context.round_read = tables.parse(context.round_printed)


@then("the tables read back are the ones printed")
def _(context):
    assert context.round_read == context.round_state.tables


@then("an edit of them leaves the state's evacuations in force")
def _(context):
    held = context.round_state
    after = plans.after_edit(held, context.round_read, 2000.0)
    assert after.evacuated == held.evacuated, after
    for domain in held.evacuated:
        assert f"evacuated: {domain}" in context.round_printed
