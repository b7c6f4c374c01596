"""MessagePack codec for gRPC, in place of generated protobuf classes."""

from typing import Any

import grpclib.encoding.base
import msgspec


class MsgpackCodec(grpclib.encoding.base.CodecBase):
    """Encode `NamedTuple` messages; the method's type decides decoding."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of `message`."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of `data`, checked against its type.

        Raises:
            msgspec.DecodeError: on bytes that are no such message.
        """
        return msgspec.msgpack.decode(data, type=message_type)
