"""Decisions of an instance that follows the replicated value."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

import msgspec

from hyssopfold.core import compression
from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows

FETCH_TIMEOUT_S = 1.5
# Polls in a row that time out before the timeout of the next fetches doubles:
# the link may be too slow for an answer of this size. Fewer were probably lost.
OVERDUE_BEFORE_DOUBLING = 4
MAX_TIMEOUT_DOUBLINGS = 4
# Time until the next source is polled while the last poll is pending.
HEDGE_DELAY_S = 0.25
# A hint arrives before the push of its revision by up to a round trip between
# regions.
HINT_DELAY_S = (0.1, 0.25)
# An instance without a revision refuses every caller: it polls more often,
# and lets the control instances keep its polls pending until there are
# tables. The time to the next poll doubles with each pending one.
FIRST_HEDGE_DELAY_S = 0.2
FIRST_HOLD_S = 1.0
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 1.5
POLLS_BEFORE_BACKOFF = 8
WATCH_MARGIN_S = 2.0
WATCH_RETRY_S = 1.0
# Peers whose reported revisions are remembered.
MAX_PEERS = 8
# Polls for a reported revision before the follower gives up.
MAX_POLLS = 24
# Largest update after decompression; as large as the largest message between
# instances.
MAX_UPDATE_BYTES = 8 * 1024 * 1024
# Polls in the largest age of a confirmation, so that one or two may be lost.
POLLS_PER_AGE = 3.0


class Timing(NamedTuple):
    """Seconds between the polls of a follower.

    `hold_s` is how long a control instance may keep a poll pending until it
    has a newer revision (push); `pull_s` the time between polls that are
    answered at once (pull).
    """

    hold_s: float = 10.0
    pull_s: float = 4.0

    def within(self, max_age_s: float) -> "Timing":
        """Return the timing that keeps confirmations younger than an age.

        Args:
            max_age_s: The age in seconds; 0 if any will do.
        """
        if not max_age_s:
            return self
        longest_s = max_age_s / POLLS_PER_AGE
        return Timing(min(self.hold_s, longest_s), min(self.pull_s, longest_s))


ALL_MODES = messages.UpdateModes()
USUAL_TIMING = Timing()


class _PendingPoll(NamedTuple):
    source: str
    kind: str
    sent_at: float
    deadline: float


class _Received(NamedTuple):
    """A received value and its rows; `fault` says why it can't be split."""

    value: bytes
    rows: rows.Rows
    fault: str = ""


def always_readable(value: rows.Rows) -> str:
    """Return "": any value is readable."""
    return ""


