"""Bytes sent to other instances, by what they are for and how far they go."""

import collections
from typing import Literal

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Headers of UDP and IP.
_HEADER_BYTES = 28

Distance = Literal["failure-domain", "region", "far", "unknown"]


class Traffic:
    """Count the datagrams of one process.

    Args:
        myself: This instance.
        known: Directory of the instances.
    """

    def __init__(
        self, myself: messages.Instance, known: directory.Directory
    ) -> None:
        self._myself = myself
        self._known = known
        self._as_of = -1
        self._distances: dict[str, Distance] = {}
        # By purpose and distance.
        self.sent_bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def count(self, address: str, purpose: str, data: bytes) -> None:
        """Take note of a datagram that is sent."""
        key = (purpose, self._distance(address))
        self.sent_bytes[key] += len(data) + _HEADER_BYTES

    def _distance(self, address: str) -> Distance:
        if self._as_of != self._known.instances.changes:
            self._as_of = self._known.instances.changes
            self._distances = {
                one.gossip_address: self._distance_of(one)
                for one in self._known.instances.records()
            }
        return self._distances.get(address, "unknown")

    def _distance_of(self, one: messages.Instance) -> Distance:
        if one.region != self._myself.region:
            return "far"
        if one.failure_domain != self._myself.failure_domain:
            return "region"
        return "failure-domain"
