"""Limit the rate of requests that all entries together send to one server.

A cold server crashes under a rate that a warm one sustains, and a server in
need names the rate that it accepts. No entry knows how much the others send.
Rendezvous hashing therefore assigns each server's rate to a few entries, each of
which enforces its equal share with a token bucket. In any time they send at most
what the rate allows plus one request each, whatever messages are lost.
"""

from collections.abc import Collection
from typing import NamedTuple

from hyssopfold.core.balancing import affinity

# Entries that may send to one cold server. With two, one may fail, and their
# token buckets add at most two requests to the rate in any second.
SENDERS = 2
# Share of a cold server's rate that is used. The rest allows for jitter of
# clocks and links, which can move the requests of one second into the next.
RATE_FACTOR = 0.8
# Entries that may send to a server that limits its requests: each adds one
# request to the rate, and a server counts over some seconds.
MIN_LIMIT_SENDERS = 2
LIMIT_SENDERS_PER_RATE = 2.0
# Lowest rate, in requests a second, at which a limited server is used: only its
# answers tell that the limit has ended.
MIN_LIMIT_RATE = 0.2


class Rate(NamedTuple):
    """Requests a second to one server, and how many entries share them."""

    per_s: float
    senders: int


class _Bucket(NamedTuple):
    tokens: float
    at: float


def cold_rate(rate: float) -> Rate:
    """Return the rate of a cold server that sustains `rate` a second.

    An entry that does not know of all others may wrongly count itself among the
    senders, but its share is no larger.
    """
    return Rate(rate * RATE_FACTOR, SENDERS)


def limited_rate(rate: float, entry_count: int) -> Rate:
    """Return the rate of a server that accepts `rate` requests a second.

    Args:
        rate: The limit that the server named.
        entry_count: Number of entries.
    """
    senders = MIN_LIMIT_SENDERS + int(rate * LIMIT_SENDERS_PER_RATE)
    return Rate(max(rate, MIN_LIMIT_RATE), min(senders, max(1, entry_count)))


class ServerAllowance:
    """This entry's share of the rates of servers.

    Used by `local.Chooser` to decide whether a server may get a request.

    Args:
        name: Name of this entry.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._buckets: dict[str, _Bucket] = {}
        # The entries ranked for each server, valid for `_entries`.
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._entries: Collection[str] = ()

    def start(self, server_id: str, now: float) -> None:
        """Start the token bucket of a server whose rate is limited from now on.

        The bucket starts empty: after a restart the process does not know what
        it sent before.
        """
        self._buckets.setdefault(server_id, _Bucket(0.0, now))

    def may_send(
        self, server_id: str, rate: Rate, entries: Collection[str], now: float
    ) -> bool:
        """Return whether a request may be sent to a server now.

        Args:
            server_id: The server.
            rate: Its rate.
            entries: Names of the entries that serve callers; the same object
                as long as none of them changes.
            now: Monotonic time in seconds.
        """
        if self._name not in self._draw_senders(server_id, rate, entries):
            return False
        bucket = self._refilled(server_id, rate.per_s / rate.senders, now)
        self._buckets[server_id] = bucket
        return bucket.tokens >= 1

    def _draw_senders(
        self, server_id: str, rate: Rate, entries: Collection[str]
    ) -> tuple[str, ...]:
        if entries is not self._entries:
            self._entries = entries
            self._ranked.clear()
        ranked = self._ranked.get(server_id)
        if ranked is None:
            names = {*entries, self._name}
            ranked = affinity.rank_unweighted(server_id, names)
            self._ranked[server_id] = ranked
        return ranked[: rate.senders]

    def spend(self, server_id: str) -> None:
        """Take a token for a request that is sent to a server."""
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            self._buckets[server_id] = bucket._replace(tokens=bucket.tokens - 1)

    def _refilled(self, server_id: str, rate: float, now: float) -> _Bucket:
        self.start(server_id, now)
        bucket = self._buckets[server_id]
        tokens = min(1.0, bucket.tokens + (now - bucket.at) * rate)
        return _Bucket(tokens, now)

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._buckets.keys() - set(server_ids):
            del self._buckets[server_id]
