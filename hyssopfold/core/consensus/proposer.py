"""Run operations through ballots: the proposer of a member."""

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
    """A queued or running operation."""

    def __init__(self, operation: messages.Operation, deadline: float) -> None:
        self.operation = operation
        self.deadline = deadline
        self.requests = [operation.request]
        self.failed_rounds = 0
        # An Accept that was sent may take effect at any later time.
        self.proposed = False
        self.needs_round = False


class _Round:
    """Votes collected under one ballot.

    `base` is the register that this member had accepted, under `base_ballot`,
    when the round began.
    """

    def __init__(
        self,
        ballot: messages.Ballot,
        base: messages.Register,
        base_ballot: messages.Ballot,
        base_is_chosen: bool,
        expires_at: float,
    ) -> None:
        self.ballot = ballot
        self.base = base
        self.base_ballot = base_ballot
        self.base_is_chosen = base_is_chosen
        self.expires_at = expires_at
        self.asked: set[str] = set()
        self.promises: dict[str, messages.Promise] = {}
        self.accepts: set[str] = set()
        self.outcome: operations.OperationOutcome | None = None


class _Query:
    """Answers about one ballot, collected by a read without writes."""

    def __init__(
        self, number: int, ballot: messages.Ballot, expires_at: float
    ) -> None:
        self.number = number
        self.ballot = ballot
        self.expires_at = expires_at
        self.agreeing: set[str] = set()
        self.answered: set[str] = set()


