"""Datagrams of an instance, with its own word and others' as they are held."""

from collections.abc import Sequence

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

# Records in one datagram: compressed, some 1,000 bytes.
MAX_RECORDS = 32


class DatagramBuilder:
    """Make datagrams.

    Args:
        myself: This instance's own word; replaced when it changes.
        member_directory: Directory of the words.
    """

    def __init__(
        self, myself: messages.Instance, member_directory: directory.Directory
    ) -> None:
        self.myself = myself
        self._directory = member_directory

    def empty(self) -> messages.Datagram:
        """Return a datagram that brings the revision alone."""
        return messages.Datagram(self.myself.name, self.myself.revision, (), ())

    def introduction(self) -> messages.Datagram:
        """Return a datagram with this instance's own word."""
        return self.empty()._replace(instances=(self.myself,))

    def datagrams(
        self, keys: Sequence[str], now: float
    ) -> list[messages.Datagram]:
        """Return datagrams with the words of some members, as of now."""
        return [
            self._with_words(keys[at : at + MAX_RECORDS], now)
            for at in range(0, len(keys), MAX_RECORDS)
        ]

    def _with_words(self, keys: Sequence[str], now: float) -> messages.Datagram:
        """Return a datagram with some words, and this instance's own.

        Who has not heard of a server's monitor does not take the server in.
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
