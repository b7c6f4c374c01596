"""The proposing half of a member: carries operations through ballots."""

from collections import deque
from collections.abc import Callable
import random

from hyssopfold.core.consensus import invariants
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import operations
from hyssopfold.core.consensus import quorums
from hyssopfold.core.consensus import replica as replica_module

MAX_PENDING = 256
_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0

NOT_A_VOTER = "this control instance does not vote"
_NO_MAJORITY = "no majority of the control instances answers"

Effects = list[messages.Effect]


class _PendingOperation:
    """An operation that waits, or is under way."""

    def __init__(self, operation: messages.Operation, deadline: float) -> None:
        self.operation = operation
        self.deadline = deadline
        self.requests = [operation.request]
        self.failed_rounds = 0
        # An Accept that went out may take effect at any later time.
        self.proposed = False
        self.needs_round = False


class _Round:
    """Votes gathered under one ballot."""

    def __init__(
        self,
        ballot: messages.Ballot,
        base: messages.Register,
        base_ballot: messages.Ballot,
        base_is_chosen: bool,
        expires: float,
    ) -> None:
        self.ballot = ballot
        self.base = base
        self.base_ballot = base_ballot
        self.base_is_chosen = base_is_chosen
        self.expires = expires
        self.asked: set[str] = set()
        self.promises: dict[str, messages.Promise] = {}
        self.accepts: set[str] = set()
        self.outcome: operations.OperationOutcome | None = None


class _Query:
    """Answers about one ballot, gathered by a read that writes nothing."""

    def __init__(
        self, number: int, ballot: messages.Ballot, expires: float
    ) -> None:
        self.number = number
        self.ballot = ballot
        self.expires = expires
        self.same: set[str] = set()
        self.answered: set[str] = set()


