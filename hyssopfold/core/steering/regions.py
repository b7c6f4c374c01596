"""Order of the regions that may serve a request, and how shifts change it."""

from collections.abc import Collection
from collections.abc import Mapping
import hashlib
import itertools
import math
import struct
from typing import NamedTuple

from hyssopfold import state
from hyssopfold.core.balancing import messages

_UNKNOWN_DELAY_MS = 1_000_000.0
_HASH_NUMBERS = struct.Struct(">16I")
_HASH_RANGE = float(1 << 32)


class SteeringContext(NamedTuple):
    """The input to the order of regions besides the request itself.

    `home_region` is the caller's region, `regions_by_delay` all regions that
    have ready servers of the pool, nearest to the entry first, and `domains`
    the failure domains of these servers by region.
    """

    home_region: str
    regions_by_delay: tuple[str, ...]
    domains: Mapping[str, Collection[str]]


class Decision(NamedTuple):
    """Regions that may serve a request, best first, and how a shift moved it.

    `reason` is "moved" or "home". `shifted` is true if a shift or drain moved
    the request out of the region `previous_region` or out of the failure
    domains `closed_domains` in it.
    """

    regions: tuple[messages.Region, ...]
    reason: str
    shifted: bool = False
    previous_region: str = ""
    closed_domains: tuple[str, ...] = ()

    def turned_back(self, region: str, domain: str) -> bool:
        """Return whether a moved request was served where it was before.

        This happens when the target of the shift had no free slots.
        """
        if domain in self.closed_domains:
            return True
        return (
            self.shifted
            and region == self.previous_region != self.regions[0].name
        )


def hash_draws(key: str) -> tuple[int, ...]:
    """Return 16 pseudo-random numbers of 32 bits, a hash of a key.

    The first selects the layout, the others the regions. The key contains the
    request's id: all entries get the same numbers, the shares in force are
    exact over many requests, and no entry needs to know the requests of the
    others.
    """
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_NUMBERS.size
    ).digest()
    return _HASH_NUMBERS.unpack(digest)


def to_fraction(number: int) -> float:
    """Return a number of `hash_draws` as a fraction above 0 and below 1."""
    return (number + 0.5) / _HASH_RANGE


def by_delay(
    own_region: str,
    ready_regions: Collection[str],
    delays_ms: Mapping[str, float],
) -> tuple[str, ...]:
    """Return the regions with ready servers, nearest to the entry first.

    Args:
        own_region: Region of the entry.
        ready_regions: Regions that have ready servers.
        delays_ms: One-way delay from `own_region` to each other region.
    """
    return tuple(
        sorted(
            ready_regions,
            key=lambda region: (
                0.0
                if region == own_region
                else delays_ms.get(region, _UNKNOWN_DELAY_MS),
                region,
            ),
        )
    )


def preference_order(
    weights: tuple[state.RegionWeight, ...],
    ctx: SteeringContext,
    numbers: tuple[int, ...],
) -> tuple[str, ...]:
    """Return the order of regions for a request, regardless of closed regions.

    With weights, the order comes from weighted rendezvous hashing: each region
    is first for its share of the requests, and when a region is closed or
    lost, its requests go to the others in proportion to their weights. Without
    weights, the caller's home region is first and the others follow by delay.
    """
    if not weights:
        others = tuple(
            other for other in ctx.regions_by_delay if other != ctx.home_region
        )
        return (ctx.home_region, *others)
    scores = [
        (-math.log(to_fraction(number)) / row.weight, row.region)
        for row, number in zip(weights, itertools.cycle(numbers[1:]))
    ]
    return tuple([region for _, region in sorted(scores)])


def first_open(names: tuple[str, ...], layout: state.Layout) -> str:
    """Return the first region open in the layout; if none is, the first."""
    for name in names:
        if name not in layout.closed_regions:
            return name
    return names[0]


def closed_domains_in(
    region: str, layout: state.Layout, ctx: SteeringContext
) -> tuple[str, ...]:
    """Return the failure domains of a region that are closed in the layout."""
    if not layout.closed_domains:
        return ()
    region_domains = ctx.domains.get(region, ())
    return tuple(
        domain for domain in layout.closed_domains if domain in region_domains
    )


def candidates(
    layout: state.Layout,
    target: state.Layout,
    names: tuple[str, ...],
    ctx: SteeringContext,
    is_shifting: bool,
) -> tuple[messages.Region, ...]:
    """Return the regions that may serve a request under a layout, best first.

    Args:
        layout: The layout that decides the request.
        target: The layout of the tables in force. Regions closed in it are
            being emptied; regions closed in `layout` alone have just come back
            and are tried last.
        names: The request's order of regions, from `preference_order`.
        ctx: Home region and regions with ready servers.
        is_shifting: Whether a shift in progress moved the request to the first
            open region.
    """
    closed = layout.closed_regions
    first = names[0]
    regions = []
    for name in names:
        if name not in closed:
            domains = closed_domains_in(name, layout, ctx)
            is_moved = is_shifting or name != first or bool(domains)
            regions.append(messages.Region(name, is_moved, domains))
    # A drain must not cause refusals: requests for which the other regions
    # have no slots within their headroom stay where they were, and the drain
    # waits.
    if first in closed or closed_domains_in(first, layout, ctx):
        regions.append(messages.Region(first, False))
    regions += [
        messages.Region(name, True, closed_domains_in(name, layout, ctx))
        for name in names[1:]
        if name in closed and name not in target.closed_regions
    ]
    return tuple(regions)


def restrict(
    region_order: tuple[messages.Region, ...],
    allowed_regions: Collection[str],
    evacuated: tuple[str, ...],
) -> tuple[messages.Region, ...]:
    """Restrict the regions of a request by its route and by evacuations.

    Args:
        region_order: Regions that may serve the request by the shares.
        allowed_regions: Regions that its route allows; empty means any.
        evacuated: Failure domains whose servers get no new requests.
    """
    if not allowed_regions and not evacuated:
        return region_order
    return tuple(
        region._replace(closed_domains=region.closed_domains + evacuated)
        for region in region_order
        if not allowed_regions or region.name in allowed_regions
    )
