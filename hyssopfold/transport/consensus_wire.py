"""RPC method that delivers messages of the replicated register."""

from collections.abc import Callable
import functools
from typing import NamedTuple

import msgspec

from hyssopfold import decoding
from hyssopfold.core import compression
from hyssopfold.core.consensus import messages
from hyssopfold.transport import codec
from hyssopfold.transport import rpc

# Largest message after decompression. Larger than the largest state, see
# `control.state_limits`, so that a vote for any such state can be read.
MAX_MESSAGE_BYTES = 24 * 1024 * 1024
# Smaller values are sent whole: a digest that the receiver does not hold costs
# another round trip.
MIN_OMITTED_BYTES = 64 * 1024


class Envelope(NamedTuple):
    """Request: an encoded message with its sender.

    `kind` names the message's type. If `value_digest` is not empty, the body
    omits the value of its register, and the receiver inserts the value with
    this digest. The kind then ends with `_BY_DIGEST`, so that an older program,
    which ignores the digest, does not read the message without its value.
    """

    sender: str
    kind: str
    body: bytes
    is_compressed: bool = False
    value_digest: bytes = b""


class Ack(NamedTuple):
    """Answer: the message arrived; a reply to it is a separate message.

    `accepts_compressed` says whether the receiver can decompress messages, and
    `max_message_bytes` how large a message it reads after decompression.
    `accepts_digests` says whether it can insert a value that was omitted. With
    `is_value_missing` it does not hold that value and the message was dropped.
    """

    accepts_compressed: bool = False
    max_message_bytes: int = codec.MAX_MESSAGE_BYTES
    accepts_digests: bool = False
    is_value_missing: bool = False


ACK = Ack(
    accepts_compressed=True,
    max_message_bytes=MAX_MESSAGE_BYTES,
    accepts_digests=True,
)


DELIVER = rpc.Method("Deliver", Envelope, Ack)

_KINDS = {kind.__name__: kind for kind in messages.MESSAGE_TYPES}
_BY_DIGEST = "ByDigest"


class ValueMissingError(Exception):
    """The receiver of a message does not hold the value that it omits."""


def large_value(message: messages.Message) -> bytes:
    """Return the register's value in `message` if it is large, else nothing."""
    match message:
        case (
            messages.Promise(register=register)
            | messages.Accept(register=register)
            | messages.Install(register=register)
        ):
            if len(register.value) >= MIN_OMITTED_BYTES:
                return register.value
    return b""


def with_value(message: messages.Message, value: bytes) -> messages.Message:
    """Return `message` with another value in its register."""
    match message:
        case messages.Promise() | messages.Accept() | messages.Install():
            register = message.register._replace(value=value)
            return message._replace(register=register)
    return message


def wrap(
    sender: str,
    message: messages.Message,
    compress: bool = False,
    value_digest: bytes = b"",
) -> Envelope:
    """Return `message` in an envelope.

    Args:
        sender: Id of the sending member.
        message: The message to encode.
        compress: Whether the receiver accepts compressed messages.
        value_digest: Digest of the register's value, to omit the value.
    """
    kind = type(message).__name__
    if value_digest:
        message = with_value(message, b"")
        kind += _BY_DIGEST
    body, is_compressed = _encode(message, compress)
    return Envelope(sender, kind, body, is_compressed, value_digest)


# A register is sent to several members one after the other.
@functools.lru_cache(maxsize=1, typed=True)
def _encode(message: messages.Message, compress: bool) -> tuple[bytes, bool]:
    """Return the body of a message, and whether it is compressed."""
    body = msgspec.msgpack.encode(message)
    is_compressed = compress and len(body) >= compression.MIN_COMPRESSED_BYTES
    if len(body) > codec.MAX_MESSAGE_BYTES:
        # No peer receives it otherwise.
        is_compressed = True
    return (
        compression.compress(body) if is_compressed else body
    ), is_compressed


def unwrap(
    envelope: Envelope, find: Callable[[bytes], bytes | None] = lambda _: None
) -> messages.Message:
    """Return the message in an envelope.

    Args:
        envelope: The envelope.
        find: Returns the value with a digest, or None if it is not held.

    Raises:
        msgspec.DecodeError: if the kind is unknown or the body does not match
            it.
        ValueMissingError: if the message omits a value that is not held.
    """
    name = envelope.kind
    if envelope.value_digest:
        name = name.removesuffix(_BY_DIGEST)
    kind = _KINDS.get(name)
    if kind is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    body = envelope.body
    if envelope.is_compressed:
        body = _decompress(body)
    message: messages.Message = decoding.from_msgpack(body, kind)
    if envelope.value_digest:
        value = find(envelope.value_digest)
        if value is None:
            raise ValueMissingError
        message = with_value(message, value)
    return message


def _decompress(body: bytes) -> bytes:
    try:
        return compression.decompress(body, MAX_MESSAGE_BYTES)
    except compression.DecompressError as exc:
        raise msgspec.DecodeError(f"compressed message: {exc}") from exc
