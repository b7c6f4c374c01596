"""Steps of bench/chaos/books.feature."""

import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

from bench.chaos import books
from bench.chaos import crashes
from bench.chaos import layout
from bench.chaos import schedule

_LENGTH_S = 120.0


@given('chaos books in which payment "{key}" was told {told}')
def _(context, key, told):
    context.books = books.Books()
    context.books.payments[key] = books.Payment(key, told)


@when('the chaos ledgers hold payment "{key}" {times:d} times')
def _(context, key, times):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "server-1.ledger"
        path.write_text(f"{json.dumps({'key': key})}\n" * times)
        missing = pathlib.Path(folder) / "server-2.ledger"
        context.ran = books.ran_by_key([path, missing])


@then("the chaos books show {count:d} faults")
def _(context, count):
    faults = books.faults_of_payments(context.books, context.ran)
    assert len(faults) == count, faults


@given(
    'chaos books in which edits "{one}" and "{two}"'
    " were accepted as {first:d} and {second:d}"
)
def _(context, one, two, first, second):
    context.books = books.Books()
    context.books.accept(one, first)
    context.books.accept(two, second)


@then("the chaos books show a fault of edits at final revision {final:d}")
def _(context, final):
    assert books.faults_of_edits(context.books, final)


@then("the chaos books show no fault of edits at final revision {final:d}")
def _(context, final):
    faults = books.faults_of_edits(context.books, final)
    assert not faults, faults


@then(
    "chaos schedules of seed {one:d} are alike, and unlike that of seed {two:d}"
)
def _(context, one, two):
    first = schedule.plan(one, _LENGTH_S)
    assert first
    assert first == schedule.plan(one, _LENGTH_S)
    assert first != schedule.plan(two, _LENGTH_S)


@then(
    "the chaos schedule of seed {seed:d}"
    " never takes two control instances at once"
)
def _(context, seed):
    until = 0.0
    for fault in schedule.plan(seed, _LENGTH_S):
        if layout.role_of(fault.target) != layout.CONTROL:
            continue
        assert fault.at_s >= until, fault
        until = fault.at_s + fault.length_s


@given(
    "chaos books in which a request crashed 3 servers at {a:g}, {b:g} and {c:g}"
    " s"
)
def _(context, a, b, c):
    context.books = books.Books()
    for at in (a, b, c):
        context.books.crashes.append(books.Crash(at, "entry-1"))


@given('{count:d} more at {at:g} s through "{entry}"')
def _(context, count, at, entry):
    context.books.crashes += [books.Crash(at, entry)] * count


@then(
    'the chaos books show {count:d} faults of crashes, "{entry}" killed at'
    " {at:g} s"
)
def _(context, count, entry, at):
    killed = schedule.Fault(at, schedule.KILL, entry, 1.0)
    found = crashes.faults_of_crashes(context.books.crashes, [killed])
    assert len(found) == count, found
