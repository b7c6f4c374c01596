"""Messages between our processes, as they travel."""

from typing import NamedTuple

import msgspec

from hyssopfold.core.consensus import messages as consensus
from hyssopfold.core.membership import messages as membership
from hyssopfold.transport import rpc

MAX_DATAGRAM_BYTES = 1400


class Envelope(NamedTuple):
    """A consensus message with its sender; `kind` names the type."""

    sender: str
    kind: str
    body: bytes


class Ack(NamedTuple):
    """The message arrived; its answer comes as a message of its own."""


class Poll(NamedTuple):
    """Ask for a revision above `have`; wait for one up to `wait_s`."""

    instance: str
    have: int
    wait_s: float


class PollAnswer(NamedTuple):
    """The newest revision known; `tables` is empty when `have` is as new."""

    revision: int
    tables: bytes


DELIVER = rpc.Method("Deliver", Envelope, Ack)
POLL = rpc.Method("Poll", Poll, PollAnswer)

_KINDS = {kind.__name__: kind for kind in consensus.MESSAGE_TYPES}


def seal(sender: str, message: consensus.Message) -> Envelope:
    """Return the envelope that carries `message`."""
    body = msgspec.msgpack.encode(message)
    return Envelope(sender, type(message).__name__, body)


def open_envelope(envelope: Envelope) -> consensus.Message:
    """Return the message in an envelope.

    Raises:
        msgspec.DecodeError: on an unknown kind or a body that does not fit.
    """
    kind = _KINDS.get(envelope.kind)
    if kind is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    message: consensus.Message = msgspec.msgpack.decode(
        envelope.body, type=kind
    )
    return message


def encode_datagrams(datagram: membership.Datagram) -> list[bytes]:
    """Return one or more datagrams, none above `MAX_DATAGRAM_BYTES`."""
    data = msgspec.msgpack.encode(datagram)
    items = len(datagram.instances) + len(datagram.servers)
    if len(data) <= MAX_DATAGRAM_BYTES or items <= 1:
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
    return encode_datagrams(first) + encode_datagrams(second)


def decode_datagram(data: bytes) -> membership.Datagram:
    """Return the datagram in `data`.

    Raises:
        msgspec.DecodeError: on bytes that are no datagram.
    """
    return msgspec.msgpack.decode(data, type=membership.Datagram)
