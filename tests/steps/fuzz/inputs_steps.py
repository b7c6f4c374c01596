"""Steps of fuzz/inputs.feature."""

import functools
import pathlib
import tempfile

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec

from hyssopfold import announcements
from hyssopfold import errors
from hyssopfold import settings
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.consensus import messages as consensus
from hyssopfold.core.membership import messages as membership
from hyssopfold.storage import folder
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import datagram_wire

# Input from the network or from files is refused by one of these only.
REFUSALS = (errors.HyssopError, msgspec.DecodeError)

_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=20),
    strategies.binary(max_size=20),
)
_TREES = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=6),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=6),
    ),
    max_leaves=20,
)


def _yaml_like(keys):
    """Return texts similar enough to a document to pass the first checks."""
    words = strategies.sampled_from(
        [*keys, ":", ": ", "\n", "\n  ", "- ", "[", "]", "{", "}", "&a ",
         "*a", "!!python/object:os.system ", "1", "-1", "1e999", ".nan",
         "'", '"', "|", "#", "\t", "\x00", "é", "true", "127.0.0.1:1"]
    )  # fmt: skip
    return strategies.one_of(
        strategies.lists(words, max_size=40).map("".join),
        strategies.text(max_size=100),
    )


def _damaged(valid):
    """Return `valid` with some bytes changed or its end cut, or other bytes."""

    def damage(edits):
        data = bytearray(valid)
        for position, byte, cut in edits:
            if not data:
                break
            data[position % len(data)] = byte
            if cut:
                del data[position % len(data) :]
        return bytes(data)

    edit = strategies.tuples(
        strategies.integers(0, 10_000),
        strategies.integers(0, 255),
        strategies.booleans(),
    )
    return strategies.one_of(
        strategies.lists(edit, max_size=4).map(damage),
        strategies.binary(max_size=200),
        _TREES.map(_packed),
    )


def _packed(tree):
    try:
        return msgspec.msgpack.encode(tree)
    except (TypeError, OverflowError):
        return b""


def _example_datagram():
    server = membership.Server(
        "a-1", "a", "127.0.0.1:1", "dar", "dar-1", 3, 330, "ready", 1, 1, 0.0
    )
    datagram = membership.Datagram("entry-1", 1, (), (server,))
    return datagram_wire.encode(datagram)[0]


def _example_envelope():
    message = consensus.Prepare(consensus.Ballot(3, "control-1#a"), "c")
    return consensus_wire.wrap("control-1", message)


def _read_envelope(data):
    for kind in consensus.MESSAGE_TYPES:
        envelope = consensus_wire.Envelope("x", kind.__name__, data)
        _expect_refusal(consensus_wire.unwrap, envelope)


def _read_settings(text, directory):
    path = pathlib.Path(directory) / "settings.yaml"
    path.write_text(text, encoding="utf-8", errors="surrogatepass")
    _expect_refusal(settings.load_entry, str(path))
    _expect_refusal(settings.load_control, str(path))


def _read_record(data, data_folder):
    (data_folder.path / "vote").write_bytes(data)
    data_folder.read("vote")


def _expect_refusal(read, data):
    # Passes if `read` accepts the data or refuses it with one of `REFUSALS`.
    try:
        read(data)
    except REFUSALS:
        return


def _run(read, inputs, count):
    @hypothesis.settings(
        max_examples=count,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(inputs)
    def every(data):
        _expect_refusal(read, data)

    every()


_KEYS = ("routes", "pools", "name", "slots", "pool", "weights", "drains")
_SETTING_KEYS = ("name", "region", "control", "gossip_seeds", "rpc_address")


@when("{count:d} bad inputs are read as {kind}")
def _(context, count, kind):
    with tempfile.TemporaryDirectory() as directory:
        data_folder = folder.DataFolder(directory)
        data_folder.write("vote", b"one")
        vote = (data_folder.path / "vote").read_bytes()
        announce = functools.partial(announcements.parse, "a-1")
        announcement = (
            b'{"pool":"a","address":"127.0.0.1:1","region":"r","slots":1}'
        )
        kinds = {
            "tables": (tables.parse, _yaml_like(_KEYS)),
            "settings": (
                functools.partial(_read_settings, directory=directory),
                _yaml_like(_SETTING_KEYS),
            ),
            "an announcement": (announce, _damaged(announcement)),
            "a datagram": (datagram_wire.decode, _damaged(_example_datagram())),
            "an envelope": (_read_envelope, _damaged(_example_envelope().body)),
            "a state": (state.decode, _damaged(state.encode(state.State()))),
            "a record": (
                functools.partial(_read_record, data_folder=data_folder),
                _damaged(vote),
            ),
        }
        read, inputs = kinds[kind]
        _run(read, inputs, count)
        data_folder.close()
    context.fuzzed = count


@then("each fuzzed input was refused by a typed error or accepted")
def _(context):
    # Any other exception makes the step above fail, with a minimal input.
    assert context.fuzzed
