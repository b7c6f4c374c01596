"""Compact table that maps client addresses to sites.

A client block is an address prefix. Blocks are stored as non-overlapping
address ranges, of which only the sorted start addresses are kept, in flat
arrays. The upper bits of an address select a bucket, the lower 16 bits a range
in the bucket. A range takes 3 bytes and a bucket 8; a dictionary of prefixes
takes 140 bytes a prefix.
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
_BUCKET_SIZE = 1 << _LOW_BITS
_V4_BITS = 32
_V6_BITS = 48
_V6_SHIFT = 128 - _V6_BITS
_MAX_BUCKETS = 4096
_ARRAY_TYPECODES = ("I", "I", "H", "B")


class Site(NamedTuple):
    """A group of client blocks and the home region of its clients."""

    name: str
    region: str


class Block(NamedTuple):
    """Addresses `first` to `last` of IP version `version`, both included.

    The unit is a single address for IPv4 and a /48 network for IPv6.
    """

    version: int
    first: int
    last: int


class Header(NamedTuple):
    """Metadata of a stored table, needed to read its arrays back.

    `counts` are the lengths of the arrays, those of IPv4 first, then IPv6.
    """

    byteorder: str
    sites: tuple[Site, ...]
    counts: tuple[int, ...]


class _AddressRanges:
    """Address ranges of one IP version, each with the number of its site."""

    def __init__(self) -> None:
        self._buckets = array.array("I")
        self._offsets = array.array("I", (0,))
        self._starts = array.array("H")
        self._sites = array.array("B")
        # Ranges of the buckets that `assign` changed; they replace the arrays.
        self._overrides: dict[int, tuple[array.array[int], bytes]] = {}

    def find(self, unit: int) -> int:
        """Return the number of the site of an address, 0 if it has none."""
        bucket = unit >> _LOW_BITS
        low = unit & (_BUCKET_SIZE - 1)
        if self._overrides and bucket in self._overrides:
            starts, sites = self._overrides[bucket]
            position = bisect.bisect_right(starts, low) - 1
            return sites[position] if position >= 0 else UNKNOWN
        index = bisect.bisect_left(self._buckets, bucket)
        if index == len(self._buckets) or self._buckets[index] != bucket:
            return UNKNOWN
        first = self._offsets[index]
        end = self._offsets[index + 1]
        position = bisect.bisect_right(self._starts, low, first, end) - 1
        return self._sites[position] if position >= first else UNKNOWN

    def append(self, first: int, last: int, site: int) -> None:
        """Add a range above all present ones; a gap before it has no site."""
        while first <= last:
            bucket = first >> _LOW_BITS
            end = min(last, (bucket << _LOW_BITS) + _BUCKET_SIZE - 1)
            self._append_to_bucket(bucket, first & (_BUCKET_SIZE - 1), site)
            next_low = (end & (_BUCKET_SIZE - 1)) + 1
            if next_low < _BUCKET_SIZE:
                self._append_to_bucket(bucket, next_low, UNKNOWN)
            first = end + 1

    def _append_to_bucket(self, bucket: int, low: int, site: int) -> None:
        if not self._buckets or self._buckets[-1] != bucket:
            self._buckets.append(bucket)
            self._offsets.append(len(self._starts))
        elif self._starts[-1] == low:
            # The preceding range ended here; drop its end marker.
            self._starts.pop()
            self._sites.pop()
        is_continued = (
            len(self._starts) > self._offsets[-2] and self._sites[-1] == site
        )
        if not is_continued:
            self._starts.append(low)
            self._sites.append(site)
        self._offsets[-1] = len(self._starts)

    def assign(self, first: int, last: int, site: int) -> None:
        """Set the site of a range; 0 removes its site."""
        while first <= last:
            bucket = first >> _LOW_BITS
            end = min(last, (bucket << _LOW_BITS) + _BUCKET_SIZE - 1)
            self._assign_in_bucket(bucket, first, end, site)
            first = end + 1

    def _assign_in_bucket(
        self, bucket: int, first: int, last: int, site: int
    ) -> None:
        low, high = first & (_BUCKET_SIZE - 1), last & (_BUCKET_SIZE - 1)
        next_site = self.find(last + 1) if high + 1 < _BUCKET_SIZE else UNKNOWN
        starts, sites = self._bucket_ranges(bucket)
        begin = bisect.bisect_left(starts, low)
        end = bisect.bisect_right(starts, high + 1)
        new_starts = starts[:begin]
        new_starts.append(low)
        new_sites = sites[:begin] + bytes((site,))
        if high + 1 < _BUCKET_SIZE:
            new_starts.append(high + 1)
            new_sites += bytes((next_site,))
        new_starts.extend(starts[end:])
        self._overrides[bucket] = (new_starts, new_sites + sites[end:])

    def _bucket_ranges(self, bucket: int) -> tuple["array.array[int]", bytes]:
        if bucket in self._overrides:
            return self._overrides[bucket]
        index = bisect.bisect_left(self._buckets, bucket)
        if index == len(self._buckets) or self._buckets[index] != bucket:
            return array.array("H"), b""
        first, end = self._offsets[index], self._offsets[index + 1]
        return self._starts[first:end], bytes(self._sites[first:end])

    def arrays(self) -> tuple["array.array[int]", ...]:
        """Return the arrays of all ranges, without changes by `assign`."""
        return (self._buckets, self._offsets, self._starts, self._sites)

    def restore(self, arrays: Sequence["array.array[int]"]) -> None:
        """Replace all ranges by arrays that `arrays` returned."""
        self._buckets, self._offsets, self._starts, self._sites = arrays

    def size_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = (self._buckets, self._offsets, self._starts)
        array_bytes = sum(items.itemsize * len(items) for items in arrays)
        override_bytes = sum(
            3 * len(sites) for _, sites in self._overrides.values()
        )
        return array_bytes + len(self._sites) + override_bytes


class Table:
    """Lookup table from client addresses, IPv4 and IPv6, to sites.

    Entries use it to find the home region of a client.

    Args:
        sites: All sites, at most 255.
    """

    def __init__(self, sites: Iterable[Site] = ()) -> None:
        self._sites: list[Site | None] = [None, *sites]
        self._site_numbers = {
            site.name: number
            for number, site in enumerate(self._sites)
            if site is not None
        }
        self._families = {4: _AddressRanges(), 6: _AddressRanges()}
        # Nested blocks, widest first, that may contain blocks added later.
        self._open_blocks: list[tuple[Block, int]] = []
        self._next_unit = {4: 0, 6: 0}

    def site_of(self, address: str) -> Site | None:
        """Return the site of an address, or None if it has none."""
        try:
            version, unit = _parse_address(address)
        except ValueError:
            return None
        return self._sites[self._families[version].find(unit)]

    def add(self, block: Block, site: str) -> None:
        """Add a block; blocks are added by ascending address, wider ones first.

        A longer prefix overrides the wider block that contains it.

        Raises:
            ValueError: if the site is unknown or the block is out of order.
        """
        number = self._site_number(site)
        while self._open_blocks and not _contains(
            self._open_blocks[-1][0], block
        ):
            self._close_block()
        if block.first < self._next_unit[block.version]:
            raise ValueError("blocks by ascending address, wider ones first")
        if self._open_blocks:
            self._append_until(self._open_blocks[-1], block.first - 1)
        self._open_blocks.append((block, number))

    def finish(self) -> None:
        """Complete the table; must be called after the last `add`."""
        while self._open_blocks:
            self._close_block()

    def assign(self, block: Block, site: str | None) -> None:
        """Set the site of a block of a finished table; None removes it.

        Raises:
            ValueError: if the site is unknown.
        """
        number = UNKNOWN if site is None else self._site_number(site)
        family = self._families[block.version]
        family.assign(block.first, block.last, number)

    def size_bytes(self) -> int:
        """Return the size of the table's arrays in bytes."""
        return sum(ranges.size_bytes() for ranges in self._families.values())

    def restore(
        self, version: int, arrays: Sequence["array.array[int]"]
    ) -> None:
        """Replace the ranges of one IP version by stored arrays."""
        self._families[version].restore(arrays)

    def header(self) -> Header:
        """Return the metadata from which `empty_arrays` creates the arrays."""
        sites = tuple(site for site in self._sites if site is not None)
        counts = tuple(len(items) for items in self.arrays())
        return Header(sys.byteorder, sites, counts)

    def arrays(self) -> list["array.array[int]"]:
        """Return the arrays of a finished table, without assigned changes."""
        return [
            items
            for version in (4, 6)
            for items in self._families[version].arrays()
        ]

    def _site_number(self, site: str) -> int:
        try:
            return self._site_numbers[site]
        except KeyError:
            raise ValueError(f"the name of a site, not {site}") from None

    def _close_block(self) -> None:
        numbered_block = self._open_blocks.pop()
        self._append_until(numbered_block, numbered_block[0].last)

    def _append_until(
        self, numbered_block: tuple[Block, int], last: int
    ) -> None:
        block, number = numbered_block
        first = max(block.first, self._next_unit[block.version])
        if first <= last:
            self._families[block.version].append(first, last, number)
            self._next_unit[block.version] = last + 1


