"""Checks that stop a member before it acts on a broken state."""

from hyssopfold import errors


def check(condition: bool, invariant: str) -> None:
    """Raise if an invariant of the register is broken.

    Raises:
        InvariantError: naming the invariant.
    """
    if not condition:
        raise errors.InvariantError(invariant)
