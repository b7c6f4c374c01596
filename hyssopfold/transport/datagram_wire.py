"""Datagrams between our processes, as they travel."""

import msgspec

from hyssopfold.core.membership import messages
from hyssopfold.transport import auth

# What fits into an Ethernet frame, less the seal.
MAX_BYTES = 1400 - auth.OVERHEAD_BYTES


def encode(datagram: messages.Datagram) -> list[bytes]:
    """Return one or more datagrams, none above `MAX_BYTES`."""
    data = msgspec.msgpack.encode(datagram)
    items = len(datagram.instances) + len(datagram.servers)
    if len(data) <= MAX_BYTES or items <= 1:
        return [data]
    half_instances = len(datagram.instances) // 2
    half_servers = len(datagram.servers) // 2
    first = datagram._replace(
        instances=datagram.instances[:half_instances],
        servers=datagram.servers[:half_servers],
    )
    second = datagram._replace(
        instances=datagram.instances[half_instances:],
        servers=datagram.servers[half_servers:],
    )
    return encode(first) + encode(second)


def decode(data: bytes) -> messages.Datagram:
    """Return the datagram in `data`.

    Raises:
        msgspec.DecodeError: on bytes that are no datagram.
    """
    return msgspec.msgpack.decode(data, type=messages.Datagram)
