"""Compact table of client blocks: which site a caller's address belongs to.

A block is an address prefix. Stretches of addresses are kept as sorted starts
in flat arrays: the upper bits of an address find a bucket, the 16 bits below
a stretch in it. That takes 3 bytes for a stretch and 8 for a bucket, where a
dictionary of prefixes takes 140.
"""

import array
import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import ipaddress
import sys
from typing import NamedTuple

from hyssopfold import errors

MAX_SITES = 255
UNKNOWN = 0
_LOW_BITS = 16
_LOW_SIZE = 1 << _LOW_BITS
_V4_BITS = 32
_V6_BITS = 48
_V6_SHIFT = 128 - _V6_BITS
_MAX_BUCKETS = 4096
_KINDS = ("I", "I", "H", "B")


class Site(NamedTuple):
    """A place of clients and the region that is at home for them."""

    name: str
    region: str


class Block(NamedTuple):
    """Addresses `first` to `last` of a family, in units of the table.

    The units are single addresses of IPv4 and /48 networks of IPv6.
    """

    version: int
    first: int
    last: int


class Header(NamedTuple):
    """What tells the arrays of a table apart, IPv4 first, then IPv6."""

    byteorder: str
    sites: tuple[Site, ...]
    counts: tuple[int, ...]


class _Stretches:
    """Starts of stretches of one address family, with a site for each."""

    def __init__(self) -> None:
        self._buckets = array.array("I")
        self._offsets = array.array("I", (0,))
        self._starts = array.array("H")
        self._sites = array.array("B")
        self._changed: dict[int, tuple[array.array[int], bytes]] = {}

    def find(self, unit: int) -> int:
        """Return the number of the site of an address, 0 if unknown."""
        bucket = unit >> _LOW_BITS
        low = unit & (_LOW_SIZE - 1)
        if self._changed and bucket in self._changed:
            starts, sites = self._changed[bucket]
            at = bisect.bisect_right(starts, low) - 1
            return sites[at] if at >= 0 else UNKNOWN
        index = bisect.bisect_left(self._buckets, bucket)
        if index == len(self._buckets) or self._buckets[index] != bucket:
            return UNKNOWN
        first = self._offsets[index]
        end = self._offsets[index + 1]
        at = bisect.bisect_right(self._starts, low, first, end) - 1
        return self._sites[at] if at >= first else UNKNOWN

    def append(self, first: int, last: int, site: int) -> None:
        """Add a stretch beyond all that are held; gaps become unknown."""
        while first <= last:
            bucket = first >> _LOW_BITS
            end = min(last, (bucket << _LOW_BITS) + _LOW_SIZE - 1)
            self._append_in(bucket, first & (_LOW_SIZE - 1), site)
            beyond = (end & (_LOW_SIZE - 1)) + 1
            if beyond < _LOW_SIZE:
                self._append_in(bucket, beyond, UNKNOWN)
            first = end + 1

    def _append_in(self, bucket: int, low: int, site: int) -> None:
        if not self._buckets or self._buckets[-1] != bucket:
            self._buckets.append(bucket)
            self._offsets.append(len(self._starts))
        elif self._starts[-1] == low:
            # The gap that the stretch before had left open is closed.
            self._starts.pop()
            self._sites.pop()
        same = len(self._starts) > self._offsets[-2] and self._sites[-1] == site
        if not same:
            self._starts.append(low)
            self._sites.append(site)
        self._offsets[-1] = len(self._starts)

    def assign(self, first: int, last: int, site: int) -> None:
        """Give a stretch to another site, 0 to forget it."""
        while first <= last:
            bucket = first >> _LOW_BITS
            end = min(last, (bucket << _LOW_BITS) + _LOW_SIZE - 1)
            self._assign_in(bucket, first, end, site)
            first = end + 1

    def _assign_in(self, bucket: int, first: int, last: int, site: int) -> None:
        low, high = first & (_LOW_SIZE - 1), last & (_LOW_SIZE - 1)
        after = self.find(last + 1) if high + 1 < _LOW_SIZE else UNKNOWN
        starts, sites = self._bucket(bucket)
        begin = bisect.bisect_left(starts, low)
        end = bisect.bisect_right(starts, high + 1)
        new_starts = starts[:begin]
        new_starts.append(low)
        new_sites = sites[:begin] + bytes((site,))
        if high + 1 < _LOW_SIZE:
            new_starts.append(high + 1)
            new_sites += bytes((after,))
        new_starts.extend(starts[end:])
        self._changed[bucket] = (new_starts, new_sites + sites[end:])

    def _bucket(self, bucket: int) -> tuple["array.array[int]", bytes]:
        if bucket in self._changed:
            return self._changed[bucket]
        index = bisect.bisect_left(self._buckets, bucket)
        if index == len(self._buckets) or self._buckets[index] != bucket:
            return array.array("H"), b""
        first, end = self._offsets[index], self._offsets[index + 1]
        return self._starts[first:end], bytes(self._sites[first:end])

    def arrays(self) -> tuple["array.array[int]", ...]:
        """Return the arrays that hold all stretches."""
        return (self._buckets, self._offsets, self._starts, self._sites)

    def restore(self, arrays: Sequence["array.array[int]"]) -> None:
        """Take the place of what is held by what `arrays` returned."""
        self._buckets, self._offsets, self._starts, self._sites = arrays

    def size_bytes(self) -> int:
        """Return the bytes that the arrays take."""
        arrays = (self._buckets, self._offsets, self._starts)
        flat = sum(one.itemsize * len(one) for one in arrays)
        changed = sum(3 * len(sites) for _, sites in self._changed.values())
        return flat + len(self._sites) + changed


