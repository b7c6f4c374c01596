"""Datagrams of an instance, built from its own record and its directory."""

from collections.abc import Sequence

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Records in one datagram: compressed, about 1,000 bytes.
MAX_RECORDS = 32


class DatagramBuilder:
    """Builds the datagrams of the gossip protocol.

    Args:
        myself: This instance's own record; replaced when it changes.
        member_directory: Directory of the records.
    """

    def __init__(
        self,
        myself: messages.Instance,
        member_directory: directory.Directory,
    ) -> None:
        self.myself = myself
        self._directory = member_directory

    def empty(self) -> messages.Datagram:
        """Return a datagram with this instance's revision alone."""
        return messages.Datagram(self.myself.name, self.myself.revision, (), ())

    def introduction(self) -> messages.Datagram:
        """Return a datagram with this instance's own record."""
        return self.empty()._replace(instances=(self.myself,))

    def datagrams(
        self, keys: Sequence[str], now: float
    ) -> list[messages.Datagram]:
        """Return datagrams with the current records of some members.

        Args:
            keys: Ids of servers and names of instances.
            now: Monotonic time in seconds.
        """
        return [
            self._with_records(keys[start : start + MAX_RECORDS], now)
            for start in range(0, len(keys), MAX_RECORDS)
        ]

    def _with_records(
        self, keys: Sequence[str], now: float
    ) -> messages.Datagram:
        """Return a datagram with some records, and this instance's own.

        The own record is needed since a receiver that does not know a
        server's monitor ignores the server's record.
        """
        instances = [self.myself]
        servers = []
        for key in keys:
            instance = self._directory.instances.get(key)
            server = self._directory.servers.get(key)
            if instance is not None and key != self.myself.name:
                instances.append(instance)
            if server is not None:
                left_s = max(0.0, self._directory.cold_until(key) - now)
                servers.append(server._replace(cold_left_s=left_s))
        return self.empty()._replace(
            instances=tuple(instances), servers=tuple(servers)
        )
