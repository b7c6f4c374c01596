"""Limits of the replicated state, checked before an edit is proposed.

A member persists its vote for its own proposal before others have read it. If
they can't read it, each promise of that member contains a state that stops the
round.
"""

from hyssopfold import errors
from hyssopfold import state
from hyssopfold.core import compression
from hyssopfold.core.distribution import follower
from hyssopfold.transport import codec

# Largest state. An instance that applies an edit or reads the state needs many
# times its size in memory.
MAX_STATE_BYTES = 10 * 1024 * 1024
# Part of a message for what surrounds the state: the accepted changes, the
# members, the seal, and evacuations, which are accepted whatever the size.
_RESERVED_BYTES = 1024 * 1024
_MAX_COMPRESSED_BYTES = codec.MAX_MESSAGE_BYTES - _RESERVED_BYTES
_MAX_PUBLISHED_BYTES = follower.MAX_UPDATE_BYTES - _RESERVED_BYTES


def check(new: bytes, current: bytes, max_message_bytes: int) -> None:
    """Check that all instances can receive a state.

    An edit that does not add to the state is allowed at any size, so that a
    state that is too large can be reduced.

    Args:
        new: The encoded state after the edit.
        current: The encoded state before it.
        max_message_bytes: Largest message that all members read, in bytes.

    Raises:
        StateTooLargeError: if the state, what instances send each other of it,
            or what entries get of it is too large.
    """
    if len(new) <= len(current):
        return
    limit = min(MAX_STATE_BYTES, max_message_bytes - _RESERVED_BYTES)
    _check_part(len(new), limit, "the state")
    if len(new) > _MAX_COMPRESSED_BYTES:
        # A smaller one fits into a message also if it can't be compressed.
        compressed = len(compression.compress(new))
        _check_part(compressed, _MAX_COMPRESSED_BYTES, "the compressed state")
    if len(new) > _MAX_PUBLISHED_BYTES:
        published = len(state.without_rows(new))
        _check_part(published, _MAX_PUBLISHED_BYTES, "the tables")


def _check_part(size: int, limit: int, part: str) -> None:
    if size > limit:
        raise errors.StateTooLargeError(size, limit, part)
