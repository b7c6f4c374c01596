"""A caller's request on its way through an entry."""

from collections.abc import AsyncIterator
import logging
import uuid

import httpcore
import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import tables
from hyssopfold.core.attempts import attempt
from hyssopfold.core.balancing import messages
from hyssopfold.entry import configuration
from hyssopfold.entry import pacing
from hyssopfold.entry import placement
from hyssopfold.entry import steering
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_OURS = frozenset(
    (
        b"hyssop-request-id",
        b"hyssop-deadline-ms",
        b"hyssop-outcome",
        b"hyssop-revision",
        b"forwarded",
        b"x-forwarded-for",
        b"x-forwarded-proto",
        b"x-forwarded-host",
    )
)


class _CallerGoneError(Exception):
    """The caller closed its connection before its request was whole."""


class Exchange:
    """One request: what came in, and what is known of it so far."""

    def __init__(
        self,
        scope: http.Scope,
        receive: http.Receive,
        send: http.Send,
        snapshot: configuration.Snapshot,
        now: float,
    ) -> None:
        self.scope = scope
        self.receive = receive
        self.send = send
        self.snapshot = snapshot
        self.began = now
        self.request_id = uuid.uuid4().hex
        self.method: str = scope["method"]
        self.headers: http.Headers = list(scope["headers"])
        self.body_read = False
        self.outcome = "served"

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called `name`."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def host(self) -> str:
        """Return the host asked for, without a port."""
        value = (self.header(b"host") or b"").decode("latin-1")
        return value.rsplit(":", 1)[0] if ":" in value else value

    @property
    def client(self) -> str:
        """Return the caller's IP number, or an empty string."""
        client: str = (self.scope.get("client") or ("", 0))[0]
        return client

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the request's head."""
        length = self.header(b"content-length")
        chunked = self.header(b"transfer-encoding") is not None
        return chunked or (length is not None and length != b"0")

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request's body as it comes."""
        while True:
            message = await self.receive()
            self.body_read = True
            if message["type"] != "http.request":
                raise _CallerGoneError
            if message.get("body"):
                yield message["body"]
            if not message.get("more_body", False):
                return


class Proxy:
    """Route requests to backend servers and relay their answers.

    Args:
        config: Source of the tables in force.
        steer: Regions that may serve a request.
        place: Slots of the servers.
        pacer: Room on the links between regions.
        servers: Connections to the servers.
        meter: Metrics of this process.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        steer: steering.Steering,
        place: placement.Placement,
        pacer: pacing.Pacer,
        servers: upstream.Upstream,
        meter: metrics.Metrics,
    ) -> None:
        self._config = config
        self._steering = steer
        self._placement = place
        self._pacer = pacer
        self._upstream = servers
        self._meter = meter
        self.in_flight = 0

    async def serve(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request of a caller."""
        now = trio.current_time()
        exchange = Exchange(scope, receive, send, self._config.snapshot, now)
        route = exchange.snapshot.router.match(
            exchange.host, scope["path"], exchange.method
        )
        pool = exchange.snapshot.tables.pool(route.pool) if route else None
        self.in_flight += 1
        try:
            if route is None or pool is None:
                await self._refuse(exchange, _no_route())
            else:
                await self._serve_route(exchange, route, pool)
        except _CallerGoneError:
            exchange.outcome = "caller-gone"
        finally:
            self.in_flight -= 1
            labels = {
                "route": route.name if route else "",
                "pool": route.pool if route else "",
                "outcome": exchange.outcome,
            }
            took = trio.current_time() - exchange.began
            self._meter.requests.observe(labels, took)

    async def _serve_route(
        self, exchange: Exchange, route: tables.Route, pool: tables.Pool
    ) -> None:
        deadline = exchange.began + _deadline_s(exchange, route)
        repeatable = route.is_repeatable(exchange.method)
        tried: list[str] = []
        decision = self._steering.decide(
            route, exchange.request_id, exchange.client
        )
        for left in reversed(range(MAX_ATTEMPTS)):
            req = messages.Request(
                exchange.request_id,
                route.pool,
                decision.regions,
                route.priority,
                deadline,
                tuple(tried),
            )
            grant = await self._placement.acquire(req, pool)
            if isinstance(grant, messages.Refused):
                await self._refuse(exchange, _no_slot(pool.name, grant))
                return
            if not tried:
                self._steering.note(route.pool, decision, grant.server)
            tried.append(grant.server.server_id)
            _log_grant(exchange, route, grant, len(tried))
            try:
                await self._attempt(exchange, grant, repeatable, deadline)
                return
            except upstream.AttemptFailedError as exc:
                verdict = attempt.after_failure(
                    exc.sent, repeatable, not exchange.body_read, left
                )
                _log_failure(exchange, grant, exc, verdict)
                if not verdict.retry:
                    refusal = _failed(verdict.outcome, exc.reason)
                    await self._refuse(exchange, refusal)
                    return

    async def _attempt(
        self,
        exchange: Exchange,
        grant: messages.Grant,
        repeatable: bool,
        deadline: float,
    ) -> None:
        outgoing = upstream.Outgoing(
            exchange.method,
            _target(exchange.scope),
            _request_headers(exchange, deadline),
            exchange.body() if exchange.has_body else None,
        )
        began = trio.current_time()
        kind = "cancelled"
        try:
            # What may not be repeated gets a new connection: a pooled one
            # may have been closed at the other end just now, and a request
            # lost on it could be answered only with `unknown`.
            async with self._upstream.send(
                grant.server, outgoing, fresh=not repeatable
            ) as answer:
                _check_answer(exchange, answer)
                await self._relay(exchange, answer)
            kind = "answered"
        except upstream.AttemptFailedError as exc:
            shed = exc.sent is attempt.Sent.REFUSED_NOT_RUN
            kind = "shed" if shed else "failed"
            raise
        finally:
            took = trio.current_time() - began
            self._placement.release(grant, messages.Done(kind, took))

    async def _relay(
        self, exchange: Exchange, answer: httpcore.Response
    ) -> None:
        headers = [
            (key, value)
            for key, value in answer.headers
            if key.lower() not in _HOP_BY_HOP and key.lower() not in _OURS
        ]
        headers += _answer_headers(exchange)
        await exchange.send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        async for part in answer.aiter_stream():
            await exchange.send(
                {
                    "type": "http.response.body",
                    "body": part,
                    "more_body": True,
                }
            )
        await exchange.send({"type": "http.response.body", "body": b""})

    async def _refuse(self, exchange: Exchange, refusal: http.Refusal) -> None:
        exchange.outcome = refusal.outcome
        logger.info(
            logs.Event(
                "refused",
                request=exchange.request_id,
                error=refusal.error,
                outcome=refusal.outcome,
            )
        )
        answer = http.refusal_answer(refusal)
        extra = tuple(_answer_headers(exchange))
        answer = answer._replace(headers=answer.headers + extra)
        head = exchange.method == "HEAD"
        await http.send_answer(exchange.send, answer, head)


