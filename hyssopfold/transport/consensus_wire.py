"""Messages of the replicated register, as they travel."""

from typing import NamedTuple

import msgspec

from hyssopfold.core.consensus import messages
from hyssopfold.transport import rpc


class Envelope(NamedTuple):
    """A message with its sender; `kind` names the type of `body`."""

    sender: str
    kind: str
    body: bytes


class Ack(NamedTuple):
    """The message arrived; its answer comes as a message of its own."""


DELIVER = rpc.Method("Deliver", Envelope, Ack)

_KINDS = {kind.__name__: kind for kind in messages.MESSAGE_TYPES}


def wrap(sender: str, message: messages.Message) -> Envelope:
    """Return the envelope that carries `message`."""
    body = msgspec.msgpack.encode(message)
    return Envelope(sender, type(message).__name__, body)


def unwrap(envelope: Envelope) -> messages.Message:
    """Return the message in an envelope.

    Raises:
        msgspec.DecodeError: on an unknown kind or a body that does not fit.
    """
    kind = _KINDS.get(envelope.kind)
    if kind is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    message: messages.Message = msgspec.msgpack.decode(envelope.body, type=kind)
    return message
