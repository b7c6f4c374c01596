"""Cost of each part of each role at a size, computed from the slopes."""

from typing import NamedTuple

from bench.capacity import sizes
from bench.capacity import slopes
from bench.capacity import store

_DAY_S = 86_400.0
_MB = 1_000_000.0
_POOLS = 4
# A point measured within this share of a size is used instead of the line.
_POINT_TOLERANCE = 0.1


class Row(NamedTuple):
    """Cost of one part at a node; None if not measured or not applicable."""

    role: str
    part: str
    state_bytes: float | None
    messages_s: float | None
    bytes_s: float | None
    core_percent: float | None
    mechanism: str


def cost_at(slope: slopes.Slope, x: float) -> float:
    """Return the cost at `x`: that of a point near it, else of the line."""
    for point in slope.points:
        if abs(point.x - x) <= _POINT_TOLERANCE * x:
            return point.y
    return max(0.0, slope.predict(x))


def entry_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return the cost of control at an entry."""
    nodes = float(size.nodes)
    gossip_bytes_s = cost_at(
        measured.slope("membership", "bytes/s sent"), nodes
    )
    gossip_core = cost_at(
        measured.slope("membership", "share of a core"), nodes
    )
    directory_bytes = cost_at(
        measured.slope("membership", "bytes of memory"), nodes
    )
    idle = measured.slope("distribution", "% of a core").slope
    idle_bytes_s = measured.slope("distribution", "bytes/s").slope
    step_us = cost_at(measured.slope("steering", "CPU of a step"), _POOLS)
    check_us = cost_at(measured.slope("lookup", "CPU of a check"), nodes)
    return [
        Row(
            "entry",
            "membership (sent and received)",
            directory_bytes,
            None,
            2 * gossip_bytes_s,
            gossip_core * 100,
            "gossip with a fixed fan-out",
        ),
        Row(
            "entry",
            "revisions, idle (both ends)",
            float(size.state_bytes),
            None,
            idle_bytes_s,
            idle,
            "held question, piggyback, pull",
        ),
        Row(
            "entry",
            "revisions, changes",
            None,
            size.changes_per_day / _DAY_S,
            _change_bytes(measured) * size.changes_per_day / _DAY_S,
            _change_core_percent(measured) * size.changes_per_day / _DAY_S,
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
            max(0.0, check_us) * 1e-4,
            "arranged anew only when it changed",
        ),
    ]


def _change_bytes(measured: store.Measured) -> float:
    measured_slopes = measured.slopes["distribution"]
    return next(
        slope.slope
        for slope in measured_slopes
        if slope.cost == "bytes/s" and slope.per == "change a second"
    )


def _change_core_percent(measured: store.Measured) -> float:
    measured_slopes = measured.slopes["distribution"]
    return next(
        slope.slope
        for slope in measured_slopes
        if slope.cost == "% of a core" and slope.per == "change a second"
    )


def control_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return the cost at one control instance, which does control alone."""
    members = size.control_instances
    idle = f"idle register, one of {members}:"
    edit_ms = measured.slope("control", "CPU of an edit").predict(
        size.state_bytes
    )
    edit_bytes = measured.slope("control", "bytes of an edit")
    # Measured with three members, of which the value is sent to two.
    value_copy_bytes = edit_bytes.predict(size.state_bytes) / 2
    changes_per_s = size.changes_per_day / _DAY_S
    entries_per_member = size.nodes / members
    percent_per_entry = measured.slope("distribution", "% of a core").slope
    bytes_s_per_entry = measured.slope("distribution", "bytes/s").slope
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
            4 * (members - 1) * changes_per_s,
            value_copy_bytes * (members - 1) * changes_per_s,
            edit_ms / 3 * changes_per_s / 10 * (members - 1) / 2,
            "whole value in a round, two round trips",
        ),
        Row(
            "control instance",
            f"revisions to {entries_per_member:.0f} entries (both ends)",
            None,
            None,
            bytes_s_per_entry * entries_per_member,
            percent_per_entry * entries_per_member,
            "held questions, a 7th of the entries each",
        ),
    ]


def service_rows(measured: store.Measured, size: sizes.Size) -> list[Row]:
    """Return the cost of look-ups and grants, which don't count as control."""
    lookups_per_s = size.lookups_per_s / size.nodes
    percent_per_lookup = measured.slope("datapath", "look-ups").slope
    block_memory = measured.slope("lookup", "memory of client blocks")
    grants_per_s = size.requests_per_s / (size.regions * _POOLS)
    servers = size.servers / (size.regions * _POOLS)
    grant_s = measured.slope("placement", "seconds of processor").predict(
        servers
    )
    return [
        Row(
            "entry",
            f"look-ups, {lookups_per_s:.0f} a second",
            block_memory.predict(size.client_blocks),
            lookups_per_s,
            None,
            percent_per_lookup * lookups_per_s,
            "table of client blocks, ranking kept",
        ),
        Row(
            "granting entry",
            f"{grants_per_s:.0f} grants a second over {servers:.0f} servers",
            None,
            3 * grants_per_s,
            340 * grants_per_s,
            grant_s * grants_per_s * 100,
            "one entry per pool and region grants slots",
        ),
    ]


def table(measured: store.Measured, size: sizes.Size) -> str:
    """Return the costs of all roles at a size as a Markdown table."""
    lines = [
        "| role | part | state | messages/s | bytes/s | % of a core"
        " | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    entry_costs = entry_rows(measured, size)
    lines += [_format_row(row) for row in entry_costs]
    lines.append(_format_total(entry_costs))
    lines += [_format_row(row) for row in control_rows(measured, size)]
    lines += [_format_row(row) for row in service_rows(measured, size)]
    return "\n".join(lines)


def _format_total(rows: list[Row]) -> str:
    budget = sizes.BUDGET
    core = sum(row.core_percent or 0.0 for row in rows)
    bytes_s = sum(row.bytes_s or 0.0 for row in rows)
    return (
        f"| **entry** | **control in all** | | | **{bytes_s:,.0f}** of"
        f" {budget.bytes_per_s:,.0f} | **{core:.2f}** of"
        f" {budget.core_share * 100:.1f} | |"
    )


def _format_row(row: Row) -> str:
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
