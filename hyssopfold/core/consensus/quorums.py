"""Majorities of the members, and of both sets while members change."""

from collections.abc import Collection

from hyssopfold.core.consensus import messages


def has_majority(
    members: Collection[messages.Member], ids: Collection[str]
) -> bool:
    """Return whether `ids` holds more than half of `members`."""
    votes = sum(member.id in ids for member in members)
    return votes > len(members) // 2


def satisfied(
    register: messages.Register, ids: Collection[str], chosen: bool = False
) -> bool:
    """Return whether `ids` may decide on `register` and what follows it.

    While members change, a majority of the old and of the new is needed: the
    old alone could go on deciding without knowing of the new, and the other
    way round. Once the change is known to be `chosen`, the new suffice.
    """
    if not has_majority(register.members, ids):
        return False
    if chosen or not register.previous:
        return True
    return has_majority(register.previous, ids)
