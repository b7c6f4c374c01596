"""Events and effects of the state machine of one request's attempts."""

import enum
from typing import NamedTuple

# A request that failed at three servers is unlikely to succeed at a fourth.
MAX_ATTEMPTS = 3


class Sent(enum.Enum):
    """How far a request may have got towards a backend server."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "maybe-sent"
    REFUSED_NOT_RUN = "refused-not-run"


class Outcome(enum.Enum):
    """Outcome reported to the caller of a request without a complete answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Request(NamedTuple):
    """Properties of a request on which its attempts depend.

    Attributes:
        request_id: Id of the request.
        repeatable: Whether it may run twice without harm.
        has_body: Whether it has a body.
        limit_s: Longest time in seconds until the answer begins, counted from
            the request's head and again from its last byte, so that it does
            not cut off a long upload.
        is_total_limit: Whether `limit_s` counts from the head alone: the caller
            counts so itself and does not wait longer.
        max_attempts: Number of servers to which it may be sent.
        may_use_stale_connection: Whether a connection that was used before may
            be dead although no reset arrived, so that a first attempt on it
            must leave time for another one.
    """

    request_id: str
    repeatable: bool
    has_body: bool
    limit_s: float
    is_total_limit: bool = False
    max_attempts: int = MAX_ATTEMPTS
    may_use_stale_connection: bool = True


class Started(NamedTuple):
    """The request's head was received."""


class Granted(NamedTuple):
    """Placement granted a slot of a server."""

    server_id: str


class NoSlot(NamedTuple):
    """Placement granted no slot; retry in `retry_after_s` seconds."""

    reason: str
    retry_after_s: float


class BytesSent(NamedTuple):
    """The first byte of the attempt was passed to the network."""


class BodyBegan(NamedTuple):
    """The upload of the body began."""


class BodyDropped(NamedTuple):
    """A part of the body was forwarded and not kept: it can't be sent again."""


class BodySent(NamedTuple):
    """The last byte of the request was passed to the network."""


class AnswerBegan(NamedTuple):
    """The head of an answer arrived.

    Attributes:
        status: Status code.
        echoed: Request id in the answer, if any.
        not_run: Whether the answer states that the request did not run.
        framed: Whether its end can be told from a premature close.
        misdirected: Whether another server than the granted one sent it.
        is_signed: Whether it has the headers that a server adds to each of
            its own answers.
        implies_not_run: Whether the caller would take its status for the
            statement that the request did not run.
    """

    status: int
    echoed: str | None
    not_run: bool
    framed: bool
    misdirected: bool = False
    is_signed: bool = True
    implies_not_run: bool = False


class AnswerEnded(NamedTuple):
    """The answer is complete."""


class AttemptFailed(NamedTuple):
    """The attempt failed: connect error, reset, time-out, incomplete answer."""

    reason: str


class CallerGone(NamedTuple):
    """The caller closed its connection, or its request can't be completed."""


Event = (
    Started
    | Granted
    | NoSlot
    | BytesSent
    | BodyBegan
    | BodyDropped
    | BodySent
    | AnswerBegan
    | AnswerEnded
    | AttemptFailed
    | CallerGone
)


class Acquire(NamedTuple):
    """Effect: ask placement for a slot of a server that was not tried yet."""

    tried: tuple[str, ...]
    deadline: float


class Send(NamedTuple):
    """Effect: send the request to the granted server.

    Attributes:
        number: Number of the attempt, from 1.
        fresh: Whether a new connection must be used.
        deadline: Time at which the answer must have begun.
    """

    number: int
    fresh: bool
    deadline: float


class SetAnswerDeadline(NamedTuple):
    """Effect: change the time at which the answer must have begun."""

    deadline: float


class Relay(NamedTuple):
    """Effect: relay the answer to the caller as it arrives."""


class CloseConnection(NamedTuple):
    """Effect: close the connection to the server; it must not be used again."""


class Refuse(NamedTuple):
    """Effect: refuse the request and report its outcome to the caller."""

    error: str
    outcome: Outcome
    reason: str
    retry_after_s: float


class ResetCaller(NamedTuple):
    """Effect: reset the caller's connection, the answer is incomplete."""

    reason: str


class Finish(NamedTuple):
    """Effect: the request has ended with `outcome`."""

    outcome: str


Effect = (
    Acquire
    | Send
    | SetAnswerDeadline
    | Relay
    | CloseConnection
    | Refuse
    | ResetCaller
    | Finish
)
