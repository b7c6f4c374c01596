"""Collects and formats what `hyssopctl` shows of the entries."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent import futures
from typing import Any
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import decoding
from hyssopfold import instances
from hyssopfold import state
from hyssopfold.control import client as control_client
from hyssopfold.core.limits import limiter
from hyssopfold.core.steering import shares

PATH = "/hyssop/v1/status"
_TIMEOUT_S = 3.0
_WORKERS = 16
# An entry without any answer of the limit coordinator reports a greater age.
_UNANSWERED_S = 1e6
# Largest difference between the entries' clocks that is not reported, in
# addition to the time that collecting the answers may take.
_MAX_CLOCK_DIFFERENCE_S = 2.0

Body = Mapping[str, Any]


class EntryStatuses(NamedTuple):
    """Status of each entry, and the names of those that did not answer."""

    entries: list[Body]
    unreachable: list[str]


class DrainingServer(NamedTuple):
    """A server that is being drained, summed over all entries.

    `in_flight` is the number of requests left; `left_s` is the longest estimate
    of an entry in seconds, None if an entry with requests left has none yet.
    """

    pool: str
    region: str
    failure_domain: str
    server: str
    reason: str
    in_flight: int
    left_s: float | None


def gather(control: control_client.Client) -> EntryStatuses:
    """Request the status of every entry that control knows.

    Args:
        control: Client of the control instances.

    Raises:
        PeerUnavailableError: when no control instance answers.
    """
    records = control.get(instances.PATH).body["instances"]
    entries = [record for record in records if record["role"] == "entry"]
    with futures.ThreadPoolExecutor(_WORKERS) as pool:
        answers = list(
            pool.map(_request_status, (entry["address"] for entry in entries))
        )
    pairs = list(zip(entries, answers, strict=True))
    return EntryStatuses(
        [answer for _, answer in pairs if answer is not None],
        sorted(entry["name"] for entry, answer in pairs if answer is None),
    )


def _request_status(address: str) -> Body | None:
    extensions = {"timeout": dict.fromkeys(("connect", "read"), _TIMEOUT_S)}
    try:
        answer = httpcore.request(
            "GET", f"http://{address}{PATH}", extensions=extensions
        )
        body: Body = decoding.from_json(answer.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        msgspec.DecodeError,
    ):
        return None
    return body if answer.status == 200 else None


def status_lines(statuses: EntryStatuses) -> Iterable[str]:
    """Return what `hyssopctl status` prints."""
    for entry in sorted(
        statuses.entries, key=lambda status: status["instance"]
    ):
        yield (
            f"entry {entry['instance']} region={entry['region']}"
            f" state={entry['state']} revision={entry['revision']}"
        )
    yield from _clock_lines(statuses.entries)
    for name in statuses.unreachable:
        yield f"entry {name} did not answer: the lines below do not include it"
    for pool, rows in sorted(_by_pool(statuses.entries).items()):
        yield f"pool {pool}"
        yield from _shift_lines(rows)
        yield from _headroom_lines(rows)


def _clock_lines(entries: list[Body]) -> Iterable[str]:
    clocks = sorted(entry["utc_s"] for entry in entries)
    if clocks and clocks[-1] - clocks[0] > _MAX_CLOCK_DIFFERENCE_S + _TIMEOUT_S:
        apart = clocks[-1] - clocks[0]
        yield f"clocks of the entries are {apart:.0f} s apart: synchronize them"


def _by_pool(entries: list[Body]) -> dict[str, list[Body]]:
    pools: dict[str, list[Body]] = defaultdict(list)
    for entry in entries:
        for pool in entry["pools"]:
            pools[pool["pool"]].append(pool)
    return pools


def _reports(rows: list[Body]) -> list[shares.Report]:
    # Entries of other releases may report more or fewer fields.
    return [
        msgspec.convert(
            [
                row["shift"][field]
                for field in shares.Report._fields
                if field in row["shift"]
            ],
            shares.Report,
        )
        for row in rows
        if row["shift"] is not None
    ]


def _shift_lines(rows: list[Body]) -> Iterable[str]:
    shifts = _reports(rows)
    if not shifts:
        return
    moving = [shift for shift in shifts if shift.phase != "settled"]
    target = shifts[0].target
    closed = [*target.closed_regions, *target.closed_domains]
    if moving:
        to_go = sum(shift.to_go for shift in shifts) / len(shifts)
        left_s = max(shift.left_s for shift in shifts)
        yield (
            f"  shift: {100 * to_go:.1f} % of the traffic at most has yet to"
            f" move, {left_s:.0f} s at the cap"
        )
        reasons = Counter(f"{shift.phase} {shift.reason}" for shift in moving)
        for reason, count in sorted(reasons.items()):
            yield f"  {count} of {len(shifts)} entries: {reason}"
    else:
        yield "  shift: none under way"
    if closed:
        yield f"  planned to be empty: {', '.join(closed)}"
    for layout, share in _mean_parts(shifts):
        yield (
            f"  {100 * share:.1f} % of requests are routed by:"
            f" {_layout(layout)}"
        )
    lost = sorted({region for shift in shifts for region in shift.lost})
    if lost:
        yield f"  no ready server in: {', '.join(lost)}"


def _mean_parts(
    shifts: list[shares.Report],
) -> list[tuple[state.Layout, float]]:
    sums: dict[state.Layout, float] = defaultdict(float)
    for shift in shifts:
        for part in shift.parts:
            sums[part.layout] += part.share / len(shifts)
    return sorted(sums.items())


def _layout(layout: state.Layout) -> str:
    parts = [
        f"{row.route}="
        + "/".join(
            f"{weight.region}:{weight.weight:.2f}" for weight in row.weights
        )
        for row in layout.routes
        if row.weights
    ] or ["nearest region first"]
    closed = [*layout.closed_regions, *layout.closed_domains]
    if closed:
        parts.append(f"without {', '.join(closed)}")
    return ", ".join(parts)


def _headroom_lines(rows: list[Body]) -> Iterable[str]:
    headroom = rows[0]["headroom"]
    slots: dict[str, dict[str, int]] = defaultdict(dict)
    busy: dict[str, int] = defaultdict(int)
    for row in rows:
        for region, servers in row["regions"].items():
            for server in servers:
                if not server["emptying"]:
                    slots[region][server["server"]] = server["slots"]
                busy[region] += server["in_flight"]
    for region in sorted({*slots, *busy}):
        total = sum(slots[region].values())
        free = max(0.0, total * (1 - headroom) - busy[region])
        yield (
            f"  region {region}: slots={total} in_flight={busy[region]}"
            f" room_for_moved={free:.0f} headroom={headroom:g}"
        )


def draining_servers(statuses: EntryStatuses) -> list[DrainingServer]:
    """Return the servers being drained, summed over the entries."""
    merged: dict[tuple[str, str], DrainingServer] = {}
    for pool, rows in _by_pool(statuses.entries).items():
        for row in rows:
            for region, servers in row["regions"].items():
                for server in servers:
                    if server["emptying"]:
                        key = (pool, server["server"])
                        draining = _draining_server(pool, region, server)
                        merged[key] = _merge(merged.get(key), draining)
    return [merged[key] for key in sorted(merged)]


def _draining_server(pool: str, region: str, server: Body) -> DrainingServer:
    return DrainingServer(
        pool,
        region,
        server["failure_domain"],
        server["server"],
        server["emptying"],
        server["in_flight"],
        server["left_s"],
    )


def _merge(
    merged: DrainingServer | None, row: DrainingServer
) -> DrainingServer:
    if merged is None:
        return row
    left_s = None
    if merged.left_s is not None and row.left_s is not None:
        left_s = max(merged.left_s, row.left_s)
    in_flight = merged.in_flight + row.in_flight
    return merged._replace(in_flight=in_flight, left_s=left_s)


def drain_lines(statuses: EntryStatuses) -> Iterable[str]:
    """Return what `hyssopctl drains` prints."""
    rows = draining_servers(statuses)
    if not rows:
        yield "no server is being drained"
    pools = _by_pool(statuses.entries)
    for row in rows:
        yield (
            f"{row.pool} {row.region} {row.failure_domain} {row.server}:"
            f" {row.reason}, {row.in_flight} requests left, {_estimate(row)};"
            f" {_verdict(row, pools[row.pool], statuses.unreachable)}"
        )
    for pool, pool_statuses in sorted(pools.items()):
        for reason in _wait_reasons(pool_statuses):
            yield f"{pool}: the shift waits: {reason}"


def limit_lines(statuses: EntryStatuses) -> Iterable[str]:
    """Return what `hyssopctl organisations` prints.

    Entries of earlier releases report no limits.
    """
    reports = [
        entry["limits"] for entry in statuses.entries if entry.get("limits")
    ]
    in_window: Counter[str] = Counter()
    limits: dict[str, tuple[float, float]] = {}
    for report in reports:
        for row in report["organisations"]:
            in_window[row["name"]] += row["in_window"]
            limits[row["name"]] = (row["rate"], row["burst"])
    if not limits:
        yield "no organisation has a limit"
        return
    for name, (rate, burst) in sorted(limits.items()):
        most = rate * limiter.WINDOW_S + burst
        yield f"{name}: {in_window[name]} of {most:g} requests in 5 s"
    coordinators = Counter(report["coordinator"] for report in reports)
    names = ", ".join(
        f"{name} ({count} entries)"
        for name, count in coordinators.most_common()
    )
    age_s = max(report["answer_age_s"] for report in reports)
    age = f"{age_s:.1f} s old" if age_s < _UNANSWERED_S else "still to come"
    yield f"limits coordinated by {names}; the oldest answer is {age}"
    if statuses.unreachable:
        yield f"no answer from {', '.join(statuses.unreachable)}"


def _estimate(row: DrainingServer) -> str:
    if not row.in_flight:
        return "none under way"
    if row.left_s is None:
        return "no estimate yet"
    return f"about {row.left_s:.0f} s"


def _verdict(
    row: DrainingServer, pool_statuses: list[Body], unreachable: list[str]
) -> str:
    if unreachable:
        return f"empty: not known, no answer from {', '.join(unreachable)}"
    by_shift = row.reason in ("region drained", "failure domain drained")
    shifts = _reports(pool_statuses)
    if by_shift and any(shift.phase != "settled" for shift in shifts):
        to_go = max(shift.to_go for shift in shifts)
        return f"empty: no, {100 * to_go:.0f} % of the shift to go"
    return "empty: no" if row.in_flight else "empty: yes"


def _wait_reasons(rows: list[Body]) -> list[str]:
    return sorted(
        {
            report.reason
            for report in _reports(rows)
            if report.phase == "waiting"
        }
    )
