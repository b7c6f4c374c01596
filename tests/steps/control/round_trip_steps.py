"""Steps of control/round_trip.feature."""

from behave import given
from behave import then
from behave import when
import msgspec

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.cmd import tables_format
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
    current = state.State(tables.parse(_TABLES))
    if "evacuations" in what:
        current = current._replace(evacuated=("dar-1", "west-2"))
    if "shifts" in what:
        edited = tables.parse(_TABLES.replace("[west]", "[]"))
        current = plans.after_edit(current, edited, 1000.0)
        assert current.shifts
    context.round_state = current


@when("its tables are printed by hyssopctl and read back")
def _(context):
    # The body of a control instance's answer to `GET /hyssop/v1/tables`.
    current = context.round_state
    body = {"revision": 7, **tables.to_plain(current.tables)}
    body["evacuated"] = current.evacuated
    answer = msgspec.json.decode(msgspec.json.encode(body))
    context.round_printed = tables_format.to_yaml(answer)
    context.round_read = tables.parse(context.round_printed)


@then("the tables read back are the ones printed")
def _(context):
    assert context.round_read == context.round_state.tables


@then("an edit of them leaves the state's evacuations in force")
def _(context):
    current = context.round_state
    after = plans.after_edit(current, context.round_read, 2000.0)
    assert after.evacuated == current.evacuated, after
    for domain in current.evacuated:
        assert f"evacuated: {domain}" in context.round_printed
