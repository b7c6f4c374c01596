"""Events that one request's attempts bring, and the effects to carry out."""

import enum
from typing import NamedTuple

# A request that three servers failed is unlikely to fare better at a fourth.
MAX_ATTEMPTS = 3


class Sent(enum.Enum):
    """How far a request may have got towards a backend server."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "maybe-sent"
    REFUSED_NOT_RUN = "refused-not-run"


class Outcome(enum.Enum):
    """What a caller is told of a request that brought no whole answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Request(NamedTuple):
    """What the decisions need to know of a request.

    `limit_s` is the longest time until the answer begins, counted from the
    request's head and again from its last byte, so that a long upload is not
    cut by it, unless `is_absolute`: then the caller itself counts from the
    head and does not wait longer. `repeatable` says that it may run twice
    without harm, `max_attempts` to how many servers it may be sent.
    `expects_silence` says that a connection which was used before may be dead
    without a sign, so that a first attempt there must leave time for another.
    """

    request_id: str
    repeatable: bool
    has_body: bool
    limit_s: float
    is_absolute: bool = False
    max_attempts: int = MAX_ATTEMPTS
    expects_silence: bool = True


class Started(NamedTuple):
    """The request's head is there."""


class Granted(NamedTuple):
    """Placement gave a slot."""

    server_id: str


class NoSlot(NamedTuple):
    """Placement gave no slot; come back in `retry_after_s` seconds."""

    reason: str
    retry_after_s: float


class BytesSent(NamedTuple):
    """The first byte of the attempt was handed to the network."""


class BodyBegan(NamedTuple):
    """The body's upload began."""


class BodyDropped(NamedTuple):
    """A part of the body was passed on and not kept: it can't go again."""


class BodySent(NamedTuple):
    """The last byte of the request was handed to the network."""


class AnswerBegan(NamedTuple):
    """An answer's head came.

    `echoed` is the request id that it carries, if any; `not_run` whether it
    claims that the request did not run; `framed` whether its end can be told
    from its being cut; `misdirected` whether another server than the one
    meant gave it; `is_signed` whether it carries what each answer made by a
    server does.
    """

    status: int
    echoed: str | None
    not_run: bool
    framed: bool
    misdirected: bool = False
    is_signed: bool = True


class AnswerEnded(NamedTuple):
    """The answer is whole."""


class Lost(NamedTuple):
    """The attempt broke: connect error, reset, time-out, cut answer."""

    reason: str


class CallerGone(NamedTuple):
    """The caller left, or its request can't become whole."""


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
    | Lost
    | CallerGone
)


class Acquire(NamedTuple):
    """Ask placement for a slot on a server other than those tried."""

    tried: tuple[str, ...]
    deadline: float


class Send(NamedTuple):
    """Send to the granted server, on a new connection if `fresh`.

    `deadline` is when the answer must have begun.
    """

    number: int
    fresh: bool
    deadline: float


class AnswerBy(NamedTuple):
    """The answer must have begun by `deadline`, from now on."""

    deadline: float


class Relay(NamedTuple):
    """Pass the answer on to the caller as it comes."""


class CloseConnection(NamedTuple):
    """Close the connection to the server; it may not be used again."""


class Refuse(NamedTuple):
    """Tell the caller that there is no answer, and what is certain."""

    error: str
    outcome: Outcome
    reason: str
    retry_after_s: float


class CutCaller(NamedTuple):
    """Reset the caller's connection: the answer it has begun is not whole."""

    reason: str


class Finish(NamedTuple):
    """Nothing is left to do."""

    outcome: str


Effect = (
    Acquire
    | Send
    | AnswerBy
    | Relay
    | CloseConnection
    | Refuse
    | CutCaller
    | Finish
)
