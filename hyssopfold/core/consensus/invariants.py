"""Check invariants, so that a member stops before acting on a bad state."""

from hyssopfold import errors


def check(condition: bool, invariant: str) -> None:
    """Raise if an invariant of the register is broken.

    Raises:
        InvariantError: if `condition` is false; it names the invariant.
    """
    if not condition:
        raise errors.InvariantError(invariant)
