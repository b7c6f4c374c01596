"""Select voters so that losing one region never loses the majority."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from hyssopfold.core.consensus import messages


class VoterSelection:
    """The members that are not lost, counted by region.

    Used by `peers.Peers` to add and to remove members.

    Args:
        members: The members of the register.
        regions: Region of each instance by name, where it is known.
        lost: Names of silent members, which can be replaced.
    """

    def __init__(
        self,
        members: Sequence[messages.Member],
        regions: Mapping[str, str],
        lost: Collection[str],
    ) -> None:
        self._regions = regions
        self._voters = [
            member.name for member in members if member.name not in lost
        ]

    def _count(self, region: str) -> int:
        return sum(self._regions.get(name) == region for name in self._voters)

    def rejection_reason(
        self, region: str, others: Collection[str], wanted: int
    ) -> str:
        """Return why a newcomer in `region` should not vote, or "".

        Args:
            region: Region of the newcomer, empty when it is not known.
            others: Regions of all newcomers that could vote.
            wanted: Target number of members.
        """
        max_votes = wanted // 2
        region_is_full = bool(region) and self._count(region) >= max_votes
        if region_is_full and any(
            self._count(other) < max_votes for other in others if other
        ):
            return f"region {region} holds {max_votes} votes already"
        excess = 0
        if not region_is_full:
            # Votes of a region beyond its limit are better moved to another.
            regions = {self._regions.get(name, "") for name in self._voters}
            excess = sum(
                max(0, self._count(other) - max_votes)
                for other in regions
                if other
            )
        if len(self._voters) - excess >= wanted:
            return f"{wanted} instances vote already"
        return ""

    def least_needed(self, me: str) -> str:
        """Return the member to remove, one of the region with the most votes.

        The calling instance `me` is never returned, since it would have to
        confirm its own removal.
        """
        others = [name for name in self._voters if name != me]
        return max(
            others,
            key=lambda name: (self._count(self._regions.get(name, "")), name),
        )
