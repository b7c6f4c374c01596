"""State machine of one request's attempts: send, retry, relay or refuse."""

import enum
import functools
import math

from hyssopfold.core.attempts import budget as budget_module
from hyssopfold.core.attempts import messages

# Statuses that mean a failure of the server rather than of the request.
_SERVER_FAILURES = (500, 502, 503)
# Callers should retry soon: a request that failed here has most of its time
# left, and another server or entry may serve it.
RETRY_AFTER_S = 0.1
# Attempts beyond the configured number, for servers that never received the
# request.
EXTRA_ATTEMPTS = 2
# A connection that was used before may be dead although no reset arrived. A
# first attempt on it uses this share of the time and leaves the rest for
# another one.
REUSED_CONNECTION_SHARE = 0.5

_SENT = messages.Sent
Effects = tuple[messages.Effect, ...]


class Phase(enum.Enum):
    """State of a request."""

    NEW = "new"
    ACQUIRING = "acquiring"
    SENDING = "sending"
    RELAYING = "relaying"
    DONE = "done"


class InvariantError(AssertionError):
    """The machine would violate a guarantee, or got an event out of order."""


class Attempts:
    """State machine of the attempts of one request.

    The entry passes each event to `handle` and executes the returned effects in
    order. The machine asserts its guarantees: a request
    that is not repeatable is sent again only if it is certain that no earlier
    attempt ran, and the outcome `not-run` is reported only if that holds for
    all attempts.

    Args:
        request: The request.
        budget: The retry budget of the entry.

    Attributes:
        request: The request.
        phase: The state of the request.
        tried: Ids of the servers that were granted, in order.
        maybe_ran: Whether an earlier attempt may have run.
        last_sent: How far the last attempt got.
        last_reason: Why the last attempt failed, empty at first.
        counted_attempts: Attempts that count towards the configured number.
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
        # Excludes servers that accepted no connection, and other servers that
        # answered at the address of the granted one.
        self.counted_attempts = 0
        # Whether a retry has already been taken from the budget.
        self._has_retry = False

    @property
    def outcome(self) -> messages.Outcome:
        """Return the outcome if no complete answer arrives."""
        if self.maybe_ran or self.last_sent is _SENT.MAYBE_SENT:
            return messages.Outcome.UNKNOWN
        return messages.Outcome.NOT_RUN

    def handle(self, event: messages.Event, now: float) -> Effects:
        """Handle an event and return the effects to execute.

        Args:
            event: The event.
            now: Monotonic time in seconds.

        Returns:
            The effects in the order in which to execute them.

        Raises:
            InvariantError: when the event is out of order, or the machine
                would violate one of its guarantees.
        """
        if self.phase is Phase.DONE:
            raise InvariantError(f"{event} after the request has ended")
        return _on(event, self, now)

    def expect(self, *phases: Phase) -> None:
        """Check that the current phase allows an event.

        Raises:
            InvariantError: when it does not.
        """
        if self.phase not in phases:
            raise InvariantError(f"event out of order in {self.phase}")

    def start(self, now: float) -> Effects:
        """Start the request by acquiring a slot."""
        self.expect(Phase.NEW)
        self._budget.earn(now)
        self._deadline = now + self.request.limit_s
        self.phase = Phase.ACQUIRING
        return (messages.Acquire((), self._deadline),)

    def granted(self, server_id: str, now: float) -> Effects:
        """Send the request to the granted server."""
        self.expect(Phase.ACQUIRING)
        if server_id in self.tried:
            raise InvariantError(f"server {server_id} was granted twice")
        if self.maybe_ran and not self.request.repeatable:
            raise InvariantError("request would be sent again but may have run")
        self.phase = Phase.SENDING
        self.tried += (server_id,)
        self.last_sent = _SENT.NOT_SENT
        number = len(self.tried)
        # The server may just have closed a pooled connection, which shows as a
        # reset after the request was written. A request that is not repeatable,
        # or can't be repeated since its body is not kept, would then end as
        # `unknown`. A new connection was alive a round trip ago.
        can_repeat = self.request.repeatable and not self.request.has_body
        fresh = not can_repeat or number > 1
        deadline = self._deadline
        if not fresh and self.request.may_use_stale_connection:
            deadline = now + (deadline - now) * REUSED_CONNECTION_SHARE
        return (messages.Send(number, fresh, deadline),)

    def no_slot(self, event: messages.NoSlot) -> Effects:
        """Refuse the request with the outcome of the earlier attempts."""
        self.expect(Phase.ACQUIRING)
        reason = self.last_reason or event.reason
        error = event.reason if not self.maybe_ran else "attempt-failed"
        return self._refuse(error, reason, event.retry_after_s)

    def bytes_sent(self) -> Effects:
        """Record that the server may have received the request."""
        self.expect(Phase.SENDING)
        self._record_sent()
        return ()

    def _record_sent(self) -> None:
        if self.last_sent is _SENT.NOT_SENT:
            self.counted_attempts += 1
        self.last_sent = _SENT.MAYBE_SENT

    def body_began(self) -> Effects:
        """Suspend the deadline of the answer while the body is uploaded.

        The deadline stays if the limit is a total limit.
        """
        self.expect(Phase.SENDING)
        self._uploading = True
        if self.request.is_total_limit:
            return ()
        return (messages.SetAnswerDeadline(math.inf),)

    def body_dropped(self) -> Effects:
        """Record that the body can't be sent again."""
        self.expect(Phase.SENDING)
        self._body_dropped = True
        return ()

    def body_sent(self, now: float) -> Effects:
        """Set the answer's deadline, counted from the request's last byte."""
        self.expect(Phase.SENDING)
        if not self._uploading:
            return ()
        self._uploading = False
        if self.request.is_total_limit:
            return (messages.SetAnswerDeadline(self._deadline),)
        self._deadline = max(self._deadline, now + self.request.limit_s)
        return (messages.SetAnswerDeadline(self._deadline),)

    def answer_began(self, event: messages.AnswerBegan, now: float) -> Effects:
        """Relay the answer, or treat the attempt as failed.

        An answer is relayed if it belongs to this request and its end can be
        recognised.
        """
        self.expect(Phase.SENDING)
        self._record_sent()
        is_own = event.echoed == self.request.request_id
        if is_own and (event.misdirected or event.not_run):
            self.last_sent = _SENT.REFUSED_NOT_RUN
            reason = "shed by the server"
            if event.misdirected:
                reason = "another server has the address"
                self.counted_attempts -= 1
            return self._retry_or_refuse(reason, now)
        fault = _fault(event, is_own)
        if fault:
            return self._retry_or_refuse(fault, now)
        if self._is_worth_retry(event.status, now):
            self._has_retry = True
            return self._retry_or_refuse(f"status {event.status}", now)
        if event.implies_not_run and not self.request.repeatable:
            # The caller would send it again, though it may have run.
            return self._retry_or_refuse(f"status {event.status}", now)
        self.phase = Phase.RELAYING
        return (messages.Relay(),)

    def _is_worth_retry(self, status: int, now: float) -> bool:
        """Return whether to retry a request answered with an error.

        If so, the retry is taken from the budget. A server whose health check
        passes may fail some of its requests, while another one serves them. The
        error answer to a request that is not repeatable is relayed.
        """
        if status not in _SERVER_FAILURES or not self.request.repeatable:
            return False
        return self._take_retry(now)

    def answer_ended(self) -> Effects:
        """Finish: the complete answer was relayed to the caller."""
        self.expect(Phase.RELAYING)
        return self._finish("answered")

    def failed(self, reason: str, now: float) -> Effects:
        """Retry or refuse; reset the caller if the answer has begun."""
        self.expect(Phase.SENDING, Phase.RELAYING)
        if self.phase is Phase.SENDING:
            return self._retry_or_refuse(reason, now)
        self.maybe_ran = True
        reset = messages.ResetCaller(reason)
        return (messages.CloseConnection(), reset, *self._finish("cut"))

    def caller_gone(self) -> Effects:
        """Drop the request; closing the connection to the server cancels it."""
        if self.phase is Phase.NEW:
            raise InvariantError("caller left before the request started")
        finish = self._finish("caller-gone")
        return (messages.CloseConnection(), *finish)

    def _retry_or_refuse(self, reason: str, now: float) -> Effects:
        self.maybe_ran = self.maybe_ran or self.last_sent is _SENT.MAYBE_SENT
        self.last_reason = reason
        self.phase = Phase.ACQUIRING
        close = messages.CloseConnection()
        if self._has_retry or self._take_retry(now):
            self._has_retry = False
            acquire = messages.Acquire(self.tried, self._deadline)
            return (close, acquire)
        error = "attempt-failed"
        if now >= self._deadline:
            error = "deadline-passed"
        return (close, *self._refuse(error, reason, RETRY_AFTER_S))

    def _take_retry(self, now: float) -> bool:
        """Return whether a retry is allowed, and take it from the budget."""
        may_repeat = self.request.repeatable or not self.maybe_ran
        in_time = now < self._deadline
        max_attempts = self.request.max_attempts
        tries_left = (
            self.counted_attempts < max_attempts
            and len(self.tried) < max_attempts + EXTRA_ATTEMPTS
        )
        is_allowed = (
            may_repeat and in_time and tries_left and not self._body_dropped
        )
        # An attempt that reached no server added no load: the retry is not
        # taken from the budget.
        if is_allowed and self.last_sent is _SENT.NOT_SENT:
            return True
        return is_allowed and self._budget.spend()

    def _refuse(self, error: str, reason: str, retry_after_s: float) -> Effects:
        outcome = self.outcome
        if outcome is messages.Outcome.NOT_RUN and self.maybe_ran:
            raise InvariantError("outcome not-run but an attempt may have run")
        refuse = messages.Refuse(error, outcome, reason, retry_after_s)
        return (refuse, *self._finish(outcome.value))

    def _finish(self, outcome: str) -> Effects:
        self.phase = Phase.DONE
        return (messages.Finish(outcome),)


def _fault(event: messages.AnswerBegan, is_own: bool) -> str:
    """Return why an answer must not be relayed, or ""."""
    if event.echoed is not None and not is_own:
        return "an answer to a different request"
    if event.status < 200:
        return f"unasked status {event.status}"
    if not event.framed:
        # Without a length or chunked encoding, an answer that was cut off by
        # the server's crash can't be told from a complete one.
        return "answer whose end can't be told"
    return "" if event.is_signed else "an answer that no server signed"


@functools.singledispatch
def _on(event: object, attempts: Attempts, now: float) -> Effects:
    raise TypeError(f"unknown event type: {event!r}")


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
def _(event: messages.AttemptFailed, attempts: Attempts, now: float) -> Effects:
    return attempts.failed(event.reason, now)


@_on.register
def _(event: messages.CallerGone, attempts: Attempts, now: float) -> Effects:
    return attempts.caller_gone()
