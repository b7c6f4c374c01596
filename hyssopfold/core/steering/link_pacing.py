"""Pacing of bytes on the links between regions: what is bulk waits its turn.

Each entry holds an equal part of a link, by the number of entries at its two
ends, so that no message is needed and the part of one that is lost goes to
the others when its lease ends. Bulk gets a share of that part; what is
interactive never waits, and what it uses is taken off the bulk's room.
"""

BULK_SHARE = 0.8
BURST_S = 0.02
_BITS = 8
_MEGA = 1_000_000


def bulk_rate_bytes_s(cap_mbit: float, entries: int) -> float:
    """Return the bytes a second that one entry's bulk may put on a link.

    Args:
        cap_mbit: Capacity of the link each way, in Mbit/s.
        entries: Entries at both ends of the link, this one included.
    """
    return cap_mbit * _MEGA / _BITS * BULK_SHARE / max(1, entries)


class LinkPacer:
    """This entry's part of the link to one region.

    Args:
        rate_bytes_s: Bytes a second, above 0.
    """

    def __init__(self, rate_bytes_s: float) -> None:
        self.rate_bytes_s = rate_bytes_s
        # When all that was let through will have passed at the rate.
        self._passed_at = 0.0

    def reserve(self, size: int, bulk: bool, now: float) -> float:
        """Return the seconds to wait until `size` bytes may pass.

        Args:
            size: Bytes.
            bulk: Whether they belong to a large body.
            now: Monotonic time in seconds.
        """
        begins = max(self._passed_at, now - BURST_S)
        # An interactive burst must not bar bulk for longer than a second.
        most = begins if bulk else max(begins, now + 1.0)
        ends = begins + size / self.rate_bytes_s
        self._passed_at = ends if bulk else min(ends, most)
        wait_s = max(0.0, begins - now) if bulk else 0.0
        assert bulk or not wait_s
        return wait_s
