"""Messages, events and effects of the replicated register."""

from typing import NamedTuple


class Ballot(NamedTuple):
    """A proposer's number; ballots are ordered and never used twice.

    `node` is the proposer's `Member.id`: it holds the incarnation, so that an
    instance that lost its disk, and with it its counter, never reuses one.
    """

    counter: int
    node: str


NO_BALLOT = Ballot(0, "")


class Endpoint(NamedTuple):
    """Where a control instance is reached."""

    name: str
    address: str


class Member(NamedTuple):
    """A control instance that votes.

    `incarnation` is the random id of its data folder: the same name on a
    blank disk is another member, whose votes do not count for the old one.
    """

    name: str
    address: str
    incarnation: str

    @property
    def id(self) -> str:
        """Return the name that ballots and votes carry."""
        return f"{self.name}#{self.incarnation}"

    @property
    def endpoint(self) -> Endpoint:
        """Return where the member is reached."""
        return Endpoint(self.name, self.address)


class Change(NamedTuple):
    """An accepted change: its id, its revision, a digest of its document."""

    change_id: str
    revision: int
    digest: str = ""


class Register(NamedTuple):
    """The whole durable state.

    `value` is opaque here (see `hyssopfold.state`); `changes` the latest
    accepted changes, oldest first, so that a resent edit gets its first answer
    again. `members` vote; while a change of members is under way `previous`
    holds those that voted before, and a majority of both is needed. `epoch`
    counts changes of members, `retired` lists ids that never vote again, and
    `cluster` is a random id given once, when the cluster was formed.
    """

    revision: int = 0
    value: bytes = b""
    changes: tuple[Change, ...] = ()
    cluster: str = ""
    epoch: int = 0
    members: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()
    retired: tuple[str, ...] = ()

    def accepted_change(self, change_id: str) -> Change | None:
        """Return the remembered change called `change_id`."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def winner_after(self, revision: int) -> str:
        """Return the id of the change that took the place after `revision`."""
        for change in self.changes:
            if change.revision > revision:
                return change.change_id
        return self.changes[-1].change_id if self.changes else ""

    def voters(self) -> tuple[Member, ...]:
        """Return all whose votes are needed now: members, and previous ones."""
        new = {member.id for member in self.members}
        gone = tuple(old for old in self.previous if old.id not in new)
        return self.members + gone

    def member(self, name: str) -> Member | None:
        """Return the member called `name`."""
        for member in self.members:
            if member.name == name:
                return member
        return None


BLANK_REGISTER = Register()


class DurableState(NamedTuple):
    """What an acceptor must have synced before it answers."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    register: Register = BLANK_REGISTER


class ObservedStart(NamedTuple):
    """What was seen of a member: its latest start, and its newest vote.

    `starts` counts the starts of a data folder and `nonce` is random for each.
    A folder that was put back from a copy starts under a number that others
    have seen with another nonce, or without a vote that others have seen.
    """

    member_id: str
    starts: int
    nonce: str
    accepted: Ballot = NO_BALLOT


class Identity(NamedTuple):
    """Who this instance is, and what it has seen of others."""

    member: Member
    starts: int
    nonce: str
    observed_starts: tuple[ObservedStart, ...] = ()


class Prepare(NamedTuple):
    """Ask an acceptor to promise a ballot.

    `proposer_accepted` is the ballot that the proposer itself accepted last.
    """

    ballot: Ballot
    cluster: str
    proposer_accepted: Ballot = NO_BALLOT


class Promise(NamedTuple):
    """Promise to refuse lower ballots, with what was accepted so far.

    The register is left out (blank) when the proposer holds the same one.
    """

    ballot: Ballot
    accepted: Ballot
    register: Register


class Accept(NamedTuple):
    """Ask an acceptor to accept a register under a ballot."""

    ballot: Ballot
    register: Register


class Accepted(NamedTuple):
    """Tell the proposer that the register is accepted and synced."""

    ballot: Ballot
    nonce: str = ""


class Refused(NamedTuple):
    """Tell the proposer that a higher ballot was promised."""

    ballot: Ballot
    promised: Ballot


class Form(NamedTuple):
    """Ask a blank instance to accept the first register of a cluster."""

    ballot: Ballot
    register: Register


class Query(NamedTuple):
    """Ask which ballot an acceptor has accepted last; nothing is written."""

    number: int


class QueryAnswer(NamedTuple):
    """The ballot that was accepted last."""

    number: int
    accepted: Ballot


class Chosen(NamedTuple):
    """Tell that the register accepted under `ballot` is chosen."""

    ballot: Ballot


class Fetch(NamedTuple):
    """Ask for the newest register known to be chosen."""


class Install(NamedTuple):
    """A register known to be chosen, for one that is behind."""

    ballot: Ballot
    register: Register


