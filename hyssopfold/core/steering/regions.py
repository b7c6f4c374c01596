"""Which regions may serve a request, best first."""

from collections.abc import Iterable
from collections.abc import Mapping

from hyssopfold.core.balancing import messages

_FAR_MS = 1_000_000.0


def nearest_first(
    home: str, known: Iterable[str], delays_ms: Mapping[str, float]
) -> tuple[messages.Region, ...]:
    """Return `home`, then the other regions by their delay from it.

    Args:
        home: Region of the entry that asks.
        known: Regions that have servers.
        delays_ms: One-way delay from `home` to each other region.
    """
    others = sorted(
        set(known) - {home},
        key=lambda name: (delays_ms.get(name, _FAR_MS), name),
    )
    return (
        messages.Region(home, False),
        *(messages.Region(name, True) for name in others),
    )
