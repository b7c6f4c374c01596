"""Memory, load and look-up time of the table of client blocks at full size.

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
_PAGE = 4096
_ASKED = 50_000
_CHANGES = 5_000


class Result(NamedTuple):
    """Costs of a table: bytes, seconds of CPU, microseconds for each."""

    blocks: int
    array_bytes: int
    resident_bytes: int
    parse_s: float
    load_s: float
    ipv4_us: float
    ipv6_us: float
    change_us: float


def block_lines(count, seed):
    """Yield a file of `count` client blocks at random sites."""
    rng = random.Random(seed)
    for number in range(SITES):
        yield f"site s{number} r{number % REGIONS}"
    unit = 1 << 24
    for _ in range(int(count * (1 - IPV6_SHARE))):
        unit += 256 * rng.choice((1, 1, 1, 2))
        parts = [str(unit >> shift & 255) for shift in (24, 16, 8, 0)]
        yield f"{'.'.join(parts)}/24 s{rng.randrange(SITES)}"
    unit = 0x20010000 << 16
    for _ in range(int(count * IPV6_SHARE)):
        unit += rng.choice((1, 1, 2, 5))
        parts = [f"{unit >> shift & 0xFFFF:x}" for shift in (32, 16, 0)]
        yield f"{':'.join(parts)}::/48 s{rng.randrange(SITES)}"


def _resident():
    text = pathlib.Path("/proc/self/statm").read_text(encoding="utf-8")
    return int(text.split()[1]) * _PAGE


def _each_us(call, items):
    began = time.process_time()
    for item in items:
        call(item)
    return (time.process_time() - began) / len(items) * 1e6


def measure(count, seed):
    """Return what a table of `count` blocks costs."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(pathlib.Path(folder, "table"))
        source = pathlib.Path(folder, "source")
        with source.open("w", encoding="utf-8") as file:
            file.writelines(f"{line}\n" for line in block_lines(count, seed))
        began = time.process_time()
        blocks.build(str(source), path)
        parse_s = time.process_time() - began
        before = _resident()
        began = time.process_time()
        table = blocks.load(path)
        load_s = time.process_time() - began
        resident = _resident() - before
    rng = random.Random(seed)
    v4 = [
        f"{rng.randrange(1, 50)}.{rng.randrange(256)}.{rng.randrange(256)}.7"
        for _ in range(_ASKED)
    ]
    v6 = [
        f"2001:{rng.randrange(40):x}:{rng.randrange(65536):x}::1"
        for _ in range(_ASKED)
    ]
    v4_us, v6_us = _each_us(table.site_of, v4), _each_us(table.site_of, v6)
    changes = [f"{one.rpartition('.')[0]}.0/24 s1" for one in v4[:_CHANGES]]
    change_us = _each_us(
        lambda one: client_blocks.apply(table, [one], "x"), changes
    )
    return Result(
        count, table.size_bytes(), resident, parse_s, load_s, v4_us, v6_us,
        change_us,
    )  # fmt: skip


def main():
    """Print the table."""
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
