"""Which instances of this failure domain have fallen silent."""

import math

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import heartbeats
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import peer_selection

# Periods without a sign of life, beyond those that gossip among the members
# of a failure domain takes, after which these suspect one of them.
SPARE_ROUNDS = 3
# Periods between two looks that show that the process itself stood still.
STALLED_PERIODS = 3


class FailureDetector:
    """Find who of the own failure domain is heard no longer.

    Its members hear one another most often. An instance that hears nobody, or
    has just stood still, is at fault itself and suspects no one.

    Args:
        me: Name of this instance.
        period_s: Seconds between two signs of life of an instance.
        member_directory: Directory of the instances.
        peer_selector: Tells who is in this failure domain.
        signs: Signs of life.
        now: Monotonic seconds of the start.
    """

    def __init__(
        self,
        me: str,
        period_s: float,
        member_directory: directory.Directory,
        peer_selector: peer_selection.PeerSelector,
        signs: heartbeats.Heartbeats,
        now: float,
    ) -> None:
        self._me = me
        self._period_s = period_s
        self._directory = member_directory
        self._peer_selector = peer_selector
        self._signs = signs
        self._looked_at = now
        self._well_since = now

    def find(self, now: float) -> tuple[messages.Suspicion, ...]:
        """Return whom to suspect from now on; due each period."""
        if now - self._looked_at > STALLED_PERIODS * self._period_s:
            self._well_since = now
        self._looked_at = now
        mates = [one.name for one in self._peer_selector.own_domain()]
        rounds = SPARE_ROUNDS + math.log2(len(mates) + 2)
        limit_s = self._period_s * rounds
        if now - self._well_since < limit_s:
            return ()
        silent = self._silent(mates, limit_s, now)
        if 2 * len(silent) > len(mates) and self._is_deaf(limit_s, now):
            return ()
        return tuple(
            self._signs.suspicion(name)
            for name in silent
            if not self._signs.is_suspected(name)
        )

    def _silent(
        self, names: list[str], limit_s: float, now: float
    ) -> list[str]:
        return [
            name for name in names if self._signs.silent_s(name, now) > limit_s
        ]

    def _is_deaf(self, limit_s: float, now: float) -> bool:
        """Return whether most of the other instances seem silent."""
        others = [
            one.name
            for one in self._directory.instances.records()
            if one.name != self._me
        ]
        return 2 * len(self._silent(others, limit_s, now)) > len(others)
