"""Decisions of an instance that follows the replicated value."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from hyssopfold.core.distribution import difference
from hyssopfold.core.distribution import messages
from hyssopfold.core.distribution import rows

FETCH_TIMEOUT_S = 1.5
HEDGE_S = 0.25
# A hint overtakes the push it speaks of by up to a round trip between regions.
HINT_DELAY_S = (0.1, 0.25)
# One that holds nothing yet refuses every caller: it asks more often, and lets
# the control instances hold its questions until there are tables. The time to
# the next question doubles with each that is under way.
FIRST_HEDGE_S = 0.2
FIRST_HOLD_S = 1.0
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 1.5
QUICK_ASKS = 8
WATCH_MARGIN_S = 2.0
WATCH_RETRY_S = 1.0
MAX_PEERS = 8
GIVE_UP_ASKS = 24


class Timing(NamedTuple):
    """Seconds between the questions of a follower.

    `hold_s` is how long a control instance may hold a question until it has
    something newer (push); `pull_s` the time between questions that are
    answered at once (pull).
    """

    hold_s: float = 10.0
    pull_s: float = 4.0


ALL_MODES = messages.UpdateModes()
USUAL_TIMING = Timing()


class _Call(NamedTuple):
    source: str
    kind: str
    began: float
    deadline: float


def always_readable(value: bytes) -> str:
    """Take any value for readable."""
    return ""


class Follower:
    """Bring one instance to the newest revision and keep it there.

    A follower that holds nothing yet installs only what a majority of the
    control instances vouches for: an answer that one of them confirmed with
    a majority after it was asked, or the newest of what a majority of them
    answered. From then on it takes any higher revision from anyone.

    Args:
        control: Addresses of the control instances.
        rng: Source of the order of questions and of jitter.
        modes: Which modes of update are on.
        timing: Seconds between questions.
        unreadable: Returns why this program cannot read a value, or "".
        control_is_complete: Whether `control` lists all control instances, so
            that a majority can be counted. Else only a confirmed answer counts.
    """

    def __init__(
        self,
        control: Sequence[str],
        rng: random.Random,
        modes: messages.UpdateModes = ALL_MODES,
        timing: Timing = USUAL_TIMING,
        unreadable: Callable[[bytes], str] = always_readable,
        control_is_complete: bool = True,
    ) -> None:
        self._control = rng.sample(list(control), len(control))
        self._control_is_complete = control_is_complete
        self._rng = rng
        self._modes = modes
        self._timing = timing
        self._unreadable = unreadable
        self.revision = 0
        self.value = b""
        self.digest = rows.digest(b"")
        self.confirmed_at = -messages.NEVER_S
        self.target_revision = 0
        # Newest revision that this older program could not read.
        self.unreadable_revision = 0
        self._calls: dict[int, _Call] = {}
        self._count = 0
        self._whole = False
        self._vouched: dict[str, tuple[messages.Update, float]] = {}
        self._peers: dict[str, int] = {}
        self._asks = 0
        self._next_ask = -messages.NEVER_S
        self._next_watch = -messages.NEVER_S
        self._next_pull = -messages.NEVER_S
        self._turn = 0

    def set_control(self, control: Sequence[str]) -> None:
        """Ask these control instances from now on; none changes nothing."""
        if control and set(control) != set(self._control):
            self._control = self._rng.sample(list(control), len(control))

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Return the effects of `event` at `now`, in seconds."""
        effects: list[messages.Effect] = []
        match event:
            case messages.RevisionReported():
                self._hear(event, now)
            case messages.PollAnswered():
                self._answer(event, now, effects)
            case messages.PollFailed():
                self._fail(event, now)
            case messages.Tick():
                pass
        self._forget_overdue(now)
        self._go_on(now, effects)
        return effects

    def next_deadline(self) -> float:
        """Return the time by which `Tick` is due."""
        due = [call.deadline for call in self._calls.values()]
        if self.is_behind:
            due.append(self._next_ask)
        if self._modes.push and self.revision and not self._watching():
            due.append(self._next_watch)
        if self._modes.pull and self.revision:
            due.append(self._next_pull)
        return min(due, default=messages.NEVER_S)

    def age_s(self, now: float) -> float:
        """Return the seconds since a majority confirmed the revision."""
        return now - self.confirmed_at

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision is known of than is in force."""
        known = max(self.revision, self.unreadable_revision)
        return known == 0 or self.target_revision > known

    def _hear(self, event: messages.RevisionReported, now: float) -> None:
        if not self._modes.piggyback:
            return
        if event.source and event.revision > self.revision:
            self._peers[event.source] = event.revision
            if len(self._peers) > MAX_PEERS:
                self._peers.pop(next(iter(self._peers)))
        if event.revision > self.target_revision:
            if not self.is_behind:
                # The push is likely under way; a short wait spares a
                # question that would cross with it.
                self._next_ask = now + self._rng.uniform(*HINT_DELAY_S)
                self._asks = 0
            self.target_revision = event.revision

    def _answer(
        self,
        event: messages.PollAnswered,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        call = self._calls.pop(event.poll_id, None)
        if call is None:
            # Later than its deadline: how long it was on its way is not
            # known, so its age cannot be told.
            return
        # The answer left its sender at this moment or later.
        left_at = min(now, call.began + max(0.0, event.waited_s))
        known_at = left_at - max(0.0, event.age_s)
        if event.strong:
            known_at = max(known_at, call.began)
        if self.revision == 0:
            self._ask_soon(now)
            self._vouch(call, event, known_at, effects)
        else:
            self._take(call.source, event.update, known_at, effects)
        if call.kind == "watch":
            newer = bool(event.update.payload)
            held = newer or event.waited_s >= self._timing.hold_s / 2
            # A source that does not hold questions must not be asked in
            # an endless quick round.
            self._next_watch = now if held else now + WATCH_RETRY_S

    def _vouch(
        self,
        call: _Call,
        event: messages.PollAnswered,
        known_at: float,
        effects: list[messages.Effect],
    ) -> None:
        """Start from an answer only when a majority stands behind it.

        A control instance that was cut off in silence answers with an old
        revision as if nothing were wrong. An instance that starts from that
        word alone would bring back routes or servers that operators took
        away long ago.
        """
        if call.source not in self._control:
            return
        update = event.update
        if not event.strong and not self._control_is_complete:
            return
        if not event.strong:
            self._vouched[call.source] = (update, known_at)
            if len(self._vouched) <= len(self._control) // 2:
                return
            update, known_at = max(
                self._vouched.values(), key=lambda word: word[0].revision
            )
        if update.revision == 0:
            # Nothing was accepted yet, as far as a majority knows.
            return
        self._take(call.source, update, known_at, effects)
        if self.revision:
            self._vouched.clear()

    def _take(
        self,
        source: str,
        update: messages.Update,
        known_at: float,
        effects: list[messages.Effect],
    ) -> None:
        if update.revision < max(self.revision, self.unreadable_revision):
            return
        if update.revision == self.revision:
            if update.digest != self.digest:
                effects.append(
                    messages.Report("diverged", source, update.revision, "")
                )
                return
            self.confirmed_at = max(self.confirmed_at, known_at)
            return
        if update.revision == self.unreadable_revision or not update.payload:
            return
        value = self._value_of(source, update, effects)
        if value is None:
            return
        detail = self._unreadable(value)
        if detail:
            self.unreadable_revision = update.revision
            effects.append(
                messages.Report("unreadable", source, update.revision, detail)
            )
            return
        self._install(update, value, known_at, effects)

    def _value_of(
        self,
        source: str,
        update: messages.Update,
        effects: list[messages.Effect],
    ) -> bytes | None:
        try:
            if update.base == 0:
                value = update.payload
            elif update.base == self.revision:
                value = difference.apply(self.value, update.payload)
            else:
                # A newer revision came in by another way meanwhile.
                return None
            if rows.digest(value) == update.digest:
                return value
            detail = "digest"
        except difference.MismatchError as exc:
            detail = str(exc)
        self._whole = True
        effects.append(
            messages.Report("mismatch", source, update.revision, detail)
        )
        return None

    def _install(
        self,
        update: messages.Update,
        value: bytes,
        known_at: float,
        effects: list[messages.Effect],
    ) -> None:
        assert update.revision > self.revision, "a revision only goes up"
        self.revision = update.revision
        self.value = value
        self.digest = update.digest
        self.confirmed_at = max(self.confirmed_at, known_at)
        self._whole = False
        self._asks = 0
        self._peers = {
            peer: has
            for peer, has in self._peers.items()
            if has > self.revision
        }
        effects.append(messages.Install(self.revision, value))

    def _fail(self, event: messages.PollFailed, now: float) -> None:
        call = self._calls.pop(event.poll_id, None)
        if call is not None and call.kind == "watch":
            self._delay_watch(now)
        self._ask_soon(now)

    def _ask_soon(self, now: float) -> None:
        """Ask the next source soon when one has failed at the start."""
        if not self.revision:
            self._next_ask = min(self._next_ask, now + FIRST_HEDGE_S)

    def _delay_watch(self, now: float) -> None:
        self._next_watch = now + WATCH_RETRY_S * self._rng.uniform(0.5, 1.0)

    def _forget_overdue(self, now: float) -> None:
        overdue = [
            number
            for number, call in self._calls.items()
            if call.deadline <= now
        ]
        for number in overdue:
            if self._calls.pop(number).kind == "watch":
                self._delay_watch(now)

    def _watching(self) -> bool:
        return any(call.kind == "watch" for call in self._calls.values())

    def _go_on(self, now: float, effects: list[messages.Effect]) -> None:
        if self.is_behind and self._next_ask <= now:
            self._chase(now, effects)
        if not self.revision:
            return
        if (
            self._modes.push
            and not self._watching()
            and self._next_watch <= now
        ):
            source = self._next_control()
            effects.append(self._ask(source, "watch", now))
        if self._modes.pull and self._next_pull <= now:
            spread = self._rng.uniform(0.8, 1.2)
            self._next_pull = now + self._timing.pull_s * spread
            effects.append(self._ask(self._next_control(), "fetch", now))

    def _chase(self, now: float, effects: list[messages.Effect]) -> None:
        """Ask one source after another until the revision wanted is here.

        The next is asked before the last one's time is up: a lost message
        or a silent connection shows only by the time-out.
        """
        if self.revision and self._asks >= GIVE_UP_ASKS:
            # No one has it: a word that was wrong must not keep every
            # instance asking for ever. The next word starts anew.
            effects.append(
                messages.Report(
                    "not-found", "", self.target_revision, "gave up"
                )
            )
            self.target_revision = self.revision
            self._peers.clear()
            self._asks = 0
            return
        self._asks += 1
        effects.append(self._ask(self._next_source(), "fetch", now))
        delay = HEDGE_S * BACKOFF_FACTOR ** max(0, self._asks - QUICK_ASKS)
        if not self.revision:
            delay = FIRST_HEDGE_S * 2 ** len(self._calls)
        jitter = self._rng.uniform(0.7, 1.0)
        self._next_ask = now + min(delay, MAX_BACKOFF_S) * jitter

    def _next_source(self) -> str:
        """Return a peer that has the revision, or a control instance, by turns.

        A peer that told of it has just been alive; the control instance that
        is being watched may be the one that fell silent.
        """
        fresh = [p for p, has in self._peers.items() if has > self.revision]
        if self.revision and fresh and self._asks % 2:
            return self._rng.choice(fresh)
        return self._next_control()

    def _next_control(self) -> str:
        self._turn = (self._turn + 1) % len(self._control)
        return self._control[self._turn]

    def _ask(self, source: str, kind: str, now: float) -> messages.SendPoll:
        self._count += 1
        wait_s = self._timing.hold_s if kind == "watch" else 0.0
        if not self.revision:
            wait_s = min(FIRST_HOLD_S, self._timing.hold_s)
        margin_s = WATCH_MARGIN_S if kind == "watch" else FETCH_TIMEOUT_S
        timeout_s = wait_s + margin_s
        self._calls[self._count] = _Call(source, kind, now, now + timeout_s)
        have, digest = self.revision, self.digest
        if self._whole or self.unreadable_revision > self.revision:
            # No digest fits this one: the whole value is sent.
            have, digest = max(have, self.unreadable_revision), b""
        strong = self.revision == 0
        return messages.SendPoll(
            self._count, source, have, digest, wait_s, timeout_s, strong
        )
