"""Which entries a caller should use, best first."""

from collections.abc import Mapping
from collections.abc import Sequence
import zlib

from hyssopfold.core.membership import messages

MAX_ENTRIES = 4
_FAR_MS = 1_000_000.0


def rank_entries(
    entries: Sequence[messages.Instance],
    region: str,
    delays_ms: Mapping[str, float],
    client: str,
) -> list[messages.Instance]:
    """Return up to `MAX_ENTRIES` entries, nearest region first.

    Entries of one region are ordered by a hash of client and entry, so that
    callers spread evenly and each keeps its entry while it lives.

    Args:
        entries: Entries that may be named.
        region: Region from which the caller asks.
        delays_ms: One-way delay from `region` to each other region.
        client: The caller's address.
    """

    def rank(entry: messages.Instance) -> tuple[float, int]:
        near = entry.region == region
        delay = 0.0 if near else delays_ms.get(entry.region, _FAR_MS)
        return delay, zlib.crc32(f"{client} {entry.name}".encode())

    return sorted(entries, key=rank)[:MAX_ENTRIES]