class Follower:
    """Brings one instance to the newest revision and keeps it there.

    A follower without a revision installs only what a majority of the
    control instances vouches for: an answer that one of them confirmed with
    a majority after it was polled, or the newest of the answers of a
    majority of them. After that it installs any higher revision from any
    source. `entry.configuration.Configuration` executes its effects.

    Args:
        control: Addresses of the control instances.
        rng: Source of the order of polls and of jitter.
        modes: Which modes of update are on.
        timing: Seconds between polls.
        unreadable_reason: Returns why this program cannot read a value, or "".
        control_is_complete: Whether `control` lists all control instances, so
            that a majority can be counted. Else only a confirmed answer counts.
    """

    def __init__(
        self,
        control: Sequence[str],
        rng: random.Random,
        modes: messages.UpdateModes = ALL_MODES,
        timing: Timing = USUAL_TIMING,
        unreadable_reason: Callable[[rows.Rows], str] = always_readable,
        control_is_complete: bool = True,
    ) -> None:
        self._control = rng.sample(list(control), len(control))
        self._control_is_complete = control_is_complete
        self._rng = rng
        self._modes = modes
        self._timing = timing
        self._unreadable_reason = unreadable_reason
        self.revision = 0
        self.value = b""
        self._rows = rows.EMPTY
        self.digest = rows.digest(b"")
        self.confirmed_at = -messages.NEVER_S
        self.target_revision = 0
        # Newest revision that this older program could not read.
        self.unreadable_revision = 0
        self._pending: dict[int, _PendingPoll] = {}
        self._last_poll_id = 0
        self._needs_whole_value = False
        # Unconfirmed answers of control instances, by their addresses.
        self._unconfirmed: dict[str, tuple[messages.Update, float]] = {}
        # Revisions that peers reported, by their addresses.
        self._peer_revisions: dict[str, int] = {}
        self._catch_up_polls = 0
        self._overdue_polls = 0
        self._next_catch_up_at = -messages.NEVER_S
        self._next_watch_at = -messages.NEVER_S
        self._next_pull_at = -messages.NEVER_S
        self._control_index = 0

    def set_control(self, control: Sequence[str]) -> None:
        """Replace the control instances to poll; an empty list is ignored."""
        if control and set(control) != set(self._control):
            self._control = self._rng.sample(list(control), len(control))

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Return the effects of `event` at `now`, in seconds."""
        effects: list[messages.Effect] = []
        match event:
            case messages.RevisionReported():
                self._on_revision_reported(event, now)
            case messages.PollAnswered():
                self._on_poll_answered(event, now, effects)
            case messages.PollFailed():
                self._on_poll_failed(event, now)
            case messages.Tick():
                pass
        self._drop_overdue(now)
        self._send_due_polls(now, effects)
        return effects

    def next_deadline(self) -> float:
        """Return the time by which `Tick` is due."""
        due = [poll.deadline for poll in self._pending.values()]
        if self.is_behind:
            due.append(self._next_catch_up_at)
        if self._modes.push and self.revision and not self._is_watching():
            due.append(self._next_watch_at)
        if self._modes.pull and self.revision:
            due.append(self._next_pull_at)
        return min(due, default=messages.NEVER_S)

    def age_s(self, now: float) -> float:
        """Return the seconds since a majority confirmed the revision."""
        return now - self.confirmed_at

    @property
    def is_behind(self) -> bool:
        """Return whether there is no revision yet or a newer one was reported.

        A revision that this program cannot read counts as received.
        """
        received = max(self.revision, self.unreadable_revision)
        return received == 0 or self.target_revision > received

    def _on_revision_reported(
        self, event: messages.RevisionReported, now: float
    ) -> None:
        if not self._modes.piggyback:
            return
        if event.source and event.revision > self.revision:
            self._peer_revisions[event.source] = event.revision
            if len(self._peer_revisions) > MAX_PEERS:
                self._peer_revisions.pop(next(iter(self._peer_revisions)))
        if event.revision > self.target_revision:
            if not self.is_behind:
                # The push has probably been sent; a short delay avoids a
                # poll that would cross with it.
                self._next_catch_up_at = now + self._rng.uniform(*HINT_DELAY_S)
                self._catch_up_polls = 0
            self.target_revision = event.revision

    def _on_poll_answered(
        self,
        event: messages.PollAnswered,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        poll = self._pending.pop(event.poll_id, None)
        if poll is None:
            # The answer came after the deadline of its poll: its transmission
            # time and so its age are unknown.
            return
        self._overdue_polls = 0
        # The answer was sent at this moment or later.
        answered_at = min(now, poll.sent_at + max(0.0, event.waited_s))
        confirmed_at = answered_at - max(0.0, event.age_s)
        if event.strong:
            confirmed_at = max(confirmed_at, poll.sent_at)
        if self.revision == 0:
            self._hasten_catch_up(now)
            self._accept_first(poll, event, confirmed_at, effects)
        else:
            self._accept(poll.source, event.update, confirmed_at, effects)
        if poll.kind == "watch":
            is_newer = bool(event.update.payload)
            was_pending = is_newer or event.waited_s >= self._timing.hold_s / 2
            # A source that answers watches at once must not be polled in a
            # busy loop.
            self._next_watch_at = now if was_pending else now + WATCH_RETRY_S

    def _accept_first(
        self,
        poll: _PendingPoll,
        event: messages.PollAnswered,
        confirmed_at: float,
        effects: list[messages.Effect],
    ) -> None:
        """Install a first revision only if a majority vouches for it.

        A control instance that is cut off without noticing answers with an
        old revision like any other. An instance that starts from that answer
        alone would bring back routes or servers that operators removed long
        ago.
        """
        if poll.source not in self._control:
            return
        update = event.update
        if not event.strong and not self._control_is_complete:
            return
        if not event.strong:
            self._unconfirmed[poll.source] = (update, confirmed_at)
            if len(self._unconfirmed) <= len(self._control) // 2:
                return
            update, confirmed_at = max(
                self._unconfirmed.values(), key=lambda item: item[0].revision
            )
        if update.revision == 0:
            # A majority knows of no accepted revision yet.
            return
        self._accept(poll.source, update, confirmed_at, effects)
        if self.revision:
            self._unconfirmed.clear()

    def _accept(
        self,
        source: str,
        update: messages.Update,
        confirmed_at: float,
        effects: list[messages.Effect],
    ) -> None:
        """Install an update if it is newer and readable, or renew the age."""
        if update.revision < max(self.revision, self.unreadable_revision):
            return
        if update.revision == self.revision:
            if update.digest != self.digest:
                effects.append(
                    messages.Report("diverged", source, update.revision, "")
                )
                return
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            return
        if update.revision == self.unreadable_revision or not update.payload:
            return
        received = self._value_of(source, update, effects)
        if received is None:
            return
        reason = received.fault
        if not reason:
            reason = self._unreadable_reason(received.rows)
        if reason:
            self.unreadable_revision = update.revision
            effects.append(
                messages.Report("unreadable", source, update.revision, reason)
            )
            return
        self._install(update, received, confirmed_at, effects)

    def _value_of(
        self,
        source: str,
        update: messages.Update,
        effects: list[messages.Effect],
    ) -> _Received | None:
        """Return the value after an update, or None if it cannot be applied."""
        try:
            payload = update.payload
            if update.is_compressed:
                payload = compression.decompress(payload, MAX_UPDATE_BYTES)
            if update.base == 0:
                received = _split(payload, self._rows)
            elif update.base == self.revision:
                patched = difference.apply(self._rows, payload)
                received = _Received(rows.join(patched), patched)
            else:
                # Another answer brought a newer revision in the meantime.
                return None
            if rows.digest(received.value) == update.digest:
                return received
            detail = "digest"
        except (difference.MismatchError, compression.DecompressError) as exc:
            detail = str(exc)
        self._needs_whole_value = True
        effects.append(
            messages.Report("mismatch", source, update.revision, detail)
        )
        return None

    def _install(
        self,
        update: messages.Update,
        received: _Received,
        confirmed_at: float,
        effects: list[messages.Effect],
    ) -> None:
        assert update.revision > self.revision, "a revision only goes up"
        self.revision = update.revision
        self.value, self._rows = received.value, received.rows
        self.digest = update.digest
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._needs_whole_value = False
        self._catch_up_polls = 0
        self._peer_revisions = {
            peer: revision
            for peer, revision in self._peer_revisions.items()
            if revision > self.revision
        }
        effects.append(
            messages.Install(self.revision, received.value, received.rows)
        )

    def _on_poll_failed(self, event: messages.PollFailed, now: float) -> None:
        poll = self._pending.pop(event.poll_id, None)
        if poll is not None and poll.kind == "watch":
            self._delay_watch(now)
        self._hasten_catch_up(now)

    def _hasten_catch_up(self, now: float) -> None:
        """Poll the next source soon while there is no revision."""
        if not self.revision:
            self._next_catch_up_at = min(
                self._next_catch_up_at, now + FIRST_HEDGE_DELAY_S
            )

    def _delay_watch(self, now: float) -> None:
        self._next_watch_at = now + WATCH_RETRY_S * self._rng.uniform(0.5, 1.0)

    def _drop_overdue(self, now: float) -> None:
        overdue = [
            poll_id
            for poll_id, poll in self._pending.items()
            if poll.deadline <= now
        ]
        for poll_id in overdue:
            self._overdue_polls += 1
            if self._pending.pop(poll_id).kind == "watch":
                self._delay_watch(now)

    def _is_watching(self) -> bool:
        return any(poll.kind == "watch" for poll in self._pending.values())

    def _send_due_polls(
        self, now: float, effects: list[messages.Effect]
    ) -> None:
        if self.is_behind and self._next_catch_up_at <= now:
            self._catch_up(now, effects)
        if not self.revision:
            return
        if (
            self._modes.push
            and not self._is_watching()
            and self._next_watch_at <= now
        ):
            source = self._next_control()
            effects.append(self._poll(source, "watch", now))
        if self._modes.pull and self._next_pull_at <= now:
            jitter = self._rng.uniform(0.8, 1.2)
            self._next_pull_at = now + self._timing.pull_s * jitter
            effects.append(self._poll(self._next_control(), "fetch", now))

    def _catch_up(self, now: float, effects: list[messages.Effect]) -> None:
        """Poll one source after another until the target revision is installed.

        The next source is polled before the last poll has timed out: a lost
        message or a silent connection is noticed only by the time-out.
        """
        if self.revision and self._catch_up_polls >= MAX_POLLS:
            # No source has the revision: a wrong report must not make all
            # instances poll forever. The next report starts anew.
            effects.append(
                messages.Report(
                    "not-found", "", self.target_revision, "gave up"
                )
            )
            self.target_revision = self.revision
            self._peer_revisions.clear()
            self._catch_up_polls = 0
            return
        self._catch_up_polls += 1
        effects.append(self._poll(self._next_source(), "fetch", now))
        delay_s = HEDGE_DELAY_S * BACKOFF_FACTOR ** max(
            0, self._catch_up_polls - POLLS_BEFORE_BACKOFF
        )
        if not self.revision:
            delay_s = FIRST_HEDGE_DELAY_S * 2 ** len(self._pending)
        jitter = self._rng.uniform(0.7, 1.0)
        self._next_catch_up_at = now + min(delay_s, MAX_BACKOFF_S) * jitter

    def _next_source(self) -> str:
        """Return a peer with a newer revision, or a control instance, in turn.

        A peer that reported the revision was alive just before; the control
        instance that is being watched may be the one that fell silent.
        """
        newer = [
            peer
            for peer, revision in self._peer_revisions.items()
            if revision > self.revision
        ]
        if self.revision and newer and self._catch_up_polls % 2:
            return self._rng.choice(newer)
        return self._next_control()

    def _next_control(self) -> str:
        self._control_index = (self._control_index + 1) % len(self._control)
        return self._control[self._control_index]

    def _timeout_factor(self) -> int:
        doublings = self._overdue_polls // OVERDUE_BEFORE_DOUBLING
        return int(2 ** min(doublings, MAX_TIMEOUT_DOUBLINGS))

    def _poll(self, source: str, kind: str, now: float) -> messages.SendPoll:
        self._last_poll_id += 1
        wait_s = self._timing.hold_s if kind == "watch" else 0.0
        if not self.revision:
            wait_s = min(FIRST_HOLD_S, self._timing.hold_s)
        margin_s = WATCH_MARGIN_S
        if kind == "fetch":
            margin_s = FETCH_TIMEOUT_S * self._timeout_factor()
        timeout_s = wait_s + margin_s
        self._pending[self._last_poll_id] = _PendingPoll(
            source, kind, now, now + timeout_s
        )
        have, digest = self.revision, self.digest
        if self._needs_whole_value or self.unreadable_revision > self.revision:
            # No value has an empty digest, so the whole value is sent.
            have, digest = max(have, self.unreadable_revision), b""
        strong = self.revision == 0
        return messages.SendPoll(
            self._last_poll_id, source, have, digest, wait_s, timeout_s, strong
        )


def _split(value: bytes, base: rows.Rows) -> _Received:
    """Split a whole value; rows that `base` has too are the same objects."""
    try:
        return _Received(value, rows.shared(rows.split(value), base))
    except msgspec.DecodeError as exc:
        return _Received(value, rows.EMPTY, str(exc))
