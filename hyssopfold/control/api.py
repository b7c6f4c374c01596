"""The operators' HTTP API of a control instance."""

import functools
import logging
import time
from typing import TypedDict
import urllib.parse

import msgspec

from hyssopfold import announcements
from hyssopfold import errors
from hyssopfold import http
from hyssopfold import instances
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import state
from hyssopfold import tables
from hyssopfold.control import instance as control_instance
from hyssopfold.core.consensus import messages
from hyssopfold.core.steering import plans
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)


class EditBody(TypedDict):
    """The JSON body of `PUT /hyssop/v1/tables`."""

    expect: int
    change_id: str
    tables: str


class Api:
    """Serve operators, announcements and probes.

    Args:
        instance: The member behind this API.
        spread: Where announcements go.
        meter: Metrics of this process.
    """

    def __init__(
        self,
        instance: control_instance.Instance,
        spread: gossip.Gossip,
        meter: metrics.Metrics,
    ) -> None:
        self._instance = instance
        self._spread = spread
        self._meter = meter

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
            return await announcements.answer(self._spread, path, receive)
        if path == "/hyssop/v1/tables" and method == "PUT":
            return await self._put_tables(scope, receive)
        if path == "/hyssop/v1/tables" and method == "GET":
            return await self._get_tables()
        return await self._probe(path)

    async def _probe(self, path: str) -> http.Answer:
        match path:
            case "/hyssop/v1/healthz":
                return http.json_answer({"status": "ok"})
            case "/hyssop/v1/readyz":
                return await self._ready()
            case instances.PATH:
                return instances.answer(self._spread)
            case "/metrics":
                revision = self._instance.register.revision
                self._meter.revision.set({}, revision)
                return self._meter.render()
        return http.json_answer(
            {"error": "not-found", "remedy": "see docs/operators"}, 404
        )

    async def _ready(self) -> http.Answer:
        result = await self._instance.read()
        if isinstance(result, messages.ReadDone):
            return http.json_answer({"revision": result.register.revision})
        return http.json_answer(
            {"error": "no-majority", "remedy": "start more instances"}, 503
        )

    async def _get_tables(self) -> http.Answer:
        result = await self._instance.read()
        if not isinstance(result, messages.ReadDone):
            return _result_answer(result, "")
        held = state.decode(result.register.value)
        plain = tables.to_plain(held.tables)
        body = {"revision": result.register.revision, **plain}
        return http.json_answer(body)

    async def _put_tables(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        body = await http.read_body(receive)
        try:
            edit = msgspec.json.decode(body or b"", type=EditBody)
            parsed = tables.parse(edit["tables"])
        except msgspec.DecodeError as exc:
            fault = errors.Fault(
                "body", 1, "json", str(exc), "the edit's fields"
            )
            return http.error_answer(errors.InvalidDocumentError([fault]), 400)
        except errors.InvalidDocumentError as exc:
            return http.error_answer(exc, 422)
        try:
            planned = await self._planned(edit["expect"], parsed)
        except errors.InvalidDocumentError as exc:
            return http.error_answer(exc, 422)
        if planned is None:
            unknown = errors.OutcomeUnknownError(edit["change_id"])
            return http.error_answer(unknown, 504)
        result = await self._instance.edit(
            edit["change_id"], edit["expect"], state.encode(planned)
        )
        client = urllib.parse.quote(str(scope.get("client")))
        logger.info(
            logs.Event(
                "edit",
                change_id=edit["change_id"],
                expect=edit["expect"],
                result=type(result).__name__,
                client=client,
            )
        )
        return _result_answer(result, edit["change_id"])

    async def _planned(
        self, expect: int, parsed: tables.Tables
    ) -> state.State | None:
        """Return the state to submit: new tables and the shifts they start.

        None when this instance is behind the revision edited and cannot
        catch up: it could only plan from a state that is not the one edited.
        """
        register = self._instance.register
        if register.revision < expect:
            result = await self._instance.read()
            if not isinstance(result, messages.ReadDone):
                return None
            register = result.register
        if register.revision != expect:
            # Refused by compare-and-set, or a resent edit that gets its first
            # answer: what it would plan is of no account.
            return state.State(parsed)
        held = state.decode(register.value)
        return plans.after_edit(held, parsed, time.time())


@functools.singledispatch
def _result_answer(result: messages.Result, change_id: str) -> http.Answer:
    """Return the HTTP answer for the result of an edit or read."""
    raise TypeError(f"no such result: {result!r}")


@_result_answer.register
def _(result: messages.EditAccepted, change_id: str) -> http.Answer:
    return http.json_answer({"revision": result.revision})


@_result_answer.register
def _(result: messages.EditConflict, change_id: str) -> http.Answer:
    exc = errors.ConflictError(result.revision, result.winner)
    body = {
        "error": exc.kind,
        "summary": exc.summary,
        "remedy": exc.remedy,
        "revision": exc.revision,
        "winner": exc.winner,
    }
    return http.json_answer(body, 409)


@_result_answer.register
def _(result: messages.EditNotAccepted, change_id: str) -> http.Answer:
    body = {
        "error": "no-majority",
        "summary": "no majority of control instances answered; nothing changed",
        "remedy": "ask another control instance, or start more of them",
    }
    return http.json_answer(body, 503)


@_result_answer.register
def _(result: messages.OutcomeUnknown, change_id: str) -> http.Answer:
    return http.error_answer(errors.OutcomeUnknownError(change_id), 504)