class Status(NamedTuple):
    """What an instance tells the others of itself now and then.

    `chosen` is the newest ballot that it knows to be chosen; `configured_names` the
    control instances of its settings; `observed_start` what it has seen of the
    receiver; `ask` asks for a `Status` in return; `fault` says why it does not
    vote; `region` is where it runs, empty where nobody needs to know.
    """

    member: Member
    starts: int
    nonce: str
    accepted: Ballot
    chosen: Ballot
    revision: int
    epoch: int
    cluster: str
    configured_names: tuple[str, ...]
    observed_start: ObservedStart | None
    ask: bool
    fault: str
    region: str = ""

    @property
    def blank(self) -> bool:
        """Return whether the instance holds no register at all."""
        return self.accepted == NO_BALLOT


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Refused
    | Form
    | Query
    | QueryAnswer
    | Chosen
    | Fetch
    | Install
    | Status
)
MESSAGE_TYPES: tuple[type[Message], ...] = (
    Prepare,
    Promise,
    Accept,
    Accepted,
    Refused,
    Form,
    Query,
    QueryAnswer,
    Chosen,
    Fetch,
    Install,
    Status,
)


class Edit(NamedTuple):
    """Event: replace the value if it is still at revision `expect`.

    `digest` tells a resent edit from another one under the same id; `floor` is
    the least revision to give (for restoring a backup).
    """

    request: int
    change_id: str
    expect: int
    value: bytes
    digest: str = ""
    floor: int = 0


class Read(NamedTuple):
    """Event: learn the register as strongly as a write would."""

    request: int


class AddMember(NamedTuple):
    """Event: let an instance vote that has caught up.

    With `wanted` above 0 it is let only while fewer vote, and where it does
    not give its region a majority: what was found when this was asked for may
    have changed since, by another instance that asked at the same moment.
    """

    request: int
    name: str
    wanted: int = 0


class RemoveMember(NamedTuple):
    """Event: let a member vote no more.

    One that `retires` is never admitted again under its id. One that was only
    silent keeps its data folder and may take a vote again once it is back.
    """

    request: int
    name: str
    retires: bool = True


class ReplaceMember(NamedTuple):
    """Event: let a new incarnation vote in place of the old (internal)."""

    request: int
    old_id: str
    new: Member


Operation = Edit | Read | AddMember | RemoveMember | ReplaceMember


class Received(NamedTuple):
    """Event: a message came from the instance with the id `sender`."""

    sender: str
    message: Message


class Tick(NamedTuple):
    """Event: time has passed."""


class StorageFailed(NamedTuple):
    """Event: a write could not be synced; nothing after it was carried out."""

    detail: str


class StorageRecovered(NamedTuple):
    """Event: all that `Node.durable` holds is written and synced again."""


Event = Operation | Received | Tick | StorageFailed | StorageRecovered


class SavePromise(NamedTuple):
    """Effect: write and sync before any later effect is carried out."""

    promised: Ballot


class SaveRegister(NamedTuple):
    """Effect: write and sync before any later effect is carried out."""

    accepted: Ballot
    register: Register


class SaveObservedStarts(NamedTuple):
    """Effect: write and sync before any later effect is carried out."""

    observed_starts: tuple[ObservedStart, ...]


class Send(NamedTuple):
    """Effect: send a message to an instance; it may be lost."""

    to: Endpoint
    message: Message


class Learned(NamedTuple):
    """Effect: this register is chosen; it is in force from now on."""

    register: Register


class FaultChanged(NamedTuple):
    """Effect: say that this instance does not vote, and why ("": it does)."""

    fault: str


class EditAccepted(NamedTuple):
    """Result: the edit is synced on a majority as `revision`."""

    revision: int


class EditConflict(NamedTuple):
    """Result: the value was not at the expected revision."""

    revision: int
    winner: str


class ChangeIdReused(NamedTuple):
    """Result: the change id belongs to another edit; nothing changed."""

    revision: int


class EditNotAccepted(NamedTuple):
    """Result: the edit is certain never to take effect."""

    reason: str = ""


class OutcomeUnknown(NamedTuple):
    """Result: no majority answered in time; the edit may take effect."""


class ReadDone(NamedTuple):
    """Result: the register as of some moment after the read began."""

    register: Register


class MembersChanged(NamedTuple):
    """Result: these members vote from now on."""

    epoch: int
    members: tuple[Member, ...]


Result = (
    EditAccepted
    | EditConflict
    | ChangeIdReused
    | EditNotAccepted
    | OutcomeUnknown
    | ReadDone
    | MembersChanged
)


class Reply(NamedTuple):
    """Effect: answer the event that carried this request number."""

    request: int
    result: Result


Effect = (
    SavePromise
    | SaveRegister
    | SaveObservedStarts
    | Send
    | Learned
    | FaultChanged
    | Reply
)
