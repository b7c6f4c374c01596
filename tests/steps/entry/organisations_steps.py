"""Steps of entry/organisations.feature."""

import logging

from behave import given
from behave import then
from behave import when

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.entry import configuration
from tests.steps.entry import proxy_steps
from tests.support import datapath

_ROUTES = """
pools:
  - {name: shop, slots: 3}
routes:
  - {name: all, pool: shop, deadline_ms: 800}
  - {name: public, pool: shop, path_prefix: /public, public: true}
  - {name: dar, pool: shop, path_prefix: /dar, allowed_regions: [dar]}
"""
_KEYS = ("press-key", "school-key", "abroad-key")


@given("the data path's organisations")
def _(context):
    new_tables = tables.parse(_ROUTES + context.text)
    context.log_lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.log_lines.append(str(record.msg))
    logging.getLogger("hyssopfold").addHandler(handler)
    context.add_cleanup(logging.getLogger("hyssopfold").removeHandler, handler)

    async def step(path):
        path.config.snapshot = configuration.Snapshot(
            1, state.State(new_tables)
        )
        context.slot_requests = []
        acquire = path.placement.acquire

        async def record_and_acquire(req, pool):
            context.slot_requests.append(req)
            return await acquire(req, pool)

        path.placement.acquire = record_and_acquire

    context.script.append(step)


@given("the data path's entry is behind the newest tables")
def _(context):
    async def step(path):
        path.config.is_behind = True

    context.script.append(step)


@given('the organisation "{name}" is at its limit')
def _(context, name):
    async def step(path):
        path.organisation_limits.exhausted.add(name)

    context.script.append(step)


@given(
    "keys are valid for {max_age_s:d} s without control, and control is away"
    " for {age_s:d} s"
)
def _(context, max_age_s, age_s):
    async def step(path):
        path.proxy._options = path.proxy._options._replace(
            max_key_age_s=float(max_age_s)
        )
        path.config.age_s = lambda now: float(age_s)

    context.script.append(step)


@when('the data path gets GET "{path_of_request}" with the headers "{headers}"')
@when('the data path gets GET "{path_of_request}" with the headers ""')
def _(context, path_of_request, headers=""):
    pairs = [
        tuple(header.split(": ")) for header in headers.split(", ") if header
    ]

    async def step(path):
        path.standins[0].last_headers = {}
        return await path.ask("GET", path_of_request, headers=pairs)

    context.script.append(step)


def _last_headers(context):
    proxy_steps.run_script(context)
    return context.path.standins[0].last_headers


def _assert_no_key(headers):
    values = b" ".join(headers.values()).decode("latin-1")
    assert not any(key in values for key in _KEYS), headers
    assert not any(b"key" in name for name in headers), headers


@then('the stand-in got the organisation "{name}" and no key')
def _(context, name):
    headers = _last_headers(context)
    assert headers[b"hyssop-organisation"] == name.encode(), headers
    assert b"hyssop_organisation" not in headers, headers
    _assert_no_key(headers)


@then("the stand-in got no organisation and no key")
def _(context):
    headers = _last_headers(context)
    assert headers, "no request arrived"
    assert b"hyssop-organisation" not in headers, headers
    _assert_no_key(headers)


@then('the last slot request was for the regions "{names}"')
@then('the last slot request was for the regions ""')
def _(context, names=""):
    proxy_steps.run_script(context)
    regions = context.slot_requests[-1].regions
    assert ",".join(region.name for region in regions) == names, regions


@then("the last slot request had priority {priority:d}")
def _(context, priority):
    proxy_steps.run_script(context)
    assert context.slot_requests[-1].priority == priority


@then('the organisation "{name}" has used {count:d} of its limit')
def _(context, name, count):
    proxy_steps.run_script(context)
    assert context.path.organisation_limits.admitted[name] == count


@then("the fingerprints of answers 1 and 2 are equal, that of answer 3 differs")
def _(context):
    proxy_steps.run_script(context)
    first, second, third = context.path.quarantine.answered_fingerprints
    assert first == second != third


@then("no key appears in the log, the metrics or the answers")
def _(context):
    proxy_steps.run_script(context)
    assert context.log_lines
    metrics = context.path.meter.render().body.decode()
    answers = [repr(answer) for answer in context.answers]
    text = " ".join([*context.log_lines, metrics, *answers])
    assert not any(key in text for key in _KEYS), text
    assert "wrong-press" not in text, text
    # Tracebacks may show the tables in force.
    shown = repr(context.path.config.snapshot.tables)
    assert not any(key in shown for key in _KEYS), shown
    assert isinstance(context.path, datapath.DataPath)
