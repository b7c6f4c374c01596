"""MessagePack codec for gRPC, in place of generated protobuf classes.

During an upgrade two versions of the program exchange messages. New fields are
only appended to a message and have defaults: a field that an older program
omits gets its default, and a field that a newer program adds is ignored.
"""

from collections.abc import Callable
import typing
from typing import Any

import grpclib.encoding.base
import msgspec

from hyssopfold import decoding
from hyssopfold.transport import auth

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def decode(data: bytes, kind: Any) -> Any:
    """Decode a message; fields that a newer program appended are ignored.

    Args:
        data: The encoded message.
        kind: Type of the message, a `NamedTuple`.

    Raises:
        msgspec.DecodeError: if the bytes are not a message of this type.
    """
    try:
        return decoding.from_msgpack(data, kind)
    except msgspec.ValidationError:
        fields = _drop_unknown(decoding.from_msgpack(data), kind)
        return msgspec.convert(fields, kind)


def _drop_unknown(value: Any, kind: Any) -> Any:
    """Return `value` without the fields that `kind` does not define."""
    if not isinstance(value, list):
        return value
    if hasattr(kind, "_fields"):
        kinds = typing.get_type_hints(kind).values()
        return [
            _drop_unknown(*pair) for pair in zip(value, kinds, strict=False)
        ]
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) in (tuple, list) and arguments:
        return [_drop_unknown(item, arguments[0]) for item in value]
    return value


class MsgpackCodec(grpclib.encoding.base.CodecBase):
    """gRPC codec for `NamedTuple` messages, decoded by the method's types.

    Args:
        keyring: Seals sent messages and verifies received ones.
        on_message: Called after each message that was decoded.
    """

    __content_subtype__ = "msgpack"

    def __init__(
        self,
        keyring: auth.Keyring,
        on_message: Callable[[], None] | None = None,
    ) -> None:
        self._keyring = keyring
        self._on_message = on_message

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the sealed bytes of `message`."""
        data = msgspec.msgpack.encode(message)
        return self._keyring.seal(message_type.__name__, data)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Verify and decode a message.

        Raises:
            msgspec.DecodeError: if the bytes are not a message of this type,
                or were not sealed with one of our keys.
        """
        opened = self._keyring.open(message_type.__name__, data)
        message = decode(opened, message_type)
        if self._on_message is not None:
            self._on_message()
        return message
