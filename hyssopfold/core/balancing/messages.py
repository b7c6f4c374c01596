"""What is asked of placement, and what it answers."""

from typing import NamedTuple

from hyssopfold.core.membership import messages as membership


class Region(NamedTuple):
    """A region that may serve a request; `moved` if it is not at home there.

    Traffic that a decision of the system moved into a region is held to the
    region's capacity less its headroom. Servers in `closed_domains` are not
    to serve this request: a drain of these failure domains has reached it.
    """

    name: str
    moved: bool
    closed_domains: tuple[str, ...] = ()


class Request(NamedTuple):
    """A request that wants a slot.

    `regions` come best first; `avoid` are servers already tried; `deadline` is
    monotonic time in seconds; a lower `priority` number goes first.
    """

    request_id: str
    pool: str
    regions: tuple[Region, ...]
    priority: int
    deadline: float
    avoid: tuple[str, ...]


class Grant(NamedTuple):
    """A slot of a server, held until it is released."""

    server: membership.Server
    reason: str


class Refused(NamedTuple):
    """No slot: why, and in how many seconds to come back."""

    reason: str
    retry_after_s: float


class Done(NamedTuple):
    """How a grant ended, for the health of its server.

    `kind` is `answered`, `failed` (connect or protocol error, time-out),
    `shed` (the server refused) or `cancelled` (the caller left).
    """

    kind: str
    seconds: float
