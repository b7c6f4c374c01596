"""Delay of small checks on a link filled by uploads, with and without pacing.

python -m bench.link_model --seed 1
"""

import argparse
import heapq
import random

from hyssopfold.core.steering import link_pacing

LINK_MBIT = 4000
LINK_BYTES_PER_S = LINK_MBIT * 1_000_000 / 8
CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 1024 * 1024
CHECK_BYTES = 2048
CHECKS_PER_S = 2000
UPLOADS = 60
DURATION_S = 4.0


def run(seed, paced, entries=10, lose_entry=False):
    """Simulate a link; return check delays and upload throughput.

    Each upload keeps a window of bytes in flight, as TCP does, over one FIFO
    link.

    Args:
        seed: Seed of the simulation.
        paced: Whether the entries pace their traffic.
        entries: Number of entries that share the link.
        lose_entry: Whether one entry is lost at half time. Its uploads go on
            at the others, which take over its share of the rate at once; real
            entries do so when its lease has ended.

    Returns:
        The sorted delays of checks in ms, and the throughput in Mbit/s.
    """
    rng = random.Random(seed)
    pacers = [
        link_pacing.LinkPacer(link_pacing.bulk_rate_bytes_s(LINK_MBIT, entries))
        for _ in range(entries)
    ]
    link_free_at, delays_ms, uploaded_bytes = 0.0, [], 0
    events = []
    for upload in range(UPLOADS):
        for _ in range(WINDOW_BYTES // CHUNK_BYTES):
            heapq.heappush(events, (rng.random() * 0.01, rng.random(), upload))
    check_at = 0.0
    while check_at < DURATION_S:
        check_at += rng.expovariate(CHECKS_PER_S)
        heapq.heappush(events, (check_at, rng.random(), None))
    admitted = set()
    while events:
        now, tie_breaker, upload = heapq.heappop(events)
        if now > DURATION_S:
            break
        size = CHECK_BYTES if upload is None else CHUNK_BYTES
        if paced and (now, tie_breaker) not in admitted:
            if lose_entry and now > DURATION_S / 2 and len(pacers) == entries:
                _remove_pacer(pacers)
            index = rng.randrange(entries) if upload is None else upload
            pacer = pacers[index % len(pacers)]
            wait_s = pacer.reserve(size, upload is not None, now)
            if wait_s > 0:
                admitted.add((now + wait_s, tie_breaker))
                heapq.heappush(events, (now + wait_s, tie_breaker, upload))
                continue
        admitted.discard((now, tie_breaker))
        link_free_at = max(link_free_at, now) + size / LINK_BYTES_PER_S
        if upload is None:
            delays_ms.append((link_free_at - now) * 1000)
        else:
            uploaded_bytes += size
            heapq.heappush(events, (link_free_at, rng.random(), upload))
    return sorted(delays_ms), uploaded_bytes * 8 / DURATION_S / 1e6


def _remove_pacer(pacers):
    pacers.pop()
    for pacer in pacers:
        pacer.rate_bytes_s = link_pacing.bulk_rate_bytes_s(
            LINK_MBIT, len(pacers)
        )


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
        delays_ms, mbit = run(seed, paced, lose_entry=lose_entry)
        p50, p99 = (
            delays_ms[len(delays_ms) // 2],
            delays_ms[int(len(delays_ms) * 0.99)],
        )
        print(f"| {name} | {p50:.2f} | {p99:.2f} | {mbit:.0f} |")


if __name__ == "__main__":
    main()
