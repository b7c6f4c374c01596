"""One member of the replicated register: acceptor and proposer in one.

The register is decided by ballots, each round carrying the whole value: a
round that reaches a majority in both of its phases makes its value the
chosen one. There is no log; see docs/design/durable-state.md.
"""

from collections import deque
from collections.abc import Sequence
import functools
import random
from typing import NamedTuple

from hyssopfold.core.consensus import acceptor
from hyssopfold.core.consensus import messages

MAX_CHANGES = 1000
_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0

BLANK = messages.Durable(
    messages.NO_BALLOT, messages.NO_BALLOT, messages.Register(0, b"", ())
)


class Operation(NamedTuple):
    """An event that waits for a round of ballots."""

    event: messages.Edit | messages.Read
    deadline: float


class _Round:
    """Votes gathered for the operation under way."""

    def __init__(self, ballot: messages.Ballot, expires: float) -> None:
        self.ballot = ballot
        self.expires = expires
        self.promises: dict[str, messages.Promise] = {}
        self.accepts: set[str] = set()
        self.proposal: messages.Register | None = None
        self.result: messages.Result | None = None


class Node:
    """Decide edits and reads of the register among fixed members.

    Args:
        name: Name of this member.
        members: Names of all members, this one included.
        durable: What storage holds, or `BLANK`.
        rng: Source of back-off jitter.
        round_timeout_s: Time for one round to reach a majority.
        operation_timeout_s: Time until an operation is given up.
    """

    def __init__(
        self,
        name: str,
        members: Sequence[str],
        durable: messages.Durable,
        rng: random.Random,
        round_timeout_s: float = 1.0,
        operation_timeout_s: float = 8.0,
    ) -> None:
        self.name = name
        self.members = tuple(members)
        self._acceptor = acceptor.Acceptor(durable)
        self._rng = rng
        self._round_timeout_s = round_timeout_s
        self._operation_timeout_s = operation_timeout_s
        self._counter = durable.promised.counter
        self._waiting: deque[Operation] = deque()
        self._current: Operation | None = None
        self._round: _Round | None = None
        self._retry_at = 0.0
        self._failed_rounds = 0
        # An Accept that went out may take effect at any later time.
        self._proposed = False
        self.learned = messages.Register(0, b"", ())

    @property
    def durable(self) -> messages.Durable:
        """Return what this member's acceptor has persisted."""
        return self._acceptor.durable

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Return the effects of `event`, to be carried out in order.

        Args:
            event: What happened.
            now: Monotonic time in seconds.
        """
        effects: list[messages.Effect] = []
        _handle(event, self, now, effects)
        self._advance(now, effects)
        return effects

    def next_deadline(self) -> float | None:
        """Return when a `Tick` is due at the latest, in seconds."""
        if self._current is None:
            return None
        due = self._round.expires if self._round else self._retry_at
        return min(due, self._current.deadline)

    def enqueue(self, event: messages.Edit | messages.Read, now: float) -> None:
        """Let `event` wait for its round."""
        deadline = now + self._operation_timeout_s
        self._waiting.append(Operation(event, deadline))

    def _advance(self, now: float, effects: list[messages.Effect]) -> None:
        """Expire, retry or begin operations as far as time allows."""
        self._expire_waiting(now, effects)
        if self._current is not None and now >= self._current.deadline:
            self._finish(self._given_up(), effects)
        if self._round is not None and now >= self._round.expires:
            self._schedule_retry(now)
        if self._current is None and self._waiting:
            self._current = self._waiting.popleft()
            self._retry_at = now
            self._failed_rounds = 0
            self._proposed = False
        if (
            self._current is not None
            and self._round is None
            and now >= self._retry_at
        ):
            self._begin_round(now, effects)

    def _expire_waiting(
        self, now: float, effects: list[messages.Effect]
    ) -> None:
        while self._waiting and now >= self._waiting[0].deadline:
            operation = self._waiting.popleft()
            result = messages.EditNotAccepted()
            effects.append(messages.Reply(operation.event.request, result))

    def _given_up(self) -> messages.Result:
        if self._proposed:
            return messages.OutcomeUnknown()
        return messages.EditNotAccepted()

    def _begin_round(self, now: float, effects: list[messages.Effect]) -> None:
        self._counter += 1
        ballot = messages.Ballot(self._counter, self.name)
        self._round = _Round(ballot, now + self._round_timeout_s)
        self._broadcast(messages.Prepare(ballot), now, effects)

    def _broadcast(
        self,
        message: messages.Message,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        # The own vote goes first, so that it is synced before anyone hears of
        # the ballot. Sent earlier, a crash in between would forget a ballot
        # that others have seen, and the same number would be used twice.
        _handle(messages.Received(self.name, message), self, now, effects)
        for member in self.members:
            if member != self.name:
                effects.append(messages.Send(member, message))

    def vote(
        self,
        sender: str,
        message: messages.Prepare | messages.Accept,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        """Let the acceptor answer a proposer."""
        self._counter = max(self._counter, message.ballot.counter)
        if isinstance(message, messages.Prepare):
            persist, answer = self._acceptor.prepare(message.ballot)
        else:
            persist, answer = self._acceptor.accept(
                message.ballot, message.register
            )
        if persist is not None:
            effects.append(messages.Persist(persist))
        if sender == self.name:
            _handle(messages.Received(self.name, answer), self, now, effects)
        else:
            effects.append(messages.Send(sender, answer))

    def on_promise(
        self,
        sender: str,
        promise: messages.Promise,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        """Count a promise; at a majority decide what to propose."""
        current = self._round
        if current is None or promise.ballot != current.ballot:
            return
        if current.proposal is not None:
            return
        current.promises[sender] = promise
        if len(current.promises) < self._majority():
            return
        newest = max(current.promises.values(), key=lambda p: p.accepted)
        current.proposal, current.result = self._apply(newest.register)
        if current.proposal == newest.register and self._is_chosen(current):
            self._learn(newest.register, effects)
            self._finish(current.result, effects)
            return
        if current.proposal.revision > newest.register.revision:
            self._proposed = True
        accept = messages.Accept(current.ballot, current.proposal)
        self._broadcast(accept, now, effects)

    def on_accepted(
        self,
        sender: str,
        accepted: messages.Accepted,
        effects: list[messages.Effect],
    ) -> None:
        """Count an accept; at a majority the proposal is chosen."""
        current = self._round
        if current is None or accepted.ballot != current.ballot:
            return
        current.accepts.add(sender)
        if len(current.accepts) < self._majority():
            return
        assert current.proposal is not None
        assert current.result is not None
        self._learn(current.proposal, effects)
        self._finish(current.result, effects)

    def on_refused(self, refused: messages.Refused, now: float) -> None:
        """Give the round up in favour of a higher ballot."""
        self._counter = max(self._counter, refused.promised.counter)
        if self._round is not None and refused.ballot == self._round.ballot:
            self._schedule_retry(now)

    def _schedule_retry(self, now: float) -> None:
        # Two proposers that retry in step would refuse each other for good;
        # the jitter lets one of them finish.
        self._round = None
        self._failed_rounds += 1
        limit = min(_BACKOFF_S * 2**self._failed_rounds, _MAX_BACKOFF_S)
        self._retry_at = now + self._rng.uniform(0, limit)

    def _is_chosen(self, current: _Round) -> bool:
        """Return whether a majority has accepted one and the same ballot."""
        ballots = {p.accepted for p in current.promises.values()}
        return len(ballots) == 1

    def _apply(
        self, register: messages.Register
    ) -> tuple[messages.Register, messages.Result]:
        """Return the register after the current operation, and its result."""
        assert self._current is not None
        event = self._current.event
        if isinstance(event, messages.Read):
            return register, messages.ReadDone(register)
        earlier = register.accepted_change(event.change_id)
        if earlier is not None:
            return register, messages.EditAccepted(earlier.revision)
        if event.expect != register.revision:
            winner = register.changes[-1].change_id if register.changes else ""
            return register, messages.EditConflict(register.revision, winner)
        revision = register.revision + 1
        change = messages.Change(event.change_id, revision)
        changes = (*register.changes, change)[-MAX_CHANGES:]
        new = messages.Register(revision, event.value, changes)
        return new, messages.EditAccepted(revision)

    def _learn(
        self, register: messages.Register, effects: list[messages.Effect]
    ) -> None:
        if register.revision > self.learned.revision:
            self.learned = register
            effects.append(messages.Learned(register))

    def _finish(
        self, result: messages.Result, effects: list[messages.Effect]
    ) -> None:
        assert self._current is not None
        effects.append(messages.Reply(self._current.event.request, result))
        self._current = None
        self._round = None

    def _majority(self) -> int:
        return len(self.members) // 2 + 1


@functools.singledispatch
def _handle(
    event: messages.Event,
    node: Node,
    now: float,
    effects: list[messages.Effect],
) -> None:
    """Carry `event` to the half of the member that it concerns."""
    raise TypeError(f"no such event: {event!r}")


@_handle.register(messages.Edit)
@_handle.register(messages.Read)
def _(
    event: messages.Edit | messages.Read,
    node: Node,
    now: float,
    effects: list[messages.Effect],
) -> None:
    node.enqueue(event, now)


@_handle.register
def _(
    event: messages.Tick,
    node: Node,
    now: float,
    effects: list[messages.Effect],
) -> None:
    return


@_handle.register
def _(
    event: messages.Received,
    node: Node,
    now: float,
    effects: list[messages.Effect],
) -> None:
    message = event.message
    match message:
        case messages.Prepare() | messages.Accept():
            node.vote(event.sender, message, now, effects)
        case messages.Promise():
            node.on_promise(event.sender, message, now, effects)
        case messages.Accepted():
            node.on_accepted(event.sender, message, effects)
        case messages.Refused():
            node.on_refused(message, now)
