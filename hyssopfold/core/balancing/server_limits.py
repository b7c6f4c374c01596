"""Rate limits that backend servers name in their answers.

A limit holds for the requests of all entries together, so an entry tells the
others what its answers named. Few entries may send to a limited server, see
`allowance`; without these reports the others would exceed the limit until an
answer to a request of their own names it.
"""

from collections.abc import Collection
from collections.abc import Iterable
import zlib

from hyssopfold.core.balancing import allowance
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.membership import messages as membership

# A limit that an answer confirms is reported again after this time, for entries
# that have started since or missed a report.
REFRESH_S = 1.0
# A limit that nothing confirms is dropped after one to two times this time,
# drawn for each entry and server: so few entries at a time find out whether it
# still holds.
VALID_S = 15.0
_HASH_RANGE = float(1 << 32)


class ServerLimits:
    """The rate limits of servers, by incarnation key.

    A restarted server has another key, and no limit until it names one.

    Args:
        name: Name of this entry.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        # The newest observation of each server, and its time.
        self._observed: dict[int, tuple[float | None, float]] = {}
        self._reported_at: dict[int, float] = {}
        self._unreported: set[int] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether no server is known to have or to have had a limit."""
        return not self._observed

    def rate(self, key: int, now: float) -> float | None:
        """Return a server's limit in requests a second, None without one.

        Args:
            key: The server's key, see `server_stats.incarnation_key`.
            now: Monotonic time in seconds.
        """
        if key not in self._observed:
            return None
        rate, observed_at = self._observed[key]
        return rate if now - observed_at <= self._valid_s(key) else None

    def _valid_s(self, key: int) -> float:
        digest = zlib.crc32(f"{self._name} {key}".encode())
        return VALID_S * (1 + digest / _HASH_RANGE)

    def record_answer(
        self, key: int, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Record whether an answer to this entry named a limit.

        An answer without one ends a limit only if its request was sent after
        the limit was last observed: it may have been written before the server
        named the limit.

        Args:
            key: Incarnation key of the server.
            rate: The limit that the answer named, in requests a second.
            sent_at: Time at which the request of the answer was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        if rate is None and not self._ends_limit(key, sent_at):
            return False
        is_changed = self._record(key, rate, now, now)
        if is_changed or now - self._reported_at.get(key, now) >= REFRESH_S:
            self._unreported.add(key)
        return is_changed

    def _ends_limit(self, key: int, sent_at: float) -> bool:
        last = self._observed.get(key)
        return last is not None and last[0] is not None and sent_at > last[1]

    def record_reports(
        self, reports: Iterable[messages.ReportedLimit], now: float
    ) -> tuple[messages.ReportedLimit, ...]:
        """Record the limits that another entry reports.

        Args:
            reports: The limits.
            now: Monotonic time in seconds.

        Returns:
            The limits that have changed.
        """
        changed = []
        for report in reports:
            observed_at = now - max(0.0, report.age_s)
            last = self._observed.get(report.key)
            if last is not None and observed_at <= last[1]:
                continue
            if self._record(report.key, report.rate, observed_at, now):
                changed.append(report)
            self._reported_at[report.key] = now
            self._unreported.discard(report.key)
        return tuple(changed)

    def _record(
        self, key: int, rate: float | None, observed_at: float, now: float
    ) -> bool:
        last_rate = self.rate(key, now)
        self._observed[key] = (rate, observed_at)
        return rate != last_rate

    @property
    def has_reports(self) -> bool:
        """Return whether there are limits to report to other entries."""
        return bool(self._unreported)

    def take_reports(self, now: float) -> tuple[messages.ReportedLimit, ...]:
        """Return the limits to report to other entries, each one once."""
        reports = []
        for key in self._unreported:
            rate, observed_at = self._observed[key]
            self._reported_at[key] = now
            reports.append(messages.ReportedLimit(key, rate, now - observed_at))
        self._unreported.clear()
        return tuple(reports)

    def prune(self, now: float) -> None:
        """Drop the observations that are no longer valid."""
        for key, (_, observed_at) in list(self._observed.items()):
            if now - observed_at > self._valid_s(key):
                del self._observed[key]
                self._reported_at.pop(key, None)
                self._unreported.discard(key)


class ServerLimiter:
    """Keeps the limits of servers: what this entry may send to each of them.

    Used by `local.Chooser` and `grantor.Grantor`.

    Args:
        name: Name of this entry.

    Attributes:
        limits: The limits, and what to report of them to other entries.
    """

    def __init__(self, name: str) -> None:
        self.limits = ServerLimits(name)
        self._allowance = allowance.ServerAllowance(name)

    def rate(self, server: membership.Server, now: float) -> float | None:
        """Return a server's limit in requests a second, None without one."""
        if self.limits.is_empty:
            return None
        key = server_stats.incarnation_key(server.server_id, server.incarnation)
        return self.limits.rate(key, now)

    def may_send(
        self,
        server: membership.Server,
        entries: Collection[str],
        now: float,
        home_entries: Collection[str] = (),
    ) -> bool:
        """Return whether the limit of a server allows a request now.

        Args:
            server: The server.
            entries: Names of the entries that serve callers; the same object
                as long as none of them changes.
            now: Monotonic time in seconds.
            home_entries: Those of them in the server's region.
        """
        limit = self.rate(server, now)
        if limit is None:
            return True
        rate = allowance.limited_rate(limit, len(entries))
        return self._allowance.may_send(
            server.server_id, rate, entries, now, home_entries
        )

    def spend(self, server: membership.Server, now: float) -> float | None:
        """Count a request sent to a server; return its limit, None without."""
        limit = self.rate(server, now)
        if limit is not None:
            self._allowance.spend(server.server_id)
        return limit

    def record_result(
        self,
        incarnation: tuple[str, int],
        result: messages.AttemptResult,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record whether the answer to a request named a limit.

        Args:
            incarnation: Id and incarnation of the server.
            result: How the request ended.
            sent_at: Time at which it was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the limit of the server has changed.
        """
        if result.rate_limit is None and self.limits.is_empty:
            return False
        if not result.tells_rate_limit:
            return False
        key = server_stats.incarnation_key(*incarnation)
        return self.limits.record_answer(key, result.rate_limit, sent_at, now)

    def prune(self, server_ids: Collection[str], now: float) -> None:
        """Drop limits that nothing confirms, and servers not in `server_ids`."""
        self.limits.prune(now)
        self._allowance.prune(server_ids)
