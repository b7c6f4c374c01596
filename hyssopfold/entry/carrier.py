"""Carry out what the attempts of one request decide."""

from collections.abc import AsyncIterator
import functools
import logging
import math

import trio

from hyssopfold import serving
from hyssopfold import tables
from hyssopfold.core.attempts import attempt
from hyssopfold.core.attempts import messages as events
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership
from hyssopfold.core.steering import regions
from hyssopfold.entry import answers
from hyssopfold.entry import carrier_parts
from hyssopfold.entry import crash_checks
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import relaying
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# Bodies longer than this, or of unknown length, wait for room on a link
# behind short ones.
BULK_BYTES = 256 * 1024
SERVER_FAILURE = 500
# When the caller of a request that is held back may ask again.
QUARANTINED_RETRY_S = 60.0


class Carrier:
    """One request on its way to a server and back.

    Args:
        parts: What all requests share.
        exchange: The request.
        route: Its route.
        pool: The pool that serves it.
    """

    def __init__(
        self,
        parts: carrier_parts.Parts,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._dialect = exchange.dialect
        self._route = route
        self._pool = pool
        limit_s, is_absolute = answers.limit(exchange, route)
        # A request that stood behind others has used a part of its time.
        limit_s = max(0.0, limit_s - (trio.current_time() - exchange.began))
        self._request = events.Request(
            exchange.request_id,
            route.is_repeatable(exchange.method),
            exchange.has_body,
            limit_s,
            is_absolute,
            route.attempts,
            parts.expects_silence,
        )
        self._machine = attempt.Attempts(
            self._request, parts.budget_of(pool.name)
        )
        self._decision = parts.steering.decide(
            route, exchange.request_id, exchange.client, pool.name
        )
        self._grant: messages.Grant | None = None
        self._granted_at = 0.0
        self._answer_by = trio.CancelScope()
        # Whether the connection of the attempt broke.
        self._is_broken = False
        self._told_dropped = False
        self._answering: upstream.Answering | None = None
        self._relay: relaying.Relay | None = None

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
                # Compared with None: an event without fields is false.
                found = await self._carry(effect)
                event = event if found is None else found
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
                return await self._pass_on()
            case events.CloseConnection():
                await self._end_attempt("failed")
            case events.Refuse():
                await self._refuse(effect)
            case events.ResetCaller():
                self._exchange.outcome = "cut"
                raise serving.CutAnswerError(effect.reason)
            case events.Finish():
                self._exchange.outcome = effect.outcome
        return None

    async def _acquire(self, effect: events.Acquire) -> events.Event:
        parts, pool = self._parts, self._pool
        refused = messages.Refused("deadline-passed", attempt.RETRY_AFTER_S)
        answer: messages.Grant | messages.Refused = refused
        with trio.move_on_at(effect.deadline):
            try:
                await self._read_suspect()
            except exchange_module.BodyTooLargeError:
                return events.NoSlot("body too large", attempt.RETRY_AFTER_S)
            if self._is_held(effect):
                return events.NoSlot("quarantined", QUARANTINED_RETRY_S)
            for avoid in self._avoid(effect.tried):
                req = self._wanted(effect, avoid)
                answer = await parts.placement.acquire(req, pool)
                if isinstance(answer, messages.Grant):
                    break
        if isinstance(answer, messages.Refused):
            return events.NoSlot(answer.reason, answer.retry_after_s)
        if self._is_held(effect):
            # Since it began to wait for a slot.
            unused = messages.AttemptResult("cancelled", 0.0, connected=False)
            parts.placement.release(answer, unused)
            return events.NoSlot("quarantined", QUARANTINED_RETRY_S)
        if not effect.tried:
            parts.steering.record_server(
                pool.name, self._decision, answer.server
            )
        self._grant = answer
        self._granted_at = trio.current_time()
        self._log_grant(answer, effect)
        return events.Granted(answer.server.server_id)

    async def _read_suspect(self) -> None:
        """Read what tells whether a request is one that may be held back."""
        if self._parts.quarantine.may_be_quarantined(
            self._exchange.fingerprint_head
        ):
            await self._exchange.read_ahead()

    def _is_held(self, effect: events.Acquire) -> bool:
        """Return whether the next attempt is held back, as far as is known."""
        held, exchange = self._parts.quarantine, self._exchange
        if not held.may_be_quarantined(exchange.fingerprint_head):
            return False
        attempt_id = f"{exchange.request_id} {len(effect.tried)}"
        return held.is_blocked(exchange.fingerprint, attempt_id)

    def _avoid(self, tried: tuple[str, ...]) -> list[tuple[str, ...]]:
        """Return what to avoid: failure domains tried, else servers tried."""
        if not tried:
            return [()]
        ready = self._parts.known.ready_servers(self._pool.name)
        domains = {
            one.failure_domain for one in ready if one.server_id in tried
        }
        near = {one.server_id for one in ready if one.failure_domain in domains}
        if len(near) == len(ready):
            return [tried]
        return [(*tried, *sorted(near - set(tried))), tried]

    def _wanted(
        self, effect: events.Acquire, avoid: tuple[str, ...]
    ) -> messages.Request:
        key = self._exchange.object_key if self._route.sticky else ""
        return messages.Request(
            self._exchange.request_id,
            self._pool.name,
            regions.restrict(
                self._decision.regions,
                self._route.allowed_regions,
                self._exchange.snapshot.state.evacuated,
            ),
            self._route.priority,
            effect.deadline,
            avoid,
            f"{self._route.name} {key}" if key else "",
            self._route.latency_goal_ms / 1000,
            self._route.name,
            trio.current_time() - self._exchange.began,
        )

    async def _send(self, effect: events.Send) -> events.Event:
        assert self._grant is not None
        server, exchange = self._grant.server, self._exchange
        left_s = effect.deadline - trio.current_time()
        outgoing = upstream.Outgoing(
            exchange.method,
            exchange.target(),
            exchange.request_headers(left_s, server.server_id),
            self._body(server) if exchange.has_body else None,
        )
        self._answer_by = trio.CancelScope(deadline=effect.deadline)
        self._is_broken = False
        try:
            with self._answer_by:
                self._answering = await self._parts.upstream.send(
                    server, outgoing, effect.fresh, self._note_bytes_sent
                )
                await self._read_short(server)
        except upstream.LostError as exc:
            self._is_broken = True
            return events.AttemptFailed(str(exc))
        except exchange_module.BodyTooLargeError:
            return events.AttemptFailed("body too large")
        if self._answering is None or self._answer_by.cancelled_caught:
            return events.AttemptFailed("no answer in time")
        return answers.began(exchange, self._answering.answer)

    async def _read_short(self, server: membership.Server) -> None:
        assert self._answering is not None
        if not self._request.is_total_limit:
            # It has begun: from here on only a stall ends it.
            self._answer_by.deadline = math.inf
        self._relay = relaying.Relay(
            self._answering.answer, self._exchange, self._pacer(server)
        )
        await self._relay.read_short()

    def _note_bytes_sent(self) -> None:
        self._tell(events.BytesSent())

    async def _body(self, server: membership.Server) -> AsyncIterator[bytes]:
        pace = self._pacer(server)
        self._note(events.BodyBegan())
        async for part in self._exchange.body():
            if self._exchange.dropped and not self._told_dropped:
                self._told_dropped = True
                self._tell(events.BodyDropped())
            await pace(part, self._exchange.length)
            yield part
        self._note(events.BodySent())

    def _note(self, event: events.Event) -> None:
        for effect in self._tell(event):
            if isinstance(effect, events.SetAnswerDeadline):
                self._answer_by.deadline = effect.deadline

    def _pacer(self, server: membership.Server) -> relaying.Pace:
        """Return what waits for room on the link to a server."""
        parts = self._parts

        async def pace(part: bytes, length: int | None) -> None:
            if server.region != parts.region:
                bulk = length is None or length > BULK_BYTES
                await parts.pacer.throttle(server.region, len(part), bulk)

        return pace

    async def _pass_on(self) -> events.Event:
        assert self._relay is not None
        free = functools.partial(self._end_attempt, "answered")
        try:
            await self._relay.run(free)
        except upstream.LostError as exc:
            self._is_broken = True
            return events.AttemptFailed(str(exc))
        return events.AnswerEnded()

    async def _end_attempt(self, kind: str) -> None:
        """Give slot and connection back; close the latter unless answered."""
        grant, self._grant = self._grant, None
        if grant is None:
            return
        if kind == "failed":
            kind = self._shed_or_failed()
        answering, self._answering = self._answering, None
        done = self._done(kind, answering)
        self._parts.placement.release(grant, done)
        if done.healthy:
            self._parts.quarantine.record_answer(self._exchange.fingerprint)
        self._log_attempt(grant, done, answering)
        if kind == "failed":
            self._check_server(grant.server)
        if answering is None:
            return
        if kind == "answered":
            await self._parts.upstream.finish(answering)
        else:
            await self._parts.upstream.drop(answering)

    def _check_server(self, server: membership.Server) -> None:
        """Let it be checked whether a server crashed under this request."""
        fingerprint = self._exchange.fingerprint
        may_run = self._machine.last_sent is events.Sent.MAYBE_SENT
        if self._is_broken and may_run and fingerprint:
            self._parts.upstream.checks.schedule_check(
                crash_checks.BrokenAttempt(
                    server, fingerprint, self._exchange.request_id
                )
            )

    def _done(
        self, kind: str, answering: upstream.Answering | None
    ) -> messages.AttemptResult:
        took = trio.current_time() - self._granted_at
        if answering is None:
            reached = self._machine.last_sent is not events.Sent.NOT_SENT
            return messages.AttemptResult(kind, took, reached, False)
        answer = answering.answer
        headers = {key.lower(): value for key, value in answer.headers}
        good = kind == "answered" and answer.status < SERVER_FAILURE
        return messages.AttemptResult(
            kind,
            took,
            True,
            good,
            self._dialect.load_of(headers),
            self._dialect.is_misdirected(answer.status),
        )

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
            refusal = answers.refusal(effect, self._pool.name)
        await self._parts.refuse(self._exchange, refusal)

    def _log_grant(self, grant: messages.Grant, effect: events.Acquire) -> None:
        now = trio.current_time()
        server = grant.server
        lease_s = self._parts.known.servers.left_s(server.server_id, now)
        budget_left = self._parts.budget_of(self._pool.name).left
        self._exchange.log.add(
            logger,
            "routing-decision",
            route=self._route.name,
            pool=self._pool.name,
            server=server.server_id,
            region=server.region,
            reason=grant.reason,
            load=round(grant.estimated_load, 2),
            load_age_s=answers.shown_age(grant.load_age_s),
            expected_s=round(grant.expected_s, 4),
            lease_left_s=round(lease_s, 3),
            cold=grant.is_cold,
            attempt=len(effect.tried) + 1,
            budget_left=round(budget_left, 1),
            left_s=round(effect.deadline - now, 4),
        )

    def _log_attempt(
        self,
        grant: messages.Grant,
        done: messages.AttemptResult,
        answering: upstream.Answering | None,
    ) -> None:
        status = answering.answer.status if answering is not None else 0
        self._parts.meter.attempts.observe(
            {"pool": self._pool.name, "result": done.kind}, done.duration_s
        )
        self._exchange.log.add(
            logger,
            "attempt-ended",
            server=grant.server.server_id,
            result=done.kind,
            status=status,
            sent=self._machine.last_sent.value,
            detail="" if done.healthy else self._machine.last_reason,
            took_s=round(done.duration_s, 4),
        )
