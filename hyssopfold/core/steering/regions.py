"""Which regions may serve a request, best first, and where it is moved."""

from collections.abc import Collection
from collections.abc import Mapping
import hashlib
import itertools
import math
import struct
from typing import NamedTuple

from hyssopfold import state
from hyssopfold.core.balancing import messages

_FAR_MS = 1_000_000.0
_DRAWS = struct.Struct(">16I")
_SCALE = float(1 << 32)


class SteeringContext(NamedTuple):
    """From where a request is steered.

    `home_region` is the caller's region, `regions_by_delay` all regions that have ready servers
    of the pool, by their delay from the entry, and `domains` the failure
    domains of these servers by region.
    """

    home_region: str
    regions_by_delay: tuple[str, ...]
    domains: Mapping[str, Collection[str]]


class Decision(NamedTuple):
    """Where a request may go, best first, and what a shift has to do with it.

    `shifted` tells that a shift or drain took the request away from the region
    `previous_region` or from the failure domains `closed_domains` in it.
    """

    regions: tuple[messages.Region, ...]
    reason: str
    shifted: bool = False
    previous_region: str = ""
    closed_domains: tuple[str, ...] = ()

    def turned_back(self, region: str, domain: str) -> bool:
        """Return whether the target had no room: it was served as before."""
        if domain in self.closed_domains:
            return True
        return (
            self.shifted
            and region == self.previous_region != self.regions[0].name
        )


def hash_draws(key: str) -> tuple[int, ...]:
    """Return 16 numbers of 32 bits that every node draws alike from a key.

    The first picks the layout, the others the regions. They come from the
    request's id, so the shares in force are exact over many requests and no
    node needs to know what another has sent.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_DRAWS.size).digest()
    return _DRAWS.unpack(digest)


def to_fraction(number: int) -> float:
    """Return a number drawn as a share, above 0 and below 1."""
    return (number + 0.5) / _SCALE


def by_delay(
    mine: str, known: Collection[str], delays_ms: Mapping[str, float]
) -> tuple[str, ...]:
    """Return the known regions, nearest to the entry first.

    Args:
        mine: Region of the entry.
        known: Regions that have ready servers.
        delays_ms: One-way delay from `mine` to each other region.
    """
    return tuple(
        sorted(
            known,
            key=lambda name: (
                0.0 if name == mine else delays_ms.get(name, _FAR_MS),
                name,
            ),
        )
    )


def preference_order(
    weights: tuple[state.RegionWeight, ...],
    place: SteeringContext,
    numbers: tuple[int, ...],
) -> tuple[str, ...]:
    """Return the regions in the order that a request has for itself.

    With weights it is drawn by weighted rendezvous hashing: each region is
    first for its share of the requests, and when one is closed or lost, its
    requests go to the others in proportion to their weights. Without, the
    caller's own region goes first and the others by delay.
    """
    if not weights:
        others = tuple(
            name for name in place.regions_by_delay if name != place.home_region
        )
        return (place.home_region, *others)
    scores = [
        (-math.log(to_fraction(number)) / one.weight, one.region)
        for one, number in zip(weights, itertools.cycle(numbers[1:]))
    ]
    return tuple([region for _, region in sorted(scores)])


def first_open(names: tuple[str, ...], layout: state.Layout) -> str:
    """Return the first region that the layout leaves open, or the first."""
    for name in names:
        if name not in layout.closed_regions:
            return name
    return names[0]


def closed_domains_in(
    name: str, layout: state.Layout, place: SteeringContext
) -> tuple[str, ...]:
    """Return the failure domains of a region that the layout closes."""
    if not layout.closed_domains:
        return ()
    there = place.domains.get(name, ())
    return tuple(one for one in layout.closed_domains if one in there)


def candidates(
    layout: state.Layout,
    target: state.Layout,
    names: tuple[str, ...],
    place: SteeringContext,
    moved: bool,
) -> tuple[messages.Region, ...]:
    """Return where a request that `layout` decides may go, best first.

    Args:
        layout: The layout that decides.
        target: What the tables in force want; regions that it closes are
            emptied, others are closed only because they just returned.
        names: The request's own order, from `preference_order`.
        place: From where it is steered.
        moved: Whether a shift under way took it to the first open region.
    """
    closed = layout.closed_regions
    first = names[0]
    regions = []
    for name in names:
        if name not in closed:
            domains = closed_domains_in(name, layout, place)
            away = moved or name != first or bool(domains)
            regions.append(messages.Region(name, away, domains))
    # A drain that no one has room for must not turn into refusals: what the
    # others cannot take within their headroom stays where it was, and the
    # drain waits.
    if first in closed or closed_domains_in(first, layout, place):
        regions.append(messages.Region(first, False))
    regions += [
        messages.Region(name, True, closed_domains_in(name, layout, place))
        for name in names[1:]
        if name in closed and name not in target.closed_regions
    ]
    return tuple(regions)


def restrict(
    found: tuple[messages.Region, ...],
    only: Collection[str],
    evacuated: tuple[str, ...],
) -> tuple[messages.Region, ...]:
    """Return the regions left to a request by its route and by evacuations.

    Args:
        found: Regions that may serve it as far as shares decide.
        only: Regions that its route allows; none means any.
        evacuated: Failure domains whose servers get no more work.
    """
    if not only and not evacuated:
        return found
    return tuple(
        one._replace(closed_domains=one.closed_domains + evacuated)
        for one in found
        if not only or one.name in only
    )
