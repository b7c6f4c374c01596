"""Apply operations to the chosen register."""

from collections.abc import Sequence
import functools
from typing import NamedTuple
from typing import Protocol

from hyssopfold.core.consensus import messages

MAX_CHANGES = 1000
MAX_RETIRED = 64
MAX_MEMBERS = 7


class PeerView(Protocol):
    """The current statuses of the other instances."""

    def candidate(self, name: str) -> messages.Member | str:
        """Return the instance as a member, or why it cannot be added."""

    def rejection_reason(
        self, register: messages.Register, name: str, wanted: int
    ) -> str:
        """Return why the instance should not be added, or ""."""

    def is_majority_reachable(self, members: Sequence[messages.Member]) -> bool:
        """Return whether a majority of `members` sent a recent status."""


class OperationOutcome(NamedTuple):
    """The register after an operation, and the operation's result.

    A result of None means that another round is needed: a membership change
    is answered only once the old members are no longer needed.
    """

    register: messages.Register
    result: messages.Result | None


@functools.singledispatch
def apply(
    operation: messages.Operation,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    """Return the register and result after `operation` on `register`.

    Applying an operation again returns the first result again.

    Raises:
        TypeError: if `operation` is not an operation.
    """
    raise TypeError(f"unknown operation: {operation!r}")


@apply.register
def _(
    operation: messages.Read,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    return OperationOutcome(register, messages.ReadDone(register))


@apply.register
def _(
    operation: messages.Edit,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    recorded = register.accepted_change(operation.change_id)
    if recorded is not None:
        if recorded.digest != operation.digest:
            reused = messages.ChangeIdReused(recorded.revision)
            return OperationOutcome(register, reused)
        return OperationOutcome(
            register, messages.EditAccepted(recorded.revision)
        )
    if operation.expect != register.revision:
        winner = register.winner_after(operation.expect)
        conflict = messages.EditConflict(register.revision, winner)
        return OperationOutcome(register, conflict)
    revision = max(register.revision + 1, operation.floor)
    change = messages.Change(operation.change_id, revision, operation.digest)
    changes = (*register.changes, change)[-MAX_CHANGES:]
    new = register._replace(
        revision=revision, value=operation.value, changes=changes
    )
    return OperationOutcome(new, messages.EditAccepted(revision))


@apply.register
def _(
    operation: messages.AddMember,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    if register.member(operation.name) is not None:
        return _members_unchanged(register)
    if len(register.members) >= MAX_MEMBERS:
        return _refuse(register, f"there are {MAX_MEMBERS} members already")
    new = view.candidate(operation.name)
    if isinstance(new, str):
        return _refuse(register, new)
    if operation.wanted:
        rejection_reason = view.rejection_reason(
            register, operation.name, operation.wanted
        )
        if rejection_reason:
            return _refuse(register, rejection_reason)
    return _change_members(register, (*register.members, new), register.retired)


@apply.register
def _(
    operation: messages.RemoveMember,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    old = register.member(operation.name)
    if old is None:
        return _members_unchanged(register)
    if operation.wanted and len(register.members) <= operation.wanted:
        # Another instance has removed a member at the same moment.
        return _members_unchanged(register)
    members = tuple(m for m in register.members if m != old)
    if not members:
        return _refuse(register, "the last member cannot be removed")
    if not view.is_majority_reachable(members):
        # Nothing could be decided until one of them came back.
        return _refuse(
            register, "no majority of the remaining members is reachable"
        )
    retired = register.retired
    if operation.retires:
        retired = _retire(register, old.id)
    return _change_members(register, members, retired)


@apply.register
def _(
    operation: messages.ReplaceMember,
    register: messages.Register,
    view: PeerView,
) -> OperationOutcome:
    ids = [member.id for member in register.members]
    if operation.old_id not in ids:
        return _members_unchanged(register)
    members = tuple(
        operation.new if member.id == operation.old_id else member
        for member in register.members
    )
    return _change_members(
        register, members, _retire(register, operation.old_id)
    )


def _members_unchanged(register: messages.Register) -> OperationOutcome:
    result = messages.MembersChanged(register.epoch, register.members)
    return OperationOutcome(register, result)


def _refuse(register: messages.Register, reason: str) -> OperationOutcome:
    return OperationOutcome(register, messages.EditNotAccepted(reason))


def _retire(register: messages.Register, old_id: str) -> tuple[str, ...]:
    return (*register.retired, old_id)[-MAX_RETIRED:]


def _change_members(
    register: messages.Register,
    members: tuple[messages.Member, ...],
    retired: tuple[str, ...],
) -> OperationOutcome:
    new = register._replace(
        epoch=register.epoch + 1,
        members=members,
        previous=register.members,
        retired=retired,
    )
    return OperationOutcome(new, None)
