"""Limit the rate of requests that all entries together send to one server.

A cold server crashes under a rate that a warm one sustains, and a server in
need names the rate that it accepts. No entry knows how much the others send.
Rendezvous hashing therefore assigns each server's rate to a few entries, each of
which enforces its share with a token bucket. Entries that know the rate and the
same entries send at most what the rate allows plus what the buckets hold; no
message is needed for that.
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
# Requests that the buckets of a limited server hold together, and those that they
# hold in addition for each request a second of its limit. Each sender's bucket
# holds one at least, so the number of senders follows from these.
LIMIT_BURST = 3.0
LIMIT_BURST_PER_RATE = 2.0
# Entries that may send to a server with a limit of 0.
MIN_LIMIT_SENDERS = 2
# Share of an entry in the server's own region, as a multiple of that of others:
# most requests for a server come from its region.
HOME_SHARE_FACTOR = 5.0
# Lowest rate, in requests a second, at which a limited server is used: only its
# answers tell that the limit has ended.
MIN_LIMIT_RATE = 0.2


class Rate(NamedTuple):
    """The rate of requests to one server.

    Attributes:
        per_s: Requests a second from all entries together.
        senders: Number of entries that share them.
        burst: Requests that their token buckets hold together.
    """

    per_s: float
    senders: int
    burst: float


class _Bucket(NamedTuple):
    tokens: float
    at: float


def cold_rate(rate: float) -> Rate:
    """Return the rate of a cold server that sustains `rate` a second.

    An entry that does not know of all others may wrongly count itself among the
    senders, but its share is no larger.
    """
    return Rate(rate * RATE_FACTOR, SENDERS, SENDERS)


def limited_rate(rate: float, entry_count: int) -> Rate:
    """Return the rate of a server that accepts `rate` requests a second.

    Args:
        rate: The limit that the server named.
        entry_count: Number of entries.
    """
    burst = LIMIT_BURST + rate * LIMIT_BURST_PER_RATE
    most_senders = MIN_LIMIT_SENDERS + int(rate * LIMIT_BURST_PER_RATE)
    senders = min(most_senders, max(1, entry_count))
    return Rate(max(rate, MIN_LIMIT_RATE), senders, burst)


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
        self,
        server_id: str,
        rate: Rate,
        entries: Collection[str],
        now: float,
        home_entries: Collection[str] = (),
    ) -> bool:
        """Return whether a request may be sent to a server now.

        Args:
            server_id: The server.
            rate: Its rate.
            entries: Names of the entries that serve callers; the same object
                as long as none of them changes.
            now: Monotonic time in seconds.
            home_entries: Those of them that get larger shares.
        """
        senders = self._draw_senders(server_id, rate, entries, home_entries)
        if self._name not in senders:
            return False
        factors = [_share_factor(name, home_entries) for name in senders]
        # Without all other senders the share is no larger.
        missing = rate.senders - len(senders)
        own_factor = _share_factor(self._name, home_entries)
        share = own_factor / (sum(factors) + missing)
        bucket = self._refilled(server_id, rate, share, now)
        self._buckets[server_id] = bucket
        return bucket.tokens >= 1

    def _draw_senders(
        self,
        server_id: str,
        rate: Rate,
        entries: Collection[str],
        home_entries: Collection[str],
    ) -> tuple[str, ...]:
        if entries is not self._entries:
            self._entries = entries
            self._ranked.clear()
        ranked = self._ranked.get(server_id)
        if ranked is None:
            ranked = affinity.rank_weighted(
                server_id,
                {
                    name: _share_factor(name, home_entries)
                    for name in {*entries, self._name}
                },
            )
            self._ranked[server_id] = ranked
        return ranked[: rate.senders]

    def spend(self, server_id: str) -> None:
        """Take a token for a request that is sent to a server."""
        bucket = self._buckets.get(server_id)
        if bucket is not None:
            self._buckets[server_id] = bucket._replace(tokens=bucket.tokens - 1)

    def _refilled(
        self, server_id: str, rate: Rate, share: float, now: float
    ) -> _Bucket:
        self.start(server_id, now)
        bucket = self._buckets[server_id]
        earned = (now - bucket.at) * rate.per_s * share
        # One request for each sender, and a share of the rest.
        most = 1.0 + (rate.burst - rate.senders) * share
        return _Bucket(min(most, bucket.tokens + earned), now)

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._buckets.keys() - set(server_ids):
            del self._buckets[server_id]


def _share_factor(name: str, home_entries: Collection[str]) -> float:
    return HOME_SHARE_FACTOR if name in home_entries else 1.0
