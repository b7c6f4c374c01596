"""Requests under which servers crashed, and which of them run no more.

A request is known by its fingerprint, a server by a number for one life of it.
What entries see of one request adds up to two growing sets: lives that ended
while they may have run it, and those of them that say nothing about it, since
the same request was answered elsewhere. So reports may come late, twice and in
any order.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple
import zlib

from hyssopfold.core.balancing import affinity

# Servers that a request may crash before it is held back.
CRASH_LIMIT = 3
# Crashes from which on all instances are told; most requests that a crash
# interrupts are seen in one only.
SHARE_AFTER_CRASHES = 2
# Instances that count the crashes of one request until then.
COUNTING_INSTANCES = 3
# How long a request is remembered after its last crash: one that is held
# back, and one that may have been interrupted by chance.
QUARANTINE_TTL_S = 86_400.0
SUSPECT_TTL_S = 600.0
# A request that is held back runs once more after so long, since servers may
# have been mended, and a last time after the second.
TRIALS_AFTER_S = (60.0, 600.0)
# A trial that brought neither an answer nor a crash may be repeated then.
TRIAL_TIMEOUT_S = 30.0
# A request that was answered so lately did not crash a server since.
RECENT_ANSWER_S = 10.0
MAX_RECENT_ANSWERS = 4_096
# Crashes, each followed by an answer, after which more prove nothing.
MAX_CLEARED = 8
MAX_RECORDS = 2_000
NO_DIGEST = -1
# The first bytes of a fingerprint are those of the request's head alone.
HEAD_BYTES = 8


class Report(NamedTuple):
    """What is known of one request.

    `crashed` are the lives of servers that ended under it, `cleared` those of
    them that do not count; `age_s` is the time since the last crash.
    """

    fingerprint: bytes
    crashed: tuple[int, ...]
    cleared: tuple[int, ...]
    age_s: float


class QuarantineUpdate(NamedTuple):
    """Message: reports, and a hash of all that the sender knows.

    A receiver with another hash answers with what it knows if `asks`; without
    it, it tells what the sender may lack and expects nothing.
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
    def counted(self) -> int:
        """Return the crashes that count."""
        return len(self.crashed - self.cleared)


_NONE = _Record(frozenset(), frozenset(), -math.inf)


class Quarantine:
    """Keep what is known of requests under which servers crashed.

    Args:
        name: Name of this instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._records: dict[bytes, _Record] = {}
        # Requests that were answered here lately, oldest first.
        self._answered_at: dict[bytes, float] = {}
        self._heads: dict[bytes, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def quarantined(self) -> int:
        """Return how many requests are held back."""
        return sum(
            record.counted >= CRASH_LIMIT for record in self._records.values()
        )

    def crashes(self, fingerprint: bytes) -> int:
        """Return how many servers crashed under a request."""
        return self._records.get(fingerprint, _NONE).counted

    def is_shared(self, fingerprint: bytes) -> bool:
        """Return whether all instances are to know of a request."""
        record = self._records.get(fingerprint, _NONE)
        return len(record.crashed) >= SHARE_AFTER_CRASHES

    def has_head(self, head: bytes) -> bool:
        """Return whether a request with this head may be held back.

        Args:
            head: The first part of its fingerprint.
        """
        return head in self._heads

    def record_crash(
        self, fingerprint: bytes, incarnation_key: int, now: float
    ) -> bool:
        """Take in that a server crashed here; return whether that is news."""
        record = self._records.get(fingerprint, _NONE)
        if (
            incarnation_key in record.crashed
            or len(record.cleared) >= MAX_CLEARED
        ):
            return False
        crashed = record.crashed | {incarnation_key}
        cleared = (
            crashed
            if self._is_answered_lately(fingerprint, now)
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
        """Take in that a request was answered; return whether that is news."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        if len(self._answered_at) > MAX_RECENT_ANSWERS:
            del self._answered_at[next(iter(self._answered_at))]
        return self._clear(fingerprint)

    def _is_answered_lately(self, fingerprint: bytes, now: float) -> bool:
        return (
            now - self._answered_at.get(fingerprint, -math.inf)
            < RECENT_ANSWER_S
        )

    def _clear(self, fingerprint: bytes) -> bool:
        record = self._records.get(fingerprint)
        if record is None or not record.counted:
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

        One that is held back is tried again by one entry, and by no other.

        Args:
            fingerprint: The request.
            attempt: Names the attempt; asked again, a trial gets the same
                answer.
            entries: Names of the entries that serve callers.
            now: Monotonic time in seconds.
        """
        record = self._records.get(fingerprint, _NONE)
        trials = record.counted - CRASH_LIMIT
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
        """Take in what another instance knows; return what was news."""
        return tuple(
            report.fingerprint
            for report in reports
            if self._merge_report(report, now)
        )

    def _merge_report(self, report: Report, now: float) -> bool:
        record = self._records.get(report.fingerprint, _NONE)
        crashed = record.crashed | frozenset(report.crashed)
        cleared = record.cleared | frozenset(report.cleared)
        if crashed != record.crashed and self._is_answered_lately(
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
        """Forget the least suspect, oldest record when there are too many."""
        if len(self._records) < MAX_RECORDS:
            return
        evicted = min(
            self._records,
            key=lambda fingerprint: (
                self._records[fingerprint].counted >= CRASH_LIMIT,
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
        """Forget requests whose last crash is long ago; return whether any."""
        expired = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now >= record.last_at + _ttl_s(record)
        ]
        for fingerprint in expired:
            self._drop(fingerprint)
        return bool(expired)

    def report(self, fingerprint: bytes, now: float) -> Report:
        """Return what is known of one request."""
        record = self._records.get(fingerprint, _NONE)
        return Report(
            fingerprint,
            tuple(sorted(record.crashed)),
            tuple(sorted(record.cleared)),
            max(0.0, now - record.last_at),
        )

    def shared(self, now: float) -> list[Report]:
        """Return what all instances are to know."""
        return [
            self.report(fingerprint, now)
            for fingerprint in self._records
            if self.is_shared(fingerprint)
        ]


def _ttl_s(record: _Record) -> float:
    return QUARANTINE_TTL_S if record.counted >= CRASH_LIMIT else SUSPECT_TTL_S


def _hash(fingerprint: bytes, record: _Record) -> int:
    """Return a hash of what is shared of a record, 0 for one that is not."""
    if len(record.crashed) < SHARE_AFTER_CRASHES:
        return 0
    sets = (sorted(record.crashed), sorted(record.cleared))
    return zlib.crc32(f"{fingerprint.hex()} {sets}".encode())
