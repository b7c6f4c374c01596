"""What is asked of placement, what it answers, and what its parts exchange."""

from typing import NamedTuple

from hyssopfold.core.membership import messages as membership

# An age that stands for never, in seconds: JSON knows no infinity.
NEVER_S = 1e9


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

    `regions` come best first; `avoid` are servers already tried, which are not granted; `deadline` is
    monotonic time in seconds; a lower `priority` number goes first.
    `object_key` names the object that it concerns, where that should decide
    the server, and `goal_s` the time within which an answer is worth most.
    `route` names the row of the table that it came by, `waited_s` how long its
    caller has waited already.
    """

    request_id: str
    pool: str
    regions: tuple[Region, ...]
    priority: int
    deadline: float
    avoid: tuple[str, ...]
    object_key: str = ""
    goal_s: float = 0.0
    route: str = ""
    waited_s: float = 0.0


class Grant(NamedTuple):
    """A slot of a server, held until it is released.

    `key` and `number` name the slot between holder and grantor. `estimated_load`
    is what the choice took the server's load for, as a multiple of its slots,
    and `load_age_s` the age of the server's own word of it in seconds.
    `expected_s` is the time until the answer that it was made for, and `req`
    the request that it answers, where the choice learns from its end. `is_cold`
    tells that the server was taken for cold.
    """

    server: membership.Server
    reason: str
    key: "PoolRegion | None" = None
    number: int = 0
    estimated_load: float = 0.0
    load_age_s: float = NEVER_S
    expected_s: float = 0.0
    req: Request | None = None
    is_cold: bool = False


class Refused(NamedTuple):
    """No slot: why, and in how many seconds to come back."""

    reason: str
    retry_after_s: float


class Load(NamedTuple):
    """What a server told of its load: requests running, waiting, its slots."""

    running: int
    waiting: int
    slots: int


class BusyServers(NamedTuple):
    """Servers, by their lives, that told so many requests in their answers."""

    loads: tuple[tuple[int, int], ...]


class SilentServers(NamedTuple):
    """Message: servers at which the sender's requests wait in vain.

    Each by a number that stands for one life of it (see `sightings.life_key`).
    """

    incarnation_keys: tuple[int, ...]


class AttemptResult(NamedTuple):
    """How a grant ended, for the health of its server.

    `kind` is `answered`, `failed` (connect or protocol error, time-out),
    `shed` (the server refused) or `cancelled` (the caller left). `connected`
    tells whether the server took a connection, `healthy` whether what it
    answered is no failure of its own, `load` what it told beside. `address_reassigned`
    tells that another server has its address.
    """

    kind: str
    duration_s: float
    connected: bool = True
    healthy: bool = True
    load: Load | None = None
    address_reassigned: bool = False


class PoolRegion(NamedTuple):
    """The slots that one grantor grants: those of a pool in a region."""

    pool: str
    region: str


class Member(NamedTuple):
    """One life of an entry or control instance."""

    name: str
    incarnation: int


class HeldSlot(NamedTuple):
    """A slot in use: `number` is the holder's, growing from ask to ask."""

    number: int
    server_id: str
    server_incarnation: int


class Claim(NamedTuple):
    """A candidate asks for the term, or the grantor renews it.

    `version` 0 prepares a new term. From 1 on the claim sets or renews the
    list of `members` that may hold slots; None stands for the list that the
    voter has already accepted under this term and version. `own_limit` comes
    with the list: the candidate itself never uses more slots of a server, so
    that no more need be kept back when it falls silent.
    """

    key: PoolRegion
    term: int
    candidate: Member
    round: int
    version: int
    members: tuple[Member, ...] | None
    own_limit: int


class Vote(NamedTuple):
    """A voter's answer, with the newest list of members that it accepted.

    `held_slots` lists the slots that the voter uses, when it is an entry that
    promised not to use older grants; None when it did not. `control_term` is
    the highest term that it heard of and that control had given, `standalone_term`
    the highest of a grantor without control.
    """

    key: PoolRegion
    term: int
    candidate: Member
    voter: Member
    round: int
    granted: bool
    promised: int
    accepted_term: int
    accepted_version: int
    accepted_members: tuple[Member, ...]
    accepted_candidate: Member | None
    accepted_own_limit: int
    control_term: int
    standalone_term: int
    held_slots: tuple[HeldSlot, ...] | None


class Resign(NamedTuple):
    """The grantor grants no more: another may take over at once."""

    key: PoolRegion
    term: int
    candidate: Member


class GrantorHeartbeat(NamedTuple):
    """The grantor tells that it is there, to entries that may ask it.

    `standalone` says that control has not given it the term.
    """

    key: PoolRegion
    term: int
    grantor: Member
    standalone: bool


class SlotRequest(NamedTuple):
    """A holder wants a slot within `wait_s` seconds."""

    key: PoolRegion
    holder: Member
    number: int
    priority: int
    wait_s: float
    moved: bool
    avoid: tuple[str, ...]
    failure_domain: str
    closed_domains: tuple[str, ...] = ()


class SlotGranted(NamedTuple):
    """A slot for the ask with this number of this life of the holder."""

    key: PoolRegion
    term: int
    holder: Member
    number: int
    server: membership.Server


class SlotDenied(NamedTuple):
    """No slot for the ask with this number; it is forgotten."""

    key: PoolRegion
    holder: Member
    number: int
    reason: str
    retry_after_s: float


class SlotRelease(NamedTuple):
    """A slot, or an ask that no one waits for any more, is given back."""

    key: PoolRegion
    holder: Member
    number: int
    result: AttemptResult


class SlotSync(NamedTuple):
    """All slots that a holder uses, among its asks up to number `highest_number`.

    What the grantor counts beyond these was released, and the release lost;
    asks up to `highest_number` that come later are late and must be ignored.
    """

    key: PoolRegion
    holder: Member
    highest_number: int
    held_slots: tuple[HeldSlot, ...]
    pending_numbers: tuple[int, ...]


Message = (
    Claim
    | Vote
    | Resign
    | GrantorHeartbeat
    | SlotRequest
    | SlotGranted
    | SlotDenied
    | SlotRelease
    | SlotSync
    | SilentServers
    | BusyServers
)


class Send(NamedTuple):
    """Effect: carry a message to an instance; it may be lost or doubled."""

    to: str
    message: Message


class Answer(NamedTuple):
    """Effect: answer the request that waits for `ticket`."""

    ticket: int
    result: Grant | Refused


class LogDecision(NamedTuple):
    """Effect: log a decision of placement."""

    event: str
    fields: tuple[tuple[str, object], ...]


Effect = Send | Answer | LogDecision
