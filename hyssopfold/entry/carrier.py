"""Executes the effects of the state machine of a request's attempts."""

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
from hyssopfold.entry import http1
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# Longer bodies, and bodies of unknown length, yield the capacity of a link
# between regions to shorter ones.
BULK_THRESHOLD_BYTES = 256 * 1024
MIN_SERVER_ERROR_STATUS = 500
# Seconds after which a caller may retry a quarantined request.
QUARANTINED_RETRY_S = 60.0


class AttemptExecutor:
    """Executes the attempts of one request; `proxy.Proxy` creates it.

    It passes events to the state machine of `core.attempts` and executes the
    effects: acquires slots, sends the request, relays or refuses the answer.

    Args:
        dependencies: Services that all requests share.
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
        limit_s, is_total_limit = answers.time_limit(exchange, route)
        self._limit_at = math.inf
        if is_total_limit:
            self._limit_at = exchange.began_at + limit_s
        # Time spent waiting for earlier requests of the connection counts.
        limit_s = max(0.0, limit_s - (trio.current_time() - exchange.began_at))
        self._request = events.Request(
            exchange.request_id,
            route.is_repeatable(exchange.method),
            exchange.has_body,
            limit_s,
            is_total_limit,
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
        self._first_byte_at: float | None = None
        self._had_caller_ended = False
        self._answer_scope = trio.CancelScope()
        # Whether the connection of the current attempt failed.
        self._connection_failed = False
        self._body_drop_reported = False
        self._answer_stream: upstream.AnswerStream | None = None
        self._relay: answer_relay.AnswerRelay | None = None

    @property
    def outcome(self) -> str:
        """Return the outcome of the request for its claim."""
        if self._exchange.outcome == "answered":
            return "answered"
        return self._machine.outcome.value

    async def run(self) -> None:
        """Run the attempts of the request until it ends.

        Raises:
            CutAnswerError: when the answer to the caller must be cut.
        """
        try:
            await self._run_effects()
        except exchange_module.CallerGoneError:
            self._abandon()
        except trio.Cancelled:
            self._abandon()
            raise
        except answer_relay.OverdueError as exc:
            self._abandon()
            self._exchange.outcome = "cut"
            raise serving.CutAnswerError(str(exc)) from exc
        finally:
            self._close_relay()

    def _close_relay(self) -> None:
        relay, self._relay = self._relay, None
        if relay is not None:
            relay.close()

    async def _run_effects(self) -> None:
        effects = self._handle(events.Started())
        while effects:
            event: events.Event | None = None
            for effect in effects:
                # Compared with None since an event without fields is falsy.
                next_event = await self._execute(effect)
                event = event if next_event is None else next_event
            effects = self._handle(event) if event is not None else ()

    def _handle(self, event: events.Event) -> attempt.Effects:
        return self._machine.handle(event, trio.current_time())

    async def _execute(self, effect: events.Effect) -> events.Event | None:
        match effect:
            case events.Acquire():
                return await self._acquire(effect)
            case events.Send():
                return await self._send(effect)
            case events.Relay():
                return await self._relay_answer()
            case events.CloseConnection():
                self._end_attempt("failed")
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
        deadline_refusal = messages.Refused(
            "deadline-passed", attempt.RETRY_AFTER_S
        )
        if trio.current_time() >= effect.deadline:
            return events.NoSlot(*deadline_refusal)
        result: messages.Grant | messages.Refused = deadline_refusal
        with trio.move_on_at(effect.deadline):
            try:
                await self._buffer_suspected_request()
            except exchange_module.BodyTooLargeError:
                return events.NoSlot("body too large", attempt.RETRY_AFTER_S)
            if self._is_quarantined(effect):
                return events.NoSlot("quarantined", QUARANTINED_RETRY_S)
            for avoided_ids in self._server_ids_to_avoid(effect.tried):
                req = self._slot_request(effect, avoided_ids)
                result = await dependencies.placement.acquire(req, pool)
                if isinstance(result, messages.Grant):
                    break
        if isinstance(result, messages.Refused):
            return events.NoSlot(result.reason, result.retry_after_s)
        if self._is_quarantined(effect):
            # It was quarantined while it waited for the slot.
            unused_slot = messages.AttemptResult(
                "cancelled", 0.0, connected=False
            )
            dependencies.placement.release(result, unused_slot)
            return events.NoSlot("quarantined", QUARANTINED_RETRY_S)
        if not effect.tried:
            dependencies.steering.record_server(
                pool.name, self._decision, result.server
            )
        elif self._machine.last_sent is events.Sent.MAYBE_SENT:
            dependencies.limits.count_retry(self._exchange.organisation)
        self._grant = result
        self._granted_at = trio.current_time()
        self._first_byte_at = None
        self._had_caller_ended = False
        self._log_grant(result, effect)
        return events.Granted(result.server.server_id)

    async def _buffer_suspected_request(self) -> None:
        """Buffer the body for the fingerprint if the head is quarantined."""
        if self._dependencies.quarantine.may_be_quarantined(
            self._exchange.fingerprint_head
        ):
            await self._exchange.buffer_for_fingerprint()

    def _is_quarantined(self, effect: events.Acquire) -> bool:
        """Return whether the quarantine forbids the next attempt."""
        quarantine, exchange = self._dependencies.quarantine, self._exchange
        if not quarantine.may_be_quarantined(exchange.fingerprint_head):
            return False
        attempt_id = f"{exchange.request_id} {len(effect.tried)}"
        return quarantine.is_blocked(exchange.fingerprint, attempt_id)

    def _server_ids_to_avoid(
        self, tried: tuple[str, ...]
    ) -> list[tuple[str, ...]]:
        """Return the servers to avoid, as alternatives in order of preference.

        First all servers in the failure domains of the tried ones, if others
        are left, then only the tried ones.
        """
        if not tried:
            return [()]
        ready_servers = self._dependencies.server_directory.ready_servers(
            self._pool.name
        )
        tried_domains = {
            server.failure_domain
            for server in ready_servers
            if server.server_id in tried
        }
        ids_in_tried_domains = {
            server.server_id
            for server in ready_servers
            if server.failure_domain in tried_domains
        }
        if len(ids_in_tried_domains) == len(ready_servers):
            return [tried]
        return [(*tried, *sorted(ids_in_tried_domains - set(tried))), tried]

    def _slot_request(
        self, effect: events.Acquire, avoided_ids: tuple[str, ...]
    ) -> messages.Request:
        key = self._exchange.object_key if self._route.sticky else ""
        return messages.Request(
            self._exchange.request_id,
            self._pool.name,
            regions.restrict(
                self._decision.regions,
                self._route.allowed_regions,
                self._dependencies.evacuated(),
            ),
            self._route.priority,
            effect.deadline,
            avoided_ids,
            f"{self._route.name} {key}" if key else "",
            self._route.latency_goal_ms / 1000,
            self._route.name,
            trio.current_time() - self._exchange.began_at,
        )

    async def _send(self, effect: events.Send) -> events.Event:
        assert self._grant is not None
        server, exchange = self._grant.server, self._exchange
        left_s = effect.deadline - trio.current_time()
        outgoing = http1.Request(
            exchange.method,
            exchange.target(),
            exchange.request_headers(left_s, server.server_id),
            self._stream_body(server) if exchange.has_body else None,
        )
        self._answer_scope = trio.CancelScope(deadline=effect.deadline)
        self._connection_failed = False
        try:
            with self._answer_scope:
                self._answer_stream = await self._dependencies.upstream.send(
                    server,
                    outgoing,
                    effect.fresh,
                    self._on_bytes_sent,
                    functools.partial(self._may_send, server, effect.deadline),
                )
                await self._buffer_short_answer(server)
        except http1.LostError as exc:
            self._connection_failed = True
            return events.AttemptFailed(str(exc))
        except exchange_module.BodyTooLargeError:
            return events.AttemptFailed("body too large")
        if self._answer_stream is None or self._answer_scope.cancelled_caught:
            return events.AttemptFailed("no answer in time")
        return answers.answer_began(exchange, self._answer_stream.answer)

    async def _may_send(
        self, server: membership.Server, deadline: float
    ) -> bool:
        """Return whether a server chosen before may still get the request."""
        caller = self._exchange.caller
        if caller is not None:
            await caller.confirm_waiting()
        if trio.current_time() >= deadline:
            return False
        dependencies = self._dependencies
        if server.failure_domain in dependencies.evacuated():
            return False
        return dependencies.server_directory.is_ready(server)

    async def _buffer_short_answer(self, server: membership.Server) -> None:
        assert self._answer_stream is not None
        if not self._request.is_total_limit:
            # The answer has begun: from now on only the stall timeout applies.
            self._answer_scope.deadline = math.inf
        self._close_relay()
        self._relay = answer_relay.AnswerRelay(
            self._answer_stream.answer,
            self._exchange,
            self._link_wait(server),
            self._dependencies.buffer_space,
            self._limit_at,
        )
        await self._relay.buffer_short_answer()

    def _on_bytes_sent(self) -> None:
        self._first_byte_at = trio.current_time()
        caller = self._exchange.caller
        self._had_caller_ended = caller is not None and caller.has_input_ended()
        self._handle(events.BytesSent())

    async def _stream_body(
        self, server: membership.Server
    ) -> AsyncIterator[bytes]:
        wait = self._link_wait(server)
        self._handle_body_event(events.BodyBegan())
        async for part in self._exchange.body():
            if self._exchange.body_dropped and not self._body_drop_reported:
                self._body_drop_reported = True
                self._handle(events.BodyDropped())
            await wait(part, self._exchange.length)
            yield part
        self._handle_body_event(events.BodySent())

    def _handle_body_event(self, event: events.Event) -> None:
        for effect in self._handle(event):
            if isinstance(effect, events.SetAnswerDeadline):
                self._answer_scope.deadline = effect.deadline

    def _link_wait(self, server: membership.Server) -> answer_relay.LinkWait:
        """Return a function that waits for capacity on a server's link."""
        dependencies = self._dependencies

        async def wait(part: bytes, length: int | None) -> None:
            if server.region != dependencies.region:
                is_bulk = length is None or length > BULK_THRESHOLD_BYTES
                await dependencies.pacer.throttle(
                    server.region, len(part), is_bulk
                )

        return wait

    async def _relay_answer(self) -> events.Event:
        assert self._relay is not None
        release = functools.partial(self._end_attempt, "answered")
        try:
            await self._relay.run(release)
        except http1.LostError as exc:
            self._connection_failed = True
            return events.AttemptFailed(str(exc))
        return events.AnswerEnded()

    def _end_attempt(self, kind: str) -> None:
        """Release the slot, and release or close the connection.

        Args:
            kind: `answered`, which keeps the connection; `failed`, recorded as
                `shed` if the server refused to run it; or `cancelled`.
        """
        grant, self._grant = self._grant, None
        if grant is None:
            return
        if kind == "failed":
            kind = self._failure_kind()
        answer_stream, self._answer_stream = self._answer_stream, None
        result = self._attempt_result(kind, answer_stream)
        self._dependencies.placement.release(grant, result)
        if result.healthy:
            self._dependencies.quarantine.record_answer(
                self._exchange.fingerprint
            )
        self._log_attempt(grant, result, answer_stream)
        if kind == "failed":
            self._check_server(grant.server)
        if answer_stream is None:
            return
        if kind == "answered":
            self._dependencies.upstream.finish(answer_stream)
        else:
            self._dependencies.upstream.discard(answer_stream)

    def _check_server(self, server: membership.Server) -> None:
        """Request a check whether a server crashed while it ran the request."""
        fingerprint = self._exchange.fingerprint
        may_have_run = self._machine.last_sent is events.Sent.MAYBE_SENT
        if self._connection_failed and may_have_run and fingerprint:
            self._dependencies.upstream.checks.schedule_check(
                crash_checks.BrokenAttempt(
                    server, fingerprint, self._exchange.request_id
                )
            )

    def _attempt_result(
        self, kind: str, answer_stream: upstream.AnswerStream | None
    ) -> messages.AttemptResult:
        duration_s = trio.current_time() - self._granted_at
        if answer_stream is None:
            connected = self._machine.last_sent is not events.Sent.NOT_SENT
            return messages.AttemptResult(kind, duration_s, connected, False)
        answer = answer_stream.answer
        headers = {key.lower(): value for key, value in answer.headers}
        is_healthy = (
            kind == "answered" and answer.status < MIN_SERVER_ERROR_STATUS
        )
        return messages.AttemptResult(
            kind,
            duration_s,
            True,
            is_healthy,
            self._dialect.parse_load(headers),
            self._dialect.is_misdirected(answer.status)
            and self._machine.last_sent is events.Sent.REFUSED_NOT_RUN,
            self._dialect.parse_rate_limit(headers),
            self._dialect.parse_rest_s(answer.status, headers),
            self._dialect.is_leaving(headers),
        )

    def _failure_kind(self) -> str:
        was_shed = self._machine.last_sent is events.Sent.REFUSED_NOT_RUN
        return "shed" if was_shed else "failed"

    def _abandon(self) -> None:
        if self._machine.phase is not attempt.Phase.DONE:
            self._handle(events.CallerGone())
        self._exchange.outcome = (
            "cut" if self._exchange.is_cut_by_entry else "caller-gone"
        )
        self._end_attempt("cancelled")

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
        lease_s = self._dependencies.server_directory.servers.left_s(
            server.server_id, now
        )
        budget_left = self._dependencies.retry_budget(self._pool.name).left
        if grant.rate_limit is not None:
            self._dependencies.meter.limited_requests.inc(
                {"pool": self._pool.name}
            )
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
            rate_limit=answers.format_rate_limit(grant.rate_limit),
            attempt=len(effect.tried) + 1,
            budget_left=round(budget_left, 1),
            left_s=round(effect.deadline - now, 4),
        )

    def _log_attempt(
        self,
        grant: messages.Grant,
        result: messages.AttemptResult,
        answer_stream: upstream.AnswerStream | None,
    ) -> None:
        status = answer_stream.answer.status if answer_stream is not None else 0
        self._dependencies.meter.attempts.observe(
            {"pool": self._pool.name, "result": result.kind}, result.duration_s
        )
        self._exchange.log.add(
            logger,
            "attempt-ended",
            server=grant.server.server_id,
            result=result.kind,
            status=status,
            sent=self._machine.last_sent.value,
            rate_limit=answers.format_rate_limit(result.rate_limit),
            rest_s=result.rest_s,
            leaving=result.is_leaving,
            detail="" if result.healthy else self._machine.last_reason,
            sent_after_s=self._format_send_delay(),
            caller_ended=self._had_caller_ended,
            took_s=round(result.duration_s, 4),
        )

    def _format_send_delay(self) -> float | str:
        """Return the seconds from the choice of the server to the first byte."""
        if self._first_byte_at is None:
            return "none"
        return round(self._first_byte_at - self._granted_at, 4)
