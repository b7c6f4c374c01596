"""What the caller of gossip's decisions is to carry out."""

from typing import Literal
from typing import NamedTuple

from hyssopfold.core.membership import messages

Purpose = Literal["gossip", "hint", "want", "compare", "news", "alarm"]


class Send(NamedTuple):
    """Effect: carry a datagram to a UDP address; it may be lost.

    `purpose` tells metrics what the bytes are spent on.
    """

    address: str
    datagram: messages.Datagram
    purpose: Purpose = "gossip"


class Changed(NamedTuple):
    """Effect: log what became of a member.

    `cold_left_s` is how much longer a server says that it stays cold.
    """

    member: str
    region: str
    state: str
    cold_left_s: float = 0.0


Effect = Send | Changed