def _deadline_s(exchange: Exchange, route: tables.Route) -> float:
    limit = route.deadline_ms / 1000
    given = exchange.header(b"hyssop-deadline-ms")
    if given is not None and given.isdigit():
        return min(limit, int(given) / 1000)
    return limit


def _target(scope: http.Scope) -> bytes:
    target: bytes = scope.get("raw_path") or scope["path"].encode()
    query: bytes = scope["query_string"]
    if query:
        return target + b"?" + query
    return target


def _request_headers(
    exchange: Exchange, deadline: float
) -> list[tuple[bytes, bytes]]:
    headers = [
        (key, value)
        for key, value in exchange.headers
        if key not in _HOP_BY_HOP and key not in _OURS
    ]
    left_ms = max(0, round((deadline - trio.current_time()) * 1000))
    client = (exchange.scope.get("client") or ("unknown", 0))[0]
    if exchange.header(b"content-length") is None and exchange.has_body:
        headers.append((b"transfer-encoding", b"chunked"))
    headers.append((b"hyssop-request-id", exchange.request_id.encode()))
    headers.append((b"hyssop-deadline-ms", str(left_ms).encode()))
    headers.append((b"x-forwarded-for", client.encode()))
    return headers


def _answer_headers(exchange: Exchange) -> list[tuple[bytes, bytes]]:
    return [
        (b"hyssop-request-id", exchange.request_id.encode()),
        (b"hyssop-revision", str(exchange.snapshot.revision).encode()),
    ]


def _check_answer(exchange: Exchange, answer: httpcore.Response) -> None:
    """Hold an answer to the request it must belong to.

    Raises:
        AttemptFailedError: on another request's answer, or when the server
            says that it did not run this one.
    """
    headers = {key.lower(): value for key, value in answer.headers}
    echoed = headers.get(b"hyssop-request-id")
    if echoed is not None and echoed != exchange.request_id.encode():
        raise upstream.AttemptFailedError(
            attempt.Sent.MAYBE_SENT, "answer of another request"
        )
    not_run = headers.get(b"hyssop-outcome") == b"not-run"
    if answer.status == 503 and not_run and echoed is not None:
        raise upstream.AttemptFailedError(
            attempt.Sent.REFUSED_NOT_RUN, "shed by the server"
        )


def _no_route() -> http.Refusal:
    return http.Refusal(
        404, "no-route", "not-run", "add a row to the table of routes", 5.0
    )


def _no_slot(pool: str, refused: messages.Refused) -> http.Refusal:
    remedy = f"ask again later: no server of pool {pool} has a free slot"
    wait_s = refused.retry_after_s
    return http.Refusal(503, refused.reason, "not-run", remedy, wait_s)


def _failed(outcome: str, reason: str) -> http.Refusal:
    if outcome == "not-run":
        remedy = "send the request again"
    else:
        remedy = "look whether it took effect before sending it again"
    return http.Refusal(
        502, "attempt-failed", outcome, f"{remedy} ({reason})", RETRY_AFTER_S
    )


def _log_grant(
    exchange: Exchange,
    route: tables.Route,
    grant: messages.Grant,
    number: int,
) -> None:
    if not logger.isEnabledFor(logging.INFO):
        return
    logger.info(
        logs.Event(
            "routing-decision",
            request=exchange.request_id,
            route=route.name,
            pool=route.pool,
            server=grant.server.server_id,
            region=grant.server.region,
            reason=grant.reason,
            load=grant.server.load,
            attempt=number,
            revision=exchange.snapshot.revision,
        )
    )


def _log_failure(
    exchange: Exchange,
    grant: messages.Grant,
    exc: upstream.AttemptFailedError,
    verdict: attempt.Verdict,
) -> None:
    logger.warning(
        logs.Event(
            "attempt-failed",
            request=exchange.request_id,
            server=grant.server.server_id,
            sent=exc.sent.value,
            reason=exc.reason,
            retry=verdict.retry,
        )
    )
