"""Answers of a control instance about the durable state."""

import functools
from typing import NamedTuple
from typing import TypedDict

from hyssopfold import errors
from hyssopfold import http
from hyssopfold import state
from hyssopfold.control import orders
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node as consensus_node

BACKUP_FORMAT = 1
_RETRY_AFTER_S = b"1"


class InstanceStatus(TypedDict):
    """One control instance, as another sees it."""

    name: str
    address: str
    incarnation: str
    votes: bool
    heard: bool
    revision: int
    behind: int
    fault: str


class Status(TypedDict):
    """The durable state's members and revision, as one instance sees them."""

    answered_by: str
    confirmed: bool
    revision: int
    epoch: int
    cluster: str
    changing_members: bool
    fault: str
    instances: list[InstanceStatus]


class Backup(TypedDict):
    """Everything that `hyssopctl restore` needs, and where it came from."""

    format: int
    revision: int
    confirmed: bool
    cluster: str
    members: list[str]
    state: str


class RestoreBody(TypedDict):
    """The JSON body of `PUT /hyssop/v1/backup`."""

    expect: int
    change_id: str
    floor: int
    state: str


class _Seen(NamedTuple):
    revision: int
    heard: bool
    fault: str


def describe(node: consensus_node.Node, confirmed: bool, now: float) -> Status:
    """Return what `hyssopctl status` shows.

    Args:
        node: The member that answers.
        confirmed: Whether a majority has confirmed the revision just now.
        now: Monotonic time in seconds.
    """
    register = node.learned
    heard = {
        status.member.id: status for status in node.peers.recent_statuses(now)
    }
    voters = {member.id: member for member in node.replica.register.voters()}
    others = {i: s.member for i, s in heard.items() if i not in voters}
    mine = node.replica.identity.member
    if mine.id not in voters:
        others[mine.id] = mine
    shown = []
    for member_id, member in {**voters, **others}.items():
        seen = _Seen(0, False, "not heard of")
        if member_id == mine.id:
            seen = _Seen(register.revision, True, node.fault)
        elif member_id in heard:
            status = heard[member_id]
            seen = _Seen(status.revision, True, status.fault)
        shown.append(
            InstanceStatus(
                name=member.name,
                address=member.address,
                incarnation=member.incarnation,
                votes=member_id in voters and not seen.fault,
                heard=seen.heard,
                revision=seen.revision,
                behind=max(0, register.revision - seen.revision),
                fault=seen.fault,
            )
        )
    return Status(
        answered_by=node.name,
        confirmed=confirmed,
        revision=register.revision,
        epoch=register.epoch,
        cluster=register.cluster,
        changing_members=bool(node.replica.register.previous),
        fault=node.fault,
        instances=sorted(shown, key=lambda one: one["name"]),
    )


def backup(register: messages.Register, confirmed: bool) -> http.Answer:
    """Return a register as a document that can be restored."""
    state.decode(register.value)
    body = Backup(
        format=BACKUP_FORMAT,
        revision=register.revision,
        confirmed=confirmed,
        cluster=register.cluster,
        members=[member.id for member in register.members],
        state=register.value.decode(),
    )
    return http.json_answer(body)


def error_body(exc: errors.HyssopError) -> dict[str, object]:
    """Return what an operator is told of an error."""
    return {"error": exc.kind, "summary": exc.summary, "remedy": exc.remedy}


@functools.singledispatch
def answer(result: messages.Result, change_id: str) -> http.Answer:
    """Return the HTTP answer for the result of an operation."""
    raise TypeError(f"no such result: {result!r}")


@answer.register
def _(result: messages.EditAccepted, change_id: str) -> http.Answer:
    return http.json_answer({"revision": result.revision})


@answer.register
def _(result: messages.MembersChanged, change_id: str) -> http.Answer:
    names = [member.name for member in result.members]
    return http.json_answer({"epoch": result.epoch, "members": names})


@answer.register
def _(result: messages.EditConflict, change_id: str) -> http.Answer:
    exc = errors.ConflictError(result.revision, result.winner)
    body = error_body(exc)
    body |= {"revision": exc.revision, "winner": exc.winner}
    return http.json_answer(body, 409)


@answer.register
def _(result: messages.ChangeIdReused, change_id: str) -> http.Answer:
    exc = errors.ChangeIdReusedError(change_id, result.revision)
    return http.json_answer(error_body(exc), 422)


@answer.register
def _(result: messages.EditNotAccepted, change_id: str) -> http.Answer:
    exc = errors.NotAcceptedError(result.reason)
    plain = http.json_answer(error_body(exc), 503)
    return plain._replace(headers=((b"retry-after", _RETRY_AFTER_S),))


@answer.register
def _(result: messages.OutcomeUnknown, change_id: str) -> http.Answer:
    return http.error_answer(errors.OutcomeUnknownError(change_id), 504)


@functools.singledispatch
def order_answer(result: orders.Result, name: str) -> http.Answer:
    """Return the HTTP answer for what became of an order."""
    raise TypeError(f"no such result: {result!r}")


@order_answer.register
def _(result: orders.Accepted, name: str) -> http.Answer:
    return http.json_answer({"revision": result.revision})


@order_answer.register
def _(result: orders.Rejected, name: str) -> http.Answer:
    return http.error_answer(result.error, 422)


@order_answer.register
def _(result: orders.Elsewhere, name: str) -> http.Answer:
    reason = f"{result.address} decides; this control instance does not vote"
    return answer(messages.EditNotAccepted(reason), name)


@order_answer.register
def _(result: orders.Unsettled, name: str) -> http.Answer:
    if result.unknown:
        return answer(messages.OutcomeUnknown(), name)
    return answer(messages.EditNotAccepted(result.reason), name)
