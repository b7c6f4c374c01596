"""Counter of the bytes sent to other instances, by purpose and distance."""

import collections
from typing import Literal

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Headers of UDP and IP of one datagram.
_HEADER_BYTES = 28

Distance = Literal["failure-domain", "region", "far", "unknown"]


class TrafficCounter:
    """Counts the bytes of datagrams that one process sends, for its metrics.

    Args:
        myself: This instance.
        instance_directory: Directory of the instances.

    Attributes:
        sent_bytes: Bytes with headers, by purpose and distance.
    """

    def __init__(
        self, myself: messages.Instance, instance_directory: directory.Directory
    ) -> None:
        self._myself = myself
        self._directory = instance_directory
        # Value of the directory's `changes` when _distances was computed.
        self._distances_version = -1
        self._distances: dict[str, Distance] = {}
        self.sent_bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def count(self, address: str, purpose: str, data: bytes) -> None:
        """Count a datagram that is sent.

        Args:
            address: Gossip address of the receiver.
            purpose: What the datagram is sent for.
            data: The datagram without its seal and headers.
        """
        key = (purpose, self._distance(address))
        self.sent_bytes[key] += len(data) + _HEADER_BYTES

    def _distance(self, address: str) -> Distance:
        if self._distances_version != self._directory.instances.changes:
            self._distances_version = self._directory.instances.changes
            self._distances = {
                instance.gossip_address: self._distance_of(instance)
                for instance in self._directory.instances.records()
            }
        return self._distances.get(address, "unknown")

    def _distance_of(self, instance: messages.Instance) -> Distance:
        if instance.region != self._myself.region:
            return "far"
        if instance.failure_domain != self._myself.failure_domain:
            return "region"
        return "failure-domain"
