"""One request's attempts as a state machine: send, retry, relay or refuse."""

import enum
import functools
import math

from hyssopfold.core.attempts import budget as budget_module
from hyssopfold.core.attempts import messages

# Answers by which a server says that it failed, not that the request is bad.
_SERVER_FAILURES = (500, 502, 503)
# Callers that may come back do so at once: what failed here has most of its
# time left, and another server or entry may take it.
RETRY_AFTER_S = 0.1
# Tries beyond the operator's number, at servers that never saw the request.
EXTRA_ATTEMPTS = 2
# On a connection that has been used before, silence may be the connection's
# own: a first attempt there leaves this share of the time for another one.
REUSED_CONNECTION_SHARE = 0.5

_SENT = messages.Sent
Effects = tuple[messages.Effect, ...]


class Phase(enum.Enum):
    """Where the request stands."""

    NEW = "new"
    ACQUIRING = "acquiring"
    SENDING = "sending"
    RELAYING = "relaying"
    DONE = "done"


class InvariantError(AssertionError):
    """The machine was about to break a promise, or was fed out of order."""


class Attempts:
    """Decide what happens to one request.

    Each event goes through `handle`, which returns the effects to carry out
    in order. The machine asserts its own promises: a request that may not be
    repeated is sent again only if every attempt before is certain not to have
    run, and `not-run` is said only if that holds for all of them.

    Args:
        request: The request.
        budget: Retries that the entry may still make.
    """

    def __init__(
        self, request: messages.Request, budget: budget_module.RetryBudget
    ) -> None:
        self.request = request
        self.phase = Phase.NEW
        self.tried: tuple[str, ...] = ()
        self.maybe_ran = False
        self._budget = budget
        self._body_dropped = False
        self._uploading = False
        self.last_sent = _SENT.NOT_SENT
        self._deadline = math.inf
        self.last_reason = ""
        # Servers that may have seen the request, as far as an operator counts:
        # not those that took no connection, nor others at their address.
        self.counted_attempts = 0
        # A retry was taken from the budget already.
        self._has_retry = False

    @property
    def outcome(self) -> messages.Outcome:
        """Return what is certain if no whole answer comes."""
        if self.maybe_ran or self.last_sent is _SENT.MAYBE_SENT:
            return messages.Outcome.UNKNOWN
        return messages.Outcome.NOT_RUN

    def handle(self, event: messages.Event, now: float) -> Effects:
        """Take `event` in at `now` seconds; return what to do."""
        if self.phase is Phase.DONE:
            raise InvariantError(f"{event} after the end")
        return _on(event, self, now)

    def expect(self, *phases: Phase) -> None:
        """Check that an event comes in a phase that allows it.

        Raises:
            InvariantError: when it does not.
        """
        if self.phase not in phases:
            raise InvariantError(f"event out of order in {self.phase}")

    def start(self, now: float) -> Effects:
        """Begin: ask for a slot."""
        self.expect(Phase.NEW)
        self._budget.earn(now)
        self._deadline = now + self.request.limit_s
        self.phase = Phase.ACQUIRING
        return (messages.Acquire((), self._deadline),)

    def granted(self, server_id: str, now: float) -> Effects:
        """Send the request to the server that was granted."""
        self.expect(Phase.ACQUIRING)
        if server_id in self.tried:
            raise InvariantError(f"server {server_id} is tried twice")
        if self.maybe_ran and not self.request.repeatable:
            raise InvariantError("sent again though it may have run")
        self.phase = Phase.SENDING
        self.tried += (server_id,)
        self.last_sent = _SENT.NOT_SENT
        number = len(self.tried)
        # A pooled connection may have been closed at the other end just now.
        # That shows as a reset after the request was written, and what may
        # not be repeated, or can't since its body is not kept, would be lost
        # with `unknown`. A new connection was alive a round trip ago.
        repeat = self.request.repeatable and not self.request.has_body
        fresh = not repeat or number > 1
        deadline = self._deadline
        if not fresh and self.request.expects_silence:
            deadline = now + (deadline - now) * REUSED_CONNECTION_SHARE
        return (messages.Send(number, fresh, deadline),)

    def no_slot(self, event: messages.NoSlot) -> Effects:
        """Refuse, telling what is certain of the attempts before."""
        self.expect(Phase.ACQUIRING)
        reason = self.last_reason or event.reason
        error = event.reason if not self.maybe_ran else "attempt-failed"
        return self._refuse(error, reason, event.retry_after_s)

    def bytes_sent(self) -> Effects:
        """Note that the server may have the request from now on."""
        self.expect(Phase.SENDING)
        self._record_sent()
        return ()

    def _record_sent(self) -> None:
        if self.last_sent is _SENT.NOT_SENT:
            self.counted_attempts += 1
        self.last_sent = _SENT.MAYBE_SENT

    def body_began(self) -> Effects:
        """Let the upload go on for as long as it makes progress."""
        self.expect(Phase.SENDING)
        self._uploading = True
        if self.request.is_absolute:
            return ()
        return (messages.AnswerBy(math.inf),)

    def body_dropped(self) -> Effects:
        """Note that the body can't be sent again."""
        self.expect(Phase.SENDING)
        self._body_dropped = True
        return ()

    def body_sent(self, now: float) -> Effects:
        """Count the time until the answer from the request's last byte."""
        self.expect(Phase.SENDING)
        if not self._uploading:
            return ()
        self._uploading = False
        if self.request.is_absolute:
            return (messages.AnswerBy(self._deadline),)
        self._deadline = max(self._deadline, now + self.request.limit_s)
        return (messages.AnswerBy(self._deadline),)

    def answer_began(self, event: messages.AnswerBegan, now: float) -> Effects:
        """Relay the answer if it is this request's own and can be whole."""
        self.expect(Phase.SENDING)
        self._record_sent()
        is_own = event.echoed == self.request.request_id
        if event.misdirected or (event.not_run and is_own):
            self.last_sent = _SENT.REFUSED_NOT_RUN
            reason = "shed by the server"
            if event.misdirected:
                reason = "another server has the address"
                self.counted_attempts -= 1
            return self._failed(reason, now)
        fault = _fault(event, is_own)
        if fault:
            return self._failed(fault, now)
        if self._is_worth_retry(event.status, now):
            self._has_retry = True
            return self._failed(f"status {event.status}", now)
        self.phase = Phase.RELAYING
        return (messages.Relay(),)

    def _is_worth_retry(self, status: int, now: float) -> bool:
        """Return whether a failed answer is better asked for elsewhere.

        A server whose health check passes may fail a part of its requests;
        another one serves them. What may not be repeated is told as it is.
        """
        if status not in _SERVER_FAILURES or not self.request.repeatable:
            return False
        return self._may_retry(now)

    def answer_ended(self) -> Effects:
        """End: the caller has its whole answer."""
        self.expect(Phase.RELAYING)
        return self._finish("answered")

    def lost(self, reason: str, now: float) -> Effects:
        """Try again, refuse, or cut the answer that has begun."""
        self.expect(Phase.SENDING, Phase.RELAYING)
        if self.phase is Phase.SENDING:
            return self._failed(reason, now)
        self.maybe_ran = True
        cut = messages.CutCaller(reason)
        return (messages.CloseConnection(), cut, *self._finish("cut"))

    def caller_gone(self) -> Effects:
        """Drop the request; closing the connection cancels it."""
        if self.phase is Phase.NEW:
            raise InvariantError("gone before it came")
        finish = self._finish("caller-gone")
        return (messages.CloseConnection(), *finish)

    def _failed(self, reason: str, now: float) -> Effects:
        self.maybe_ran = self.maybe_ran or self.last_sent is _SENT.MAYBE_SENT
        self.last_reason = reason
        self.phase = Phase.ACQUIRING
        close = messages.CloseConnection()
        if self._has_retry or self._may_retry(now):
            self._has_retry = False
            acquire = messages.Acquire(self.tried, self._deadline)
            return (close, acquire)
        error = "attempt-failed"
        if now >= self._deadline:
            error = "deadline-passed"
        return (close, *self._refuse(error, reason, RETRY_AFTER_S))

    def _may_retry(self, now: float) -> bool:
        may_repeat = self.request.repeatable or not self.maybe_ran
        in_time = now < self._deadline
        max_attempts = self.request.max_attempts
        tries_left = (
            self.counted_attempts < max_attempts
            and len(self.tried) < max_attempts + EXTRA_ATTEMPTS
        )
        possible = (
            may_repeat and in_time and tries_left and not self._body_dropped
        )
        # What reached no server adds no load to any: it needs no budget.
        if possible and self.last_sent is _SENT.NOT_SENT:
            return True
        return possible and self._budget.spend()

    def _refuse(self, error: str, reason: str, retry_after_s: float) -> Effects:
        outcome = self.outcome
        if outcome is messages.Outcome.NOT_RUN and self.maybe_ran:
            raise InvariantError("not-run said of what may have run")
        refusal = messages.Refuse(error, outcome, reason, retry_after_s)
        return (refusal, *self._finish(outcome.value))

    def _finish(self, outcome: str) -> Effects:
        self.phase = Phase.DONE
        return (messages.Finish(outcome),)


