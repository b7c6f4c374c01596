"""Exchange of reports on requests under which backend servers crashed."""

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

# Longest period between two rounds of gossip on changed records, and the number
# of instances, drawn anew in each round, that receive them.
GOSSIP_PERIOD_S = 0.25
GOSSIP_FANOUT = 4
# Number of times a crash is reported again to the instances that count it.
REPORT_REPEATS = 2
# Longest period between two comparisons of digests, and the number of instances
# compared with. An instance that was cut off knows neither that it was nor
# which reports it missed. For the first START_PHASE_S after a start an instance
# compares more often and with more instances, since it misses more.
DIGEST_PERIOD_S = 1.0
DIGEST_FANOUT = 1
START_DIGEST_PERIOD_S = 0.5
START_DIGEST_FANOUT = 3
START_PHASE_S = 3.0
# Reports per datagram, each of some 100 bytes, and datagrams per reply.
MAX_REPORTS = 10
MAX_DATAGRAMS = 10


def _ignore(table: quarantine.Quarantine) -> None:
    """Do nothing on a change."""


class CrashReports:
    """The quarantine of one instance, kept in step with all other instances.

    Entries and control instances have one each. A crash is reported at once to
    the few instances that count the crashes of its request. From the second
    crash on the report goes to all instances, by gossip. Comparisons of digests
    find reports that were lost, or that were sent before an instance started.

    Args:
        gossip_service: Sends the messages and lists the other instances.
        rng: Draws the instances that receive a message.
        on_change: Called with the quarantine after a change of the records that
            all instances share.
        initial_reports: Reports from before the start.

    Attributes:
        table: The quarantine.
    """

    def __init__(
        self,
        gossip_service: gossip.Gossip,
        rng: random.Random,
        on_change: Callable[[quarantine.Quarantine], None] = _ignore,
        initial_reports: Iterable[quarantine.Report] = (),
    ) -> None:
        self.table = quarantine.Quarantine(gossip_service.myself.name)
        self._gossip = gossip_service
        self._rng = rng
        self._on_change = on_change
        self._initial_reports = tuple(initial_reports)
        self._received_messages = gossip_service.subscribe(
            quarantine.QuarantineUpdate
        )
        # Fingerprints of changed shared records, in order of their changes.
        self._unsent: dict[bytes, None] = {}
        # Remaining repeats of the report of each request, by fingerprint.
        self._repeats_left: dict[bytes, int] = {}
        # Set while there are reports to send or to repeat.
        self._has_unsent = trio.Event()

    def may_be_quarantined(self, head: bytes) -> bool:
        """Return whether a request with this head may be quarantined.

        Args:
            head: The first part of its fingerprint.
        """
        return self.table.has_head(head)

    def is_blocked(self, fingerprint: bytes, attempt: str) -> bool:
        """Return whether an attempt must not be sent to any server now.

        Args:
            fingerprint: The request.
            attempt: Identifies the attempt.
        """
        entries = self._gossip.directory.ready_entries()
        names = [entry.name for entry in entries]
        now = trio.current_time()
        return not self.table.may_run(fingerprint, attempt, names, now)

    def record_crash(self, server: messages.Server, fingerprint: bytes) -> None:
        """Record that a server crashed under a request of this entry."""
        key = server_stats.incarnation_key(server.server_id, server.incarnation)
        now = trio.current_time()
        if self.table.record_crash(fingerprint, key, now):
            self._handle_changes([fingerprint])
            self._report(fingerprint)

    def record_answer(self, fingerprint: bytes) -> None:
        """Record that a server answered a request of this entry."""
        if self.table.record_answer(fingerprint, trio.current_time()):
            self._handle_changes([fingerprint])
            self._report(fingerprint)

    def _report(self, fingerprint: bytes) -> None:
        self._repeats_left[fingerprint] = REPORT_REPEATS
        self._has_unsent.set()
        self._send_to_counting_instances(fingerprint)

    def _send_to_counting_instances(self, fingerprint: bytes) -> None:
        """Send the report to the instances that count the request's crashes."""
        names = [instance.name for instance in self._gossip.live_instances()]
        ranked = affinity.rank_unweighted(fingerprint.hex(), names)
        report = self.table.report(fingerprint, trio.current_time())
        own_name = self._gossip.myself.name
        others = [
            name
            for name in ranked[: quarantine.COUNTING_INSTANCES]
            if name != own_name
        ]
        self._gossip.post_all(others, quarantine.QuarantineUpdate((report,)))

    def _handle_changes(self, fingerprints: Iterable[bytes]) -> None:
        """Log changed records that all instances share and gossip them."""
        shared = [
            fingerprint
            for fingerprint in fingerprints
            if self.table.is_shared(fingerprint)
        ]
        if not shared:
            return
        self._unsent.update(dict.fromkeys(shared))
        self._has_unsent.set()
        for fingerprint in shared:
            self._log(fingerprint)
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
        """Send and receive reports until cancelled."""
        self._handle_changes(
            self.table.merge(self._initial_reports, trio.current_time())
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._send_changes)
            nursery.start_soon(self._compare_digests)

    def _draw_instances(self, count: int) -> list[str]:
        own_name = self._gossip.myself.name
        names = [instance.name for instance in self._gossip.live_instances()]
        others = [name for name in names if name != own_name]
        return self._rng.sample(others, min(count, len(others)))

    async def _send_changes(self) -> None:
        while True:
            await self._has_unsent.wait()
            await trio.sleep(GOSSIP_PERIOD_S * self._rng.uniform(0.5, 1.0))
            self._repeat_reports()
            if not self._repeats_left:
                self._has_unsent = trio.Event()
            if not self._unsent:
                continue
            now = trio.current_time()
            changed, self._unsent = list(self._unsent), {}
            reports = [
                self.table.report(fingerprint, now) for fingerprint in changed
            ]
            self._send_reports(self._draw_instances(GOSSIP_FANOUT), reports)

    def _repeat_reports(self) -> None:
        """Report crashes again, since a datagram may be lost."""
        for fingerprint in list(self._repeats_left):
            self._repeats_left[fingerprint] -= 1
            if not self._repeats_left[fingerprint]:
                del self._repeats_left[fingerprint]
            self._send_to_counting_instances(fingerprint)

    def _send_reports(
        self,
        names: Sequence[str],
        reports: Sequence[quarantine.Report],
        digest: int = quarantine.NO_DIGEST,
    ) -> None:
        """Send reports; the last datagram contains the digest."""
        batches = [
            tuple(reports[start : start + MAX_REPORTS])
            for start in range(0, len(reports), MAX_REPORTS)
        ]
        if digest != quarantine.NO_DIGEST and not batches:
            batches = [()]
        for batch in batches[:-1]:
            self._gossip.post_all(names, quarantine.QuarantineUpdate(batch))
        for batch in batches[-1:]:
            self._gossip.post_all(
                names, quarantine.QuarantineUpdate(batch, digest)
            )

    async def _compare_digests(self) -> None:
        """Drop expired records and send the digest, each period."""
        started = trio.current_time()
        while True:
            now = trio.current_time()
            if self.table.expire(now):
                self._on_change(self.table)
            is_start_phase = now - started < START_PHASE_S
            count = START_DIGEST_FANOUT if is_start_phase else DIGEST_FANOUT
            update = quarantine.QuarantineUpdate(
                (), self.table.digest, expects_reply=True
            )
            self._gossip.post_all(self._draw_instances(count), update)
            period_s = (
                START_DIGEST_PERIOD_S if is_start_phase else DIGEST_PERIOD_S
            )
            await trio.sleep(period_s * self._rng.uniform(0.5, 1.0))

    async def _receive(self) -> None:
        received: datagram_wire.ReceivedMessage
        async for received in self._received_messages:
            update = received.message
            assert isinstance(update, quarantine.QuarantineUpdate)
            self._handle_changes(
                self.table.merge(update.reports, trio.current_time())
            )
            if update.digest not in (quarantine.NO_DIGEST, self.table.digest):
                self._reply(received.sender, update.expects_reply)

    def _reply(self, name: str, expects_digest: bool) -> None:
        """Send the shared reports to an instance with another digest."""
        reports = self.table.shared(trio.current_time())
        self._rng.shuffle(reports)
        digest = self.table.digest if expects_digest else quarantine.NO_DIGEST
        self._send_reports(
            [name], reports[: MAX_REPORTS * MAX_DATAGRAMS], digest
        )
