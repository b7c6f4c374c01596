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
    _create(context, [name])


@given("quarantines at {count:d} entries that exchange reports")
def _(context, count):
    _create(context, [f"e{number}" for number in range(count)])


def _create(context, names):
    context.now = 100.0
    context.names = names
    context.quarantines = [quarantine.Quarantine(name) for name in names]
    context.keys = itertools.count()
    context.attempts = itertools.count()


def _share(context):
    for sender, receiver in itertools.permutations(context.quarantines, 2):
        receiver.merge(sender.shared(context.now), context.now)


@when('{count:d} servers crash under request "{name}"')
def _(context, count, name):
    for _ in range(count):
        key = next(context.keys)
        context.quarantines[0].record_crash(
            _fingerprint(name), key, context.now
        )
    _share(context)


@when('server {key:d} crashes under request "{name}" {times:d} times')
def _(context, key, name, times):
    for _ in range(times):
        context.quarantines[0].record_crash(
            _fingerprint(name), key, context.now
        )


@when("one server crashes under {count:d} other requests")
def _(context, count):
    for number in range(count):
        fingerprint = _fingerprint(str(number))
        context.quarantines[0].record_crash(fingerprint, 1, context.now)


@when('request "{name}" is answered')
def _(context, name):
    context.quarantines[0].record_answer(_fingerprint(name), context.now)
    _share(context)


@when("{seconds:g} s pass for the quarantine")
def _(context, seconds):
    context.now += seconds


@when("expired records are dropped")
def _(context):
    context.quarantines[0].expire(context.now)


def _permitting(context, name):
    """Return the entries that would send a request now."""
    return [
        instance
        for instance in context.quarantines
        if instance.may_run(
            _fingerprint(name),
            f"attempt {next(context.attempts)}",
            context.names,
            context.now,
        )
    ]


@then('request "{name}" may run')
def _(context, name):
    assert _permitting(context, name)


@then('request "{name}" is quarantined')
def _(context, name):
    assert not _permitting(context, name)
    assert context.quarantines[0].has_head(
        _fingerprint(name)[: quarantine.HEAD_BYTES]
    )


@then('no entry sends request "{name}"')
def _(context, name):
    assert not _permitting(context, name)


@then('one entry sends request "{name}", once')
def _(context, name):
    (context.trying,) = _permitting(context, name)
    assert not _permitting(context, name)


@then('all entries send request "{name}"')
def _(context, name):
    assert len(_permitting(context, name)) == len(context.quarantines)


@when("a server crashes under that trial")
def _(context):
    key = next(context.keys)
    assert context.trying.record_crash(_fingerprint("a"), key, context.now)
    _share(context)


@when("that trial is answered")
def _(context):
    assert context.trying.record_answer(_fingerprint("a"), context.now)
    _share(context)


@then("at most {most:d} requests are recorded")
def _(context, most):
    assert len(context.quarantines[0]) <= most, len(context.quarantines[0])


@given("{count:d} random histories at {instances:d} instances")
def _(context, count, instances):
    context.histories = [
        _history(random.Random(seed), instances) for seed in range(count)
    ]


def _history(rng, instances):
    """Return instances after random crashes, answers and delayed reports."""
    quarantines = [
        quarantine.Quarantine(f"i{number}") for number in range(instances)
    ]
    delayed = []
    now = 0.0
    for _ in range(60):
        now += rng.random()
        instance = rng.choice(quarantines)
        fingerprint = _fingerprint(rng.choice("abc"))
        match rng.randrange(4):
            case 0:
                instance.record_crash(fingerprint, rng.randrange(12), now)
            case 1:
                if rng.random() < 0.3:
                    instance.record_answer(fingerprint, now)
            case 2:
                delayed.append(instance.report(fingerprint, now))
            case 3 if delayed:
                instance.merge([rng.choice(delayed)], now)
    return quarantines, now


@then("all agree once they have exchanged all reports")
def _(context):
    for quarantines, now in context.histories:
        for _ in range(2):
            for sender, receiver in itertools.permutations(quarantines, 2):
                reports = [
                    sender.report(_fingerprint(name), now) for name in "abc"
                ]
                receiver.merge(reports, now)
        assert len({instance.digest for instance in quarantines}) == 1
        for name in "abc":
            counts = {
                instance.crashes(_fingerprint(name)) for instance in quarantines
            }
            assert len(counts) == 1, counts


@then(
    'one entry sends request "{name}", once, also when that attempt asks again'
)
def _(context, name):
    permitted = [
        number
        for instance in context.quarantines
        for number in (1, 1, 2)
        if instance.may_run(
            _fingerprint(name),
            f"attempt {number}",
            context.names,
            context.now,
        )
    ]
    assert permitted == [1, 1], permitted