class Table:
    """Sites of client blocks, of IPv4 and IPv6.

    Args:
        sites: All sites, at most 255.
    """

    def __init__(self, sites: Iterable[Site] = ()) -> None:
        self._sites: list[Site | None] = [None, *sites]
        self._numbers = {
            site.name: number
            for number, site in enumerate(self._sites)
            if site is not None
        }
        self._families = {4: _Stretches(), 6: _Stretches()}
        # Blocks that later, longer ones may still lie in, widest first.
        self._open: list[tuple[Block, int]] = []
        self._next = {4: 0, 6: 0}

    def site_of(self, address: str) -> Site | None:
        """Return the site of an address, or None when it is not known."""
        try:
            version, unit = _unit_of(address)
        except ValueError:
            return None
        return self._sites[self._families[version].find(unit)]

    def add(self, block: Block, site: str) -> None:
        """Add a block; blocks come by ascending address, wider ones first.

        A longer prefix within a block added before takes its place.

        Raises:
            ValueError: if the site is unknown or the order is not kept.
        """
        number = self._number(site)
        while self._open and not _holds(self._open[-1][0], block):
            self._close()
        if block.first < self._next[block.version]:
            raise ValueError("blocks by ascending address, wider ones first")
        if self._open:
            self._fill(self._open[-1], block.first - 1)
        self._open.append((block, number))

    def finish(self) -> None:
        """End the adding; from now on the table answers for all blocks."""
        while self._open:
            self._close()

    def assign(self, block: Block, site: str | None) -> None:
        """Give a block of a finished table to another site, or to none.

        Raises:
            ValueError: if the site is unknown.
        """
        number = UNKNOWN if site is None else self._number(site)
        family = self._families[block.version]
        family.assign(block.first, block.last, number)

    def size_bytes(self) -> int:
        """Return the bytes that the table's arrays take."""
        return sum(one.size_bytes() for one in self._families.values())

    def restore(
        self, version: int, arrays: Sequence["array.array[int]"]
    ) -> None:
        """Take over the arrays of one address family."""
        self._families[version].restore(arrays)

    def header(self) -> Header:
        """Return what `empty_arrays` needs to read this table again."""
        sites = tuple(site for site in self._sites if site is not None)
        counts = tuple(len(one) for one in self.arrays())
        return Header(sys.byteorder, sites, counts)

    def arrays(self) -> list["array.array[int]"]:
        """Return the arrays of a finished table that was never changed."""
        return [
            one
            for version in (4, 6)
            for one in self._families[version].arrays()
        ]

    def _number(self, site: str) -> int:
        try:
            return self._numbers[site]
        except KeyError:
            raise ValueError(f"the name of a site, not {site}") from None

    def _close(self) -> None:
        held = self._open.pop()
        self._fill(held, held[0].last)

    def _fill(self, held: tuple[Block, int], last: int) -> None:
        block, number = held
        first = max(block.first, self._next[block.version])
        if first <= last:
            self._families[block.version].append(first, last, number)
            self._next[block.version] = last + 1


