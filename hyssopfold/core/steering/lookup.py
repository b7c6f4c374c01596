"""Ranking of the entries that a caller should use, by consistent hashing."""

import bisect
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.membership import messages

MAX_ENTRIES = 4
FIRST_REGION_ENTRIES = 3
POINTS_PER_ENTRY = 32
_POINT_STEPS = 4
_BUSY_FACTOR = 1.5
_IDLE_LOAD = 8.0
_MIN_TTL_S = 1.0


class _Ring(NamedTuple):
    """Consistent hash ring of a region's entries: sorted points of 32 bits."""

    points: list[int]
    entries: list[messages.Instance]


class EntryIndex:
    """Ready entries in one consistent hash ring for each region.

    The look-up service uses it to answer callers. An entry has several points
    on the ring of its region. A caller gets the entry at the next point after
    the hash of its address, so callers are spread evenly and keep their entry
    while it is ready. An entry with a far higher load than the others of its
    region gets fewer points: it loses some callers, but never all.
    """

    def __init__(self) -> None:
        self._rings: dict[str, _Ring] = {}
        self._contents: object = None
        self.is_changing = False

    def update(self, instances: Iterable[messages.Instance]) -> bool:
        """Rebuild the rings if any entry changed; return whether they did.

        Args:
            instances: All instances of the directory, of any role and state.
        """
        entries = [entry for entry in instances if entry.role == "entry"]
        # While entries start or stop, callers may cache answers for a shorter
        # time only, see `ttl_s`.
        self.is_changing = any(entry.state != "ready" for entry in entries)
        by_region = defaultdict(list)
        for entry in entries:
            if entry.state == "ready":
                by_region[entry.region].append(entry)
        point_counts = {
            entry.name: _point_count(entry.load, _mean_load(region_entries))
            for region_entries in by_region.values()
            for entry in region_entries
        }
        contents = sorted(
            (entry.name, entry.address, entry.region, point_counts[entry.name])
            for region_entries in by_region.values()
            for entry in region_entries
        )
        if contents == self._contents:
            return False
        self._contents = contents
        self._rings = {
            region: _build_ring(region_entries, point_counts)
            for region, region_entries in by_region.items()
        }
        return True

    def in_first_region(
        self, regions: Sequence[str]
    ) -> list[messages.Instance]:
        """Return all entries of the first region that has ready entries.

        Args:
            regions: Regions in order of preference.
        """
        for region in regions:
            if region in self._rings:
                entries = self._rings[region].entries
                return list(dict.fromkeys(entries))
        return []

    def rank(
        self, client: str, regions: Sequence[str]
    ) -> list[messages.Instance]:
        """Return up to `MAX_ENTRIES` entries for a caller, best first.

        Most are of the first region that has ready entries, spread over its
        failure domains. The last is of the next region, in case the first
        region is lost while the caller has the answer cached.

        Args:
            client: The caller's address.
            regions: Regions in order of preference.
        """
        point = zlib.crc32(client.encode())
        ranked: list[messages.Instance] = []
        rings = [
            self._rings[region] for region in regions if region in self._rings
        ]
        for index, ring in enumerate(rings):
            is_last = index == len(rings) - 1
            limit = (
                MAX_ENTRIES
                if is_last
                else max(FIRST_REGION_ENTRIES, len(ranked) + 1)
            )
            ranked += _select_entries(ring, point, limit - len(ranked))
            if len(ranked) >= MAX_ENTRIES:
                break
        return ranked[:MAX_ENTRIES]


def ttl_s(normal_s: float, is_changing: bool) -> float:
    """Return the seconds for which an answer may be cached.

    Never more than `normal_s`: a stopping entry serves until every cached
    answer that contains it has expired.

    Args:
        normal_s: Seconds when no change is in progress.
        is_changing: Whether a shift, a start or a stop is in progress.
    """
    if not is_changing:
        return normal_s
    return min(normal_s, max(_MIN_TTL_S, normal_s / 2))


def _mean_load(entries: Sequence[messages.Instance]) -> float:
    return sum(entry.load for entry in entries) / len(entries)


def _point_count(load: float, mean_load: float) -> int:
    """Return the number of an entry's points on the ring, in coarse steps.

    Load reports are up to a second old. With coarse steps callers don't move
    between entries after each report.
    """
    load_limit = max(mean_load * _BUSY_FACTOR, _IDLE_LOAD)
    if load <= load_limit:
        return POINTS_PER_ENTRY
    step = math.ceil(_POINT_STEPS * load_limit / load)
    return max(1, step) * POINTS_PER_ENTRY // _POINT_STEPS


def _build_ring(
    entries: Sequence[messages.Instance], point_counts: dict[str, int]
) -> _Ring:
    sorted_points = sorted(
        (zlib.crc32(f"{number} {entry.name}".encode()), entry.name, entry)
        for entry in entries
        for number in range(point_counts[entry.name])
    )
    return _Ring(
        [item[0] for item in sorted_points], [item[2] for item in sorted_points]
    )


def _select_entries(
    ring: _Ring, point: int, limit: int
) -> list[messages.Instance]:
    """Return up to `limit` entries from `point` on.

    The first entry of each failure domain precedes the others.
    """
    begin = bisect.bisect_right(ring.points, point)
    size = len(ring.points)
    visited: dict[str, messages.Instance] = {}
    domains: set[str] = set()
    chosen: list[messages.Instance] = []
    for index in itertools.islice(range(begin, begin + size), size):
        entry = ring.entries[index % size]
        if entry.name in visited:
            continue
        visited[entry.name] = entry
        if entry.failure_domain not in domains:
            domains.add(entry.failure_domain)
            chosen.append(entry)
        if len(chosen) == limit or len(visited) >= 4 * limit:
            break
    others = [entry for entry in visited.values() if entry not in chosen]
    return (chosen + others)[:limit]
