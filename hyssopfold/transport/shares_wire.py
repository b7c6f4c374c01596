"""RPC method by which a starting entry asks another for its traffic shares.

New fields are appended and have defaults, see `codec`.
"""

from typing import NamedTuple

from hyssopfold import state
from hyssopfold.transport import rpc


class SharesRequest(NamedTuple):
    """Request: the shares in force at the callee.

    `instance` is the name of the caller.
    """

    instance: str


class PoolShares(NamedTuple):
    """The shares of one pool.

    `seen_regions` are the regions in which the callee has seen ready servers,
    whether or not they still are.
    """

    pool: str
    parts: tuple[state.Part, ...]
    seen_regions: tuple[str, ...] = ()


class SharesAnswer(NamedTuple):
    """Answer: the shares of all pools."""

    pools: tuple[PoolShares, ...]


SHARES = rpc.Method("Shares", SharesRequest, SharesAnswer)
