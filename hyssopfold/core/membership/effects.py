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


Effect = Send | Changed
