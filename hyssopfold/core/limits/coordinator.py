"""Limits of organisations, divided by the entry that ranks first.

The coordinator needs no memory beyond the last report of each entry, since a
report covers a whole window: its successor decides as well as it did, once it
has the reports of one period.
"""

from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
import math
from typing import NamedTuple

from hyssopfold.core.limits import limiter
from hyssopfold.core.limits import messages

# Entries keep reports for longer than the window's part between two reports.
REPORT_VALID_S = limiter.ANSWER_VALID_S
# Periods of the present demand that must fit into the allowance of an
# organisation for its requests not to be limited: until the next answer, for
# one that is lost, and for a demand that grows meanwhile.
OPEN_PERIODS = 3.0
# Share of what the window has left that is admitted in a period: reports are up
# to a period old, so the whole would exceed the limit and leave nothing then.
USED_SHARE = 0.6
# Share of the entries whose reports must be known before any answer.
MIN_REPORTED_SHARE = 0.9
# A new coordinator answers after this time even if entries don't report.
MAX_START_S = 1.0
# Time between two searches for organisations that may be near their limits: a
# look at all of them would take most of the time of an answer. The margin
# covers what changes between two searches.
SEARCH_PERIOD_S = 0.1
SEARCH_MARGIN = 2.0


class _Received(NamedTuple):
    """The last report of an entry, and when it came."""

    at: float
    usages: Mapping[int, messages.Usage]
    covered_s: float

    def admitted(self, key: int) -> int:
        """Return the requests of an organisation that were admitted."""
        usage = self.usages.get(key)
        return usage.admitted if usage is not None else 0


class Coordinator:
    """Divides the limits of organisations among the entries that report."""

    def __init__(self) -> None:
        self._limits: Mapping[int, messages.Limit] = {}
        self._reports: dict[str, _Received] = {}
        # Sums over the reports, by key of the organisation.
        self._admitted: Counter[int] = Counter()
        self._asked: Counter[int] = Counter()
        self._covered_s = 0.0
        self._total = 1
        self._entries: Collection[str] = ()
        self._began_at = math.inf
        self._candidates: tuple[int, ...] = ()
        # Last reports of entries that have fallen silent, by name, and those
        # from before a restart. Their requests count for the rest of a window.
        self._silent: dict[str, _Received] = {}
        self._restarted: list[_Received] = []
        self._searched_at = -math.inf

    def set_limits(self, limits: Mapping[int, messages.Limit]) -> None:
        """Replace the limits, by key of the organisation."""
        self._limits = limits

    def receive(
        self,
        sender: str,
        report: messages.UsageReport,
        entries: Collection[str],
        now: float,
    ) -> messages.AllowanceUpdate | None:
        """Return the answer to a report, or None if too little is known.

        Args:
            sender: Name of the reporting entry.
            report: Its report.
            entries: Names of the entries that share the limits.
            now: Time in seconds.
        """
        self._drop_old(now)
        if not self._reports:
            self._began_at = now
        self._forget(sender, report.covered_s)
        usages = {usage.key: usage for usage in report.usages}
        covered_s = min(max(0.0, report.covered_s), limiter.WINDOW_S)
        self._reports[sender] = _Received(now, usages, covered_s)
        self._covered_s += covered_s
        self._add(usages, 1)
        known = len(self._reports)
        self._entries = entries
        self._total = total = max(known, len(entries))
        is_starting = now - self._began_at < MAX_START_S
        if is_starting and known < MIN_REPORTED_SHARE * total:
            return None
        # Entries that don't report may use their own parts, and what entries
        # admitted before they started counts as their parts.
        share = self._covered_s / (total * limiter.WINDOW_S)
        if now - self._searched_at >= SEARCH_PERIOD_S:
            self._searched_at = now
            self._candidates = tuple(
                key
                for key in self._admitted.keys() | self._asked.keys()
                if self._is_near(key, share, SEARCH_MARGIN)
            )
        allowances = tuple(
            self._allowance(key, self._left(key, share), usages)
            for key in self._candidates
            if self._is_near(key, share, 1.0)
        )
        return messages.AllowanceUpdate(report.number, allowances)

    def _is_near(self, key: int, share: float, margin: float) -> bool:
        """Return whether an organisation is near its limit."""
        if key not in self._limits:
            return False
        needed = OPEN_PERIODS * self._expected(key) + 1
        return self._left(key, share) < margin * needed

    def _left(self, key: int, share: float) -> float:
        """Return what the window has left of a share of a limit."""
        limit = self._limits[key]
        budget = limit.rate * limiter.WINDOW_S + limit.burst
        part = budget / self._total
        # The share leaves out the parts of restarted entries, and those of
        # silent ones that still count among the entries.
        beyond_parts = sum(
            max(0.0, received.admitted(key) - part)
            for received in self._restarted
        )
        beyond_parts += sum(
            max(0.0, received.admitted(key) - part * (name in self._entries))
            for name, received in self._silent.items()
        )
        return max(0.0, budget * share - self._admitted[key] - beyond_parts)

    def _expected(self, key: int) -> float:
        """Return the requests of an organisation to expect in a period."""
        usual = self._admitted[key] * limiter.PERIOD_S / limiter.WINDOW_S
        return max(usual, float(self._asked[key]))

    def _drop_old(self, now: float) -> None:
        overdue = [
            name
            for name, received in self._reports.items()
            if now - received.at > REPORT_VALID_S
        ]
        for name in overdue:
            self._silent[name] = self._drop(name)
        begin = now - limiter.WINDOW_S
        self._silent = {
            name: received
            for name, received in self._silent.items()
            if received.at > begin
        }
        self._restarted = [
            received for received in self._restarted if received.at > begin
        ]

    def _forget(self, sender: str, covered_s: float) -> None:
        """Drop the last report of an entry, which a newer one replaces.

        After a restart, the newer one doesn't cover what the last one did.
        """
        last = self._silent.pop(sender, None)
        if sender in self._reports:
            last = self._drop(sender)
        if last is not None and covered_s < last.covered_s:
            self._restarted.append(last)

    def _drop(self, sender: str) -> _Received:
        received = self._reports.pop(sender)
        self._covered_s -= received.covered_s
        self._add(received.usages, -1)
        return received

    def _add(self, usages: Mapping[int, messages.Usage], sign: int) -> None:
        for key, usage in usages.items():
            self._admitted[key] += sign * usage.admitted
            self._asked[key] += sign * usage.asked
            if not self._admitted[key] and not self._asked[key]:
                del self._admitted[key], self._asked[key]

    def _allowance(
        self, key: int, left: float, usages: Mapping[int, messages.Usage]
    ) -> messages.Allowance:
        """Return what an entry with these usages may send until the next."""
        own = usages.get(key)
        own_asked = own.asked if own is not None else 0
        expected = max(1.0, self._expected(key))
        wait_s = limiter.PERIOD_S * max(1.0, expected / (left + 1))
        return messages.Allowance(
            key,
            # Any entry may get the next request.
            max(1.0, left * own_asked / expected),
            min(1.0, USED_SHARE * left / expected),
            min(limiter.WINDOW_S, wait_s),
        )
