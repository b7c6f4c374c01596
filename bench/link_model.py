"""Delay of stock checks on a link that uploads fill, paced and not.

python -m bench.link_model --seed 1
"""

import argparse
import heapq
import random

from hyssopfold.core.steering import link_pacing

LINK_MBIT = 4000
LINK_BYTES_S = LINK_MBIT * 1_000_000 / 8
PART_BYTES = 64 * 1024
WINDOW_BYTES = 1024 * 1024
CHECK_BYTES = 2048
CHECKS_S = 2000
UPLOADS = 60
SECONDS = 4.0


def run(seed, paced, entries=10, lose_entry=False):
    """Return sorted delays of checks in ms and upload throughput in Mbit/s.

    Uploads keep a window of bytes under way each, as TCP does, over one FIFO
    link. `lost` ends one entry midway; its uploads go on at the others, which
    learn of its lost part when its lease has ended (here at once).
    """
    rng = random.Random(seed)
    held = [
        link_pacing.LinkPacer(link_pacing.bulk_rate_bytes_s(LINK_MBIT, entries))
        for _ in range(entries)
    ]
    free_at, delays, moved = 0.0, [], 0
    events = []
    for upload in range(UPLOADS):
        for _ in range(WINDOW_BYTES // PART_BYTES):
            heapq.heappush(events, (rng.random() * 0.01, rng.random(), upload))
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(CHECKS_S)
        heapq.heappush(events, (at, rng.random(), None))
    ready = set()
    while events:
        now, tie, upload = heapq.heappop(events)
        if now > SECONDS:
            break
        size = CHECK_BYTES if upload is None else PART_BYTES
        if paced and (now, tie) not in ready:
            if lose_entry and now > SECONDS / 2 and len(held) == entries:
                _lose_one(held)
            number = rng.randrange(entries) if upload is None else upload
            owner = held[number % len(held)]
            wait = owner.reserve(size, upload is not None, now)
            if wait > 0:
                ready.add((now + wait, tie))
                heapq.heappush(events, (now + wait, tie, upload))
                continue
        ready.discard((now, tie))
        free_at = max(free_at, now) + size / LINK_BYTES_S
        if upload is None:
            delays.append((free_at - now) * 1000)
        else:
            moved += size
            heapq.heappush(events, (free_at, rng.random(), upload))
    return sorted(delays), moved * 8 / SECONDS / 1e6


def _lose_one(held):
    held.pop()
    for link in held:
        link.rate_bytes_s = link_pacing.bulk_rate_bytes_s(LINK_MBIT, len(held))


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("| uploads | check p50 ms | check p99 ms | uploads Mbit/s |")
    print("| --- | --- | --- | --- |")
    for name, paced, lose_entry in (
        ("not paced", False, False),
        ("paced", True, False),
        ("paced, an entry of 10 lost midway", True, True),
    ):
        delays, mbit = run(seed, paced, lose_entry=lose_entry)
        p50, p99 = delays[len(delays) // 2], delays[int(len(delays) * 0.99)]
        print(f"| {name} | {p50:.2f} | {p99:.2f} | {mbit:.0f} |")


if __name__ == "__main__":
    main()
