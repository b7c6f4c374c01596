"""Events, effects and updates of distribution."""

from typing import NamedTuple

NEVER_S = 1e9


class Update(NamedTuple):
    """What one instance tells another of its revision.

    `base` is the revision that `payload` is a difference from; 0 means that
    the payload is the whole value. An empty payload tells of nothing newer.
    `digest` is that of the whole value at `revision`.
    """

    revision: int
    digest: bytes
    base: int = 0
    payload: bytes = b""


class UpdateModes(NamedTuple):
    """Which ways a follower learns of revisions by."""

    push: bool = True
    pull: bool = True
    piggyback: bool = True


class Tick(NamedTuple):
    """Time went on to `Follower.next_deadline`."""


class RevisionReported(NamedTuple):
    """A message of `source` told that it has `revision` in force.

    `source` is an address to ask, or empty when it serves no one.
    """

    source: str
    revision: int


class PollAnswered(NamedTuple):
    """The answer to a `SendPoll`.

    `strong` says that a majority confirmed the revision after the question
    was asked; `age_s` is the time since one did so last, `waited_s` how long
    the question was held before it was answered, both in seconds.
    """

    poll_id: int
    update: Update
    strong: bool = False
    age_s: float = NEVER_S
    waited_s: float = 0.0


class PollFailed(NamedTuple):
    """A `SendPoll` came to nothing."""

    poll_id: int


Event = Tick | RevisionReported | PollAnswered | PollFailed


class SendPoll(NamedTuple):
    """Effect: ask `source` for what is above `have`.

    It may hold the question for `wait_s` until it has something newer; the
    call ends in `PollAnswered` or `PollFailed` within `timeout_s`.
    """

    poll_id: int
    source: str
    have: int
    digest: bytes
    wait_s: float
    timeout_s: float
    strong: bool


class Install(NamedTuple):
    """Effect: put `value` in force as `revision`."""

    revision: int
    value: bytes


class Report(NamedTuple):
    """Effect: log an `event` about `source`."""

    event: str
    source: str
    revision: int
    detail: str


Effect = SendPoll | Install | Report
