"""MessagePack codec for gRPC, in place of generated protobuf classes.

Two versions of the program talk to each other during an upgrade. Fields are
only ever appended to a message and have defaults: what an older program
leaves out takes its default, and what a newer one adds is passed over.
"""

from collections.abc import Callable
import typing
from typing import Any

import grpclib.encoding.base
import msgspec

from hyssopfold.transport import auth

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def decode(data: bytes, kind: Any) -> Any:
    """Return the message in `data`, whatever a newer program appended to it.

    Raises:
        msgspec.DecodeError: on bytes that are no such message.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.ValidationError:
        known = _known(msgspec.msgpack.decode(data), kind)
        return msgspec.convert(known, kind)


def _known(value: Any, kind: Any) -> Any:
    """Return `value` without the fields that `kind` does not know."""
    if not isinstance(value, list):
        return value
    if hasattr(kind, "_fields"):
        kinds = typing.get_type_hints(kind).values()
        return [_known(*pair) for pair in zip(value, kinds, strict=False)]
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) in (tuple, list) and arguments:
        return [_known(item, arguments[0]) for item in value]
    return value


class MsgpackCodec(grpclib.encoding.base.CodecBase):
    """Encode `NamedTuple` messages; the method's type decides decoding.

    Args:
        keyring: Seals each message that leaves, opens each that comes.
        heard: Called for each message that could be decoded.
    """

    __content_subtype__ = "msgpack"

    def __init__(
        self, keyring: auth.Keyring, heard: Callable[[], None] | None = None
    ) -> None:
        self._keyring = keyring
        self._heard = heard

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the sealed bytes of `message`."""
        data = msgspec.msgpack.encode(message)
        return self._keyring.seal(message_type.__name__, data)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of `data`, checked against its type.

        Raises:
            msgspec.DecodeError: on bytes that are no such message, or that
                are not from a peer that holds one of our keys.
        """
        opened = self._keyring.open(message_type.__name__, data)
        message = decode(opened, message_type)
        if self._heard is not None:
            self._heard()
        return message
