"""What is known of one attempt, and when another may follow it."""

import enum
from typing import NamedTuple


class Sent(enum.Enum):
    """How far a request may have got towards a backend server."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "maybe-sent"
    REFUSED_NOT_RUN = "refused-not-run"
    ANSWERED = "answered"


class Verdict(NamedTuple):
    """What to do after a failed attempt; `outcome` is told to the caller."""

    retry: bool
    outcome: str


def after_failure(
    sent: Sent, repeatable: bool, body_intact: bool, attempts_left: int
) -> Verdict:
    """Return whether to try another server, and what is certain.

    A request that may not be repeated runs at most once: it goes out again
    only if no byte of it was sent or the server said that it did not run.

    Args:
        sent: How far the attempt got.
        repeatable: Whether the request may run twice.
        body_intact: Whether the whole body can be sent again.
        attempts_left: Attempts that budget and deadline still allow.
    """
    certain = sent in (Sent.NOT_SENT, Sent.REFUSED_NOT_RUN)
    outcome = "not-run" if certain else "unknown"
    may_repeat = certain or (repeatable and sent is Sent.MAYBE_SENT)
    retry = may_repeat and body_intact and attempts_left > 0
    return Verdict(retry, outcome)
