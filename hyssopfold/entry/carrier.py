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
from hyssopfold.entry import answer_relay
from hyssopfold.entry import answers
from hyssopfold.entry import attempt_dependencies
from hyssopfold.entry import crash_checks
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# Bodies longer than this, or of unknown length, wait for room on a link
# behind short ones.
BULK_BYTES = 256 * 1024
SERVER_FAILURE = 500
# When the caller of a request that is held back may ask again.
QUARANTINED_RETRY_S = 60.0


class AttemptExecutor:
    """One request on its way to a server and back.

    Args:
        parts: What all requests share.
        exchange: The request.
        route: Its route.
        pool: The pool that serves it.
    """

    def __init__(
        self,
        dependencies: attempt_dependencies.AttemptDependencies,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        self._dependencies = dependencies
        self._exchange = exchange
        self._dialect = exchange.dialect
        self._route = route
        self._pool = pool
        limit_s, is_absolute = answers.time_limit(exchange, route)
        # A request that stood behind others has used a part of its time.
        limit_s = max(0.0, limit_s - (trio.current_time() - exchange.began_at))
        self._request = events.Request(
            exchange.request_id,
            route.is_repeatable(exchange.method),
            exchange.has_body,
            limit_s,
            is_absolute,
            route.attempts,
            dependencies.may_use_stale_connections,
        )
        self._machine = attempt.Attempts(
            self._request, dependencies.retry_budget(pool.name)
        )
        self._decision = dependencies.steering.decide(
            route, exchange.request_id, exchange.client, pool.name
        )
        self._grant: messages.Grant | None = None
        self._granted_at = 0.0
        self._answer_by = trio.CancelScope()
        # Whether the connection of the attempt broke.
        self._is_broken = False
        self._told_dropped = False
        self._answer_stream: upstream.AnswerStream | None = None
        self._relay: answer_relay.AnswerRelay | None = None

    @property
    def outcome(self) -> str:
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
                return await self._relay_answer()
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
        dependencies, pool = self._dependencies, self._pool
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
                answer = await dependencies.placement.acquire(req, pool)
                if isinstance(answer, messages.Grant):
                    break
        if isinstance(answer, messages.Refused):
            return events.NoSlot(answer.reason, answer.retry_after_s)
        if self._is_held(effect):
            # Since it began to wait for a slot.
            unused = messages.AttemptResult("cancelled", 0.0, connected=False)
            dependencies.placement.release(answer, unused)
            return events.NoSlot("quarantined", QUARANTINED_RETRY_S)
        if not effect.tried:
            dependencies.steering.note(pool.name, self._decision, answer.server)
        self._grant = answer
        self._granted_at = trio.current_time()
        self._log_grant(answer, effect)
        return events.Granted(answer.server.server_id)

    async def _read_suspect(self) -> None:
        """Read what tells whether a request is one that may be held back."""
        if self._dependencies.quarantine.knows(self._exchange.fingerprint_head):
            await self._exchange.buffer_for_fingerprint()

    def _is_held(self, effect: events.Acquire) -> bool:
        """Return whether the next attempt is held back, as far as is known."""
        held, exchange = self._dependencies.quarantine, self._exchange
        if not held.knows(exchange.fingerprint_head):
            return False
        attempt_id = f"{exchange.request_id} {len(effect.tried)}"
        return held.holds(exchange.fingerprint, attempt_id)

    def _avoid(self, tried: tuple[str, ...]) -> list[tuple[str, ...]]:
        """Return what to avoid: failure domains tried, else servers tried."""
        if not tried:
            return [()]
        ready = self._dependencies.directory.ready_servers(self._pool.name)
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
                self._exchange.snapshot.held.evacuated,
            ),
            self._route.priority,
            effect.deadline,
            avoid,
            f"{self._route.name} {key}" if key else "",
            self._route.latency_goal_ms / 1000,
            self._route.name,
            trio.current_time() - self._exchange.began_at,
        )

    async def _send(self, effect: events.Send) -> events.Event:
        assert self._grant is not None
        server, exchange = self._grant.server, self._exchange
        left_s = effect.deadline - trio.current_time()
        outgoing = upstream.OutgoingRequest(
            exchange.method,
            exchange.target(),
            exchange.request_headers(left_s, server.server_id),
            self._body(server) if exchange.has_body else None,
        )
        self._answer_by = trio.CancelScope(deadline=effect.deadline)
        self._is_broken = False
        try:
            with self._answer_by:
                self._answer_stream = await self._dependencies.upstream.send(
                    server, outgoing, effect.fresh, self._note_bytes_sent
                )
                await self._buffer_short_answer(server)
        except upstream.LostError as exc:
            self._is_broken = True
            return events.AttemptFailed(str(exc))
        except exchange_module.BodyTooLargeError:
            return events.AttemptFailed("body too large")
        if self._answer_stream is None or self._answer_by.cancelled_caught:
            return events.AttemptFailed("no answer in time")
        return answers.answer_began(exchange, self._answer_stream.answer)

    async def _buffer_short_answer(self, server: membership.Server) -> None:
        assert self._answer_stream is not None
        if not self._request.is_total_limit:
            # It has begun: from here on only a stall ends it.
            self._answer_by.deadline = math.inf
        self._relay = answer_relay.AnswerRelay(
            self._answer_stream.answer, self._exchange, self._link_wait(server)
        )
        await self._relay.buffer_short_answer()

    def _note_bytes_sent(self) -> None:
        self._tell(events.BytesSent())

    async def _body(self, server: membership.Server) -> AsyncIterator[bytes]:
        wait = self._link_wait(server)
        self._note(events.BodyBegan())
        async for part in self._exchange.body():
            if self._exchange.body_dropped and not self._told_dropped:
                self._told_dropped = True
                self._tell(events.BodyDropped())
            await wait(part, self._exchange.length)
            yield part
        self._note(events.BodySent())

    def _note(self, event: events.Event) -> None:
        for effect in self._tell(event):
            if isinstance(effect, events.SetAnswerDeadline):
                self._answer_by.deadline = effect.deadline

    def _link_wait(self, server: membership.Server) -> answer_relay.LinkWait:
        """Return what waits for room on the link to a server."""
        dependencies = self._dependencies

        async def wait(part: bytes, length: int | None) -> None:
            if server.region != dependencies.region:
                bulk = length is None or length > BULK_BYTES
                await dependencies.pacer.take(server.region, len(part), bulk)

        return wait

    async def _relay_answer(self) -> events.Event:
        assert self._relay is not None
        release = functools.partial(self._end_attempt, "answered")
        try:
            await self._relay.run(release)
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
        answer_stream, self._answer_stream = self._answer_stream, None
        done = self._done(kind, answer_stream)
        self._dependencies.placement.release(grant, done)
        if done.healthy:
            self._dependencies.quarantine.answered(self._exchange.fingerprint)
        self._log_attempt(grant, done, answer_stream)
        if kind == "failed":
            self._check_server(grant.server)
        if answer_stream is None:
            return
        if kind == "answered":
            await self._dependencies.upstream.finish(answer_stream)
        else:
            await self._dependencies.upstream.discard(answer_stream)

    def _check_server(self, server: membership.Server) -> None:
        """Let it be checked whether a server crashed under this request."""
        fingerprint = self._exchange.fingerprint
        may_run = self._machine.last_sent is events.Sent.MAYBE_SENT
        if self._is_broken and may_run and fingerprint:
            self._dependencies.upstream.checks.suspect(
                crash_checks.Broken(
                    server, fingerprint, self._exchange.request_id
                )
            )

    def _done(
        self, kind: str, answer_stream: upstream.AnswerStream | None
    ) -> messages.AttemptResult:
        took = trio.current_time() - self._granted_at
        if answer_stream is None:
            reached = self._machine.last_sent is not events.Sent.NOT_SENT
            return messages.AttemptResult(kind, took, reached, False)
        answer = answer_stream.answer
        headers = {key.lower(): value for key, value in answer.headers}
        good = kind == "answered" and answer.status < SERVER_FAILURE
        return messages.AttemptResult(
            kind,
            took,
            True,
            good,
            self._dialect.parse_load(headers),
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
            refusal = exchange_module.body_too_large(
                outcome, exchange_module.MAX_BODY_BYTES
            )
        else:
            refusal = answers.refusal(effect, self._pool.name)
        await self._dependencies.refuse(self._exchange, refusal)

    def _log_grant(self, grant: messages.Grant, effect: events.Acquire) -> None:
        now = trio.current_time()
        server = grant.server
        lease_s = self._dependencies.directory.servers.left_s(
            server.server_id, now
        )
        budget_left = self._dependencies.retry_budget(self._pool.name).left
        self._exchange.log.add(
            logger,
            "routing-decision",
            route=self._route.name,
            pool=self._pool.name,
            server=server.server_id,
            region=server.region,
            reason=grant.reason,
            load=round(grant.estimated_load, 2),
            load_age_s=answers.format_age(grant.load_age_s),
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
        answer_stream: upstream.AnswerStream | None,
    ) -> None:
        status = answer_stream.answer.status if answer_stream is not None else 0
        self._dependencies.meter.attempts.observe(
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
