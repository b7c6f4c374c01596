"""The operators' HTTP API of a control instance."""

import hashlib
import logging
import time
from typing import TypedDict
import urllib.parse
import uuid

import msgspec
import trio

from hyssopfold import access
from hyssopfold import announcements
from hyssopfold import decoding
from hyssopfold import errors
from hyssopfold import http
from hyssopfold import instances
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.control import instance as control_instance
from hyssopfold.control import orders as control_orders
from hyssopfold.control import state_answers
from hyssopfold.control import state_limits
from hyssopfold.core.consensus import messages
from hyssopfold.core.orders import orders
from hyssopfold.core.steering import plans
from hyssopfold.transport import gossip
from hyssopfold.transport import publisher

logger = logging.getLogger(__name__)

# Paths that probes and scrapers may read without a token.
_PUBLIC_PATHS = ("/hyssop/v1/healthz", "/hyssop/v1/readyz", "/metrics")


class EditBody(TypedDict):
    """The JSON body of `PUT /hyssop/v1/tables`."""

    expect: int
    change_id: str
    tables: str


_MEMBERS_PREFIX = "/hyssop/v1/members/"
_EVACUATIONS_PREFIX = "/hyssop/v1/evacuations/"
_MAX_CHANGE_ID_LENGTH = 128


