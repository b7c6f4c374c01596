"""Limit the rate of requests that all entries together send to a cold server.

A cold server crashes under a rate that a warm one sustains, and no entry knows
how much the others send. Rendezvous hashing therefore assigns each server's
rate to a fixed number of entries, each of which enforces its equal share with a
token bucket. In any second they send at most the rate plus one request each.
An entry that does not know of all others may wrongly count itself among the
senders, but its share is no larger.
"""

from collections.abc import Collection
from typing import NamedTuple

from hyssopfold.core.balancing import affinity

# Entries that may send to one cold server. With two, one may fail, and their
# token buckets add at most two requests to the rate in any second.
SENDERS = 2
# Share of the rate that is used. The rest allows for jitter of clocks and
# links, which can move the requests of one second into the next.
RATE_FACTOR = 0.8


class _Bucket(NamedTuple):
    tokens: float
    at: float


class ColdServerAllowance:
    """This entry's share of the rate that cold servers sustain.

    Used by `local.Chooser` to decide whether a cold server may get a request.

    Args:
        name: Name of this entry.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._buckets: dict[str, _Bucket] = {}
        # The entries that may send to each server, valid for `_entries`.
        self._senders: dict[str, tuple[str, ...]] = {}
        self._entries: Collection[str] = ()

    def record_cold(self, server_id: str, now: float) -> None:
        """Start the token bucket of a server that is known to be cold.

        The bucket starts empty: after a restart the process does not know what
        it sent before.
        """
        self._buckets.setdefault(server_id, _Bucket(0.0, now))

    def may_send(
        self, server_id: str, rate: float, entries: Collection[str], now: float
    ) -> bool:
        """Return whether a request may be sent to a cold server now.

        Args:
            server_id: The server.
            rate: Requests a second that it sustains from all entries together.
            entries: Names of the entries that serve callers; the same object
                as long as none of them changes.
            now: Monotonic time in seconds.
        """
        senders = self._draw_senders(server_id, entries)
        if self._name not in senders:
            return False
        bucket = self._refilled(server_id, rate * RATE_FACTOR / SENDERS, now)
        self._buckets[server_id] = bucket
        return bucket.tokens >= 1

    def _draw_senders(
        self, server_id: str, entries: Collection[str]
    ) -> tuple[str, ...]:
        if entries is not self._entries:
            self._entries = entries
            self._senders.clear()
        senders = self._senders.get(server_id)
        if senders is None:
            names = {*entries, self._name}
            senders = affinity.rank_unweighted(server_id, names)[:SENDERS]
            self._senders[server_id] = senders
        return senders

    def spend(self, server_id: str) -> None:
        """Take a token for a request that is sent to a cold server."""
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            self._buckets[server_id] = bucket._replace(tokens=bucket.tokens - 1)

    def _refilled(self, server_id: str, rate: float, now: float) -> _Bucket:
        self.record_cold(server_id, now)
        bucket = self._buckets[server_id]
        tokens = min(1.0, bucket.tokens + (now - bucket.at) * rate)
        return _Bucket(tokens, now)

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._buckets.keys() - set(server_ids):
            del self._buckets[server_id]
