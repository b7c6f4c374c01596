"""Count majorities, of both member sets during a membership change."""

from collections.abc import Collection

from hyssopfold.core.consensus import messages


def has_majority(
    members: Collection[messages.Member], ids: Collection[str]
) -> bool:
    """Return whether `ids` contains more than half of `members`."""
    votes = sum(member.id in ids for member in members)
    return votes > len(members) // 2


def has_quorum(
    register: messages.Register, ids: Collection[str], chosen: bool = False
) -> bool:
    """Return whether `ids` form a quorum for `register` and its successors.

    During a membership change, majorities of both the old and the new members
    are needed: otherwise the old members could keep deciding without the new
    ones, and the reverse. Once the change is known to be `chosen`, a majority
    of the new members is enough.
    """
    if not has_majority(register.members, ids):
        return False
    if chosen or not register.previous:
        return True
    return has_majority(register.previous, ids)
