"""Messages that bring revisions to entries, as they travel."""

from typing import NamedTuple

from hyssopfold.transport import rpc


class Poll(NamedTuple):
    """Ask for a revision above `have`; wait for one up to `wait_s`."""

    instance: str
    have: int
    wait_s: float


class PollAnswer(NamedTuple):
    """The newest revision known; `value` is empty when `have` is as new."""

    revision: int
    value: bytes


POLL = rpc.Method("Poll", Poll, PollAnswer)
