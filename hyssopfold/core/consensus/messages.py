"""Define the messages, events and effects of the replicated register.

The tuples are sent and stored as arrays in the order of their fields.
"""

from typing import NamedTuple


class Ballot(NamedTuple):
    """A proposal number; ballots are totally ordered and never reused.

    `node` is the proposer's `Member.id`. The id contains the incarnation, so
    an instance that lost its disk, and with it its counter, cannot reuse a
    ballot.
    """

    counter: int
    node: str


NO_BALLOT = Ballot(0, "")


class Endpoint(NamedTuple):
    """Name and network address of a control instance."""

    name: str
    address: str


class Member(NamedTuple):
    """A control instance that votes.

    `incarnation` is the random id of its data folder. The same name on a
    blank disk is a different member, and its votes do not count as votes of
    the old member.
    """

    name: str
    address: str
    incarnation: str

    @property
    def id(self) -> str:
        """Return the id that identifies the member in ballots and votes."""
        return f"{self.name}#{self.incarnation}"

    @property
    def endpoint(self) -> Endpoint:
        """Return the member's name and address."""
        return Endpoint(self.name, self.address)


class Change(NamedTuple):
    """An accepted edit: its id, its revision and a digest of its document."""

    change_id: str
    revision: int
    digest: str = ""


class Register(NamedTuple):
    """The replicated state as one value.

    `value` is opaque here (see `hyssopfold.state`). `changes` lists the latest
    accepted edits, oldest first, so that a resent edit gets its first answer
    again. `members` vote. During a membership change `previous` lists the
    members before it, and a majority of both sets is needed. `epoch` counts
    membership changes, `retired` lists ids that never vote again, and
    `cluster` is a random id that is assigned once, when the cluster is formed.
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
        """Return the recorded change with the id `change_id`, or None."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def winner_after(self, revision: int) -> str:
        """Return the id of the first recorded change after `revision`."""
        for change in self.changes:
            if change.revision > revision:
                return change.change_id
        return self.changes[-1].change_id if self.changes else ""

    def voters(self) -> tuple[Member, ...]:
        """Return the current voters: the members and the previous members."""
        new_ids = {member.id for member in self.members}
        removed = tuple(old for old in self.previous if old.id not in new_ids)
        return self.members + removed

    def member(self, name: str) -> Member | None:
        """Return the member with the name `name`, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None


BLANK_REGISTER = Register()


class DurableState(NamedTuple):
    """The state that an acceptor must sync to disk before it answers."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    register: Register = BLANK_REGISTER


class ObservedStart(NamedTuple):
    """The latest start and newest vote observed of another member.

    `starts` counts the starts of a data folder and `nonce` is random for each
    start. A folder that was restored from a copy starts with a number that
    other members have observed with another nonce, or without a vote that
    they have observed.
    """

    member_id: str
    starts: int
    nonce: str
    accepted: Ballot = NO_BALLOT


class Identity(NamedTuple):
    """This instance as a member, and the starts it observed of others."""

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
    """Promise to refuse lower ballots, with the state accepted so far.

    The register is omitted (blank) when the proposer has accepted the same
    ballot.
    """

    ballot: Ballot
    accepted: Ballot
    register: Register


class Accept(NamedTuple):
    """Ask an acceptor to accept a register under a ballot."""

    ballot: Ballot
    register: Register


class Accepted(NamedTuple):
    """Report to the proposer that the register is accepted and synced."""

    ballot: Ballot
    nonce: str = ""


class Refused(NamedTuple):
    """Report to the proposer that a higher ballot was promised."""

    ballot: Ballot
    promised: Ballot


class Form(NamedTuple):
    """Ask a blank instance to accept the first register of a cluster."""

    ballot: Ballot
    register: Register


class Query(NamedTuple):
    """Ask for the last accepted ballot of an acceptor, without any write."""

    number: int


class QueryAnswer(NamedTuple):
    """Answer a `Query` with the ballot accepted last."""

    number: int
    accepted: Ballot


