"""Messages that bring revisions to other instances, as they travel.

New fields go to the end and have defaults, see `codec`.
"""

from typing import NamedTuple

from hyssopfold.core.distribution import messages
from hyssopfold.transport import rpc


class Poll(NamedTuple):
    """Ask for a revision above `have`; wait for one up to `wait_s`.

    `digest` is that of the value held at `have`. `strong` asks that a
    majority confirms the revision first.
    """

    instance: str
    have: int
    wait_s: float
    digest: bytes = b""
    strong: bool = False


class PollAnswer(NamedTuple):
    """The newest revision known; fields as in `messages.PollAnswered`."""

    update: messages.Update
    strong: bool = False
    age_s: float = messages.NEVER_S
    waited_s: float = 0.0


POLL = rpc.Method("Poll", Poll, PollAnswer)