class Proposer:
    """Carry one operation after another until it is settled.

    Args:
        replica: What this member holds and knows.
        rng: Source of back-off jitter.
        round_timeout_s: Time for one round to reach a majority.
        operation_timeout_s: Time until an operation is given up.
        view: Returns what is known of the others at a time.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        rng: random.Random,
        round_timeout_s: float,
        operation_timeout_s: float,
        view: Callable[[float], operations.PeerView],
    ) -> None:
        self._replica = replica
        self._rng = rng
        self._round_timeout_s = round_timeout_s
        self._operation_timeout_s = operation_timeout_s
        self._view = view
        self._counter = replica.acceptor.durable.promised.counter
        self._queries = 0
        self._pending: deque[_PendingOperation] = deque()
        self._current: _PendingOperation | None = None
        self._round: _Round | None = None
        self._query: _Query | None = None
        self._retry_at = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether no operation waits or is under way."""
        return self._current is None and not self._pending

    def submit(
        self, operation: messages.Operation, now: float, effects: Effects
    ) -> None:
        """Let `operation` wait for its rounds."""
        if len(self._pending) >= MAX_PENDING:
            result = messages.EditNotAccepted("too many operations wait")
            _reply([operation.request], result, effects)
            return
        deadline = now + self._operation_timeout_s
        self._pending.append(_PendingOperation(operation, deadline))

    def next_deadline(self) -> float | None:
        """Return when `advance` is due at the latest, in seconds."""
        if self._current is None:
            return None
        due = self._retry_at
        if self._round is not None:
            due = self._round.expires
        elif self._query is not None:
            due = self._query.expires
        return min(due, self._current.deadline)

    def observe_counter(self, counter: int) -> None:
        """Take note of a ballot's counter, so that the next one is higher."""
        self._counter = max(self._counter, counter)

    def refuse_all(self, reason: str, effects: Effects) -> None:
        """Answer all operations: this member can settle none of them."""
        if self._current is not None:
            self._finish(self._failure_result(reason), effects)
        while self._pending:
            pending = self._pending.popleft()
            result = messages.EditNotAccepted(reason)
            _reply(pending.requests, result, effects)

    def advance(self, now: float, effects: Effects) -> None:
        """Expire, retry or begin operations as far as time allows."""
        self._expire_pending(now, effects)
        self._expire_current(now, effects)
        while self._current is None and self._pending:
            self._begin(now)
            self._start_attempt(now, effects)
        self._start_attempt(now, effects)

    def _expire_pending(self, now: float, effects: Effects) -> None:
        while self._pending and now >= self._pending[0].deadline:
            pending = self._pending.popleft()
            result = messages.EditNotAccepted("others were served first")
            _reply(pending.requests, result, effects)

    def _expire_current(self, now: float, effects: Effects) -> None:
        current = self._current
        if current is None:
            return
        if now >= current.deadline:
            self._finish(self._failure_result(_NO_MAJORITY), effects)
            return
        attempt = self._round or self._query
        if attempt is None or now < attempt.expires:
            return
        if not current.proposed and not self._is_majority_reachable(now):
            # Certain already: waiting on would only hold the refusal back.
            self._finish(messages.EditNotAccepted(_NO_MAJORITY), effects)
            return
        current.needs_round = True
        self._schedule_retry(now)

    def _is_majority_reachable(self, now: float) -> bool:
        return self._view(now).is_majority_reachable(
            self._replica.register.members
        )

    def _failure_result(self, reason: str) -> messages.Result:
        assert self._current is not None
        if self._current.proposed:
            return messages.OutcomeUnknown()
        return messages.EditNotAccepted(reason)

    def _begin(self, now: float) -> None:
        current = self._pending.popleft()
        self._current = current
        self._retry_at = now
        if not isinstance(current.operation, messages.Read):
            return
        # One round answers all reads that wait: each began before it.
        others = [
            pending
            for pending in self._pending
            if isinstance(pending.operation, messages.Read)
        ]
        for pending in others:
            current.requests += pending.requests
            self._pending.remove(pending)

    def _start_attempt(self, now: float, effects: Effects) -> None:
        current = self._current
        if current is None or self._round is not None:
            return
        if self._query is not None or now < self._retry_at:
            return
        is_read = isinstance(current.operation, messages.Read)
        if (
            is_read
            and not current.needs_round
            and not self._replica.register.previous
        ):
            self._begin_query(now, effects)
        elif self._replica.is_voter:
            self._begin_round(now, effects)
        else:
            # A round needs a ballot that is synced before it is used, which
            # is the vote of its proposer. A question needs none: a majority
            # that holds what this instance holds makes it the newest.
            self._finish(self._failure_result(NOT_A_VOTER), effects)

    def _begin_query(self, now: float, effects: Effects) -> None:
        self._queries += 1
        expires = now + self._round_timeout_s
        query = _Query(self._queries, self._replica.accepted, expires)
        self._query = query
        for voter in self._replica.register.voters():
            if voter.id != self._replica.id:
                message = messages.Query(query.number)
                effects.append(messages.Send(voter.endpoint, message))
        mine = messages.QueryAnswer(query.number, self._replica.accepted)
        self.on_query_answer(self._replica.id, mine, now, effects)

    def on_query_answer(
        self,
        sender: str,
        answer: messages.QueryAnswer,
        now: float,
        effects: Effects,
    ) -> None:
        """Count an answer; a majority with one ballot makes it chosen.

        A register chosen before the read began is held by a majority, which
        shares an acceptor with this one: it would show a higher ballot.
        """
        query = self._query
        if query is None or answer.number != query.number:
            return
        if self._replica.accepted != query.ballot:
            # Who answered that it holds the ballot of before says nothing of
            # the one accepted since: both counted as one make no majority.
            self._replace_query_with_round(now)
            return
        query.answered.add(sender)
        register = self._replica.register
        if answer.accepted == query.ballot:
            query.same.add(sender)
        if quorums.satisfied(register, query.same):
            self._record_chosen(query.ballot, register, effects)
            self._finish(messages.ReadDone(register), effects)
            return
        asked = {voter.id for voter in register.voters()}
        if answer.accepted > query.ballot or asked <= query.answered:
            self._replace_query_with_round(now)

    def _replace_query_with_round(self, now: float) -> None:
        assert self._current is not None
        self._query = None
        self._current.needs_round = True
        self._retry_at = now

    def _begin_round(self, now: float, effects: Effects) -> None:
        self.observe_counter(self._replica.acceptor.durable.promised.counter)
        self._counter += 1
        ballot = messages.Ballot(self._counter, self._replica.id)
        accepted = self._replica.accepted
        self._round = _Round(
            ballot,
            self._replica.register,
            accepted,
            accepted <= self._replica.chosen_ballot,
            now + self._round_timeout_s,
        )
        self._prepare(self._replica.register, now, effects)

    def _prepare(
        self, register: messages.Register, now: float, effects: Effects
    ) -> None:
        """Ask the voters of `register` that this round has not asked yet."""
        current = self._round
        assert current is not None
        message = messages.Prepare(
            current.ballot, register.cluster, current.base_ballot
        )
        voters = [v for v in register.voters() if v.id not in current.asked]
        current.asked.update(voter.id for voter in voters)
        # The own vote goes first, so that it is synced before anyone hears of
        # the ballot. Sent earlier, a crash in between would forget a ballot
        # that others have seen, and the same number would be used twice.
        answer = None
        if any(voter.id == self._replica.id for voter in voters):
            answer = self._replica.vote(message, effects)
            invariants.check(
                isinstance(answer, messages.Promise),
                "a ballot is promised by its own proposer before it is sent",
            )
        for voter in voters:
            if voter.id != self._replica.id:
                effects.append(messages.Send(voter.endpoint, message))
        self._receive_own(answer, now, effects)

    def _receive_own(
        self, answer: messages.Message | None, now: float, effects: Effects
    ) -> None:
        match answer:
            case messages.Promise():
                self.on_promise(self._replica.id, answer, now, effects)
            case messages.Accepted():
                self.on_accepted(self._replica.id, answer, now, effects)
            case messages.Refused():
                self.on_refused(answer, now)

    def on_promise(
        self,
        sender: str,
        promise: messages.Promise,
        now: float,
        effects: Effects,
    ) -> None:
        """Count a promise; at a majority decide what to propose."""
        current = self._round
        if current is None or promise.ballot != current.ballot:
            return
        if current.outcome is not None:
            return
        if promise.accepted == current.base_ballot:
            promise = promise._replace(register=current.base)
        current.promises[sender] = promise
        newest = max(current.promises.values(), key=lambda p: p.accepted)
        ids = current.promises.keys()
        if not quorums.satisfied(current.base, ids, current.base_is_chosen):
            return
        if not quorums.satisfied(
            newest.register, ids, self._is_known_chosen(newest)
        ):
            self._prepare(newest.register, now, effects)
            return
        self._propose(newest, now, effects)

    def _is_known_chosen(self, promise: messages.Promise) -> bool:
        return promise.accepted == self._replica.chosen_ballot

    def _is_chosen(self, newest: messages.Promise) -> bool:
        """Return whether what `newest` accepted is known to be chosen."""
        assert self._round is not None
        if self._is_known_chosen(newest):
            return True
        same = {
            sender
            for sender, promise in self._round.promises.items()
            if promise.accepted == newest.accepted
        }
        return quorums.satisfied(newest.register, same)

    def _propose(
        self, newest: messages.Promise, now: float, effects: Effects
    ) -> None:
        assert self._round is not None
        assert self._current is not None
        held = newest.register
        is_chosen = self._is_chosen(newest)
        if held.previous and not is_chosen:
            # A change of members that may or may not have been decided is
            # decided first. Built upon at once, two such changes in a row
            # could leave majorities that share no member.
            outcome = operations.OperationOutcome(held, None)
        else:
            base = held._replace(previous=())
            operation = self._current.operation
            outcome = operations.apply(operation, base, self._view(now))
            if outcome.register != base:
                self._current.proposed = True
        self._round.outcome = outcome
        if outcome.register == held and is_chosen:
            self._record_chosen(newest.accepted, held, effects)
            assert outcome.result is not None
            self._finish(outcome.result, effects)
            return
        self._accept(outcome.register, now, effects)

    def _accept(
        self, register: messages.Register, now: float, effects: Effects
    ) -> None:
        assert self._round is not None
        message = messages.Accept(self._round.ballot, register)
        voters = register.voters()
        for voter in voters:
            if voter.id != self._replica.id:
                effects.append(messages.Send(voter.endpoint, message))
        # The ballot is synced since its promise, so here the messages may
        # leave first: the disks of all then sync at the same time.
        if any(voter.id == self._replica.id for voter in voters):
            answer = self._replica.vote(message, effects)
            self._receive_own(answer, now, effects)

    def on_accepted(
        self,
        sender: str,
        accepted: messages.Accepted,
        now: float,
        effects: Effects,
    ) -> None:
        """Count an accept; at a majority the proposal is chosen."""
        current = self._round
        if current is None or accepted.ballot != current.ballot:
            return
        if current.outcome is None:
            return
        current.accepts.add(sender)
        register, result = current.outcome
        if not quorums.satisfied(register, current.accepts):
            return
        self._record_chosen(current.ballot, register, effects)
        if result is None:
            self._round = None
            self._retry_at = now
            self._start_attempt(now, effects)
            return
        self._finish(result, effects)

    def _record_chosen(
        self,
        ballot: messages.Ballot,
        register: messages.Register,
        effects: Effects,
    ) -> None:
        """Take note that `register` is chosen; tell the others if it is news."""
        if ballot <= self._replica.chosen_ballot:
            return
        self._replica.install(messages.Install(ballot, register), effects)
        for voter in register.voters():
            if voter.id != self._replica.id:
                message = messages.Chosen(ballot)
                effects.append(messages.Send(voter.endpoint, message))

    def on_refused(self, refused: messages.Refused, now: float) -> None:
        """Give the round up in favour of a higher ballot."""
        self.observe_counter(refused.promised.counter)
        if self._round is not None and refused.ballot == self._round.ballot:
            self._schedule_retry(now)

    def _schedule_retry(self, now: float) -> None:
        # Two proposers that retry in step would refuse each other for good;
        # the jitter lets one of them finish.
        assert self._current is not None
        self._round = None
        self._query = None
        self._current.failed_rounds += 1
        limit = _BACKOFF_S * 2.0 ** min(self._current.failed_rounds, 10)
        limit = min(limit, _MAX_BACKOFF_S)
        self._retry_at = now + self._rng.uniform(0, limit)

    def _finish(self, result: messages.Result, effects: Effects) -> None:
        assert self._current is not None
        _reply(self._current.requests, result, effects)
        self._current = None
        self._round = None
        self._query = None


def _reply(
    requests: list[int], result: messages.Result, effects: Effects
) -> None:
    """Answer all `requests` but those of this member itself, which are 0."""
    for request in requests:
        if request:
            effects.append(messages.Reply(request, result))
