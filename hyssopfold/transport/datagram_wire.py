"""Datagrams between our processes, as they travel."""

from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from hyssopfold.core.attempts import quarantine
from hyssopfold.core.balancing import messages as placement
from hyssopfold.core.membership import messages
from hyssopfold.transport import auth

# What fits into an Ethernet frame, less the seal.
MAX_BYTES = 1400 - auth.OVERHEAD_BYTES
# Largest datagram unpacked: a few bytes can unpack to gigabytes.
MAX_UNPACKED_BYTES = 65_536
# Words repeat each other's names and addresses; one alone gains nothing.
_WORTH_PACKING = 2
_PACK_LEVEL = 1
_GOSSIP = 0
_PACKED_GOSSIP = 32
# Messages for one task of the receiver, beside gossip.
_KINDS = {
    1: placement.Claim,
    2: placement.Vote,
    3: placement.Resign,
    4: placement.GrantorHeartbeat,
    5: placement.SlotRequest,
    6: placement.SlotGranted,
    7: placement.SlotDenied,
    8: placement.SlotRelease,
    9: placement.SlotSync,
    10: placement.SilentServers,
    11: placement.BusyServers,
    12: quarantine.QuarantineUpdate,
}
_NUMBERS = {kind: number for number, kind in _KINDS.items()}

Message = placement.Message | quarantine.QuarantineUpdate


class Parcel(NamedTuple):
    """A message for one task, and the name of its sender."""

    sender: str
    message: Message


def encode(datagram: messages.Datagram) -> list[bytes]:
    """Return one or more datagrams, none above `MAX_BYTES`."""
    items = len(datagram.instances) + len(datagram.servers)
    data = msgspec.msgpack.encode(datagram)
    if items >= _WORTH_PACKING:
        data = bytes([_PACKED_GOSSIP]) + zlib.compress(data, _PACK_LEVEL)
    else:
        data = bytes([_GOSSIP]) + data
    if len(data) <= MAX_BYTES or items <= 1:
        return [data]
    half_instances = len(datagram.instances) // 2
    half_servers = len(datagram.servers) // 2
    # What is said once goes with the last, when the words have been taken in.
    first = messages.Datagram(
        datagram.sender,
        datagram.revision,
        datagram.instances[:half_instances],
        datagram.servers[:half_servers],
        introduce=datagram.introduce,
        relay=datagram.relay,
    )
    second = datagram._replace(
        instances=datagram.instances[half_instances:],
        servers=datagram.servers[half_servers:],
    )
    return encode(first) + encode(second)


def encode_message(sender: str, message: Message) -> bytes:
    """Return a message for one task as one datagram."""
    number = _NUMBERS[type(message)]
    return bytes([number]) + msgspec.msgpack.encode((sender, message))


def decode(data: bytes) -> messages.Datagram | Parcel:
    """Return what is in `data`.

    Raises:
        msgspec.DecodeError: on bytes that are no datagram of ours.
    """
    if not data:
        raise msgspec.DecodeError("empty datagram")
    number, rest = data[0], data[1:]
    if number == _PACKED_GOSSIP:
        number, rest = _GOSSIP, _unpack(rest)
    if number == _GOSSIP:
        return msgspec.msgpack.decode(rest, type=messages.Datagram)
    kind: Any = _KINDS.get(number)
    if kind is None:
        raise msgspec.DecodeError(f"unknown kind {number}")
    sender, message = msgspec.msgpack.decode(rest, type=tuple[str, kind])
    return Parcel(sender, message)


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"packed datagram: {exc}") from exc
    if not unpacker.eof:
        raise msgspec.DecodeError("packed datagram: cut or too long")
    return data
