"""Which instances should vote, so that no lost region takes the majority."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from hyssopfold.core.consensus import messages


class VoterSelection:
    """The votes that are held, by region.

    Args:
        members: Those that vote.
        regions: Region of each instance by name, as far as it is known.
        lost: Names of members that are silent: their places are free.
    """

    def __init__(
        self,
        members: Sequence[messages.Member],
        regions: Mapping[str, str],
        lost: Collection[str],
    ) -> None:
        self._regions = regions
        self._held = [one.name for one in members if one.name not in lost]

    def _count(self, region: str) -> int:
        return sum(self._regions.get(name) == region for name in self._held)

    def rejection_reason(
        self, region: str, others: Collection[str], wanted: int
    ) -> str:
        """Return why a newcomer in `region` should not vote, or "".

        Args:
            region: Where the newcomer runs, empty when it is not known.
            others: Regions of all newcomers that could vote.
            wanted: How many members there should be.
        """
        most = wanted // 2
        crowded = bool(region) and self._count(region) >= most
        if crowded and any(self._count(one) < most for one in others if one):
            return f"region {region} holds {most} votes already"
        beyond = 0
        if not crowded:
            # One region's votes beyond its part are better held elsewhere.
            held = {self._regions.get(name, "") for name in self._held}
            beyond = sum(max(0, self._count(one) - most) for one in held if one)
        if len(self._held) - beyond >= wanted:
            return f"{wanted} vote already"
        return ""

    def least_needed(self, me: str) -> str:
        """Return whose vote is missed least: one of the fullest region.

        Never the one that asks: it would have to confirm its own removal.
        """
        others = [name for name in self._held if name != me]
        return max(
            others,
            key=lambda one: (self._count(self._regions.get(one, "")), one),
        )
