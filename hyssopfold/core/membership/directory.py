"""Who is there: the newest word of each server and instance, under leases."""

from collections.abc import Iterable
import math
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from hyssopfold.core.membership import digests
from hyssopfold.core.membership import messages

MAX_RECORDS = 20_000
# Two words of one cold spell tell its end no further apart than they were on
# their way; later by more, the server has become cold again.
_SAME_S = 0.75

Record = TypeVar("Record", messages.Server, messages.Instance)


class _Held(NamedTuple, Generic[Record]):
    word: Record
    expires: float


class Leases(Generic[Record]):
    """Keep the newest word of each member until its lease ends.

    Args:
        lease_s: Seconds that a word holds without a newer one.
        hashed: Hashes to keep current with the words.
    """

    def __init__(self, lease_s: float, hashed: digests.Digests) -> None:
        self._lease_s = lease_s
        self._hashed = hashed
        self._held: dict[str, _Held[Record]] = {}
        # Grows with each change of the words; a renewal is none.
        self.changes = 0

    def update(self, key: str, word: Record, now: float) -> bool:
        """Take a word in; return whether it was newer than what is held.

        Doubled and late words are ignored, and `leaving` is final for an
        incarnation: a crossed `ready` that was sent before it arrives late
        and must not bring the server back.
        """
        held = self._held.get(key)
        if held is not None and not _is_newer(word, held.word):
            return False
        if held is None and len(self._held) >= MAX_RECORDS:
            return False
        if _left(held, word):
            word = word._replace(state="leaving")
        self._held[key] = _Held(word, now + self._lease_s)
        if word.state == "gone":
            self._hashed.put_tombstone(key)
        else:
            version = (word.incarnation, word.sequence, word.state)
            self._hashed.put(key, version)
        self.changes += 1
        return True

    def renew(self, key: str, now: float, lease_s: float) -> None:
        """Let the word of `key` hold for at least `lease_s` more seconds."""
        held = self._held.get(key)
        if held is not None and held.expires < now + lease_s:
            self._held[key] = held._replace(expires=now + lease_s)

    def expire(self, now: float) -> list[Record]:
        """Drop and return the words whose lease has ended."""
        ended = [key for key, held in self._held.items() if held.expires <= now]
        self.changes += len(ended)
        for key in ended:
            self._hashed.drop(key)
        return [self._held.pop(key).word for key in ended]

    def records(self) -> Iterable[Record]:
        """Return all words that are held."""
        return [held.word for held in self._held.values()]

    @property
    def size(self) -> int:
        """Return how many words are held."""
        return len(self._held)

    def get(self, key: str) -> Record | None:
        """Return the word of `key`."""
        held = self._held.get(key)
        return held.word if held is not None else None

    def left_s(self, key: str, now: float) -> float:
        """Return the seconds that the word of `key` still holds, 0 if none."""
        held = self._held.get(key)
        return held.expires - now if held is not None else 0.0

    def age_s(self, key: str, now: float) -> float:
        """Return the seconds since the word of `key` came, or was renewed.

        Infinite when there is none.
        """
        held = self._held.get(key)
        return now - (held.expires - self._lease_s) if held else math.inf


def _is_newer(
    word: messages.Server | messages.Instance,
    held: messages.Server | messages.Instance,
) -> bool:
    # `gone` comes from the monitor, under the last number that it heard.
    mine = (word.incarnation, word.sequence, word.state == "gone")
    return mine > (held.incarnation, held.sequence, held.state == "gone")


def _left(held: _Held[Record] | None, word: Record) -> bool:
    if held is None or held.word.state != "leaving":
        return False
    if word.state == "gone":
        return False
    return held.word.incarnation == word.incarnation


class Directory:
    """All servers and instances that this process knows of.

    Args:
        lease_s: Seconds after which a silent one is taken for gone.
    """

    def __init__(self, lease_s: float) -> None:
        self.digests = digests.Digests()
        self.servers: Leases[messages.Server] = Leases(lease_s, self.digests)
        self._cold_until: dict[str, float] = {}
        self.instances: Leases[messages.Instance] = Leases(
            lease_s, self.digests
        )
        # Asked for with each request: sorted out once a change, not each time.
        self._pools: dict[str, tuple[messages.Server, ...]] = {}
        self._pools_of = -1
        self._entries: tuple[messages.Instance, ...] = ()
        self._entries_of = -1

    def merge(
        self, datagram: messages.Datagram, now: float
    ) -> tuple[messages.Server, ...]:
        """Take in what another process told; return the servers' news."""
        for instance in datagram.instances:
            self.instances.update(instance.name, instance, now)
        return tuple(
            server
            for server in datagram.servers
            if self.servers.update(server.server_id, server, now)
        )

    def record_cold(self, server: messages.Server, now: float) -> bool:
        """Take in how long a server stays cold; return whether it is news."""
        until = now + server.cold_left_s if server.cold_left_s > 0 else 0.0
        news = until > self._cold_until.get(server.server_id, 0.0) + _SAME_S
        if news or not until:
            self._cold_until[server.server_id] = until
        return news

    def cold_until(self, server_id: str) -> float:
        """Return until when a server says that it is cold; 0 if it does not."""
        return self._cold_until.get(server_id, 0.0)

    def is_cold(self, server_id: str, now: float) -> bool:
        """Return whether a server says that it is cold."""
        return self.cold_until(server_id) > now

    def expire(self, now: float) -> list[messages.Server | messages.Instance]:
        """Drop and return all whose lease has ended."""
        ended = self.servers.expire(now)
        for server in ended:
            self._cold_until.pop(server.server_id, None)
        return [*ended, *self.instances.expire(now)]

    def ready_servers(self, pool: str) -> tuple[messages.Server, ...]:
        """Return the servers of `pool` that may get new work.

        The same object until a server changes.
        """
        if self._pools_of != self.servers.changes:
            self._pools_of = self.servers.changes
            self._pools = _by_pool(self.servers.records())
        return self._pools.get(pool, ())

    def ready_entries(self) -> tuple[messages.Instance, ...]:
        """Return the entries that callers may be sent to.

        The same object until an instance changes.
        """
        if self._entries_of != self.instances.changes:
            self._entries_of = self.instances.changes
            self._entries = tuple(
                instance
                for instance in self.instances.records()
                if instance.role == "entry" and instance.state == "ready"
            )
        return self._entries


def _by_pool(
    servers: Iterable[messages.Server],
) -> dict[str, tuple[messages.Server, ...]]:
    found: dict[str, list[messages.Server]] = {}
    for server in servers:
        if server.state == "ready":
            found.setdefault(server.pool, []).append(server)
    return {pool: tuple(held) for pool, held in found.items()}
