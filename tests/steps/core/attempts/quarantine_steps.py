"""Steps of core/attempts/quarantine.feature."""

import itertools
import random

from behave import given
from behave import then
from behave import when

from hyssopfold.core.attempts import quarantine


def _fingerprint(name):
    return name.encode().ljust(16, b"-")


@given('a quarantine at entry "{name}"')
def _(context, name):
    _start(context, [name])


@given("quarantines at {count:d} entries that know the same")
def _(context, count):
    _start(context, [f"e{number}" for number in range(count)])


def _start(context, names):
    context.now = 100.0
    context.names = names
    context.tables = [quarantine.Quarantine(name) for name in names]
    context.lives = itertools.count()
    context.attempts = itertools.count()


def _share(context):
    for one, other in itertools.permutations(context.tables, 2):
        other.merge(one.shared(context.now), context.now)


@when('{count:d} servers crash under request "{name}"')
def _(context, count, name):
    for _ in range(count):
        life = next(context.lives)
        context.tables[0].record_crash(_fingerprint(name), life, context.now)
    _share(context)


@when('server {life:d} crashes under request "{name}" {times:d} times')
def _(context, life, name, times):
    for _ in range(times):
        context.tables[0].record_crash(_fingerprint(name), life, context.now)


@when("one server crashes under {count:d} other requests")
def _(context, count):
    for number in range(count):
        fingerprint = _fingerprint(str(number))
        context.tables[0].record_crash(fingerprint, 1, context.now)


@when('request "{name}" is answered')
def _(context, name):
    context.tables[0].record_answer(_fingerprint(name), context.now)
    _share(context)


@when("{seconds:g} s go by")
def _(context, seconds):
    context.now += seconds


@when("what is old is forgotten")
def _(context):
    context.tables[0].expire(context.now)


def _sending(context, name):
    """Return the entries that would send a request now."""
    return [
        table
        for table in context.tables
        if table.may_run(
            _fingerprint(name),
            f"attempt {next(context.attempts)}",
            context.names,
            context.now,
        )
    ]


@then('request "{name}" may run')
def _(context, name):
    assert _sending(context, name)


@then('request "{name}" is held back')
def _(context, name):
    assert not _sending(context, name)
    assert context.tables[0].has_head(
        _fingerprint(name)[: quarantine.HEAD_BYTES]
    )


@then('no entry sends request "{name}"')
def _(context, name):
    assert not _sending(context, name)


@then('one entry sends request "{name}", once')
def _(context, name):
    (context.trying,) = _sending(context, name)
    assert not _sending(context, name)


@then('all entries send request "{name}"')
def _(context, name):
    assert len(_sending(context, name)) == len(context.tables)


@when("a server crashes under that trial")
def _(context):
    life = next(context.lives)
    assert context.trying.record_crash(_fingerprint("a"), life, context.now)
    _share(context)


@when("that trial is answered")
def _(context):
    assert context.trying.record_answer(_fingerprint("a"), context.now)
    _share(context)


@then("at most {most:d} requests are known")
def _(context, most):
    assert len(context.tables[0]) <= most, len(context.tables[0])


@given("{count:d} random histories at {instances:d} instances")
def _(context, count, instances):
    context.histories = [
        _history(random.Random(seed), instances) for seed in range(count)
    ]


def _history(rng, instances):
    """Return instances after crashes, answers, and reports as they came."""
    tables = [quarantine.Quarantine(f"i{one}") for one in range(instances)]
    on_the_way = []
    now = 0.0
    for _ in range(60):
        now += rng.random()
        table = rng.choice(tables)
        fingerprint = _fingerprint(rng.choice("abc"))
        match rng.randrange(4):
            case 0:
                table.record_crash(fingerprint, rng.randrange(12), now)
            case 1:
                if rng.random() < 0.3:
                    table.record_answer(fingerprint, now)
            case 2:
                on_the_way.append(table.report(fingerprint, now))
            case 3 if on_the_way:
                table.merge([rng.choice(on_the_way)], now)
    return tables, now


@then("all agree once each has heard of all")
def _(context):
    for tables, now in context.histories:
        for _ in range(2):
            for one, other in itertools.permutations(tables, 2):
                reports = [one.report(_fingerprint(key), now) for key in "abc"]
                other.merge(reports, now)
        assert len({table.digest for table in tables}) == 1
        for key in "abc":
            counts = {table.crashes(_fingerprint(key)) for table in tables}
            assert len(counts) == 1, counts


@then(
    'one entry sends request "{name}", once, also when that attempt asks again'
)
def _(context, name):
    asked = [
        number
        for table in context.tables
        for number in (1, 1, 2)
        if table.may_run(
            _fingerprint(name),
            f"attempt {number}",
            context.names,
            context.now,
        )
    ]
    assert asked == [1, 1], asked
