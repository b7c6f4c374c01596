"""Admission of requests at one entry within the limits of organisations.

The entry counts the requests of each organisation and reports them to the
coordinator, which answers for which organisations the limit is near, and how
many requests this entry may send of those. Requests never wait for an answer.
An entry without a recent answer admits only its own part of each limit.
"""

import collections
from collections.abc import Mapping
import hashlib
import math

from hyssopfold.core.limits import messages

# The limit holds for the requests sent in any time of this length, in seconds.
WINDOW_S = 5.0
# Time between two reports. Shorter periods make the bound tighter, since less
# is sent between a report and its answer.
PERIOD_S = 0.5
# Age up to which an answer counts: two in a row may be lost.
ANSWER_VALID_S = 4 * PERIOD_S
# An entry that is cut off for longer than a lease is no longer counted by the
# others, which use its part: then it may only use what the limit tolerates.
CUT_OFF_AFTER_S = 4.0
CUT_OFF_SHARE = 0.03
# Number of the last reports whose answers are applied.
_KEPT_REPORTS = 8
_HASH_RANGE = float(1 << 32)


class _Usage:
    """Requests of one organisation at this entry."""

    def __init__(self) -> None:
        # Times at which requests were admitted, the oldest first.
        self.admitted: collections.deque[float] = collections.deque()
        self.asked = 0
        # Requests that may still be admitted; None if not limited now.
        self.left: float | None = None
        # Share of the requests that is admitted while some are left.
        self.share = 1.0
        self.wait_s = PERIOD_S
        self.filled_at = -math.inf

    def drop_old(self, now: float) -> None:
        """Forget the requests that are older than a window."""
        while self.admitted and self.admitted[0] <= now - WINDOW_S:
            self.admitted.popleft()


class Limiter:
    """Counts and admits the requests of this entry.

    All times are seconds of a clock that also runs while the machine is
    suspended: an answer from before a suspension must not count after it.

    Args:
        now: Time of the start.
    """

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._limits: Mapping[int, messages.Limit] = {}
        self._usages: dict[int, _Usage] = {}
        self._report_number = 0
        self._reported_at: dict[int, float] = {}
        self._answered_at = -math.inf
        self._entries = 1

    @property
    def has_limits(self) -> bool:
        """Return whether any organisation has a limit."""
        return bool(self._limits)

    def set_limits(self, limits: Mapping[int, messages.Limit]) -> None:
        """Replace the limits, by key of the organisation."""
        self._limits = limits
        self._usages = {
            key: usage for key, usage in self._usages.items() if key in limits
        }

    def set_entries(self, count: int, now: float) -> None:
        """Set the number of entries that share the limits.

        Without recent answers it only grows: an entry that is cut off sees
        others disappear, which still use their parts.
        """
        is_answered = now - self._answered_at <= ANSWER_VALID_S
        self._entries = max(1 if is_answered else self._entries, count)

    def admit(self, key: int, request_id: str, now: float) -> float:
        """Count a request and decide whether it may be sent.

        Args:
            key: Key of its organisation.
            request_id: ID of the request; its hash draws when the allowance is
                a fraction of a request.
            now: Time in seconds.

        Returns:
            0 if it may be sent, else the seconds until it may be.
        """
        limit = self._limits.get(key)
        if limit is None:
            return 0.0
        usage = self._usages.setdefault(key, _Usage())
        usage.asked += 1
        if now - self._answered_at > ANSWER_VALID_S:
            self._refill_alone(usage, limit, now)
        if usage.left is not None:
            if _draw(request_id) >= min(usage.left, usage.share):
                return usage.wait_s
            usage.left = max(0.0, usage.left - 1.0)
        usage.admitted.append(now)
        return 0.0

    def count_retry(self, key: int, now: float) -> None:
        """Count a request that is sent to a further server."""
        usage = self._usages.get(key)
        if usage is None:
            return
        usage.admitted.append(now)
        if usage.left is not None:
            usage.left = max(0.0, usage.left - 1.0)

    def give_back(self, key: int) -> None:
        """Return the part of a request that was admitted and did not run."""
        usage = self._usages.get(key)
        if usage is None or not usage.admitted:
            return
        usage.admitted.pop()
        if usage.left is not None:
            usage.left += 1.0

    def _refill_alone(
        self, usage: _Usage, limit: messages.Limit, now: float
    ) -> None:
        """Grant this entry's part of the limit, for the time since the last.

        At most the part of a whole window accumulates.
        """
        usage.share = 1.0
        share = 1.0 / self._entries
        if now - self._answered_at > CUT_OFF_AFTER_S:
            share *= CUT_OFF_SHARE
        window_part = (limit.rate * WINDOW_S + limit.burst) * share
        if usage.left is None or usage.filled_at == -math.inf:
            usage.drop_old(now)
            covered_part = window_part * self._covered_s(now) / WINDOW_S
            usage.left = max(0.0, covered_part - len(usage.admitted))
        else:
            elapsed_s = max(0.0, now - usage.filled_at)
            refill = window_part * elapsed_s / WINDOW_S
            usage.left = min(window_part, usage.left + refill)
        usage.filled_at = now
        usage.wait_s = PERIOD_S

    def report(self, now: float) -> messages.UsageReport:
        """Return the report of this period, and begin the next period."""
        usages = []
        for key, usage in list(self._usages.items()):
            usage.drop_old(now)
            if usage.admitted or usage.asked:
                usages.append(
                    messages.Usage(key, len(usage.admitted), usage.asked)
                )
            elif usage.left is None:
                # One that is limited stays so until the next answer.
                del self._usages[key]
            usage.asked = 0
        self._report_number += 1
        self._reported_at[self._report_number] = now
        self._reported_at.pop(self._report_number - _KEPT_REPORTS, None)
        return messages.UsageReport(
            self._report_number, tuple(usages), self._covered_s(now)
        )

    def _covered_s(self, now: float) -> float:
        """Return the part of the last window since the start, in seconds."""
        return min(WINDOW_S, now - self._started_at)

    def apply(self, update: messages.AllowanceUpdate, now: float) -> None:
        """Apply the coordinator's answer to a report.

        What was admitted since the report is taken off, since the answer
        doesn't know of it.
        """
        reported_at = self._reported_at.get(update.number)
        if reported_at is None or reported_at <= self._answered_at:
            return
        self._answered_at = reported_at
        for usage in self._usages.values():
            usage.left = None
            usage.share = 1.0
            usage.filled_at = -math.inf
        for allowance in update.allowances:
            usage = self._usages.setdefault(allowance.key, _Usage())
            sent_since = sum(at > reported_at for at in usage.admitted)
            usage.left = max(0.0, allowance.requests - sent_since)
            usage.share = allowance.share
            usage.wait_s = allowance.wait_s

    def in_use(self, now: float) -> dict[int, int]:
        """Return the requests of each organisation in the last window."""
        for usage in self._usages.values():
            usage.drop_old(now)
        return {key: len(usage.admitted) for key, usage in self._usages.items()}

    def answer_age_s(self, now: float) -> float:
        """Return the age of the coordinator's last answer in seconds."""
        return now - self._answered_at


def _draw(request_id: str) -> float:
    """Return a number in [0, 1) that depends on the request only.

    Requests are admitted with the probability of the fraction that is left:
    a whole request for each of many entries would exceed a small limit.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / _HASH_RANGE
