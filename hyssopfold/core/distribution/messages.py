"""Events, effects and updates of distribution."""

from typing import NamedTuple

from hyssopfold.core.distribution import rows as distribution_rows

# Longer than any real time: the age of a revision that was never confirmed,
# and a deadline that is never due.
NEVER_S = 1e9


class Update(NamedTuple):
    """The data that brings a follower from its revision to the newest one.

    `base` is the revision that `payload` is a difference from; 0 means that
    the payload is the whole value. An empty payload means that the sender has
    nothing newer. `digest` is that of the whole value at `revision`.
    `is_compressed` says whether the payload is, see `core.compression`.
    """

    revision: int
    digest: bytes
    base: int = 0
    payload: bytes = b""
    is_compressed: bool = False


class UpdateModes(NamedTuple):
    """The modes by which a follower learns of revisions.

    `push` keeps a poll pending at a control instance, `pull` polls
    periodically, `piggyback` uses the revisions in other messages.
    """

    push: bool = True
    pull: bool = True
    piggyback: bool = True


class Tick(NamedTuple):
    """Event: the time of `Follower.next_deadline` has come."""


class RevisionReported(NamedTuple):
    """Event: a message of `source` says that it has `revision` in force.

    `source` is an address to poll, or empty if it answers no polls.
    """

    source: str
    revision: int


class PollAnswered(NamedTuple):
    """Event: the answer to a `SendPoll`.

    `strong` says that a majority confirmed the revision after the poll was
    sent; `age_s` is the time since the last such confirmation, `waited_s` how
    long the poll was pending before it was answered, both in seconds.
    """

    poll_id: int
    update: Update
    strong: bool = False
    age_s: float = NEVER_S
    waited_s: float = 0.0


class PollFailed(NamedTuple):
    """Event: a `SendPoll` failed."""

    poll_id: int


Event = Tick | RevisionReported | PollAnswered | PollFailed


class SendPoll(NamedTuple):
    """Effect: ask `source` for a revision above `have`.

    The source may keep the poll pending for `wait_s` until it has a newer
    revision; the poll ends in `PollAnswered` or `PollFailed` within
    `timeout_s`.
    """

    poll_id: int
    source: str
    have: int
    digest: bytes
    wait_s: float
    timeout_s: float
    strong: bool


class Install(NamedTuple):
    """Effect: put `value` in force as `revision`; `rows` are its rows."""

    revision: int
    value: bytes
    rows: distribution_rows.Rows


class Report(NamedTuple):
    """Effect: log an `event` about `source`."""

    event: str
    source: str
    revision: int
    detail: str


Effect = SendPoll | Install | Report
