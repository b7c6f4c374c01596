"""Announcements that backend servers send over HTTP: fields and checks."""

from typing import Literal
from typing import NotRequired
from typing import TypedDict

import msgspec

from hyssopfold import access
from hyssopfold import decoding
from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import http
from hyssopfold.core.membership import messages
from hyssopfold.transport import gossip

PATH = "/hyssop/v1/servers/"
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
MAX_LOAD = 1_000_000.0
# No server takes longer than a day to warm up.
MAX_COLD_S = 86_400.0
# Limit of incarnation and sequence numbers: after a larger one, a server could
# send no newer one.
MAX_NUMBER = 2**53
_MAX_NAME_LENGTH = 63
_NAMES = ("pool", "region", "failure_domain")
_LIMITS = {
    "slots": (1, MAX_SLOTS),
    "connections": (1, MAX_CONNECTIONS),
    "incarnation": (0, MAX_NUMBER),
    "sequence": (0, MAX_NUMBER),
    "load": (0, MAX_LOAD),
    "cold_left_s": (0, MAX_COLD_S),
}


class Body(TypedDict):
    """The JSON body of an announcement."""

    pool: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    state: Literal["ready", "leaving"]
    incarnation: int
    sequence: int
    load: float
    cold_left_s: NotRequired[float]


def parse(server_id: str, body: bytes) -> messages.Server:
    """Return the announcement in a request body.

    Args:
        server_id: ID of the server, from the request's path.
        body: JSON body of the request.

    Raises:
        InvalidDocumentError: when the body is no valid announcement.
    """
    try:
        fields = decoding.from_json(body, Body)
    except msgspec.DecodeError as exc:
        raise _invalid("body", str(exc), "the announcement's fields") from exc
    return check(messages.Server(server_id=server_id, **fields))


def check(server: messages.Server) -> messages.Server:
    """Return an announcement after checking its fields.

    Raises:
        InvalidDocumentError: when a field has a value that is not allowed.
    """
    fields = server._asdict()
    if not documents.is_address(server.address):
        allowed = "an IP address and port, IP:PORT"
        raise _invalid("address", server.address, allowed)
    names = {"ID": server.server_id}
    names |= {key: fields[key] for key in _NAMES}
    for key, name in names.items():
        if not 0 < len(name) <= _MAX_NAME_LENGTH or not name.isprintable():
            allowed = f"1 to {_MAX_NAME_LENGTH} printable characters"
            raise _invalid(key, name[:_MAX_NAME_LENGTH], allowed)
    for key, (low, high) in _LIMITS.items():
        value = fields[key]
        # This form also refuses NaN, for which every comparison is false.
        if not low <= value <= high:
            raise _invalid(key, str(value), f"a number from {low} to {high}")
    return server


def _invalid(
    where: str, value: str, allowed: str
) -> errors.InvalidDocumentError:
    fault = errors.Fault("announcement", 1, where, value, allowed)
    return errors.InvalidDocumentError([fault])


async def answer(
    gossip_service: gossip.Gossip,
    scope: http.Scope,
    receive: http.Receive,
    guard: access.Guard,
) -> http.Answer:
    """Process a server's announcement and return the answer to it.

    Args:
        gossip_service: Passes the announcement on to other instances.
        scope: ASGI scope of the request.
        receive: ASGI receive function of the request.
        guard: Checks the server's token.
    """
    refusal = guard.refuse(scope)
    if refusal is not None:
        return refusal
    body = await http.read_body(receive, max_bytes=16_384)
    try:
        server = parse(scope["path"].removeprefix(PATH), body or b"")
    except errors.InvalidDocumentError as exc:
        return http.error_answer(exc, 400)
    gossip_service.announce(server)
    return http.json_answer({"revision": gossip_service.myself.revision})
