"""Steps of core/distribution/difference.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from hyssopfold.core import compression
from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import rows
from tests.support import fake_distribution

_ROW = strategies.tuples(
    strategies.text(max_size=3),
    strategies.one_of(
        strategies.integers(-9, 9), strategies.lists(strategies.booleans())
    ),
)
_ROWS = strategies.lists(_ROW, max_size=6)
_VALUES = strategies.one_of(
    strategies.just(b""),
    strategies.tuples(
        strategies.one_of(strategies.tuples(_ROWS, _ROWS), _ROWS),
        _ROWS,
        strategies.one_of(strategies.none(), strategies.integers(), _ROWS),
    ).map(msgspec.json.encode),
)


def _applied(value, change):
    return rows.join(difference.apply(rows.split(value), change))


@when("distribution differences between random values are applied")
def _(context):
    context.checked = 0

    @hypothesis.given(_VALUES, _VALUES)
    @hypothesis.settings(max_examples=200)
    def check(old, new):
        change = difference.between(rows.split(old), rows.split(new))
        assert _applied(old, change) == new
        context.checked += 1

    check()


@then("each distribution result had exactly the bytes of the new value")
def _(context):
    assert context.checked >= 200, context.checked


@given("a distribution history of {count:d} revisions with {width:d} rows")
def _(context, count, width):
    context.recent = history.History()
    context.values = {}
    for revision in range(1, count + 1):
        value = fake_distribution.value_of(revision, width)
        context.values[revision] = value
        context.recent.add(revision, value)


@when("a distribution follower at revision {have:d} is answered")
def _(context, have):
    context.have = have
    digest = rows.digest(context.values[have])
    context.update = context.recent.update_since(have, digest)


@when("a distribution follower with another value at revision 1 is answered")
def _(context):
    context.update = context.recent.update_since(1, rows.digest(b"[]"))


@then("the distribution answer takes less than {limit:d} bytes")
def _(context, limit):
    size = len(msgspec.msgpack.encode(context.update))
    assert context.update.base == context.have
    assert size < limit, size


@then("the distribution answer alone gives the bytes of revision {newest:d}")
def _(context, newest):
    update = context.update
    assert update.revision == newest, update
    assert update.base == context.have, update.base
    value = _applied(context.values[context.have], update.payload)
    assert value == context.values[newest]
    assert rows.digest(value) == update.digest


@then("the distribution answer is the whole value")
def _(context):
    assert context.update.base == 0
    assert context.update.payload == context.values[2]


@when("distribution differences of random bytes are applied")
def _(context):
    context.refused = 0
    value = fake_distribution.value_of(1)
    good = difference.between(
        rows.split(value), rows.split(fake_distribution.value_of(2))
    )

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300)
    def check(data):
        if data.draw(strategies.booleans()):
            encoded = data.draw(strategies.binary(max_size=40))
        else:
            changed = bytearray(good)
            place = data.draw(strategies.integers(0, len(good) - 1))
            changed[place] = data.draw(strategies.integers(0, 255))
            encoded = bytes(changed)
        try:
            _applied(value, encoded)
        except difference.MismatchError:
            context.refused += 1

    check()


@then("each was refused as a distribution mismatch or gave some value")
def _(context):
    assert context.refused > 100, context.refused


@when("distribution differences with a wrong number of sections are applied")
def _(context):
    empty, row = (difference.Run(0, 0),), (difference.Run(0, 0, (b"1",)),)
    old = rows.split(fake_distribution.value_of(1))
    context.refusals = []
    for change in (
        difference.Difference((0,), (empty,)),
        difference.Difference((0,), (row * 2,)),
        difference.Difference((1, 1), (row,)),
        difference.Difference((3,), (row,)),
        difference.Difference((-1,), (row,)),
        difference.Difference((), (row,)),
    ):
        try:
            difference.apply(old, msgspec.msgpack.encode(change))
            context.refusals.append(False)
        except difference.MismatchError:
            context.refusals.append(True)


@then("each of them was refused as a distribution mismatch")
def _(context):
    assert all(context.refusals), context.refusals


@when("a distribution follower without a revision is answered compressed")
def _(context):
    context.update = context.recent.update_since(0, b"", compress=True)


@then("the compressed distribution answer is shorter than the value")
def _(context):
    assert context.update.is_compressed
    assert len(context.update.payload) < len(context.recent.value) / 2


@then("it gives the bytes of revision {revision:d}")
def _(context, revision):
    value = _decompressed(context.update.payload)
    assert context.update.revision == revision
    assert value == context.recent.value


@when("compressed distribution payloads of random bytes are decompressed")
def _(context):
    context.refused = 0

    @hypothesis.given(strategies.binary(max_size=200))
    @hypothesis.settings(max_examples=300)
    def check(payload):
        _decompress(context, payload)

    check()


@when("one of {megabytes:d} MB of zeros is decompressed")
def _(context, megabytes):
    before = context.refused
    _decompress(context, compression.compress(bytes(megabytes * 1_000_000)))
    assert context.refused == before + 1, "a payload without a limit"


def _decompressed(payload):
    return compression.decompress(payload, follower.MAX_UPDATE_BYTES)


def _decompress(context, payload):
    try:
        _decompressed(payload)
    except compression.DecompressError:
        context.refused += 1