def empty_arrays(header: Header) -> list["array.array[int]"]:
    """Return arrays to read the bytes of a table into, in their order.

    Raises:
        ValueError: if the table is of a machine of another byte order.
    """
    if header.byteorder != sys.byteorder:
        raise ValueError(f"a table built on a {sys.byteorder} endian machine")
    return [array.array(kind) for kind in _KINDS * 2]


def from_arrays(header: Header, arrays: Sequence["array.array[int]"]) -> Table:
    """Return the table whose arrays were read.

    Raises:
        ValueError: if they do not fit each other.
    """
    table = Table(header.sites)
    half = len(_KINDS)
    for version, held in ((4, arrays[:half]), (6, arrays[half:])):
        buckets, offsets, starts, sites = held
        if len(offsets) != len(buckets) + 1 or len(starts) != len(sites):
            raise ValueError("a whole table")
        table.restore(version, held)
    return table


def _holds(outer: Block, inner: Block) -> bool:
    same = outer.version == inner.version
    return same and outer.first <= inner.first and inner.last <= outer.last


def _unit_of(address: str) -> tuple[int, int]:
    """Return the family of an address and its place in the table's units.

    Raises:
        ValueError: if it is no address.
    """
    parts = address.split(".")
    if len(parts) == 4 and address.isascii() and ":" not in address:
        a, b, c, d = map(int, parts)
        if max(a, b, c, d) > 255 or min(a, b, c, d) < 0:
            raise ValueError(address)
        return 4, a << 24 | b << 16 | c << 8 | d
    long = ipaddress.IPv6Address(address)
    if long.ipv4_mapped is not None:
        return 4, int(long.ipv4_mapped)
    return 6, int(long) >> _V6_SHIFT


def parse_block(text: str) -> Block:
    """Return the block of a prefix such as 192.0.2.0/24 or 2001:db8::/32.

    Raises:
        ValueError: if it is none, is finer than the table's units, or spans
            more than 4096 of its buckets.
    """
    address, _, length = text.partition("/")
    version, unit = _unit_of(address)
    bits = _V4_BITS if version == 4 else _V6_BITS
    free = bits - int(length)
    if free < 0:
        raise ValueError(f"a prefix of at most {bits} bits")
    if free > _LOW_BITS and 1 << (free - _LOW_BITS) > _MAX_BUCKETS:
        raise ValueError("a longer prefix, it spans too much of the table")
    if unit & ((1 << free) - 1):
        raise ValueError("a prefix whose host bits are zero")
    return Block(version, unit, unit + (1 << free) - 1)


def parse(lines: Iterable[str], source: str) -> Table:
    """Return the table of a file of client blocks.

    Lines are `site NAME REGION`, then `PREFIX SITE` by ascending address,
    IPv4 before IPv6, a wider prefix before those in it; `#` begins a comment.

    Raises:
        InvalidDocumentError: naming the first line that is wrong.
    """
    sites: list[Site] = []
    table: Table | None = None
    for number, line in enumerate(lines, 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        try:
            if words[0] == "site":
                _, name, region = words
                sites.append(Site(name, region))
                _check_sites(sites, table)
                continue
            table = table or Table(sites)
            prefix, site = words
            table.add(parse_block(prefix), site)
        except ValueError as exc:
            raise _fault(source, number, line, exc) from exc
    table = table or Table(sites)
    table.finish()
    return table


def apply(table: Table, lines: Iterable[str], source: str) -> int:
    """Apply lines `PREFIX SITE`, or `PREFIX -` to forget; return the count.

    Raises:
        InvalidDocumentError: naming the first line that is wrong; those
            before it are in force.
    """
    count = 0
    for number, line in enumerate(lines, 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        try:
            prefix, site = words
            table.assign(parse_block(prefix), None if site == "-" else site)
        except ValueError as exc:
            raise _fault(source, number, line, exc) from exc
        count += 1
    return count


def _check_sites(sites: list[Site], table: Table | None) -> None:
    if table is not None:
        raise ValueError("all sites before the first block")
    if len(sites) > MAX_SITES:
        raise ValueError(f"at most {MAX_SITES} sites")


def _fault(
    source: str, number: int, line: str, exc: ValueError
) -> errors.InvalidDocumentError:
    fault = errors.Fault(
        source, number, "client block", line.strip()[:80], str(exc)
    )
    return errors.InvalidDocumentError([fault])
