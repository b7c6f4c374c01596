"""Messages, events and effects of the replicated register."""

from typing import NamedTuple


class Ballot(NamedTuple):
    """A proposer's number; ballots are ordered and never used twice."""

    counter: int
    node: str


NO_BALLOT = Ballot(0, "")


class Change(NamedTuple):
    """An accepted change: its id and the revision that it made."""

    change_id: str
    revision: int


class Register(NamedTuple):
    """The whole durable value.

    `value` is opaque here (see `hyssopfold.state`); `changes` the latest
    accepted changes, oldest first, so that a resent edit gets its first answer
    again.
    """

    revision: int
    value: bytes
    changes: tuple[Change, ...]

    def accepted_change(self, change_id: str) -> Change | None:
        """Return the remembered change called `change_id`."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None


class Durable(NamedTuple):
    """What an acceptor must have synced before it answers."""

    promised: Ballot
    accepted: Ballot
    register: Register


class Prepare(NamedTuple):
    """Ask an acceptor to promise a ballot."""

    ballot: Ballot


class Promise(NamedTuple):
    """Promise to refuse lower ballots, with what was accepted so far."""

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


class Refused(NamedTuple):
    """Tell the proposer that a higher ballot was promised."""

    ballot: Ballot
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted | Refused
MESSAGE_TYPES: tuple[type[Message], ...] = (
    Prepare,
    Promise,
    Accept,
    Accepted,
    Refused,
)


class Edit(NamedTuple):
    """Event: replace the value if it is still at revision `expect`."""

    request: int
    change_id: str
    expect: int
    value: bytes


class Read(NamedTuple):
    """Event: learn the register as strongly as a write would."""

    request: int


class Received(NamedTuple):
    """Event: a message came from another member."""

    sender: str
    message: Message


class Tick(NamedTuple):
    """Event: time has passed."""


Event = Edit | Read | Received | Tick


class Persist(NamedTuple):
    """Effect: write and sync before any later effect is carried out."""

    durable: Durable


class Send(NamedTuple):
    """Effect: send a message to a member; it may be lost."""

    to: str
    message: Message


class Learned(NamedTuple):
    """Effect: this register is chosen; it is in force from now on."""

    register: Register


class EditAccepted(NamedTuple):
    """Result: the edit is synced on a majority as `revision`."""

    revision: int


class EditConflict(NamedTuple):
    """Result: the value was not at the expected revision."""

    revision: int
    winner: str


class EditNotAccepted(NamedTuple):
    """Result: the edit is certain never to take effect."""


class OutcomeUnknown(NamedTuple):
    """Result: no majority answered in time; the edit may take effect."""


class ReadDone(NamedTuple):
    """Result: the register as of some moment after the read began."""

    register: Register


Result = (
    EditAccepted | EditConflict | EditNotAccepted | OutcomeUnknown | ReadDone
)


class Reply(NamedTuple):
    """Effect: answer the event that carried this request number."""

    request: int
    result: Result


Effect = Persist | Send | Learned | Reply
