"""What a backend server sends to announce itself, over HTTP."""

from typing import TypedDict

import msgspec

from hyssopfold import access
from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import http
from hyssopfold.core.membership import messages
from hyssopfold.transport import gossip

PATH = "/hyssop/v1/servers/"


class Body(TypedDict):
    """The JSON body of an announcement."""

    pool: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    state: messages.State
    incarnation: int
    sequence: int
    load: float


def parse(server_id: str, body: bytes) -> messages.Server:
    """Return the announcement in `body`.

    Raises:
        InvalidDocumentError: when it is none.
    """
    try:
        fields = msgspec.json.decode(body, type=Body)
    except msgspec.DecodeError as exc:
        raise _invalid("body", str(exc), "the announcement's fields") from exc
    if not documents.is_address(fields["address"]):
        allowed = "an IP number and port, IP:PORT"
        raise _invalid("address", fields["address"], allowed)
    if not server_id or len(server_id) > 63 or not server_id.isprintable():
        raise _invalid("ID", server_id[:63], "1 to 63 printable letters")
    if fields["slots"] < 1 or fields["connections"] < 1:
        raise _invalid("slots", str(fields["slots"]), "numbers from 1")
    return messages.Server(server_id=server_id, **fields)


def _invalid(
    where: str, value: str, allowed: str
) -> errors.InvalidDocumentError:
    fault = errors.Fault("announcement", 1, where, value, allowed)
    return errors.InvalidDocumentError([fault])


async def answer(
    spread: gossip.Gossip,
    scope: http.Scope,
    receive: http.Receive,
    guard: access.Guard,
) -> http.Answer:
    """Take in a server's announcement and return its answer."""
    refusal = guard.refuse(scope)
    if refusal is not None:
        return refusal
    body = await http.read_body(receive, max_bytes=16_384)
    try:
        server = parse(scope["path"].removeprefix(PATH), body or b"")
    except errors.InvalidDocumentError as exc:
        return http.error_answer(exc, 400)
    spread.announce(server)
    return http.json_answer({"revision": spread.myself.revision})