def empty_arrays(header: Header) -> list["array.array[int]"]:
    """Return empty arrays, into which the arrays of a stored table are read.

    Raises:
        ValueError: if the table was built on a machine of another byte order.
    """
    if header.byteorder != sys.byteorder:
        raise ValueError(f"a byte order that is not {sys.byteorder} endian")
    return [array.array(typecode) for typecode in _ARRAY_TYPECODES * 2]


def from_arrays(header: Header, arrays: Sequence["array.array[int]"]) -> Table:
    """Return the table that consists of arrays read from a file.

    Raises:
        ValueError: if the lengths of the arrays are inconsistent.
    """
    table = Table(header.sites)
    half = len(_ARRAY_TYPECODES)
    for version, family_arrays in ((4, arrays[:half]), (6, arrays[half:])):
        buckets, offsets, starts, sites = family_arrays
        if len(offsets) != len(buckets) + 1 or len(starts) != len(sites):
            raise ValueError("arrays of inconsistent lengths")
        table.restore(version, family_arrays)
    return table


def _contains(outer: Block, inner: Block) -> bool:
    same = outer.version == inner.version
    return same and outer.first <= inner.first and inner.last <= outer.last


def _parse_address(address: str) -> tuple[int, int]:
    """Return the IP version of an address and the address in table units.

    Raises:
        ValueError: if the text is not an IP address.
    """
    parts = address.split(".")
    if len(parts) == 4 and address.isascii() and ":" not in address:
        a, b, c, d = map(int, parts)
        if max(a, b, c, d) > 255 or min(a, b, c, d) < 0:
            raise ValueError(address)
        return 4, a << 24 | b << 16 | c << 8 | d
    ipv6 = ipaddress.IPv6Address(address)
    if ipv6.ipv4_mapped is not None:
        return 4, int(ipv6.ipv4_mapped)
    return 6, int(ipv6) >> _V6_SHIFT


