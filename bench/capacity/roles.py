"""What each part of each role costs at a size, from the measured slopes."""

from typing import NamedTuple

from bench.capacity import sizes
from bench.capacity import slopes
from bench.capacity import store

_DAY_S = 86_400.0
_MB = 1_000_000.0
_POOLS = 4
# A point this near to the size asked for is taken in place of the line.
_NEAR = 0.1


class Row(NamedTuple):
    """Cost of one part at a node; None is not measured or not kept."""

    role: str
    part: str
    state_bytes: float | None
    messages_s: float | None
    bytes_s: float | None
    core_percent: float | None
    mechanism: str


def cost_at(slope: slopes.Slope, x: float) -> float:
    """Return the cost at `x`: a point measured there, else the line."""
    for point in slope.points:
        if abs(point.x - x) <= _NEAR * x:
            return point.y
    return max(0.0, slope.predict(x))


def entry_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return what control costs an entry."""
    nodes = float(size.nodes)
    gossip = cost_at(measured.slope("membership", "bytes/s sent"), nodes)
    gossip_cpu = cost_at(measured.slope("membership", "share of a core"), nodes)
    directory = cost_at(measured.slope("membership", "bytes of memory"), nodes)
    idle = measured.slope("distribution", "% of a core").slope
    idle_bytes = measured.slope("distribution", "bytes/s").slope
    step_us = cost_at(measured.slope("steering", "CPU of a step"), _POOLS)
    roster_us = cost_at(measured.slope("lookup", "CPU of a check"), nodes)
    return [
        Row(
            "entry",
            "membership (sent and received)",
            directory,
            None,
            2 * gossip,
            gossip_cpu * 100,
            "gossip with a fixed fan-out",
        ),
        Row(
            "entry",
            "revisions, idle (both ends)",
            float(size.state_bytes),
            None,
            idle_bytes,
            idle,
            "held question, piggyback, pull",
        ),
        Row(
            "entry",
            "revisions, changes",
            None,
            size.changes_per_day / _DAY_S,
            _change_bytes(measured) * size.changes_per_day / _DAY_S,
            _change_core(measured) * size.changes_per_day / _DAY_S,
            "differences under a digest",
        ),
        Row(
            "entry",
            f"shares of {_POOLS} pools that shift",
            None,
            0.0,
            0.0,
            step_us * 1e-4,
            "plan in the durable state, no messages",
        ),
        Row(
            "entry",
            "roster of entries, once a second",
            None,
            0.0,
            0.0,
            max(0.0, roster_us) * 1e-4,
            "arranged anew only when it changed",
        ),
    ]


def _change_bytes(measured: store.Measured) -> float:
    lines = measured.slopes["distribution"]
    return next(
        line.slope
        for line in lines
        if line.cost == "bytes/s" and line.per == "change a second"
    )


def _change_core(measured: store.Measured) -> float:
    lines = measured.slopes["distribution"]
    return next(
        line.slope
        for line in lines
        if line.cost == "% of a core" and line.per == "change a second"
    )


def control_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return what one control instance costs, set aside for control."""
    members = size.control_instances
    idle = f"idle register, one of {members}:"
    edit_ms = measured.slope("control", "CPU of an edit").predict(
        size.state_bytes
    )
    edit_bytes = measured.slope("control", "bytes of an edit")
    # Measured over three members, of which two are sent the value.
    copy = edit_bytes.predict(size.state_bytes) / 2
    per_s = size.changes_per_day / _DAY_S
    share = size.nodes / members
    line = measured.slope("distribution", "% of a core").slope
    bytes_line = measured.slope("distribution", "bytes/s").slope
    return [
        Row(
            "control instance",
            "register, idle",
            float(size.state_bytes),
            measured.figure("control", f"{idle} messages"),
            measured.figure("control", f"{idle} bytes"),
            measured.figure("control", f"{idle} CPU") / 10,
            "ballots on a versioned register",
        ),
        Row(
            "control instance",
            "edits (as the one that proposes all)",
            None,
            4 * (members - 1) * per_s,
            copy * (members - 1) * per_s,
            edit_ms / 3 * per_s / 10 * (members - 1) / 2,
            "whole value in a round, two round trips",
        ),
        Row(
            "control instance",
            f"revisions to {share:.0f} entries (both ends)",
            None,
            None,
            bytes_line * share,
            line * share,
            "held questions, a 7th of the entries each",
        ),
    ]


def service_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return what look-ups and grants cost, which are no control."""
    lookups = size.lookups_per_s / size.nodes
    per_lookup = measured.slope("datapath", "look-ups").slope
    blocks = measured.slope("lookup", "memory of client blocks")
    grants = size.requests_per_s / (size.regions * _POOLS)
    servers = size.servers / (size.regions * _POOLS)
    grant_s = measured.slope("placement", "seconds of processor").predict(
        servers
    )
    return [
        Row(
            "entry",
            f"look-ups, {lookups:.0f} a second",
            blocks.predict(size.client_blocks),
            lookups,
            None,
            per_lookup * lookups,
            "table of client blocks, ranking kept",
        ),
        Row(
            "granting entry",
            f"{grants:.0f} grants a second over {servers:.0f} servers",
            None,
            3 * grants,
            340 * grants,
            grant_s * grants * 100,
            "one entry per pool and region grants slots",
        ),
    ]


def table(measured: store.Measured, size: sizes.Size) -> str:
    """Return the costs of every role at a size as a table."""
    lines = [
        "| role | part | state | messages/s | bytes/s | % of a core"
        " | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    entry = entry_rows(measured, size)
    lines += [_line(row) for row in entry]
    lines.append(_total(entry))
    lines += [_line(row) for row in control_rows(measured, size)]
    lines += [_line(row) for row in service_rows(measured, size)]
    return "\n".join(lines)


def _total(rows: list[Row]) -> str:
    budget = sizes.BUDGET
    core = sum(row.core_percent or 0.0 for row in rows)
    sent = sum(row.bytes_s or 0.0 for row in rows)
    return (
        f"| **entry** | **control in all** | | | **{sent:,.0f}** of"
        f" {budget.bytes_per_s:,.0f} | **{core:.2f}** of"
        f" {budget.core_share * 100:.1f} | |"
    )


def _line(row: Row) -> str:
    cells = (
        row.role,
        row.part,
        _bytes(row.state_bytes),
        _number(row.messages_s),
        _number(row.bytes_s),
        _number(row.core_percent),
        row.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def _bytes(value: float | None) -> str:
    if value is None:
        return ""
    if value >= _MB:
        return f"{value / _MB:.1f} MB"
    return f"{value / 1000:.1f} KB"


def _number(value: float | None) -> str:
    if value is None:
        return ""
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"