def _fault(event: messages.AnswerBegan, is_own: bool) -> str:
    """Return why an answer must not be passed on, or ""."""
    if event.echoed is not None and not is_own:
        return "an answer to a different request"
    if event.status < 200:
        return f"unasked status {event.status}"
    if not event.framed:
        # Without a length or chunks, a server that dies midway ends its
        # answer just as a server that is done does.
        return "answer whose end can't be told"
    return "" if event.is_signed else "an answer that no server signed"


@functools.singledispatch
def _on(event: object, attempts: Attempts, now: float) -> Effects:
    raise TypeError(f"no event of attempts: {event!r}")


@_on.register
def _(event: messages.Started, attempts: Attempts, now: float) -> Effects:
    return attempts.start(now)


@_on.register
def _(event: messages.Granted, attempts: Attempts, now: float) -> Effects:
    return attempts.granted(event.server_id, now)


@_on.register
def _(event: messages.NoSlot, attempts: Attempts, now: float) -> Effects:
    return attempts.no_slot(event)


@_on.register
def _(event: messages.BytesSent, attempts: Attempts, now: float) -> Effects:
    return attempts.bytes_sent()


@_on.register
def _(event: messages.BodyBegan, attempts: Attempts, now: float) -> Effects:
    return attempts.body_began()


@_on.register
def _(event: messages.BodyDropped, attempts: Attempts, now: float) -> Effects:
    return attempts.body_dropped()


@_on.register
def _(event: messages.BodySent, attempts: Attempts, now: float) -> Effects:
    return attempts.body_sent(now)


@_on.register
def _(event: messages.AnswerBegan, attempts: Attempts, now: float) -> Effects:
    return attempts.answer_began(event, now)


@_on.register
def _(event: messages.AnswerEnded, attempts: Attempts, now: float) -> Effects:
    return attempts.answer_ended()


@_on.register
def _(event: messages.Lost, attempts: Attempts, now: float) -> Effects:
    return attempts.lost(event.reason, now)


@_on.register
def _(event: messages.CallerGone, attempts: Attempts, now: float) -> Effects:
    return attempts.caller_gone()
