"""RPC method that delivers messages of the replicated register."""

import functools
from typing import NamedTuple

import msgspec

from hyssopfold.core import compression
from hyssopfold.core.consensus import messages
from hyssopfold.transport import codec
from hyssopfold.transport import rpc

# Largest message after decompression. Larger than the largest state, see
# `control.state_limits`, so that a vote for any such state can be read.
MAX_MESSAGE_BYTES = 24 * 1024 * 1024


class Envelope(NamedTuple):
    """Request: an encoded message with its sender; `kind` names its type."""

    sender: str
    kind: str
    body: bytes
    is_compressed: bool = False


class Ack(NamedTuple):
    """Answer: the message arrived; a reply to it is a separate message.

    `accepts_compressed` says whether the receiver can decompress messages, and
    `max_message_bytes` how large a message it reads after decompression.
    """

    accepts_compressed: bool = False
    max_message_bytes: int = codec.MAX_MESSAGE_BYTES


ACK = Ack(accepts_compressed=True, max_message_bytes=MAX_MESSAGE_BYTES)


DELIVER = rpc.Method("Deliver", Envelope, Ack)

_KINDS = {kind.__name__: kind for kind in messages.MESSAGE_TYPES}
# A register is sent to several members one after the other.
_compress = functools.lru_cache(maxsize=2)(compression.compress)


def wrap(
    sender: str, message: messages.Message, compress: bool = False
) -> Envelope:
    """Return `message` in an envelope.

    Args:
        sender: Id of the sending member.
        message: The message to encode.
        compress: Whether the receiver accepts compressed messages.
    """
    body = msgspec.msgpack.encode(message)
    is_compressed = compress and len(body) >= compression.MIN_COMPRESSED_BYTES
    if len(body) > codec.MAX_MESSAGE_BYTES:
        # No peer receives it otherwise.
        is_compressed = True
    if is_compressed:
        body = _compress(body)
    return Envelope(sender, type(message).__name__, body, is_compressed)


def unwrap(envelope: Envelope) -> messages.Message:
    """Return the message in an envelope.

    Raises:
        msgspec.DecodeError: if the kind is unknown or the body does not match
            it.
    """
    kind = _KINDS.get(envelope.kind)
    if kind is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    body = envelope.body
    if envelope.is_compressed:
        body = _decompress(body)
    message: messages.Message = msgspec.msgpack.decode(body, type=kind)
    return message


def _decompress(body: bytes) -> bytes:
    try:
        return compression.decompress(body, MAX_MESSAGE_BYTES)
    except compression.DecompressError as exc:
        raise msgspec.DecodeError(f"compressed message: {exc}") from exc