class Chosen(NamedTuple):
    """Report that the register accepted under `ballot` is chosen."""

    ballot: Ballot


class Fetch(NamedTuple):
    """Ask for the newest register known to be chosen."""


class Install(NamedTuple):
    """Send a register known to be chosen to an instance that is behind."""

    ballot: Ballot
    register: Register


class Status(NamedTuple):
    """The state that an instance periodically sends to all others.

    `chosen` is the newest ballot known to be chosen, `configured_names` the
    control instances in the sender's settings, and `observed_start` the latest
    start of the receiver that the sender observed. `ask` requests a `Status`
    in return, `fault` says why the sender does not vote, and `region` is where
    it runs, or empty when voters are not selected by region.
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
        """Return whether the instance has accepted no register yet."""
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

    `digest` distinguishes a resent edit from another edit under the same id.
    `floor` is the lowest revision to assign (for restoring a backup).
    """

    request: int
    change_id: str
    expect: int
    value: bytes
    digest: str = ""
    floor: int = 0


class Read(NamedTuple):
    """Event: read the register with the consistency of a write."""

    request: int


class AddMember(NamedTuple):
    """Event: add an instance that has caught up to the members.

    With `wanted` above 0 the instance is added only while there are fewer than
    `wanted` members and only where it does not give its region a majority.
    Both are checked again when the operation is applied, since another
    instance may have requested a membership change at the same moment.
    """

    request: int
    name: str
    wanted: int = 0


class RemoveMember(NamedTuple):
    """Event: remove a member from the voters.

    With `retires` its id is never admitted again. A member that was removed
    only because it was silent keeps its data folder and may be added again
    once it is back. With `wanted` above 0 it is removed only while there are
    more than `wanted` members, which is checked again when the operation is
    applied, as for `AddMember`.
    """

    request: int
    name: str
    retires: bool = True
    wanted: int = 0


class ReplaceMember(NamedTuple):
    """Event: replace a member by its new incarnation (internal)."""

    request: int
    old_id: str
    new: Member


Operation = Edit | Read | AddMember | RemoveMember | ReplaceMember


class Received(NamedTuple):
    """Event: a message arrived from the instance with the id `sender`."""

    sender: str
    message: Message


class Tick(NamedTuple):
    """Event: time has passed."""


class StorageFailed(NamedTuple):
    """Event: a write could not be synced; later effects were not executed."""

    detail: str


class StorageRecovered(NamedTuple):
    """Event: the whole of `Node.durable` is written and synced again."""


Event = Operation | Received | Tick | StorageFailed | StorageRecovered


class SavePromise(NamedTuple):
    """Effect: write and sync a promise before any later effect."""

    promised: Ballot


class SaveRegister(NamedTuple):
    """Effect: write and sync a register before any later effect."""

    accepted: Ballot
    register: Register


class SaveObservedStarts(NamedTuple):
    """Effect: write and sync observed starts before any later effect."""

    observed_starts: tuple[ObservedStart, ...]


class Send(NamedTuple):
    """Effect: send a message to an instance; delivery is not guaranteed."""

    to: Endpoint
    message: Message


class Learned(NamedTuple):
    """Effect: put a chosen register in force."""

    register: Register


class MembersLearned(NamedTuple):
    """Effect: report the members of a chosen register."""

    epoch: int
    members: tuple[Member, ...]


class FaultChanged(NamedTuple):
    """Effect: report why this instance does not vote ("" if it votes)."""

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
    """Result: the edit will never take effect."""

    reason: str = ""


class OutcomeUnknown(NamedTuple):
    """Result: no majority answered in time; the edit may still take effect."""


class ReadDone(NamedTuple):
    """Result: the register at some time after the read began."""

    register: Register


class MembersChanged(NamedTuple):
    """Result: the members from `epoch` on."""

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
    """Effect: answer the operation with this request number."""

    request: int
    result: Result


Effect = (
    SavePromise
    | SaveRegister
    | SaveObservedStarts
    | Send
    | Learned
    | MembersLearned
    | FaultChanged
    | Reply
)
