"""HTTP answers of a control instance about the durable state."""

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
    """One control instance, as observed by another.

    Attributes:
        name: Its name.
        address: Its RPC address.
        incarnation: Random id of its data folder.
        votes: Whether it is a voter without a fault.
        heard: Whether the answering instance received a recent status from it.
        revision: The newest revision that it has learned.
        behind: Number of revisions that it is behind.
        fault: Why it does not vote, or empty.
    """

    name: str
    address: str
    incarnation: str
    votes: bool
    heard: bool
    revision: int
    behind: int
    fault: str


class Status(TypedDict):
    """Members and revision of the durable state, as observed by an instance.

    Attributes:
        answered_by: Name of the answering instance.
        confirmed: Whether a majority has just confirmed the revision.
        revision: The newest revision that the instance has learned.
        epoch: Number of membership changes so far.
        cluster: Id of the cluster.
        changing_members: Whether a membership change is in progress.
        fault: Why the instance does not vote, or empty.
        instances: The members and other control instances, by name.
    """

    answered_by: str
    confirmed: bool
    revision: int
    epoch: int
    cluster: str
    changing_members: bool
    fault: str
    instances: list[InstanceStatus]


class Backup(TypedDict):
    """A backup of the state for `hyssopctl restore`, and its origin."""

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


class _Observed(NamedTuple):
    revision: int
    is_status_recent: bool
    fault: str


def describe_cluster(
    node: consensus_node.Node, confirmed: bool, now: float
) -> Status:
    """Return the status that `hyssopctl status` shows.

    Args:
        node: The member that answers.
        confirmed: Whether a majority has just confirmed the revision.
        now: Monotonic time in seconds.
    """
    register = node.learned
    recent = {
        status.member.id: status for status in node.peers.recent_statuses(now)
    }
    voters = {member.id: member for member in node.replica.register.voters()}
    others = {i: s.member for i, s in recent.items() if i not in voters}
    myself = node.replica.identity.member
    if myself.id not in voters:
        others[myself.id] = myself
    instances = []
    for member_id, member in {**voters, **others}.items():
        observed = _Observed(0, False, "not heard of")
        if member_id == myself.id:
            observed = _Observed(register.revision, True, node.fault)
        elif member_id in recent:
            status = recent[member_id]
            observed = _Observed(status.revision, True, status.fault)
        instances.append(
            InstanceStatus(
                name=member.name,
                address=member.address,
                incarnation=member.incarnation,
                votes=member_id in voters and not observed.fault,
                heard=observed.is_status_recent,
                revision=observed.revision,
                behind=max(0, register.revision - observed.revision),
                fault=observed.fault,
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
        instances=sorted(instances, key=lambda instance: instance["name"]),
    )


def backup(register: messages.Register, confirmed: bool) -> http.Answer:
    """Return a register as a document that can be restored.

    Args:
        register: The register.
        confirmed: Whether a majority has confirmed it.

    Raises:
        InvalidDocumentError: if its value is not a valid state.
    """
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
    """Return the JSON body that reports an error to an operator."""
    return {"error": exc.kind, "summary": exc.summary, "remedy": exc.remedy}


@functools.singledispatch
def answer(result: messages.Result, change_id: str) -> http.Answer:
    """Return the HTTP answer for the result of an operation.

    Args:
        result: The result.
        change_id: Id of the edit, or name of the changed member.
    """
    raise TypeError(f"unknown result type: {result!r}")


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
    """Return the HTTP answer for the result of an order.

    Args:
        result: The result.
        name: The failure domain of the order.
    """
    raise TypeError(f"unknown result type: {result!r}")


@order_answer.register
def _(result: orders.Accepted, name: str) -> http.Answer:
    return http.json_answer({"revision": result.revision})


@order_answer.register
def _(result: orders.Rejected, name: str) -> http.Answer:
    return http.error_answer(result.error, 422)


@order_answer.register
def _(result: orders.Elsewhere, name: str) -> http.Answer:
    reason = (
        f"{result.address} executes orders; this control instance does not vote"
    )
    return answer(messages.EditNotAccepted(reason), name)


@order_answer.register
def _(result: orders.Unsettled, name: str) -> http.Answer:
    if result.unknown:
        return answer(messages.OutcomeUnknown(), name)
    return answer(messages.EditNotAccepted(result.reason), name)
