"""RPC method that delivers messages of the replicated register."""

from typing import NamedTuple

import msgspec

from hyssopfold.core.consensus import messages
from hyssopfold.transport import rpc


class Envelope(NamedTuple):
    """Request: an encoded message with its sender; `kind` names its type."""

    sender: str
    kind: str
    body: bytes


class Ack(NamedTuple):
    """Answer: the message arrived; a reply to it is a separate message."""


DELIVER = rpc.Method("Deliver", Envelope, Ack)

_KINDS = {kind.__name__: kind for kind in messages.MESSAGE_TYPES}


def wrap(sender: str, message: messages.Message) -> Envelope:
    """Return `message` in an envelope.

    Args:
        sender: Id of the sending member.
        message: The message to encode.
    """
    body = msgspec.msgpack.encode(message)
    return Envelope(sender, type(message).__name__, body)


def unwrap(envelope: Envelope) -> messages.Message:
    """Return the message in an envelope.

    Raises:
        msgspec.DecodeError: if the kind is unknown or the body does not match
            it.
    """
    kind = _KINDS.get(envelope.kind)
    if kind is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    message: messages.Message = msgspec.msgpack.decode(envelope.body, type=kind)
    return message
