"""Pacing of bulk traffic on the links between regions.

Each entry uses an equal part of a link, computed from the number of entries at
its two ends. Entries need no messages for this, and the part of a lost entry
goes to the others when its lease ends. Bulk traffic gets a share of that part.
Interactive traffic never waits; its bytes reduce the rate left for bulk.
"""

BULK_SHARE = 0.8
# Unused capacity of this time before a reservation may be used at once.
BURST_S = 0.02
_BITS = 8
_MEGA = 1_000_000


def bulk_rate_bytes_s(cap_mbit: float, entries: int) -> float:
    """Return the bytes a second of bulk that an entry may send on a link.

    Args:
        cap_mbit: Capacity of the link each way, in Mbit/s.
        entries: Entries at both ends of the link, this one included.
    """
    return cap_mbit * _MEGA / _BITS * BULK_SHARE / max(1, entries)


class LinkPacer:
    """Pacer of this entry's part of the link to one region.

    Args:
        rate_bytes_s: Bytes a second, above 0.
    """

    def __init__(self, rate_bytes_s: float) -> None:
        self.rate_bytes_s = rate_bytes_s
        # Time at which all reserved bytes have been sent at the rate.
        self._drained_at = 0.0

    def reserve(self, size: int, bulk: bool, now: float) -> float:
        """Reserve `size` bytes and return the seconds to wait before sending.

        Args:
            size: Number of bytes.
            bulk: Whether they are bulk, that is, part of a large body.
            now: Monotonic time in seconds.
        """
        starts_at = max(self._drained_at, now - BURST_S)
        # An interactive burst delays bulk by 1 s at most.
        latest_end = starts_at if bulk else max(starts_at, now + 1.0)
        ends_at = starts_at + size / self.rate_bytes_s
        self._drained_at = ends_at if bulk else min(ends_at, latest_end)
        wait_s = max(0.0, starts_at - now) if bulk else 0.0
        assert bulk or not wait_s
        return wait_s
