"""How many requests entries together may send to a cold server.

A cold server crashes under a rate that a warm one bears, and no entry sees
what the others send. So a few entries, drawn by rendezvous hashing, hold the
whole allowance of a server between them, each as a token bucket. In any
second they send at most the rate plus one request each. An entry that does
not know of another one draws itself too often, but takes no larger part.
"""

from collections.abc import Collection
from typing import NamedTuple

from hyssopfold.core.balancing import affinity

# Entries that may send to one cold server: two bear the loss of one, and add
# no more than two requests to a second's allowance.
SENDERS = 2
# What is left of the bound for requests on their way, in clocks' and links'
# jitter, when a burst of one second falls into another.
RATE_FACTOR = 0.8


class _Bucket(NamedTuple):
    tokens: float
    at: float


class Allowance:
    """This entry's part of what cold servers bear.

    Args:
        name: Name of this entry.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._buckets: dict[str, _Bucket] = {}
        # Who holds each server's allowance, for one object of entries.
        self._senders: dict[str, tuple[str, ...]] = {}
        self._senders_of: Collection[str] = ()

    def record_cold(self, server_id: str, now: float) -> None:
        """Count what may go to a server from now on: it is known to be cold.

        A fresh process does not know what it sent before it restarted.
        """
        self._buckets.setdefault(server_id, _Bucket(0.0, now))

    def may_send(
        self, server_id: str, rate: float, entries: Collection[str], now: float
    ) -> bool:
        """Return whether a request may go to a cold server now.

        Args:
            server_id: The server.
            rate: Requests a second that it bears, from all entries.
            entries: Names of the entries that serve callers; the same object
                until one of them changes.
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
        if entries is not self._senders_of:
            self._senders_of = entries
            self._senders.clear()
        senders = self._senders.get(server_id)
        if senders is None:
            names = {*entries, self._name}
            senders = affinity.rank_unweighted(server_id, names)[:SENDERS]
            self._senders[server_id] = senders
        return senders

    def spend(self, server_id: str) -> None:
        """Count a request that goes to a cold server."""
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
