"""Detection of silent instances in this instance's failure domain."""

import math

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import heartbeats
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import peer_selection

# Periods without a heartbeat, beyond those that gossip within a failure
# domain takes, after which the other instances of the domain suspect one.
SPARE_ROUNDS = 3
# Periods between two calls that show that this process itself was stopped.
STALLED_PERIODS = 3


class FailureDetector:
    """Finds the instances of the own failure domain that are silent.

    The instances of a failure domain receive each other's heartbeats most
    often. An instance that receives no heartbeats at all, or was stopped
    just before, is at fault itself and suspects no other. Used by the gossip
    protocol.

    Args:
        me: Name of this instance.
        period_s: Seconds between two heartbeats of an instance.
        member_directory: Directory of the instances.
        peer_selector: Returns the instances of this failure domain.
        heartbeat_counts: Heartbeats of the instances.
        now: Monotonic seconds of the start.
    """

    def __init__(
        self,
        me: str,
        period_s: float,
        member_directory: directory.Directory,
        peer_selector: peer_selection.PeerSelector,
        heartbeat_counts: heartbeats.Heartbeats,
        now: float,
    ) -> None:
        self._me = me
        self._period_s = period_s
        self._directory = member_directory
        self._peer_selector = peer_selector
        self._heartbeats = heartbeat_counts
        self._detected_at = now
        self._running_since = now

    def detect(self, now: float) -> tuple[messages.Suspicion, ...]:
        """Return the instances to suspect from now on; due each period."""
        if now - self._detected_at > STALLED_PERIODS * self._period_s:
            self._running_since = now
        self._detected_at = now
        names = [instance.name for instance in self._peer_selector.own_domain()]
        rounds = SPARE_ROUNDS + math.log2(len(names) + 2)
        limit_s = self._period_s * rounds
        if now - self._running_since < limit_s:
            return ()
        silent = self._silent(names, limit_s, now)
        if 2 * len(silent) > len(names) and self._is_cut_off(limit_s, now):
            return ()
        return tuple(
            self._heartbeats.suspicion(name)
            for name in silent
            if not self._heartbeats.is_suspected(name)
        )

    def _silent(
        self, names: list[str], limit_s: float, now: float
    ) -> list[str]:
        return [
            name
            for name in names
            if self._heartbeats.silent_s(name, now) > limit_s
        ]

    def _is_cut_off(self, limit_s: float, now: float) -> bool:
        """Return whether most of the other instances seem silent."""
        others = [
            instance.name
            for instance in self._directory.instances.records()
            if instance.name != self._me
        ]
        return 2 * len(self._silent(others, limit_s, now)) > len(others)