def parse_block(text: str) -> Block:
    """Return the block of a prefix such as 192.0.2.0/24 or 2001:db8::/32.

    Raises:
        ValueError: if it is not a prefix, is longer than the table's units
            allow, or spans more than 4096 buckets.
    """
    address, _, length = text.partition("/")
    version, unit = _parse_address(address)
    bits = _V4_BITS if version == 4 else _V6_BITS
    host_bits = bits - int(length)
    if host_bits < 0:
        raise ValueError(f"a prefix of at most {bits} bits")
    if host_bits > _LOW_BITS and 1 << (host_bits - _LOW_BITS) > _MAX_BUCKETS:
        raise ValueError("a longer prefix; this one spans too many buckets")
    if unit & ((1 << host_bits) - 1):
        raise ValueError("a prefix whose host bits are zero")
    return Block(version, unit, unit + (1 << host_bits) - 1)


def parse(lines: Iterable[str], source: str) -> Table:
    """Return the table that a text file of client blocks describes.

    The file has lines `site NAME REGION`, then `PREFIX SITE` by ascending
    address, IPv4 before IPv6, a wider prefix before those that it contains;
    `#` begins a comment.

    Raises:
        InvalidDocumentError: naming the first invalid line.
    """
    sites: list[Site] = []
    table: Table | None = None
    for line_number, line in enumerate(lines, 1):
        fields = line.split()
        if not fields or fields[0].startswith("#"):
            continue
        try:
            if fields[0] == "site":
                _, name, region = fields
                sites.append(Site(name, region))
                _check_sites(sites, table)
                continue
            table = table or Table(sites)
            prefix, site = fields
            table.add(parse_block(prefix), site)
        except ValueError as exc:
            raise _document_error(source, line_number, line, exc) from exc
    table = table or Table(sites)
    table.finish()
    return table


def apply(table: Table, lines: Iterable[str], source: str) -> int:
    """Apply lines `PREFIX SITE` or `PREFIX -` (no site); return their count.

    Raises:
        InvalidDocumentError: naming the first invalid line; the lines before
            it have been applied.
    """
    count = 0
    for line_number, line in enumerate(lines, 1):
        fields = line.split()
        if not fields or fields[0].startswith("#"):
            continue
        try:
            prefix, site = fields
            table.assign(parse_block(prefix), None if site == "-" else site)
        except ValueError as exc:
            raise _document_error(source, line_number, line, exc) from exc
        count += 1
    return count


def _check_sites(sites: list[Site], table: Table | None) -> None:
    if table is not None:
        raise ValueError("all sites before the first block")
    if len(sites) > MAX_SITES:
        raise ValueError(f"at most {MAX_SITES} sites")


def _document_error(
    source: str, line_number: int, line: str, exc: ValueError
) -> errors.InvalidDocumentError:
    # The text of the error says what would be allowed.
    fault = errors.Fault(
        source, line_number, "client block", line.strip()[:80], str(exc)
    )
    return errors.InvalidDocumentError([fault])
