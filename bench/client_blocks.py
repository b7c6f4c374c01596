"""Measures the table of client blocks: memory, load and look-up time.

python -m bench.client_blocks --seed 1 --blocks 4200000
"""

import argparse
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

from hyssopfold.core.steering import client_blocks
from hyssopfold.entry import blocks

SITES = 71
REGIONS = 7
IPV6_SHARE = 0.3
_PAGE_BYTES = 4096
_LOOKUPS = 50_000
_CHANGES = 5_000


class Result(NamedTuple):
    """Costs of a table: bytes, CPU seconds, microseconds a call."""

    blocks: int
    array_bytes: int
    resident_bytes: int
    parse_s: float
    load_s: float
    ipv4_us: float
    ipv6_us: float
    change_us: float


def block_lines(count, seed):
    """Yield the lines of a file of `count` client blocks at random sites."""
    rng = random.Random(seed)
    for number in range(SITES):
        yield f"site s{number} r{number % REGIONS}"
    network = 1 << 24
    for _ in range(int(count * (1 - IPV6_SHARE))):
        network += 256 * rng.choice((1, 1, 1, 2))
        groups = [str(network >> shift & 255) for shift in (24, 16, 8, 0)]
        yield f"{'.'.join(groups)}/24 s{rng.randrange(SITES)}"
    network = 0x20010000 << 16
    for _ in range(int(count * IPV6_SHARE)):
        network += rng.choice((1, 1, 2, 5))
        groups = [f"{network >> shift & 0xFFFF:x}" for shift in (32, 16, 0)]
        yield f"{':'.join(groups)}::/48 s{rng.randrange(SITES)}"


def _resident_bytes():
    text = pathlib.Path("/proc/self/statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * _PAGE_BYTES


def _mean_cpu_us(function, items):
    started_at = time.process_time()
    for item in items:
        function(item)
    return (time.process_time() - started_at) / len(items) * 1e6


def measure(count, seed):
    """Build and load a table of `count` blocks; return its costs."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder, "table"))
        source = pathlib.Path(folder, "source")
        with source.open("w", encoding="utf-8") as file:
            file.writelines(f"{line}\n" for line in block_lines(count, seed))
        started_at = time.process_time()
        blocks.build(str(source), path)
        parse_s = time.process_time() - started_at
        resident_before = _resident_bytes()
        started_at = time.process_time()
        table = blocks.load(path)
        load_s = time.process_time() - started_at
        resident_bytes = _resident_bytes() - resident_before
    rng = random.Random(seed)
    ipv4_addresses = [
        f"{rng.randrange(1, 50)}.{rng.randrange(256)}.{rng.randrange(256)}.7"
        for _ in range(_LOOKUPS)
    ]
    ipv6_addresses = [
        f"2001:{rng.randrange(40):x}:{rng.randrange(65536):x}::1"
        for _ in range(_LOOKUPS)
    ]
    ipv4_us, ipv6_us = (
        _mean_cpu_us(table.site_of, ipv4_addresses),
        _mean_cpu_us(table.site_of, ipv6_addresses),
    )
    changes = [
        f"{address.rpartition('.')[0]}.0/24 s1"
        for address in ipv4_addresses[:_CHANGES]
    ]
    change_us = _mean_cpu_us(
        lambda change: client_blocks.apply(table, [change], "x"), changes
    )
    return Result(
        count, table.size_bytes(), resident_bytes, parse_s, load_s,
        ipv4_us, ipv6_us, change_us,
    )  # fmt: skip


def main():
    """Print the costs as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--blocks", type=int, default=4_200_000)
    options = parser.parse_args()
    result = measure(options.blocks, options.seed)
    print("| what | figure |\n| --- | --- |")
    for name, value in result._asdict().items():
        print(f"| {name} | {value:.1f} |")


if __name__ == "__main__":
    main()
