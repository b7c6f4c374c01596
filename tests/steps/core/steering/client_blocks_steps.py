"""Steps of core/steering/client_blocks.feature."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hyssopfold import errors
from hyssopfold.core.steering import client_blocks
from hyssopfold.entry import blocks


@given("the client blocks")
def _(context):
    context.blocks = client_blocks.parse(context.text.splitlines(), "blocks")


@when("the client blocks are changed by")
def _(context):
    client_blocks.apply(context.blocks, context.text.splitlines(), "changes")


@then("client addresses belong to the sites")
def _(context):
    for row in context.table:
        site = context.blocks.site_of(row["address"])
        name = "" if site is None else site.name
        assert name == row["site"], (row["address"], name)


@then('the client blocks parser refuses line {line:d} of "{text}"')
def _(context, line, text):
    try:
        client_blocks.parse(text.split("; "), "blocks")
    except errors.InvalidDocumentError as exc:
        assert exc.faults[0].line == line, exc
        return
    raise AssertionError("the client blocks were accepted")


@then("a built file of client blocks is loaded, a truncated one is refused")
def _(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    source = pathlib.Path(folder.name, "source")
    source.write_text(
        "site d dar\nsite m mwanza\n10.0.0.0/16 d\n", encoding="utf-8"
    )
    context.built = pathlib.Path(folder.name, "built")
    blocks.build(str(source), str(context.built))
    client_regions = blocks.ClientBlocks(str(context.built))
    assert client_regions.region_of("10.0.9.9") == "dar"
    truncated = pathlib.Path(folder.name, "cut")
    truncated.write_bytes(context.built.read_bytes()[:-3])
    try:
        blocks.ClientBlocks(str(truncated))
    except errors.InvalidDocumentError:
        return
    raise AssertionError("a truncated file was accepted")


@then("a line appended to its changes is in force, an incomplete line is not")
def _(context):
    client_regions = blocks.ClientBlocks(str(context.built))
    changes = pathlib.Path(str(context.built) + blocks.CHANGES_SUFFIX)
    changes.write_text("10.0.1.0/24 m\n10.0.2.0/24", encoding="utf-8")
    assert client_regions.apply_changes() == 1
    with changes.open("a", encoding="utf-8") as file:
        file.write(" m\n")
    assert client_regions.region_of("10.0.2.1") == "dar"
    assert client_regions.apply_changes() == 1
    assert (
        client_regions.region_of("10.0.1.1")
        == client_regions.region_of("10.0.2.1")
        == "mwanza"
    )


_PREFIXES = strategies.builds(
    lambda unit, host_bits: (unit >> host_bits << host_bits, host_bits),
    strategies.integers(0, 0x3FFFF),
    strategies.integers(0, 17),
)
_LINES = strategies.lists(
    strategies.tuples(_PREFIXES, strategies.sampled_from("dm-")), max_size=12
)


def _prefix_text(unit, host_bits):
    unit += 10 << 24
    parts = [str(unit >> shift & 255) for shift in (24, 16, 8, 0)]
    return f"{'.'.join(parts)}/{32 - host_bits}"


@then("random client blocks and changes agree with a search of all prefixes")
def _(context):
    @hypothesis.given(_LINES, _LINES)
    def agree(first, changes):
        initial_blocks = sorted(
            {prefix: site for prefix, site in first if site != "-"}.items(),
            key=lambda item: (item[0][0], -item[0][1]),
        )
        lines = [
            f"{_prefix_text(*prefix)} {site}" for prefix, site in initial_blocks
        ]
        table = client_blocks.parse(
            ["site d dar", "site m mwanza", *lines], "x"
        )
        change_lines = [
            f"{_prefix_text(*prefix)} {site}" for prefix, site in changes
        ]
        client_blocks.apply(table, change_lines, "x")
        boundaries = {
            boundary
            for (unit, host_bits), _ in [*initial_blocks, *changes]
            for boundary in (
                unit - 1, unit, unit + (1 << host_bits) - 1,
                unit + (1 << host_bits),
            )
            if boundary >= 0
        }  # fmt: skip
        widest_first = sorted(initial_blocks, key=lambda item: -item[0][1])
        for boundary in boundaries:
            expected = "-"
            for (unit, host_bits), site in [*widest_first, *changes]:
                if unit <= boundary < unit + (1 << host_bits):
                    expected = site
            site = table.site_of(_prefix_text(boundary, 0).partition("/")[0])
            actual = "-" if site is None else site.name
            assert actual == expected, (boundary, actual, expected)

    agree()
