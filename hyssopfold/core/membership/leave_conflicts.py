"""Conflicts between records of a server that leaves, for the log."""

from hyssopfold.core.membership import effects
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import received_announcements


def find(
    known: messages.Server | None,
    received: messages.Server,
    kept: messages.Server | None,
    sender: str,
) -> list[effects.Effect]:
    """Return the conflict if one of two records leaves and the other is ready.

    Args:
        known: The record known before, None if there was none.
        received: The record that a datagram contained.
        kept: The record known from now on.
        sender: Name of the instance that sent the datagram.
    """
    if known is None or known.incarnation != received.incarnation:
        return []
    if {known.state, received.state} != {"ready", "leaving"}:
        return []
    if received.state == "leaving" and received_announcements.is_newer(
        received, known
    ):
        # The usual case: the server was ready and leaves now.
        return []
    return [
        effects.LeaveConflict(
            received.server_id,
            sender,
            known.state,
            known.sequence,
            received.state,
            received.sequence,
            kept.state if kept is not None else "",
        )
    ]