class Api:
    """ASGI application for operators, backend servers and probes.

    Args:
        instance: The member of the register that this process runs.
        gossip_service: Spreads announcements.
        meter: Metrics of this process.
        operators: Authenticates operators.
        announcers: Authenticates backend servers.
        revision_publisher: Answers polls for newer revisions.

    Attributes:
        orders: Executes orders of operators.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        gossip_service: gossip.Gossip,
        meter: metrics.Metrics,
        operators: access.Guard,
        announcers: access.Guard,
        revision_publisher: publisher.Publisher,
    ) -> None:
        self._operators = operators
        self._announcers = announcers
        self._instance = instance
        self.orders = control_orders.Orders(instance, gossip_service.directory)
        self._gossip = gossip_service
        self._meter = meter
        self._publisher = revision_publisher

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        answer = await self._answer(scope, receive)
        await http.send_answer(send, answer, scope["method"] == "HEAD")

    async def _answer(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        method, path = scope["method"], scope["path"]
        if method == "PUT" and path.startswith(announcements.PATH):
            return await announcements.answer(
                self._gossip, scope, receive, self._announcers
            )
        if not path.startswith(_PUBLIC_PATHS):
            refusal = self._operators.refuse(scope)
            if refusal is not None:
                return refusal
        if path == "/hyssop/v1/tables" and method == "PUT":
            return await self._put_tables(scope, receive)
        if path == "/hyssop/v1/tables" and method == "GET":
            return await self._get_tables()
        return await self._answer_state(method, path, receive)

    async def _answer_state(
        self, method: str, path: str, receive: http.Receive
    ) -> http.Answer:
        """Answer a request about the durable state, members or evacuations."""
        match (method, path):
            case ("GET", "/hyssop/v1/status"):
                return await self._get_status()
            case ("GET", "/hyssop/v1/backup"):
                return await self._get_backup()
            case ("PUT", "/hyssop/v1/backup"):
                return await self._put_backup(receive)
            case ("PUT" | "DELETE", _) if path.startswith(_MEMBERS_PREFIX):
                return await self._change_members(method, path)
            case ("PUT" | "DELETE", _) if path.startswith(_EVACUATIONS_PREFIX):
                return await self._evacuate(method, path)
        return await self._answer_monitoring(path)

    async def _answer_monitoring(self, path: str) -> http.Answer:
        match path:
            case "/hyssop/v1/healthz":
                return http.json_answer({"status": "ok"})
            case "/hyssop/v1/readyz":
                return await self._get_readiness()
            case instances.PATH:
                return instances.answer(self._gossip)
            case "/metrics":
                revision = self._instance.register.revision
                self._meter.revision.set({}, revision)
                self._meter.set_gossip(self._gossip.sent_bytes)
                self._meter.set_poll_answers(
                    self._publisher.answers, self._publisher.answered_bytes
                )
                return self._meter.render()
        return http.json_answer(
            {"error": "not-found", "remedy": "see docs/operators"}, 404
        )

    async def _get_readiness(self) -> http.Answer:
        result = await self._instance.read()
        if isinstance(result, messages.ReadDone):
            return http.json_answer({"revision": result.register.revision})
        return state_answers.answer(result, "")

    async def _get_status(self) -> http.Answer:
        result = await self._instance.read()
        confirmed = isinstance(result, messages.ReadDone)
        body = state_answers.describe_cluster(
            self._instance.node, confirmed, trio.current_time()
        )
        return http.json_answer(body)

    async def _get_backup(self) -> http.Answer:
        result = await self._instance.read()
        if isinstance(result, messages.ReadDone):
            return state_answers.backup(result.register, True)
        # If the majority is lost, the register of this instance may be the only
        # copy left; the document says that it is not confirmed.
        register = self._instance.node.durable.register
        return state_answers.backup(register, False)

    async def _put_backup(self, receive: http.Receive) -> http.Answer:
        body = await http.read_body(receive)
        try:
            restore = decoding.from_json(body or b"", state_answers.RestoreBody)
            value = self._encode(state.decode(restore["state"].encode()))
        except errors.StateTooLargeError as exc:
            return http.error_answer(exc, 422)
        except (msgspec.DecodeError, errors.InvalidDocumentError) as exc:
            return _body_fault(str(exc), "a backup")
        result = await self._instance.edit(
            restore["change_id"],
            restore["expect"],
            value,
            _digest(restore["state"]),
            restore["floor"],
        )
        _log_edit(restore["change_id"], restore["expect"], result, "restore")
        return state_answers.answer(result, restore["change_id"])

    async def _change_members(self, method: str, path: str) -> http.Answer:
        name = urllib.parse.unquote(path.removeprefix(_MEMBERS_PREFIX))
        if method == "PUT":
            result = await self._instance.add_member(name)
        else:
            result = await self._instance.remove_member(name)
        logger.info(
            logs.Event(
                "members-decision",
                method=method,
                name=name,
                result=type(result).__name__,
            )
        )
        return state_answers.answer(result, name)

    async def _evacuate(self, method: str, path: str) -> http.Answer:
        name = urllib.parse.unquote(path.removeprefix(_EVACUATIONS_PREFIX))
        kind = orders.Evacuate if method == "PUT" else orders.EndEvacuation
        # A repeated request is a new order, since the evacuation may have ended
        # in between.
        result = await self.orders.execute(uuid.uuid4().hex, kind(name))
        return state_answers.order_answer(result, name)

    async def _get_tables(self) -> http.Answer:
        result = await self.orders.read_register()
        if not isinstance(result, messages.ReadDone):
            return state_answers.answer(result, "")
        current = state.decode(result.register.value)
        plain = tables.to_plain(current.tables)
        body = {"revision": result.register.revision, **plain}
        body["evacuated"] = current.evacuated
        return http.json_answer(body)

    async def _put_tables(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        body = await http.read_body(receive)
        try:
            edit = decoding.from_json(body or b"", EditBody)
            parsed = tables.parse(edit["tables"])
        except msgspec.DecodeError as exc:
            return _body_fault(str(exc), "the edit's fields")
        except errors.InvalidDocumentError as exc:
            return http.error_answer(exc, 422)
        if len(edit["change_id"]) > _MAX_CHANGE_ID_LENGTH:
            return _body_fault(
                "a change id", f"up to {_MAX_CHANGE_ID_LENGTH} characters"
            )
        try:
            value = await self._plan_edit(edit["expect"], parsed)
        except (errors.InvalidDocumentError, errors.StateTooLargeError) as exc:
            return http.error_answer(exc, 422)
        if value is None:
            # Nothing was submitted, so the edit can't take effect later.
            refusal = messages.EditNotAccepted(
                "this control instance is behind and reaches no majority"
            )
            return state_answers.answer(refusal, edit["change_id"])
        result = await self._instance.edit(
            edit["change_id"],
            edit["expect"],
            value,
            _digest(edit["tables"]),
        )
        client = urllib.parse.quote(str(scope.get("client")))
        _log_edit(edit["change_id"], edit["expect"], result, client)
        return state_answers.answer(result, edit["change_id"])

    def _encode(self, new: state.State) -> bytes:
        """Return the encoded state to submit.

        Raises:
            StateTooLargeError: if instances can't send it to each other.
        """
        value = state.encode(new)
        state_limits.check(
            value,
            self._instance.register.value,
            self._instance.max_message_bytes(),
        )
        return value

    async def _plan_edit(
        self, expect: int, parsed: tables.Tables
    ) -> bytes | None:
        """Return the value to submit: new tables and the shifts they start.

        Args:
            expect: Revision that the edit is based on.
            parsed: The new tables.

        Returns:
            None if this instance has not learned the expected revision and
            reaches no majority to read it; a plan from another state would be
            wrong.

        Raises:
            StateTooLargeError: if instances can't send it to each other.
        """
        register = self._instance.register
        if register.revision < expect:
            result = await self._instance.read()
            if not isinstance(result, messages.ReadDone):
                return None
            register = result.register
        if register.revision != expect:
            # The edit is rejected by compare-and-set, or it is a resent edit
            # that gets its first answer: the shifts are not used.
            return self._encode(state.State(parsed))
        current = state.decode(register.value)
        planned = plans.after_edit(current, parsed, time.time())
        # The document rows of an earlier version don't match these tables.
        return self._encode(planned._replace(rows=()))


def _digest(document: str) -> str:
    return hashlib.blake2b(document.encode(), digest_size=8).hexdigest()


def _body_fault(value: str, allowed: str) -> http.Answer:
    fault = errors.Fault("body", 1, "json", value, allowed)
    return http.error_answer(errors.InvalidDocumentError([fault]), 400)


def _log_edit(
    change_id: str, expect: int, result: messages.Result, client: str
) -> None:
    logger.info(
        logs.Event(
            "edit",
            change_id=change_id,
            expect=expect,
            result=type(result).__name__,
            client=client,
        )
    )
