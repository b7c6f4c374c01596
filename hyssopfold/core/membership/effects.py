"""Effects of the gossip protocol, which its caller executes."""

from typing import Literal
from typing import NamedTuple

from hyssopfold.core.membership import messages

Purpose = Literal["gossip", "hint", "want", "compare", "news", "alarm"]


class Send(NamedTuple):
    """Effect: send a datagram to a UDP address; it may be lost.

    `purpose` labels the bytes in metrics.
    """

    address: str
    datagram: messages.Datagram
    purpose: Purpose = "gossip"


class Changed(NamedTuple):
    """Effect: log a change of a member's state.

    `cold_left_s` is the number of seconds that a server stays cold from now
    on, as it announced.
    """

    member: str
    region: str
    state: str
    cold_left_s: float = 0.0


class LeaveConflict(NamedTuple):
    """Effect: log that records of one incarnation disagree on its leaving.

    One of the two, the record known here and the one that `sender` sent, says
    that the server leaves, the other that it is ready. `kept` is the state
    that the server has here from now on.
    """

    server: str
    sender: str
    known_state: str
    known_sequence: int
    received_state: str
    received_sequence: int
    kept: str


Effect = Send | Changed | LeaveConflict
