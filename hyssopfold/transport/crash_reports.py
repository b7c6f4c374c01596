"""What instances tell each other of requests under which servers crashed."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import random

import trio

from hyssopfold import logs
from hyssopfold.core.attempts import quarantine
from hyssopfold.core.balancing import affinity
from hyssopfold.core.balancing import server_stats
from hyssopfold.core.membership import messages
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

# How long news is gathered, and to how many instances, drawn anew, each one
# passes it on.
TELL_S = 0.25
FANOUT = 4
# How often a crash is told again to those who count it.
REPEATS = 2
# How often hashes are compared, and with how many instances: one that was cut
# off knows neither that it was nor what it lacks. At the start more is lacking.
COMPARE_S = 1.0
COMPARED = 1
START_COMPARE_S = 0.5
START_COMPARED = 3
START_S = 3.0
# Reports in one datagram, of some 100 bytes each, and datagrams in an answer.
MAX_REPORTS = 10
MAX_DATAGRAMS = 10


def _ignore(table: quarantine.Quarantine) -> None:
    """Keep nothing."""


class CrashReports:
    """Share a quarantine with all other instances.

    A crash is told at once to the few instances that count those of its
    request. From the second one on all are told, by gossip; comparing hashes
    finds what was lost on its way, or is new to an instance that has started.

    Args:
        spread: Carries the messages, and knows the other instances.
        rng: Draws whom to tell.
        on_change: Called after news of what all are to know.
        known: What was known before the start.
    """

    def __init__(
        self,
        spread: gossip.Gossip,
        rng: random.Random,
        on_change: Callable[[quarantine.Quarantine], None] = _ignore,
        known: Iterable[quarantine.Report] = (),
    ) -> None:
        self.table = quarantine.Quarantine(spread.myself.name)
        self._spread = spread
        self._rng = rng
        self._on_change = on_change
        self._known = tuple(known)
        self._parcels = spread.subscribe(quarantine.QuarantineUpdate)
        self._news: dict[bytes, None] = {}
        # How often each request is to be reported again.
        self._repeats: dict[bytes, int] = {}

    def knows(self, head: bytes) -> bool:
        """Return whether a request with this head may be held back."""
        return self.table.has_head(head)

    def holds(self, fingerprint: bytes, attempt: str) -> bool:
        """Return whether an attempt must not be sent to any server now."""
        entries = self._spread.directory.ready_entries()
        names = [one.name for one in entries]
        now = trio.current_time()
        return not self.table.may_run(fingerprint, attempt, names, now)

    def crashed(self, server: messages.Server, fingerprint: bytes) -> None:
        """Take in that a server crashed under a request of this entry."""
        key = server_stats.incarnation_key(server.server_id, server.incarnation)
        now = trio.current_time()
        if self.table.record_crash(fingerprint, key, now):
            self._note([fingerprint])
            self._report(fingerprint)

    def answered(self, fingerprint: bytes) -> None:
        """Take in that a request of this entry was answered."""
        if self.table.record_answer(fingerprint, trio.current_time()):
            self._note([fingerprint])
            self._report(fingerprint)

    def _report(self, fingerprint: bytes) -> None:
        self._repeats[fingerprint] = REPEATS
        self._tell_holders(fingerprint)

    def _tell_holders(self, fingerprint: bytes) -> None:
        names = [one.name for one in self._spread.live_instances()]
        holders = affinity.rank_unweighted(fingerprint.hex(), names)
        report = self.table.report(fingerprint, trio.current_time())
        me = self._spread.myself.name
        others = [
            one for one in holders[: quarantine.COUNTING_INSTANCES] if one != me
        ]
        self._spread.post_all(others, quarantine.QuarantineUpdate((report,)))

    def _note(self, fingerprints: Iterable[bytes]) -> None:
        """Take up what changed, if it concerns all instances."""
        shared = [one for one in fingerprints if self.table.is_shared(one)]
        if not shared:
            return
        self._news.update(dict.fromkeys(shared))
        for one in shared:
            self._log(one)
        self._on_change(self.table)

    def _log(self, fingerprint: bytes) -> None:
        count = self.table.crashes(fingerprint)
        event = "request-suspected" if count else "request-cleared"
        if count >= quarantine.CRASH_LIMIT:
            event = "request-quarantined"
        logger.warning(
            logs.Event(event, fingerprint=fingerprint.hex(), crashed=count)
        )

    async def run(self) -> None:
        """Tell and hear, for ever."""
        self._note(self.table.merge(self._known, trio.current_time()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hear)
            nursery.start_soon(self._tell)
            nursery.start_soon(self._compare)

    def _draw(self, count: int) -> list[str]:
        me = self._spread.myself.name
        names = [one.name for one in self._spread.live_instances()]
        others = [name for name in names if name != me]
        return self._rng.sample(others, min(count, len(others)))

    async def _tell(self) -> None:
        while True:
            await trio.sleep(TELL_S * self._rng.uniform(0.5, 1.0))
            self._repeat()
            if not self._news:
                continue
            now = trio.current_time()
            news, self._news = list(self._news), {}
            reports = [self.table.report(one, now) for one in news]
            self._post(self._draw(FANOUT), reports)

    def _repeat(self) -> None:
        """Report crashes again: a datagram may be lost."""
        for fingerprint in list(self._repeats):
            self._repeats[fingerprint] -= 1
            if not self._repeats[fingerprint]:
                del self._repeats[fingerprint]
            self._tell_holders(fingerprint)

    def _post(
        self,
        names: Sequence[str],
        reports: Sequence[quarantine.Report],
        digest: int = quarantine.NO_DIGEST,
    ) -> None:
        """Send reports; the last datagram carries the digest."""
        parts = [
            tuple(reports[at : at + MAX_REPORTS])
            for at in range(0, len(reports), MAX_REPORTS)
        ]
        if digest != quarantine.NO_DIGEST and not parts:
            parts = [()]
        for part in parts[:-1]:
            self._spread.post_all(names, quarantine.QuarantineUpdate(part))
        for part in parts[-1:]:
            self._spread.post_all(
                names, quarantine.QuarantineUpdate(part, digest)
            )

    async def _compare(self) -> None:
        started = trio.current_time()
        while True:
            now = trio.current_time()
            if self.table.expire(now):
                self._on_change(self.table)
            is_start = now - started < START_S
            count = START_COMPARED if is_start else COMPARED
            asked = quarantine.QuarantineUpdate(
                (), self.table.digest, expects_reply=True
            )
            self._spread.post_all(self._draw(count), asked)
            period_s = START_COMPARE_S if is_start else COMPARE_S
            await trio.sleep(period_s * self._rng.uniform(0.5, 1.0))

    async def _hear(self) -> None:
        parcel: datagram_wire.Parcel
        async for parcel in self._parcels:
            told = parcel.message
            assert isinstance(told, quarantine.QuarantineUpdate)
            self._note(self.table.merge(told.reports, trio.current_time()))
            if told.digest not in (quarantine.NO_DIGEST, self.table.digest):
                self._answer(parcel.sender, told.expects_reply)

    def _answer(self, name: str, asks: bool) -> None:
        """Tell an instance that knows otherwise what is known here."""
        reports = self.table.shared(trio.current_time())
        self._rng.shuffle(reports)
        digest = self.table.digest if asks else quarantine.NO_DIGEST
        self._post([name], reports[: MAX_REPORTS * MAX_DATAGRAMS], digest)
