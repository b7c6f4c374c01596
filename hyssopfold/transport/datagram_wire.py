"""Encoding of the datagrams between instances."""

from typing import Any
from typing import NamedTuple

import msgspec

from hyssopfold import decoding
from hyssopfold.core import compression
from hyssopfold.core.attempts import quarantine
from hyssopfold.core.balancing import messages as placement
from hyssopfold.core.limits import messages as limits
from hyssopfold.core.membership import messages
from hyssopfold.transport import auth

# Payload that fits into an Ethernet frame together with the seal.
MAX_BYTES = 1400 - auth.OVERHEAD_BYTES
# Largest decompressed datagram; a few bytes can decompress to gigabytes.
MAX_DECOMPRESSED_BYTES = 65_536
# Records repeat each other's names and addresses, so that compression pays from
# two records on; a single record gains nothing.
_MIN_COMPRESSED_RECORDS = 2
# First byte of a datagram: gossip, compressed gossip, or a number of _KINDS.
_GOSSIP = 0
_COMPRESSED_GOSSIP = 32
# Messages other than gossip; each is handled by one task of the receiver.
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
    13: limits.UsageReport,
    14: limits.AllowanceUpdate,
    15: placement.LimitedServers,
}
_NUMBERS = {kind: number for number, kind in _KINDS.items()}

Message = placement.Message | quarantine.QuarantineUpdate | limits.Message


class ReceivedMessage(NamedTuple):
    """A message for one task of this instance, with the sender's name."""

    sender: str
    message: Message


def encode(datagram: messages.Datagram) -> list[bytes]:
    """Encode gossip.

    Returns:
        One or more datagrams, split so that none exceeds `MAX_BYTES` unless it
        contains a single record.
    """
    record_count = len(datagram.instances) + len(datagram.servers)
    data = msgspec.msgpack.encode(datagram)
    if record_count >= _MIN_COMPRESSED_RECORDS:
        data = bytes([_COMPRESSED_GOSSIP]) + compression.compress(data)
    else:
        data = bytes([_GOSSIP]) + data
    if len(data) <= MAX_BYTES or record_count <= 1:
        return [data]
    half_instances = len(datagram.instances) // 2
    half_servers = len(datagram.servers) // 2
    # Fields that are not repeated here are in the last datagram only, so that
    # the receiver has the records before it reads them.
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
    """Return a message for one task of the receiver as one datagram.

    Args:
        sender: Name of this instance.
        message: The message.
    """
    number = _NUMBERS[type(message)]
    return bytes([number]) + msgspec.msgpack.encode((sender, message))


def decode(data: bytes) -> messages.Datagram | ReceivedMessage:
    """Decode a datagram.

    Returns:
        Gossip, or a message for one task.

    Raises:
        msgspec.DecodeError: if the bytes are not a datagram of this protocol.
    """
    if not data:
        raise msgspec.DecodeError("empty datagram")
    number, rest = data[0], data[1:]
    if number == _COMPRESSED_GOSSIP:
        number, rest = _GOSSIP, _decompress(rest)
    if number == _GOSSIP:
        datagram: messages.Datagram
        datagram = decoding.from_msgpack(rest, messages.Datagram)
        return datagram
    kind: Any = _KINDS.get(number)
    if kind is None:
        raise msgspec.DecodeError(f"unknown kind {number}")
    sender, message = decoding.from_msgpack(rest, tuple[str, kind])
    return ReceivedMessage(sender, message)


def _decompress(compressed: bytes) -> bytes:
    try:
        return compression.decompress(compressed, MAX_DECOMPRESSED_BYTES)
    except compression.DecompressError as exc:
        raise msgspec.DecodeError(f"compressed datagram: {exc}") from exc
