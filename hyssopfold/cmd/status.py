"""What `hyssopctl status` and `hyssopctl drains` gather and print."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent import futures
from typing import Any
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import instances
from hyssopfold import state
from hyssopfold.control import client as control_client
from hyssopfold.core.steering import shares

PATH = "/hyssop/v1/status"
_TIMEOUT_S = 3.0
_WORKERS = 16
_SLOW_CLOCK_S = 2.0

Body = Mapping[str, Any]


class Gathered(NamedTuple):
    """Answers of the entries, and the names of those that gave none."""

    entries: list[Body]
    silent: list[str]


class Emptying(NamedTuple):
    """A server that is to be emptied, as all entries together see it.

    `in_flight` are the requests left; `left_s` the longest estimate of any
    entry, None when one with requests left cannot tell yet.
    """

    pool: str
    region: str
    failure_domain: str
    server: str
    reason: str
    in_flight: int
    left_s: float | None


def gather(control: control_client.Client) -> Gathered:
    """Ask every entry that control knows for its status.

    Raises:
        PeerUnavailableError: when no control instance answers.
    """
    known = control.get(instances.PATH).body["instances"]
    entries = [one for one in known if one["role"] == "entry"]
    with futures.ThreadPoolExecutor(_WORKERS) as pool:
        answers = list(pool.map(_ask, (one["address"] for one in entries)))
    pairs = list(zip(entries, answers, strict=True))
    return Gathered(
        [answer for _, answer in pairs if answer is not None],
        sorted(one["name"] for one, answer in pairs if answer is None),
    )


def _ask(address: str) -> Body | None:
    limits = {"timeout": dict.fromkeys(("connect", "read"), _TIMEOUT_S)}
    try:
        answer = httpcore.request(
            "GET", f"http://{address}{PATH}", extensions=limits
        )
        body: Body = msgspec.json.decode(answer.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        msgspec.DecodeError,
    ):
        return None
    return body if answer.status == 200 else None


def status_lines(found: Gathered) -> Iterable[str]:
    """Return what `hyssopctl status` prints."""
    for entry in sorted(found.entries, key=lambda one: one["instance"]):
        yield (
            f"entry {entry['instance']} region={entry['region']}"
            f" state={entry['state']} revision={entry['revision']}"
        )
    yield from _clock_lines(found.entries)
    for name in found.silent:
        yield f"entry {name} gave no answer: what follows lacks its part"
    for pool, rows in sorted(_by_pool(found.entries).items()):
        yield f"pool {pool}"
        yield from _shift_lines(rows)
        yield from _headroom_lines(rows)


def _clock_lines(entries: list[Body]) -> Iterable[str]:
    clocks = sorted(entry["utc_s"] for entry in entries)
    if clocks and clocks[-1] - clocks[0] > _SLOW_CLOCK_S + _TIMEOUT_S:
        apart = clocks[-1] - clocks[0]
        yield f"clocks of the entries are {apart:.0f} s apart: set them"


def _by_pool(entries: list[Body]) -> dict[str, list[Body]]:
    pools: dict[str, list[Body]] = defaultdict(list)
    for entry in entries:
        for pool in entry["pools"]:
            pools[pool["pool"]].append(pool)
    return pools


def _reports(rows: list[Body]) -> list[shares.Report]:
    return [
        msgspec.convert(list(row["shift"].values()), shares.Report)
        for row in rows
        if row["shift"] is not None
    ]


def _shift_lines(rows: list[Body]) -> Iterable[str]:
    shifts = _reports(rows)
    if not shifts:
        return
    moving = [one for one in shifts if one.phase != "settled"]
    target = shifts[0].target
    closed = [*target.closed_regions, *target.closed_domains]
    if moving:
        to_go = sum(one.to_go for one in shifts) / len(shifts)
        left_s = max(one.left_s for one in shifts)
        yield (
            f"  shift: {100 * to_go:.1f} % of the traffic at most has yet to"
            f" move, {left_s:.0f} s at the cap"
        )
        reasons = Counter(f"{one.phase} {one.reason}" for one in moving)
        for reason, count in sorted(reasons.items()):
            yield f"  {count} of {len(shifts)} entries: {reason}"
    else:
        yield "  shift: none under way"
    if closed:
        yield f"  planned to be empty: {', '.join(closed)}"
    for layout, share in _mean_parts(shifts):
        yield f"  {100 * share:.1f} % of requests go by: {_layout(layout)}"
    lost = sorted({region for one in shifts for region in one.lost})
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
    words = [
        f"{row.route}="
        + "/".join(f"{one.region}:{one.weight:.2f}" for one in row.weights)
        for row in layout.routes
        if row.weights
    ] or ["nearest region first"]
    closed = [*layout.closed_regions, *layout.closed_domains]
    if closed:
        words.append(f"without {', '.join(closed)}")
    return ", ".join(words)


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


def emptying(found: Gathered) -> list[Emptying]:
    """Return the servers being emptied, summed over the entries."""
    merged: dict[tuple[str, str], Emptying] = {}
    for pool, rows in _by_pool(found.entries).items():
        for row in rows:
            for region, servers in row["regions"].items():
                for server in servers:
                    if server["emptying"]:
                        key = (pool, server["server"])
                        one = _emptying(pool, region, server)
                        merged[key] = _sum(merged.get(key), one)
    return [merged[key] for key in sorted(merged)]


def _emptying(pool: str, region: str, server: Body) -> Emptying:
    return Emptying(
        pool,
        region,
        server["failure_domain"],
        server["server"],
        server["emptying"],
        server["in_flight"],
        server["left_s"],
    )


def _sum(held: Emptying | None, more: Emptying) -> Emptying:
    if held is None:
        return more
    left_s = None
    if held.left_s is not None and more.left_s is not None:
        left_s = max(held.left_s, more.left_s)
    in_flight = held.in_flight + more.in_flight
    return held._replace(in_flight=in_flight, left_s=left_s)


def drain_lines(found: Gathered) -> Iterable[str]:
    """Return what `hyssopctl drains` prints."""
    rows = emptying(found)
    if not rows:
        yield "nothing is being emptied"
    pools = _by_pool(found.entries)
    for row in rows:
        yield (
            f"{row.pool} {row.region} {row.failure_domain} {row.server}:"
            f" {row.reason}, {row.in_flight} requests left, {_left(row)};"
            f" {_verdict(row, pools[row.pool], found.silent)}"
        )
    for pool, reports in sorted(pools.items()):
        for reason in _waiting(reports):
            yield f"{pool}: the shift waits: {reason}"


def _left(row: Emptying) -> str:
    if not row.in_flight:
        return "none under way"
    if row.left_s is None:
        return "no estimate yet"
    return f"about {row.left_s:.0f} s"


def _verdict(row: Emptying, reports: list[Body], silent: list[str]) -> str:
    if silent:
        return f"empty: not known, no answer from {', '.join(silent)}"
    by_shift = row.reason in ("region drained", "failure domain drained")
    shifts = _reports(reports)
    if by_shift and any(one.phase != "settled" for one in shifts):
        to_go = max(one.to_go for one in shifts)
        return f"empty: no, {100 * to_go:.0f} % of the shift to go"
    return "empty: no" if row.in_flight else "empty: yes"


def _waiting(rows: list[Body]) -> list[str]:
    return sorted(
        {one.reason for one in _reports(rows) if one.phase == "waiting"}
    )
