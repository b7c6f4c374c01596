"""Quarantine of requests that crash the servers that run them.

A request is identified by its fingerprint, a server incarnation by its key (see
`server_stats.incarnation_key`). For each request the instances merge two sets
that only grow: the incarnations that crashed while they may have run it, and
those of them that don't count since the same request was also answered.
Reports may therefore arrive late, twice and in any order.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.balancing import affinity

# Crashes after which a request is quarantined.
CRASH_LIMIT = 3
# Crashes after which a request is reported to all instances; most requests that
# a crash interrupts are interrupted by only one.
SHARE_AFTER_CRASHES = 2
# Instances that count the crashes of one request before that.
COUNTING_INSTANCES = 3
# Seconds for which a record is kept after the last crash: that of a quarantined
# request, and that of one which may have been interrupted by chance.
QUARANTINE_TTL_S = 86_400.0
SUSPECT_TTL_S = 600.0
# Seconds after the last crash at which a quarantined request is tried again:
# the servers may have been repaired. After the second trial there is no other.
TRIALS_AFTER_S = (60.0, 600.0)
# Seconds after which a trial without an answer or a crash may be repeated.
TRIAL_TIMEOUT_S = 30.0
# Seconds after an answer within which a crash is not attributed to the request.
RECENT_ANSWER_S = 10.0
MAX_RECENT_ANSWERS = 4_096
# Cleared crashes of a request, after which no more of its crashes are recorded.
MAX_CLEARED = 8
MAX_RECORDS = 2_000
# Value of `digest` in a message without a digest.
NO_DIGEST = -1
# The first bytes of a fingerprint, which depend on the request's head alone.
HEAD_BYTES = 8


class Report(NamedTuple):
    """The crashes recorded for one request, as sent to other instances.

    Attributes:
        fingerprint: The request.
        crashed: Keys of the server incarnations that crashed under it.
        cleared: Those of them that don't count, because the request was also
            answered.
        age_s: Seconds since the last crash.
    """

    fingerprint: bytes
    crashed: tuple[int, ...]
    cleared: tuple[int, ...]
    age_s: float


class QuarantineUpdate(NamedTuple):
    """Message: reports, and a digest of the sender's shared records.

    A receiver with another digest answers with its own reports. With
    `expects_reply` the answer contains the receiver's digest, so that the
    sender answers with its reports in turn.
    """

    reports: tuple[Report, ...]
    digest: int = NO_DIGEST
    expects_reply: bool = False


class _Record(NamedTuple):
    crashed: frozenset[int]
    cleared: frozenset[int]
    last_at: float
    trial: str = ""
    trial_until: float = -math.inf

    @property
    def counted_crashes(self) -> int:
        """Return the number of crashes that count."""
        return len(self.crashed - self.cleared)


_EMPTY_RECORD = _Record(frozenset(), frozenset(), -math.inf)


class Quarantine:
    """The crash records of requests, as known to one instance.

    Instances exchange its reports; entries ask it whether a request may run.

    Args:
        name: Name of this instance.

    Attributes:
        digest: Hash of the shared records, equal at instances that agree.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._records: dict[bytes, _Record] = {}
        # Times at which requests were answered at this entry, oldest first.
        self._answered_at: dict[bytes, float] = {}
        # Number of records by the first bytes of their fingerprints.
        self._heads: dict[bytes, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def quarantined(self) -> int:
        """Return the number of quarantined requests."""
        return sum(
            record.counted_crashes >= CRASH_LIMIT
            for record in self._records.values()
        )

    def crashes(self, fingerprint: bytes) -> int:
        """Return the number of crashes that count for a request."""
        return self._records.get(fingerprint, _EMPTY_RECORD).counted_crashes

    def is_shared(self, fingerprint: bytes) -> bool:
        """Return whether a request is reported to all instances."""
        record = self._records.get(fingerprint, _EMPTY_RECORD)
        return len(record.crashed) >= SHARE_AFTER_CRASHES

    def has_head(self, head: bytes) -> bool:
        """Return whether a request with this head may be quarantined.

        Args:
            head: The first part of its fingerprint.
        """
        return head in self._heads

    def record_crash(
        self, fingerprint: bytes, incarnation_key: int, now: float
    ) -> bool:
        """Record that a server crashed under a request of this entry.

        Args:
            fingerprint: The request.
            incarnation_key: Key of the server incarnation.
            now: Monotonic time in seconds.

        Returns:
            Whether the record changed.
        """
        record = self._records.get(fingerprint, _EMPTY_RECORD)
        if (
            incarnation_key in record.crashed
            or len(record.cleared) >= MAX_CLEARED
        ):
            return False
        crashed = record.crashed | {incarnation_key}
        cleared = (
            crashed
            if self._was_answered_recently(fingerprint, now)
            else frozenset()
        )
        return self._store(
            fingerprint,
            record._replace(
                crashed=crashed,
                cleared=record.cleared | cleared,
                last_at=now,
            ),
        )

    def record_answer(self, fingerprint: bytes, now: float) -> bool:
        """Record an answer; return whether the request's record changed."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        if len(self._answered_at) > MAX_RECENT_ANSWERS:
            del self._answered_at[next(iter(self._answered_at))]
        return self._clear(fingerprint)

    def _was_answered_recently(self, fingerprint: bytes, now: float) -> bool:
        return (
            now - self._answered_at.get(fingerprint, -math.inf)
            < RECENT_ANSWER_S
        )

    def _clear(self, fingerprint: bytes) -> bool:
        record = self._records.get(fingerprint)
        if record is None or not record.counted_crashes:
            return False
        return self._store(fingerprint, record._replace(cleared=record.crashed))

    def may_run(
        self,
        fingerprint: bytes,
        attempt: str,
        entries: Collection[str],
        now: float,
    ) -> bool:
        """Return whether a request may be sent to a server now.

        Only one entry makes the trials of a quarantined request.

        Args:
            fingerprint: The request.
            attempt: Identifies the attempt; a repeated call for a trial
                returns the same result.
            entries: Names of the entries that serve callers.
            now: Monotonic time in seconds.
        """
        record = self._records.get(fingerprint, _EMPTY_RECORD)
        trials = record.counted_crashes - CRASH_LIMIT
        if trials < 0 or now >= record.last_at + QUARANTINE_TTL_S:
            return True
        if trials >= len(TRIALS_AFTER_S):
            return False
        if now < record.last_at + TRIALS_AFTER_S[trials]:
            return False
        if now < record.trial_until:
            return attempt == record.trial
        names = {*entries, self._name}
        if affinity.rank_unweighted(fingerprint.hex(), names)[0] != self._name:
            return False
        started = record._replace(
            trial=attempt, trial_until=now + TRIAL_TIMEOUT_S
        )
        self._records[fingerprint] = started
        return True

    def merge(self, reports: Iterable[Report], now: float) -> tuple[bytes, ...]:
        """Merge another instance's reports; return the changed requests."""
        return tuple(
            report.fingerprint
            for report in reports
            if self._merge_report(report, now)
        )

    def _merge_report(self, report: Report, now: float) -> bool:
        record = self._records.get(report.fingerprint, _EMPTY_RECORD)
        crashed = record.crashed | frozenset(report.crashed)
        cleared = record.cleared | frozenset(report.cleared)
        if crashed != record.crashed and self._was_answered_recently(
            report.fingerprint, now
        ):
            cleared = crashed
        if (crashed, cleared) == (record.crashed, record.cleared):
            return False
        last_at = record.last_at
        if crashed != record.crashed:
            last_at = max(last_at, now - max(0.0, report.age_s))
        merged = record._replace(
            crashed=crashed, cleared=cleared, last_at=last_at
        )
        if now >= last_at + _ttl_s(merged):
            return False
        return self._store(report.fingerprint, merged)

    def _store(self, fingerprint: bytes, record: _Record) -> bool:
        if fingerprint not in self._records:
            self._evict()
        self._drop(fingerprint)
        self._records[fingerprint] = record
        head = fingerprint[:HEAD_BYTES]
        self._heads[head] = self._heads.get(head, 0) + 1
        self.digest ^= _hash(fingerprint, record)
        return True

    def _evict(self) -> None:
        """Drop a record if there are too many: the oldest suspect first."""
        if len(self._records) < MAX_RECORDS:
            return
        evicted = min(
            self._records,
            key=lambda fingerprint: (
                self._records[fingerprint].counted_crashes >= CRASH_LIMIT,
                self._records[fingerprint].last_at,
            ),
        )
        self._drop(evicted)

    def _drop(self, fingerprint: bytes) -> None:
        record = self._records.pop(fingerprint, None)
        if record is None:
            return
        self.digest ^= _hash(fingerprint, record)
        head = fingerprint[:HEAD_BYTES]
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def expire(self, now: float) -> bool:
        """Drop the expired records; return whether there were any."""
        expired = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now >= record.last_at + _ttl_s(record)
        ]
        for fingerprint in expired:
            self._drop(fingerprint)
        return bool(expired)

    def report(self, fingerprint: bytes, now: float) -> Report:
        """Return the report of one request."""
        record = self._records.get(fingerprint, _EMPTY_RECORD)
        return Report(
            fingerprint,
            tuple(sorted(record.crashed)),
            tuple(sorted(record.cleared)),
            max(0.0, now - record.last_at),
        )

    def shared(self, now: float) -> list[Report]:
        """Return the reports that all instances shall have."""
        return [
            self.report(fingerprint, now)
            for fingerprint in self._records
            if self.is_shared(fingerprint)
        ]


def _ttl_s(record: _Record) -> float:
    return (
        QUARANTINE_TTL_S
        if record.counted_crashes >= CRASH_LIMIT
        else SUSPECT_TTL_S
    )


def _hash(fingerprint: bytes, record: _Record) -> int:
    """Return a hash of a shared record, 0 for one that is not shared."""
    if len(record.crashed) < SHARE_AFTER_CRASHES:
        return 0
    sets = (sorted(record.crashed), sorted(record.cleared))
    return zlib.crc32(f"{fingerprint.hex()} {sets}".encode())
