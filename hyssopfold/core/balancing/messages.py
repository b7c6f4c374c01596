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

    `key` and `number` name the slot between holder and grantor. `known_load`
    is what the choice took the server's load for, as a multiple of its slots,
    and `load_age_s` the age of the server's own word of it in seconds.
    `expected_s` is the time until the answer that it was made for, and `asked`
    the request that it answers, where the choice learns from its end. `is_cold`
    tells that the server was taken for cold.
    """

    server: membership.Server
    reason: str
    key: "Key | None" = None
    number: int = 0
    known_load: float = 0.0
    load_age_s: float = NEVER_S
    expected_s: float = 0.0
    asked: Request | None = None
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


class Busy(NamedTuple):
    """Servers, by their lives, that told so many requests in their answers."""

    loads: tuple[tuple[int, int], ...]


class Silent(NamedTuple):
    """Message: servers at which the sender's requests wait in vain.

    Each by a number that stands for one life of it (see
    `server_stats.incarnation_key`).
    """

    keys: tuple[int, ...]


class Done(NamedTuple):
    """How a grant ended, for the health of its server.

    `kind` is `answered`, `failed` (connect or protocol error, time-out),
    `shed` (the server refused) or `cancelled` (the caller left). `reached`
    tells whether the server took a connection, `good` whether what it
    answered is no failure of its own, `load` what it told beside. `elsewhere`
    tells that another server has its address.
    """

    kind: str
    seconds: float
    reached: bool = True
    good: bool = True
    load: Load | None = None
    elsewhere: bool = False


class Key(NamedTuple):
    """The slots that one grantor grants: those of a pool in a region."""

    pool: str
    region: str


class Member(NamedTuple):
    """One life of an entry or control instance."""

    name: str
    incarnation: int


class Hold(NamedTuple):
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

    key: Key
    term: int
    candidate: Member
    round: int
    version: int
    members: tuple[Member, ...] | None
    own_limit: int


class Vote(NamedTuple):
    """A voter's answer, with the newest list of members that it accepted.

    `holds` lists the slots that the voter uses, when it is an entry that
    promised not to use older grants; None when it did not. `given_term` is
    the highest term that it heard of and that control had given, `alone_term`
    the highest of a grantor without control.
    """

    key: Key
    term: int
    candidate: Member
    voter: Member
    round: int
    granted: bool
    promised: int
    seen_term: int
    seen_version: int
    seen_members: tuple[Member, ...]
    seen_by: Member | None
    seen_own_limit: int
    given_term: int
    alone_term: int
    holds: tuple[Hold, ...] | None


class Resign(NamedTuple):
    """The grantor grants no more: another may take over at once."""

    key: Key
    term: int
    candidate: Member


class Beat(NamedTuple):
    """The grantor tells that it is there, to entries that may ask it.

    `alone` says that control has not given it the term.
    """

    key: Key
    term: int
    grantor: Member
    alone: bool


class Ask(NamedTuple):
    """A holder wants a slot within `wait_s` seconds."""

    key: Key
    holder: Member
    number: int
    priority: int
    wait_s: float
    moved: bool
    avoid: tuple[str, ...]
    failure_domain: str
    closed_domains: tuple[str, ...] = ()


class Granted(NamedTuple):
    """A slot for the ask with this number of this life of the holder."""

    key: Key
    term: int
    holder: Member
    number: int
    server: membership.Server


class Denied(NamedTuple):
    """No slot for the ask with this number; it is forgotten."""

    key: Key
    holder: Member
    number: int
    reason: str
    retry_after_s: float


class Release(NamedTuple):
    """A slot, or an ask that no one waits for any more, is given back."""

    key: Key
    holder: Member
    number: int
    done: Done


class Sync(NamedTuple):
    """All slots that a holder uses, among its asks up to number `high`.

    What the grantor counts beyond these was released, and the release lost;
    asks up to `high` that come later are late and must be ignored.
    """

    key: Key
    holder: Member
    high: int
    holds: tuple[Hold, ...]
    open_asks: tuple[int, ...]


Message = (
    Claim
    | Vote
    | Resign
    | Beat
    | Ask
    | Granted
    | Denied
    | Release
    | Sync
    | Silent
    | Busy
)


class Send(NamedTuple):
    """Effect: carry a message to an instance; it may be lost or doubled."""

    to: str
    message: Message


class Answer(NamedTuple):
    """Effect: answer the request that waits for the ask `number`."""

    number: int
    result: Grant | Refused


class Decided(NamedTuple):
    """Effect: log a decision of placement."""

    event: str
    fields: tuple[tuple[str, object], ...]


Effect = Send | Answer | Decided
