"""Steps of core/steering/lookup.feature."""

from collections import Counter

from behave import given
from behave import then
from behave import when

from hyssopfold.core.membership import messages
from hyssopfold.core.steering import lookup

REGIONS = ("dar", "arusha", "mwanza")
CALLER_ADDRESSES = [f"10.1.{number % 7}.{number}" for number in range(300)]


def _entry(region, domain, number):
    name = f"{region}-{domain}-{number}"
    return messages.Instance(
        name, "entry", f"127.0.0.1:{number}", "", region, f"{region}-{domain}",
        "ready", 1, 1, 1, 4.0,
    )  # fmt: skip


def _rank(context):
    return [context.index.rank(caller, REGIONS) for caller in CALLER_ADDRESSES]


@given(
    "look-ups over {regions:d} regions with {domains:d} failure domains of"
    " {entries:d} entries each"
)
def _(context, regions, domains, entries):
    context.entries = {
        entry.name: entry
        for entry in (
            _entry(region, domain, number)
            for region in REGIONS[:regions]
            for domain in range(1, domains + 1)
            for number in range(entries)
        )
    }
    context.index = lookup.EntryIndex()
    context.index.update(context.entries.values())
    context.first = [ranked[0].name for ranked in _rank(context)]


def _change(context, name, **changes):
    context.entries[name] = context.entries[name]._replace(**changes)
    context.index.update(context.entries.values())


@when('the look-up index learns that "{name}" is leaving')
def _(context, name):
    _change(context, name, state="leaving")


@when('the look-up index learns that "{name}" has a load of {load:d}')
def _(context, name, load):
    _change(context, name, load=float(load))


@when('the look-up index has no more entries of "{region}"')
def _(context, region):
    remaining = [
        entry for entry in context.entries.values() if entry.region != region
    ]
    context.index.update(remaining)


@then(
    "300 callers get 4 entries: 3 of {region} in both failure domains,"
    " then 1 of the next"
)
def _(context, region):
    for ranked in _rank(context):
        assert len({entry.name for entry in ranked}) == 4
        assert [entry.region for entry in ranked[:3]] == [region] * 3
        assert len({entry.failure_domain for entry in ranked[:2]}) == 2
        next_region = REGIONS[REGIONS.index(region) + 1]
        assert ranked[3].region == next_region


@then("each entry of dar is first for {low:f} to {high:f} of them")
def _(context, low, high):
    counts = Counter(context.first)
    assert len(counts) == 4, counts
    for count in counts.values():
        assert low <= count / len(CALLER_ADDRESSES) <= high, counts


@then('no caller is sent to "{name}" and all others keep their first entry')
def _(context, name):
    for previous, ranked in zip(context.first, _rank(context), strict=True):
        assert name not in {entry.name for entry in ranked}
        assert previous in (name, ranked[0].name)


@then(
    "answers to look-ups may be cached for {short:f} s instead of {normal:d} s"
)
def _(context, short, normal):
    assert lookup.ttl_s(normal, context.index.is_changing) == short


@then('"{name}" is first for {low:f} to {high:f} of 300 callers')
def _(context, name, low, high):
    counts = Counter(ranked[0].name for ranked in _rank(context))
    assert low <= counts[name] / len(CALLER_ADDRESSES) <= high, counts
