"""RPC method by which an instance polls another for new revisions.

New fields are appended and have defaults, see `codec`.
"""

from typing import NamedTuple

from hyssopfold.core.distribution import messages
from hyssopfold.transport import rpc


class Poll(NamedTuple):
    """Request: a revision above `have`.

    Attributes:
        instance: Name of the caller.
        have: Revision that the caller has.
        wait_s: Longest wait for a newer revision, in seconds.
        digest: Digest of the value that the caller has at `have`.
        strong: Whether a majority shall confirm the revision first.
        accepts_compressed: Whether the caller can decompress the update.
    """

    instance: str
    have: int
    wait_s: float
    digest: bytes = b""
    strong: bool = False
    accepts_compressed: bool = False


class PollAnswer(NamedTuple):
    """Answer: the newest revision of the callee.

    Attributes:
        update: The revision, with its value or the difference from the value
            that the caller has.
        strong: Whether a majority confirmed the revision after the request.
        age_s: Seconds since the last confirmation by a majority.
        waited_s: Seconds from the request to the answer.
    """

    update: messages.Update
    strong: bool = False
    age_s: float = messages.NEVER_S
    waited_s: float = 0.0


POLL = rpc.Method("Poll", Poll, PollAnswer)
