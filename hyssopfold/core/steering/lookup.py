"""Which entries a caller should use, best first."""

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
NEAR_ENTRIES = 3
POINTS = 32
_STEPS = 4
_BUSY = 1.5
_IDLE_LOAD = 8.0
_MIN_TTL_S = 1.0


class _Ring(NamedTuple):
    """Points of a region's entries on a circle of 32 bits, sorted."""

    points: list[int]
    entries: list[messages.Instance]


class EntryIndex:
    """The entries that may be named, arranged for quick answers.

    An entry stands with many points on the circle of its region. A caller gets
    the entry after the hash of its address, so callers spread evenly and keep
    their entry while it lives; one that is far busier than the others of its
    region loses points, and with them some callers and never all.
    """

    def __init__(self) -> None:
        self._rings: dict[str, _Ring] = {}
        self._key: object = None
        self.is_changing = False

    def update(self, instances: Iterable[messages.Instance]) -> bool:
        """Arrange the entries anew if any changed; return whether they did.

        Args:
            instances: All instances known, of any role and state.
        """
        entries = [one for one in instances if one.role == "entry"]
        # Entries that start or stop: callers should soon ask again.
        self.is_changing = any(one.state != "ready" for one in entries)
        by_region = defaultdict(list)
        for one in entries:
            if one.state == "ready":
                by_region[one.region].append(one)
        points = {
            one.name: _points(one.load, _mean_load(near))
            for near in by_region.values()
            for one in near
        }
        key = sorted(
            (one.name, one.address, one.region, points[one.name])
            for near in by_region.values()
            for one in near
        )
        if key == self._key:
            return False
        self._key = key
        self._rings = {
            region: _ring(near, points) for region, near in by_region.items()
        }
        return True

    def in_first_region(
        self, regions: Sequence[str]
    ) -> list[messages.Instance]:
        """Return all entries of the first region that has any.

        Args:
            regions: Regions by preference.
        """
        for name in regions:
            if name in self._rings:
                entries = self._rings[name].entries
                return list(dict.fromkeys(entries))
        return []

    def rank(
        self, client: str, regions: Sequence[str]
    ) -> list[messages.Instance]:
        """Return up to `MAX_ENTRIES` entries for a caller, best first.

        Most are of the first region that has any, spread over its failure
        domains; the last one is of the next region, for a caller whose whole
        region is lost while it holds this answer.

        Args:
            client: The caller's address.
            regions: Regions by preference.
        """
        at = zlib.crc32(client.encode())
        found: list[messages.Instance] = []
        rings = [self._rings[name] for name in regions if name in self._rings]
        for index, ring in enumerate(rings):
            last = index == len(rings) - 1
            room = MAX_ENTRIES if last else max(NEAR_ENTRIES, len(found) + 1)
            found += _walk(ring, at, room - len(found))
            if len(found) >= MAX_ENTRIES:
                break
        return found[:MAX_ENTRIES]


def ttl_s(usual_s: float, changing: bool) -> float:
    """Return the seconds that an answer may be cached.

    Never more than `usual_s`: an entry that stops serves until every answer
    that named it has expired.

    Args:
        usual_s: Seconds when nothing is under way.
        changing: Whether a shift, a start or a stop is under way.
    """
    if not changing:
        return usual_s
    return min(usual_s, max(_MIN_TTL_S, usual_s / 2))


def _mean_load(entries: Sequence[messages.Instance]) -> float:
    return sum(one.load for one in entries) / len(entries)


def _points(load: float, mean: float) -> int:
    """Return how many points an entry gets, in a few steps.

    Loads are a second old: the steps keep callers from following each report
    from entry to entry.
    """
    fair = max(mean * _BUSY, _IDLE_LOAD)
    if load <= fair:
        return POINTS
    step = math.ceil(_STEPS * fair / load)
    return max(1, step) * POINTS // _STEPS


def _ring(
    entries: Sequence[messages.Instance], points: dict[str, int]
) -> _Ring:
    placed = sorted(
        (zlib.crc32(f"{number} {one.name}".encode()), one.name, one)
        for one in entries
        for number in range(points[one.name])
    )
    return _Ring([item[0] for item in placed], [item[2] for item in placed])


def _walk(ring: _Ring, at: int, room: int) -> list[messages.Instance]:
    """Return entries after a point; each of a new failure domain first."""
    begin = bisect.bisect_right(ring.points, at)
    size = len(ring.points)
    seen: dict[str, messages.Instance] = {}
    domains: set[str] = set()
    chosen: list[messages.Instance] = []
    for index in itertools.islice(range(begin, begin + size), size):
        one = ring.entries[index % size]
        if one.name in seen:
            continue
        seen[one.name] = one
        if one.failure_domain not in domains:
            domains.add(one.failure_domain)
            chosen.append(one)
        if len(chosen) == room or len(seen) >= 4 * room:
            break
    others = [one for one in seen.values() if one not in chosen]
    return (chosen + others)[:room]
