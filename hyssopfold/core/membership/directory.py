"""Directory of members: the newest record of each server and instance."""

from collections.abc import Iterable
import math
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from hyssopfold.core.membership import digests
from hyssopfold.core.membership import messages

MAX_RECORDS = 20_000
# Each announcement of a cold server gives the remaining time of the cold
# period. Within one period, the ends computed from these differ by no more than
# the transmission times do. If the end moves later by more than this, the
# server has become cold again.
_COLD_END_TOLERANCE_S = 0.75

Record = TypeVar("Record", messages.Server, messages.Instance)


class _Lease(NamedTuple, Generic[Record]):
    """A record; `has_left` is set once any record of its incarnation left."""

    record: Record
    expires_at: float
    has_left: bool


class Leases(Generic[Record]):
    """The newest record of each server or instance, until its lease ends.

    Args:
        lease_s: Seconds until a record expires unless a newer one comes.
        hashes: Hashes to update with the records.
    """

    def __init__(self, lease_s: float, hashes: digests.Digests) -> None:
        self._lease_s = lease_s
        self._hashes = hashes
        self._leases: dict[str, _Lease[Record]] = {}
        # Counts changes of the records; a renewal of a lease is none.
        self.changes = 0

    def update(self, key: str, record: Record, now: float) -> bool:
        """Merge a record into the one known; return whether that changed.

        Duplicate and late records are ignored, and new keys beyond
        `MAX_RECORDS`. `leaving` is final for an incarnation, whatever the order
        of the records: one that left is never `ready` again, and a late
        `leaving` marks a newer `ready` record, which another instance may have
        received after the member left.
        """
        lease = self._leases.get(key)
        if lease is None and len(self._leases) >= MAX_RECORDS:
            return False
        expires_at = now + self._lease_s
        if lease is not None and not _is_newer(record, lease.record):
            if record.incarnation != lease.record.incarnation:
                return False
            if record.state != "leaving" or lease.has_left:
                return False
            record = lease.record
            expires_at = max(expires_at, lease.expires_at)
            has_left = True
        else:
            has_left = record.state == "leaving" or _has_left(lease, record)
        if has_left and record.state != "gone":
            record = record._replace(state="leaving")
        self._leases[key] = _Lease(record, expires_at, has_left)
        if lease is not None and record == lease.record:
            return False
        if record.state == "gone":
            self._hashes.put_tombstone(key)
        else:
            version = (record.incarnation, record.sequence, record.state)
            self._hashes.put(key, version)
        self.changes += 1
        return True

    def renew(self, key: str, now: float, lease_s: float) -> None:
        """Extend the lease of `key` to at least `lease_s` seconds from now."""
        lease = self._leases.get(key)
        if lease is not None and lease.expires_at < now + lease_s:
            self._leases[key] = lease._replace(expires_at=now + lease_s)

    def expire(self, now: float) -> list[Record]:
        """Drop and return the records whose lease has ended."""
        expired = [
            key
            for key, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        self.changes += len(expired)
        for key in expired:
            self._hashes.drop(key)
        return [self._leases.pop(key).record for key in expired]

    def records(self) -> Iterable[Record]:
        """Return all records."""
        return [lease.record for lease in self._leases.values()]

    def left(self) -> tuple[Record, ...]:
        """Return the records whose incarnation has left."""
        return tuple(
            lease.record for lease in self._leases.values() if lease.has_left
        )

    @property
    def size(self) -> int:
        """Return the number of records."""
        return len(self._leases)

    def get(self, key: str) -> Record | None:
        """Return the record of `key`, None if there is none."""
        lease = self._leases.get(key)
        return lease.record if lease is not None else None

    def left_s(self, key: str, now: float) -> float:
        """Return the seconds left of the lease of `key`, 0 without one."""
        lease = self._leases.get(key)
        return lease.expires_at - now if lease is not None else 0.0

    def age_s(self, key: str, now: float) -> float:
        """Return the seconds since the record of `key` came or was renewed.

        Infinite when there is none.
        """
        lease = self._leases.get(key)
        return now - (lease.expires_at - self._lease_s) if lease else math.inf


def _is_newer(
    record: messages.Server | messages.Instance,
    other: messages.Server | messages.Instance,
) -> bool:
    # The monitor sets `gone` under the last sequence number that it received.
    version = (record.incarnation, record.sequence, record.state == "gone")
    return version > (other.incarnation, other.sequence, other.state == "gone")


def _has_left(lease: _Lease[Record] | None, record: Record) -> bool:
    """Return whether the incarnation of `record` is known to have left."""
    if lease is None or not lease.has_left:
        return False
    return lease.record.incarnation == record.incarnation


class Directory:
    """All servers and instances that this process knows of.

    Kept by the gossip protocol; routing, placement and look-ups read it.

    Args:
        lease_s: Seconds after which a silent server or instance is dropped.
    """

    def __init__(self, lease_s: float) -> None:
        self.digests = digests.Digests()
        self.servers: Leases[messages.Server] = Leases(lease_s, self.digests)
        self._cold_until: dict[str, float] = {}
        self.instances: Leases[messages.Instance] = Leases(
            lease_s, self.digests
        )
        # Read with each request, so computed once a change of the records.
        self._pools: dict[str, tuple[messages.Server, ...]] = {}
        self._pools_version = -1
        self._entries: tuple[messages.Instance, ...] = ()
        self._entries_version = -1

    def merge(
        self, datagram: messages.Datagram, now: float
    ) -> tuple[messages.Server, ...]:
        """Store the records of a datagram; return the servers that changed."""
        for instance in datagram.instances:
            self.instances.update(instance.name, instance, now)
        return tuple(
            server
            for server in datagram.servers
            if self.servers.update(server.server_id, server, now)
        )

    def record_cold(self, server: messages.Server, now: float) -> bool:
        """Record how long a server stays cold.

        Returns:
            Whether the server has become cold, or cold again.
        """
        until = now + server.cold_left_s if server.cold_left_s > 0 else 0.0
        became_cold = (
            until
            > self._cold_until.get(server.server_id, 0.0)
            + _COLD_END_TOLERANCE_S
        )
        if became_cold or not until:
            self._cold_until[server.server_id] = until
        return became_cold

    def cold_until(self, server_id: str) -> float:
        """Return when a server ceases to be cold; 0 if it is not cold.

        The time is in monotonic seconds, from the server's announcement.
        """
        return self._cold_until.get(server_id, 0.0)

    def is_cold(self, server_id: str, now: float) -> bool:
        """Return whether a server is cold, by its announcements."""
        return self.cold_until(server_id) > now

    def expire(self, now: float) -> list[messages.Server | messages.Instance]:
        """Drop and return all records whose lease has ended."""
        expired = self.servers.expire(now)
        for server in expired:
            self._cold_until.pop(server.server_id, None)
        return [*expired, *self.instances.expire(now)]

    def ready_servers(self, pool: str) -> tuple[messages.Server, ...]:
        """Return the servers of `pool` that may get new work.

        The same object until a server changes.
        """
        if self._pools_version != self.servers.changes:
            self._pools_version = self.servers.changes
            self._pools = _by_pool(self.servers.records())
        return self._pools.get(pool, ())

    def is_ready(self, server: messages.Server) -> bool:
        """Return whether a server chosen before may still get new work."""
        record = self.servers.get(server.server_id)
        if record is None or record.state != "ready":
            return False
        return record.incarnation == server.incarnation

    def ready_entries(self) -> tuple[messages.Instance, ...]:
        """Return the entries that callers may be sent to.

        The same object until an instance changes.
        """
        if self._entries_version != self.instances.changes:
            self._entries_version = self.instances.changes
            self._entries = tuple(
                instance
                for instance in self.instances.records()
                if instance.role == "entry" and instance.state == "ready"
            )
        return self._entries


def _by_pool(
    servers: Iterable[messages.Server],
) -> dict[str, tuple[messages.Server, ...]]:
    by_pool: dict[str, list[messages.Server]] = {}
    for server in servers:
        if server.state == "ready":
            by_pool.setdefault(server.pool, []).append(server)
    return {pool: tuple(members) for pool, members in by_pool.items()}