class Proposer:
    """The proposer of a member: runs one operation at a time.

    Used by `node.Node`, which passes it the answers of acceptors.

    Args:
        replica: State of this member.
        rng: Source of back-off jitter.
        round_timeout_s: Timeout of one round, in seconds.
        operation_timeout_s: Timeout of an operation, in seconds.
        view: Returns the statuses of the other instances at a time.
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
        """Return whether no operation is queued or running."""
        return self._current is None and not self._pending

    def submit(
        self, operation: messages.Operation, now: float, effects: Effects
    ) -> None:
        """Queue `operation`, or refuse it if the queue is full.

        Args:
            operation: The operation to run.
            now: Monotonic time in seconds.
            effects: Gets the answer if the queue is full.
        """
        if len(self._pending) >= MAX_PENDING:
            result = messages.EditNotAccepted("too many operations wait")
            _reply([operation.request], result, effects)
            return
        deadline = now + self._operation_timeout_s
        self._pending.append(_PendingOperation(operation, deadline))

    def next_deadline(self) -> float | None:
        """Return when `advance` must be called at the latest, in seconds."""
        if self._current is None:
            return None
        due = self._retry_at
        if self._round is not None:
            due = self._round.expires_at
        elif self._query is not None:
            due = self._query.expires_at
        return min(due, self._current.deadline)

    def observe_counter(self, counter: int) -> None:
        """Record a ballot's counter, so that the next ballot is higher."""
        self._counter = max(self._counter, counter)

    def refuse_all(self, reason: str, effects: Effects) -> None:
        """Answer all operations, since this member can run none of them."""
        if self._current is not None:
            self._finish(self._failure_result(reason), effects)
        while self._pending:
            pending = self._pending.popleft()
            result = messages.EditNotAccepted(reason)
            _reply(pending.requests, result, effects)

    def advance(self, now: float, effects: Effects) -> None:
        """Expire, retry and start operations that are due at `now`."""
        self._expire_pending(now, effects)
        self._expire_current(now, effects)
        while self._current is None and self._pending:
            self._begin(now)
            self._start_attempt(now, effects)
        self._start_attempt(now, effects)

    def _expire_pending(self, now: float, effects: Effects) -> None:
        while self._pending and now >= self._pending[0].deadline:
            pending = self._pending.popleft()
            result = messages.EditNotAccepted(
                "it timed out behind other operations"
            )
            _reply(pending.requests, result, effects)

    def _expire_current(self, now: float, effects: Effects) -> None:
        current = self._current
        if current is None:
            return
        if now >= current.deadline:
            self._finish(self._failure_result(_NO_MAJORITY), effects)
            return
        attempt = self._round or self._query
        if attempt is None or now < attempt.expires_at:
            return
        if not current.proposed and not self._is_majority_reachable(now):
            # The refusal is certain; waiting longer would only delay it.
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
        # One round answers all queued reads, since each began before it.
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
            # A round needs a ballot that its proposer has synced as a vote of
            # its own, which a non-voter cannot give. A query needs no ballot:
            # if a majority has accepted the same ballot as this instance, its
            # register is the newest.
            self._finish(self._failure_result(NOT_A_VOTER), effects)

    def _begin_query(self, now: float, effects: Effects) -> None:
        self._queries += 1
        expires_at = now + self._round_timeout_s
        query = _Query(self._queries, self._replica.accepted, expires_at)
        self._query = query
        for voter in self._replica.register.voters():
            if voter.id != self._replica.id:
                message = messages.Query(query.number)
                effects.append(messages.Send(voter.endpoint, message))
        own_answer = messages.QueryAnswer(query.number, self._replica.accepted)
        self.on_query_answer(self._replica.id, own_answer, now, effects)

    def on_query_answer(
        self,
        sender: str,
        answer: messages.QueryAnswer,
        now: float,
        effects: Effects,
    ) -> None:
        """Count an answer; a majority with the same ballot ends the read.

        A register chosen before the read began was accepted by a majority.
        That majority shares an acceptor with the one that answers, and this
        acceptor would report a higher ballot.
        """
        query = self._query
        if query is None or answer.number != query.number:
            return
        if self._replica.accepted != query.ballot:
            # Answers with the old ballot say nothing about the ballot that
            # this instance has accepted since; answers about two ballots must
            # not be counted as one majority.
            self._replace_query_with_round(now)
            return
        query.answered.add(sender)
        register = self._replica.register
        if answer.accepted == query.ballot:
            query.agreeing.add(sender)
        if quorums.has_quorum(register, query.agreeing):
            self._record_chosen(query.ballot, register, effects)
            self._finish(messages.ReadDone(register), effects)
            return
        voter_ids = {voter.id for voter in register.voters()}
        if answer.accepted > query.ballot or voter_ids <= query.answered:
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
        """Send `Prepare` to the voters of `register` not asked so far."""
        current = self._round
        assert current is not None
        message = messages.Prepare(
            current.ballot, register.cluster, current.base_ballot
        )
        voters = [v for v in register.voters() if v.id not in current.asked]
        current.asked.update(voter.id for voter in voters)
        # This instance votes first, so that the ballot is synced before it is
        # sent. Otherwise a crash in between would lose a ballot that others
        # have received, and the same number would be used twice.
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
        """Count a promise; propose a register once a majority promised."""
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
        if not quorums.has_quorum(current.base, ids, current.base_is_chosen):
            return
        if not quorums.has_quorum(
            newest.register, ids, self._is_known_chosen(newest)
        ):
            self._prepare(newest.register, now, effects)
            return
        self._propose(newest, now, effects)

    def _is_known_chosen(self, promise: messages.Promise) -> bool:
        return promise.accepted == self._replica.chosen_ballot

    def _is_chosen(self, newest: messages.Promise) -> bool:
        """Return whether the register in `newest` is known to be chosen."""
        assert self._round is not None
        if self._is_known_chosen(newest):
            return True
        agreeing = {
            sender
            for sender, promise in self._round.promises.items()
            if promise.accepted == newest.accepted
        }
        return quorums.has_quorum(newest.register, agreeing)

    def _propose(
        self, newest: messages.Promise, now: float, effects: Effects
    ) -> None:
        assert self._round is not None
        assert self._current is not None
        register = newest.register
        is_chosen = self._is_chosen(newest)
        if register.previous and not is_chosen:
            # A membership change that may or may not be chosen is completed
            # first. If it were built upon at once, two changes in a row could
            # leave majorities without a common member.
            outcome = operations.OperationOutcome(register, None)
        else:
            base = register._replace(previous=())
            operation = self._current.operation
            outcome = operations.apply(operation, base, self._view(now))
            if outcome.register != base:
                self._current.proposed = True
        self._round.outcome = outcome
        if outcome.register == register and is_chosen:
            self._record_chosen(newest.accepted, register, effects)
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
        # The ballot was synced with its promise, so the messages can be sent
        # before the own vote; all disks then sync at the same time.
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
        """Count an accept; with a majority the proposal is chosen."""
        current = self._round
        if current is None or accepted.ballot != current.ballot:
            return
        if current.outcome is None:
            return
        current.accepts.add(sender)
        register, result = current.outcome
        if not quorums.has_quorum(register, current.accepts):
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
        """Record that `register` is chosen; if that is new, notify voters."""
        if ballot <= self._replica.chosen_ballot:
            return
        self._replica.install(messages.Install(ballot, register), effects)
        for voter in register.voters():
            if voter.id != self._replica.id:
                message = messages.Chosen(ballot)
                effects.append(messages.Send(voter.endpoint, message))

    def on_refused(self, refused: messages.Refused, now: float) -> None:
        """Abort the round, since an acceptor promised a higher ballot."""
        self.observe_counter(refused.promised.counter)
        if self._round is not None and refused.ballot == self._round.ballot:
            self._schedule_retry(now)

    def _schedule_retry(self, now: float) -> None:
        # Two proposers that retry at the same time would keep refusing each
        # other; the jitter lets one of them finish.
        assert self._current is not None
        self._round = None
        self._query = None
        self._current.failed_rounds += 1
        max_delay_s = _BACKOFF_S * 2.0 ** min(self._current.failed_rounds, 10)
        max_delay_s = min(max_delay_s, _MAX_BACKOFF_S)
        self._retry_at = now + self._rng.uniform(0, max_delay_s)

    def _finish(self, result: messages.Result, effects: Effects) -> None:
        assert self._current is not None
        _reply(self._current.requests, result, effects)
        self._current = None
        self._round = None
        self._query = None


def _reply(
    requests: list[int], result: messages.Result, effects: Effects
) -> None:
    """Answer `requests`, except 0, which is an operation of this member."""
    for request in requests:
        if request:
            effects.append(messages.Reply(request, result))
