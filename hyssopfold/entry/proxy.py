"""A caller's request on its way through an entry."""

from collections.abc import AsyncIterator
import logging
import math
import random
from typing import NamedTuple

import httpcore
import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold import metrics
from hyssopfold import serving
from hyssopfold import tables
from hyssopfold.core.attempts import attempt
from hyssopfold.core.attempts import budget
from hyssopfold.core.attempts import messages as events
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership
from hyssopfold.entry import claims
from hyssopfold.entry import configuration
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import pacing
from hyssopfold.entry import placement
from hyssopfold.entry import steering
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# Bodies longer than this, or of unknown length, wait for room on a link
# behind short ones.
BULK_BYTES = 256 * 1024
SHORT_ANSWER_BYTES = 64 * 1024
_BODILESS = (204, 304)


class Here(NamedTuple):
    """The entry's region, and its directory of the servers."""

    region: str
    known: directory.Directory


class Proxy:
    """Route requests to backend servers and relay their answers.

    Args:
        config: Source of the tables in force.
        steer: Regions that may serve a request.
        place: Slots of the servers.
        pacer: Room on the links between regions.
        servers: Connections to the servers.
        meter: Metrics of this process.
        claimed: Claims on idempotency keys.
        here: Where this entry is, and whom it knows.
        rng: Spreads the times at which refused callers come back.
        max_body_bytes: Largest body taken from a caller.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        steer: steering.Steering,
        place: placement.Placement,
        pacer: pacing.Pacer,
        servers: upstream.Upstream,
        meter: metrics.Metrics,
        *,
        claimed: claims.Claims,
        here: Here,
        rng: random.Random,
        max_body_bytes: int = exchange_module.MAX_BODY_BYTES,
    ) -> None:
        self.region = here.region
        self.directory = here.known
        self.steering = steer
        self.placement = place
        self.pacer = pacer
        self.upstream = servers
        self.budget = budget.Budget()
        self.in_flight = 0
        self._config = config
        self._meter = meter
        self._rng = rng
        self._claims = claimed
        self._max_body_bytes = max_body_bytes

    async def serve(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request of a caller."""
        now = trio.current_time()
        snapshot = self._config.snapshot
        exchange = exchange_module.Exchange(
            scope, receive, send, snapshot, now, self._max_body_bytes
        )
        route = snapshot.router.match(
            exchange.host, scope["path"], exchange.method
        )
        pool = snapshot.tables.pool(route.pool) if route else None
        self.in_flight += 1
        try:
            fault = exchange.fault()
            if fault is not None:
                await self.refuse(exchange, fault)
            elif route is None or pool is None:
                await self.refuse(exchange, _no_route())
            else:
                await self._serve_once(exchange, route, pool)
        finally:
            self.in_flight -= 1
            labels = {
                "route": route.name if route else "",
                "pool": route.pool if route else "",
                "outcome": exchange.outcome,
            }
            took = trio.current_time() - exchange.began
            self._meter.requests.observe(labels, took)

    async def _serve_once(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        """Serve a request, but not again under the same idempotency key."""
        keyed = exchange.header(b"idempotency-key") is not None
        if not keyed or route.is_repeatable(exchange.method):
            await _Carrier(self, exchange, route, pool).run()
            return
        held = await self._claims.claim(exchange)
        if isinstance(held, http.Refusal):
            await self.refuse(exchange, held)
            return
        carrier = _Carrier(self, exchange, route, pool)
        try:
            await carrier.run()
        finally:
            self._claims.settle(
                held, exchange.request_id, carrier.fate, exchange.status
            )

    async def refuse(
        self, exchange: exchange_module.Exchange, refusal: http.Refusal
    ) -> None:
        """Answer with a refusal of ours."""
        exchange.outcome = refusal.outcome
        logger.info(
            logs.Event(
                "refused",
                request=exchange.request_id,
                error=refusal.error,
                outcome=refusal.outcome,
                detail=refusal.remedy,
            )
        )
        # Callers refused together would come back together.
        spread = refusal.retry_after_s * self._rng.uniform(1, 3)
        refusal = refusal._replace(retry_after_s=spread)
        answer = http.refusal_answer(refusal)
        extra = tuple(exchange.answer_headers())
        answer = answer._replace(headers=answer.headers + extra)
        head = exchange.method == "HEAD"
        await http.send_answer(exchange.send, answer, head)


class _Carrier:
    """Carry out what the attempts of one request decide."""

    def __init__(
        self,
        proxy: Proxy,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        self._proxy = proxy
        self._exchange = exchange
        self._route = route
        self._pool = pool
        request = events.Request(
            exchange.request_id,
            route.is_repeatable(exchange.method),
            exchange.has_body,
            _limit_s(exchange, route),
        )
        self._machine = attempt.Attempts(request, proxy.budget)
        self._decision = proxy.steering.decide(
            route, exchange.request_id, exchange.client
        )
        self._grant: messages.Grant | None = None
        self._granted_at = 0.0
        self._answer_by = trio.CancelScope()
        self._told_dropped = False
        self._short: bytes | None = None
        self._answering: upstream.Answering | None = None

    @property
    def fate(self) -> str:
        """Return what is certain of the request, for its claim."""
        if self._exchange.outcome == "answered":
            return "answered"
        return self._machine.outcome.value

    async def run(self) -> None:
        """Carry the request from its head to its end."""
        try:
            await self._loop()
        except exchange_module.CallerGoneError:
            await self._caller_gone()
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await self._caller_gone()
            raise

    async def _loop(self) -> None:
        effects = self._tell(events.Started())
        while effects:
            event: events.Event | None = None
            for effect in effects:
                event = await self._carry(effect) or event
            effects = self._tell(event) if event is not None else ()

    def _tell(self, event: events.Event) -> attempt.Effects:
        return self._machine.handle(event, trio.current_time())

    async def _carry(self, effect: events.Effect) -> events.Event | None:
        match effect:
            case events.Acquire():
                return await self._acquire(effect)
            case events.Send():
                return await self._send(effect)
            case events.Relay():
                return await self._relay()
            case events.CloseConnection():
                await self._end_attempt("failed")
            case events.Refuse():
                await self._refuse(effect)
            case events.CutCaller():
                self._exchange.outcome = "cut"
                raise serving.CutAnswerError(effect.reason)
            case events.Finish():
                self._exchange.outcome = effect.outcome
        return None

    async def _acquire(self, effect: events.Acquire) -> events.Event:
        proxy, pool = self._proxy, self._pool
        refused = messages.Refused("deadline-passed", attempt.RETRY_AFTER_S)
        answer: messages.Grant | messages.Refused = refused
        with trio.move_on_at(effect.deadline):
            for avoid in self._avoid(effect.tried):
                req = self._request(effect, avoid)
                answer = await proxy.placement.acquire(req, pool)
                if isinstance(answer, messages.Grant):
                    break
        if isinstance(answer, messages.Refused):
            return events.NoSlot(answer.reason, answer.retry_after_s)
        if not effect.tried:
            proxy.steering.note(pool.name, self._decision, answer.server)
        self._grant = answer
        self._granted_at = trio.current_time()
        _log_grant(self._exchange, self._route, answer, len(effect.tried) + 1)
        return events.Granted(answer.server.server_id)

    def _avoid(self, tried: tuple[str, ...]) -> list[tuple[str, ...]]:
        """Return what to avoid: failure domains tried, else servers tried."""
        if not tried:
            return [()]
        ready = self._proxy.directory.ready_servers(self._route.pool)
        domains = {
            one.failure_domain for one in ready if one.server_id in tried
        }
        near = {one.server_id for one in ready if one.failure_domain in domains}
        if len(near) == len(ready):
            return [tried]
        return [(*tried, *sorted(near - set(tried))), tried]

    def _request(
        self, effect: events.Acquire, avoid: tuple[str, ...]
    ) -> messages.Request:
        return messages.Request(
            self._exchange.request_id,
            self._route.pool,
            self._decision.regions,
            self._route.priority,
            effect.deadline,
            avoid,
        )

    async def _send(self, effect: events.Send) -> events.Event:
        assert self._grant is not None
        server, exchange = self._grant.server, self._exchange
        left_s = effect.deadline - trio.current_time()
        outgoing = upstream.Outgoing(
            exchange.method,
            exchange.target(),
            exchange.request_headers(left_s),
            self._body(server) if exchange.has_body else None,
        )
        self._answer_by = trio.CancelScope(deadline=effect.deadline)
        try:
            with self._answer_by:
                self._answering = await self._proxy.upstream.send(
                    server, outgoing, effect.fresh, self._note_bytes_sent
                )
                await self._read_short()
        except upstream.LostError as exc:
            return events.Lost(str(exc))
        except exchange_module.BodyTooLargeError:
            return events.Lost("body too large")
        if self._answering is None:
            return events.Lost("no answer in time")
        return _began(exchange, self._answering.answer)

    async def _read_short(self) -> None:
        """Read a short answer whole before its head is passed on.

        One that is cut can then be asked for again at another server, in
        place of being passed on as cut; and it leaves in one piece.
        """
        assert self._answering is not None
        answer = self._answering.answer
        # It has begun: from here on only a stall ends it.
        self._answer_by.deadline = math.inf
        self._short = None
        length = _length(answer)
        if length is None or length > SHORT_ANSWER_BYTES:
            return
        found = [part async for part in upstream.parts(answer)]
        self._short = b"".join(found)

    def _note_bytes_sent(self) -> None:
        self._tell(events.BytesSent())

    async def _body(self, server: membership.Server) -> AsyncIterator[bytes]:
        self._note(events.BodyBegan())
        async for part in self._exchange.body():
            if self._exchange.dropped and not self._told_dropped:
                self._told_dropped = True
                self._tell(events.BodyDropped())
            await self._pace(server, part, self._exchange.length)
            yield part
        self._note(events.BodySent())

    def _note(self, event: events.Event) -> None:
        for effect in self._tell(event):
            if isinstance(effect, events.AnswerBy):
                self._answer_by.deadline = effect.deadline

    async def _pace(
        self, server: membership.Server, part: bytes, length: int | None
    ) -> None:
        if server.region != self._proxy.region:
            bulk = length is None or length > BULK_BYTES
            await self._proxy.pacer.take(server.region, len(part), bulk)

    async def _relay(self) -> events.Event:
        assert self._grant is not None
        assert self._answering is not None
        server, answer = self._grant.server, self._answering.answer
        send = self._exchange.send
        headers = exchange_module.end_to_end(answer.headers)
        if answer.status in _BODILESS:
            headers = [one for one in headers if one[0] != b"content-length"]
        headers += self._exchange.answer_headers()
        start = {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
        self._exchange.status = answer.status
        length = _length(answer)
        if self._short is not None:
            await self._pace(server, self._short, length)
            await self._end_attempt("answered")
            await send(start)
            await send({"type": "http.response.body", "body": self._short})
            return events.AnswerEnded()
        await send(start)
        await send({"type": "http.response.body", "more_body": True})
        try:
            async for part in upstream.parts(answer):
                await self._pace(server, part, length)
                await send(
                    {
                        "type": "http.response.body",
                        "body": part,
                        "more_body": True,
                    }
                )
        except upstream.LostError as exc:
            return events.Lost(str(exc))
        # The slot and the connection are free before the caller can send its
        # next request.
        await self._end_attempt("answered")
        await send({"type": "http.response.body", "body": b""})
        return events.AnswerEnded()

    async def _end_attempt(self, kind: str) -> None:
        """Give slot and connection back; close the latter unless answered."""
        grant, self._grant = self._grant, None
        if grant is None:
            return
        took = trio.current_time() - self._granted_at
        if kind == "failed":
            kind = self._shed_or_failed()
        self._proxy.placement.release(grant, messages.Done(kind, took))
        answering, self._answering = self._answering, None
        if answering is None:
            return
        if kind == "answered":
            await self._proxy.upstream.finish(answering)
        else:
            await self._proxy.upstream.drop(answering)

    def _shed_or_failed(self) -> str:
        shed = self._machine.last_sent is events.Sent.REFUSED_NOT_RUN
        return "shed" if shed else "failed"

    async def _caller_gone(self) -> None:
        if self._machine.phase is not attempt.Phase.DONE:
            self._tell(events.CallerGone())
        self._exchange.outcome = "caller-gone"
        await self._end_attempt("cancelled")

    async def _refuse(self, effect: events.Refuse) -> None:
        outcome = effect.outcome.value
        if effect.reason == "body too large":
            refusal = exchange_module.too_large(
                outcome, exchange_module.MAX_BODY_BYTES
            )
        else:
            refusal = _refusal(effect, self._pool.name)
        await self._proxy.refuse(self._exchange, refusal)


def _limit_s(exchange: exchange_module.Exchange, route: tables.Route) -> float:
    limit = route.deadline_ms / 1000
    given = exchange.header(b"hyssop-deadline-ms")
    if given is not None and given.isdigit() and len(given) < 12:
        return min(limit, int(given) / 1000)
    return limit


def _began(
    exchange: exchange_module.Exchange, answer: httpcore.Response
) -> events.AnswerBegan:
    headers = {key.lower(): value for key, value in answer.headers}
    echoed = headers.get(b"hyssop-request-id")
    bodiless = answer.status in _BODILESS or exchange.method == "HEAD"
    chunked = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
    return events.AnswerBegan(
        answer.status,
        echoed.decode("latin-1") if echoed is not None else None,
        headers.get(b"hyssop-outcome") == b"not-run",
        bodiless or chunked or b"content-length" in headers,
    )


def _length(answer: httpcore.Response) -> int | None:
    for key, value in answer.headers:
        if key.lower() == b"content-length":
            return int(value)
    return None


def _no_route() -> http.Refusal:
    return http.Refusal(
        404, "no-route", "not-run", "add a row to the table of routes", 5.0
    )


def _refusal(effect: events.Refuse, pool: str) -> http.Refusal:
    wait_s = effect.retry_after_s
    status = 504 if effect.error == "deadline-passed" else 502
    if effect.outcome is events.Outcome.UNKNOWN:
        remedy = "look whether it took effect before sending it again"
    elif effect.error in ("attempt-failed", "deadline-passed"):
        remedy = "send the request again"
    else:
        status = 503
        remedy = f"ask again later: no server of pool {pool} has a free slot"
    return http.Refusal(
        status,
        effect.error,
        effect.outcome.value,
        f"{remedy} ({effect.reason})",
        wait_s,
    )


def _log_grant(
    exchange: exchange_module.Exchange,
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
