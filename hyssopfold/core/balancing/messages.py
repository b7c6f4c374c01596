"""Requests, results, messages and effects of slot placement."""

from typing import NamedTuple

from hyssopfold.core.membership import messages as membership

# Age in seconds that stands for "never", because JSON cannot encode infinity.
NEVER_S = 1e9


class Region(NamedTuple):
    """A region that may serve a request.

    `moved` is set when the request's home is another region. Traffic that a
    steering decision moved into a region may use the region's capacity less
    its headroom. Servers in `closed_domains` must not serve this request,
    because a drain of these failure domains applies to it.
    """

    name: str
    moved: bool
    closed_domains: tuple[str, ...] = ()


class Request(NamedTuple):
    """A request that needs a slot of a server.

    `regions` are in order of preference; `avoid` lists servers that were
    already tried and are not granted again; `deadline` is monotonic time in
    seconds; a lower `priority` number is served first. `object_key` names the
    object that the request concerns if that object should determine the
    server. `goal_s` is the latency goal: an answer within this time is worth
    most. `route` names the row of the route table that matched, `waited_s` is
    the time that the caller has already waited.
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
    """A slot of a server, in use until it is released.

    `pool_region` and `number` identify the slot between holder and grantor.
    `estimated_load` is the server's load as the choice assumed it, as a
    multiple of its slots, and `load_age_s` the age of the server's own load
    report in seconds. `expected_s` is the expected time until the answer.
    `req` is the request that the grant answers; it is set where the choice of
    servers learns from the result. `is_cold` is set when the server was
    assumed to be cold, `rate_limit` when it was known to limit the requests a
    second from all entries together. `granted_at` is the monotonic time of the
    choice in seconds.
    """

    server: membership.Server
    reason: str
    pool_region: "PoolRegion | None" = None
    number: int = 0
    estimated_load: float = 0.0
    load_age_s: float = NEVER_S
    expected_s: float = 0.0
    req: Request | None = None
    is_cold: bool = False
    rate_limit: float | None = None
    granted_at: float = 0.0


class Refused(NamedTuple):
    """No slot is available: the reason, and the seconds until a retry."""

    reason: str
    retry_after_s: float


class Load(NamedTuple):
    """Load that a server reported: requests running and waiting, and slots."""

    running: int
    waiting: int
    slots: int


class BusyServers(NamedTuple):
    """Message: loads of busy servers, as their answers reported them.

    Each load is the key of a server incarnation (see
    `server_stats.incarnation_key`) and the number of its requests.
    """

    loads: tuple[tuple[int, int], ...]


class ReportedLimit(NamedTuple):
    """A rate limit that an answer of a server named.

    `key` is the key of the server incarnation (see
    `server_stats.incarnation_key`), `rate` the requests a second that it accepts
    from all entries together, None without a limit, and `age_s` the time since
    that answer in seconds.
    """

    key: int
    rate: float | None
    age_s: float


class LimitedServers(NamedTuple):
    """Message: rate limits of servers, as their answers named them."""

    limits: tuple[ReportedLimit, ...]


class SilentServers(NamedTuple):
    """Message: servers that answer none of the sender's pending requests.

    Each is given as the key of a server incarnation (see
    `server_stats.incarnation_key`).
    """

    incarnation_keys: tuple[int, ...]


class AttemptResult(NamedTuple):
    """How an attempt on a granted slot ended, for the health of its server.

    `kind` is `answered`, `failed` (connect or protocol error, time-out),
    `shed` (the server refused) or `cancelled` (the caller left). `connected`
    is set when the server accepted a connection, `healthy` when its answer is
    no failure of the server. `load` is the load reported with the answer.
    `address_reassigned` is set when another server now has the address.
    `rate_limit` is the limit reported with the answer, in requests a second
    from all entries together. `rest_s` is the time in seconds for which the
    server wants no requests from this entry, `is_leaving` is set when the
    answer says that the server leaves.
    """

    kind: str
    duration_s: float
    connected: bool = True
    healthy: bool = True
    load: Load | None = None
    address_reassigned: bool = False
    rate_limit: float | None = None
    rest_s: float = 0.0
    is_leaving: bool = False

    @property
    def tells_rate_limit(self) -> bool:
        """Return whether it tells that the server has a rate limit, or none."""
        has_answer = self.kind in ("answered", "shed")
        has_limit = self.rate_limit is not None
        return not self.address_reassigned and (has_answer or has_limit)


class PoolRegion(NamedTuple):
    """A pool in a region: one grantor leases the slots of its servers."""

    pool: str
    region: str


class Member(NamedTuple):
    """One incarnation of an entry or control instance."""

    name: str
    incarnation: int


class HeldSlot(NamedTuple):
    """A slot in use.

    `number` is the number of the holder's slot request; each incarnation of a
    holder counts its requests upwards.
    """

    number: int
    server_id: str
    server_incarnation: int


class Claim(NamedTuple):
    """Message: a candidate claims a term, or the grantor renews it.

    `version` 0 prepares a new term. From 1 on the claim sets or renews the
    list of `members` that may hold slots; None stands for the list that the
    voter has already accepted for this term and version. `own_limit` belongs
    to the list: the candidate itself never uses more slots of a server. When
    the candidate fails, its successor withholds no more than these.
    """

    pool_region: PoolRegion
    term: int
    candidate: Member
    round: int
    version: int
    members: tuple[Member, ...] | None
    own_limit: int


class Vote(NamedTuple):
    """Message: a voter's answer to a claim.

    `promised` is the highest term that the voter promised. The `accepted_*`
    fields are the newest list of members that it accepted: its term, version,
    members, the candidate that proposed it and that candidate's own limit.
    `held_slots` lists the slots that the voter uses, if it is an entry that
    has promised to refuse older grants; otherwise None. `control_term` is the
    highest term known to the voter that a majority of control granted,
    `standalone_term` the highest of a grantor without such a majority.
    """

    pool_region: PoolRegion
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
    """Message: the grantor stops granting; a successor may take over."""

    pool_region: PoolRegion
    term: int
    candidate: Member


class GrantorHeartbeat(NamedTuple):
    """Message: heartbeat of a grantor to the entries that may request slots.

    `standalone` is set when no majority of control granted the term.
    """

    pool_region: PoolRegion
    term: int
    grantor: Member
    standalone: bool


class SlotRequest(NamedTuple):
    """Message: a holder requests a slot and waits `wait_s` seconds for it."""

    pool_region: PoolRegion
    holder: Member
    number: int
    priority: int
    wait_s: float
    moved: bool
    avoid: tuple[str, ...]
    failure_domain: str
    closed_domains: tuple[str, ...] = ()


class SlotGranted(NamedTuple):
    """Message: a slot is granted to request `number` of this holder."""

    pool_region: PoolRegion
    term: int
    holder: Member
    number: int
    server: membership.Server


class SlotDenied(NamedTuple):
    """Message: request `number` gets no slot and is dropped."""

    pool_region: PoolRegion
    holder: Member
    number: int
    reason: str
    retry_after_s: float


class SlotRelease(NamedTuple):
    """Message: a holder returns a slot or withdraws a slot request."""

    pool_region: PoolRegion
    holder: Member
    number: int
    attempt_result: AttemptResult


class SlotSync(NamedTuple):
    """Message: slots in use and pending slot requests of a holder.

    `highest_number` is the number of its last slot request. A slot numbered up
    to this that the grantor still counts, but that is not listed here, was
    released and the release message was lost. A slot request numbered up to
    this that arrives after the message is late and must be ignored.
    """

    pool_region: PoolRegion
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
    | LimitedServers
)


class Send(NamedTuple):
    """Effect: send a message to an instance; it may be lost or duplicated."""

    to: str
    message: Message


class Answer(NamedTuple):
    """Effect: answer the request that `ticket` identifies."""

    ticket: int
    result: Grant | Refused


class LogDecision(NamedTuple):
    """Effect: log a placement decision."""

    event: str
    fields: tuple[tuple[str, object], ...]


Effect = Send | Answer | LogDecision
