"""Steps of bench/chaos/history.feature."""

import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from bench.chaos import crashes
from bench.chaos import history
from bench.chaos import layout
from bench.chaos import schedule

_DURATION_S = 120.0


@given('a chaos history in which payment "{key}" had outcome {outcome}')
def _(context, key, outcome):
    context.history = history.History()
    context.history.payments[key] = history.Payment(key, outcome)


@when('the chaos ledgers have payment "{key}" {times:d} times')
def _(context, key, times):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "server-1.ledger"
        path.write_text(f"{json.dumps({'key': key})}\n" * times)
        missing = pathlib.Path(folder) / "server-2.ledger"
        runs = history.read_runs([path, missing])
        context.runs_by_key = history.count_runs_by_key(runs)


@then("the chaos checks have {count:d} findings")
def _(context, count):
    findings = history.check_payments(context.history, context.runs_by_key)
    assert len(findings) == count, findings


@given(
    'a chaos history in which edits "{first_id}" and "{second_id}"'
    " were accepted as {first:d} and {second:d}"
)
def _(context, first_id, second_id, first, second):
    context.history = history.History()
    context.history.record_accepted(first_id, first)
    context.history.record_accepted(second_id, second)


@then("the chaos checks have a finding on edits at final revision {final:d}")
def _(context, final):
    assert history.check_edits(context.history, final)


@then("the chaos checks have no finding on edits at final revision {final:d}")
def _(context, final):
    findings = history.check_edits(context.history, final)
    assert not findings, findings


@then(
    "chaos schedules of seed {seed:d} are equal, and differ from that of"
    " seed {other:d}"
)
def _(context, seed, other):
    first = schedule.plan(seed, _DURATION_S)
    assert first
    assert first == schedule.plan(seed, _DURATION_S)
    assert first != schedule.plan(other, _DURATION_S)


@then(
    "the chaos schedule of seed {seed:d}"
    " never has faults of two control instances at once"
)
def _(context, seed):
    end_s = 0.0
    for fault in schedule.plan(seed, _DURATION_S):
        if layout.role_of(fault.target) != layout.CONTROL:
            continue
        assert fault.begin_s >= end_s, fault
        end_s = fault.begin_s + fault.duration_s


@given(
    "a chaos history in which a request crashed 3 servers at {a:g}, {b:g} and"
    " {c:g} s"
)
def _(context, a, b, c):
    context.history = history.History()
    for at in (a, b, c):
        context.history.crashes.append(history.Crash(at, "entry-1"))


@given('{count:d} more at {at:g} s through "{entry}"')
def _(context, count, at, entry):
    context.history.crashes += [history.Crash(at, entry)] * count


@then(
    'the chaos checks have {count:d} findings on crashes, "{entry}" killed at'
    " {at:g} s"
)
def _(context, count, entry, at):
    killed = schedule.Fault(at, schedule.KILL, entry, 1.0)
    findings = crashes.check_crashes(context.history.crashes, [killed])
    assert len(findings) == count, findings


@when("a chaos ledger has a run of {path} for {organisation}, {got} its key")
def _(context, path, organisation, got):
    context.run = {
        "path": path,
        "organisation": organisation.strip('"'),
        "got_credential": got == "with",
    }


@then("the chaos checks have {count:d} findings on organisations")
def _(context, count):
    findings = history.check_organisations([context.run], "press", "/stranger")
    assert len(findings) == count, findings


@when("a chaos ledger has a run {left:g} s after the leave, at {at:g} s")
def _(context, left, at):
    context.runs = [
        {"path": "/a", "left_s": None, "utc_s": 1_000.0},
        {"path": "/b", "left_s": left, "utc_s": 1_000.0 + at},
    ]


@then(
    'the chaos checks have {count:d} findings on leaves, "{name}" frozen at'
    " {begin_s:g} s"
)
def _(context, count, name, begin_s):
    faults = [
        schedule.Fault(begin_s, schedule.FREEZE, name, 1.0),
        schedule.Fault(10.0, schedule.FREEZE, "control-1", 1.0),
        schedule.Fault(10.0, schedule.KILL, "entry-2", 1.0),
    ]
    findings = history.check_leaves(context.runs, faults, 1_000.0)
    assert len(findings) == count, findings
