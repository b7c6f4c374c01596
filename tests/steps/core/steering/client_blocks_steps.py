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


@when("client blocks change by")
def _(context):
    client_blocks.apply(context.blocks, context.text.splitlines(), "changes")


@then("client addresses lie at")
def _(context):
    for row in context.table:
        site = context.blocks.site_of(row["address"])
        found = "" if site is None else site.name
        assert found == row["site"], (row["address"], found)


@then('client blocks refuse line {line:d} of "{text}"')
def _(context, line, text):
    try:
        client_blocks.parse(text.split("; "), "blocks")
    except errors.InvalidDocumentError as exc:
        assert exc.faults[0].line == line, exc
        return
    raise AssertionError("the client blocks were taken")


@then("a built file of client blocks loads whole and not cut short")
def _(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    source = pathlib.Path(folder.name, "source")
    source.write_text(
        "site d dar\nsite m mwanza\n10.0.0.0/16 d\n", encoding="utf-8"
    )
    context.built = pathlib.Path(folder.name, "built")
    blocks.build(str(source), str(context.built))
    held = blocks.Blocks(str(context.built))
    assert held.region_of("10.0.9.9") == "dar"
    cut = pathlib.Path(folder.name, "cut")
    cut.write_bytes(context.built.read_bytes()[:-3])
    try:
        blocks.Blocks(str(cut))
    except errors.InvalidDocumentError:
        return
    raise AssertionError("a file cut short was taken")


@then("a line appended to its changes is in force, one not yet ended is not")
def _(context):
    held = blocks.Blocks(str(context.built))
    changes = pathlib.Path(str(context.built) + blocks.CHANGES_SUFFIX)
    changes.write_text("10.0.1.0/24 m\n10.0.2.0/24", encoding="utf-8")
    assert held.apply_changes() == 1
    with changes.open("a", encoding="utf-8") as file:
        file.write(" m\n")
    assert held.region_of("10.0.2.1") == "dar"
    assert held.apply_changes() == 1
    assert held.region_of("10.0.1.1") == held.region_of("10.0.2.1") == "mwanza"


_PREFIXES = strategies.builds(
    lambda unit, free: (unit >> free << free, free),
    strategies.integers(0, 0x3FFFF),
    strategies.integers(0, 17),
)
_LINES = strategies.lists(
    strategies.tuples(_PREFIXES, strategies.sampled_from("dm-")), max_size=12
)


def _text(unit, free):
    unit += 10 << 24
    parts = [str(unit >> shift & 255) for shift in (24, 16, 8, 0)]
    return f"{'.'.join(parts)}/{32 - free}"


@then("random client blocks and changes agree with a plain dictionary")
def _(context):
    @hypothesis.given(_LINES, _LINES)
    def agree(first, changes):
        held = sorted(
            {prefix: site for prefix, site in first if site != "-"}.items(),
            key=lambda item: (item[0][0], -item[0][1]),
        )
        lines = [f"{_text(*prefix)} {site}" for prefix, site in held]
        table = client_blocks.parse(
            ["site d dar", "site m mwanza", *lines], "x"
        )
        later = [f"{_text(*prefix)} {site}" for prefix, site in changes]
        client_blocks.apply(table, later, "x")
        edges = {
            edge
            for (unit, free), _ in [*held, *changes]
            for edge in (unit - 1, unit, unit + (1 << free) - 1, unit + (1 << free))
            if edge >= 0
        }  # fmt: skip
        by_length = sorted(held, key=lambda item: -item[0][1])
        for edge in edges:
            want = "-"
            for (unit, free), site in [*by_length, *changes]:
                if unit <= edge < unit + (1 << free):
                    want = site
            site = table.site_of(_text(edge, 0).partition("/")[0])
            found = "-" if site is None else site.name
            assert found == want, (edge, found, want)

    agree()
