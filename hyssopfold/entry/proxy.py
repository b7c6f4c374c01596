"""A caller's request on its way through an entry."""

import logging
import random
from typing import NamedTuple

import trio

from hyssopfold import http
from hyssopfold import log_output
from hyssopfold import metrics
from hyssopfold import request_log
from hyssopfold import tables
from hyssopfold.core.attempts import budget
from hyssopfold.core.membership import directory
from hyssopfold.core.steering import splits
from hyssopfold.entry import attempt_dependencies
from hyssopfold.entry import carrier
from hyssopfold.entry import claims
from hyssopfold.entry import configuration
from hyssopfold.entry import dialect as dialect_module
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import pacing
from hyssopfold.entry import steering
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# How far apart callers that are refused together come back, as a multiple of
# the time that they are told.
_RETURN_SPREAD = (1.0, 3.0)
_NO_TABLES_WAIT_S = 0.5
_TABLES_BEHIND_WAIT_S = 0.2


class EntryContext(NamedTuple):
    """The entry's region, and its directory of the servers."""

    region: str
    directory: directory.Directory


class RequestGuards(NamedTuple):
    """What may keep a request from running, wherever it is to go."""

    claims: claims.Claims
    quarantine: attempt_dependencies.Quarantine


class CallerOptions(NamedTuple):
    """How callers are served: the headers in use, limits, retries for them.

    `max_body_bytes` is the largest body taken. Retries are `retry_share` for
    each request of a pool; `shared_retry_reserve` is what all entries
    together may save up, with 0 each has a reserve of its own.
    """

    max_body_bytes: int = exchange_module.MAX_BODY_BYTES
    dialect: dialect_module.Dialect = dialect_module.DEFAULT_DIALECT
    retry_share: float = budget.DEFAULT_RATIO
    shared_retry_reserve: float = 0.0
    log_lines_per_s: float = log_output.LINES_PER_S


DEFAULT_CALLER_OPTIONS = CallerOptions()


class Proxy:
    """Route requests to backend servers and relay their answers.

    Args:
        config: Source of the tables in force.
        steer: Regions that may serve a request.
        place: Slots of the servers.
        pacer: Room on the links between regions.
        servers: Connections to the servers.
        meter: Metrics of this process.
        guards: Claims on idempotency keys, and the quarantine.
        here: Where this entry is, and whom it knows.
        rng: Spreads the times at which refused callers come back.
        callers: How they are served.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        region_steering: steering.Steering,
        placement: attempt_dependencies.Placement,
        pacer: pacing.Pacer,
        backends: upstream.Upstream,
        meter: metrics.Metrics,
        *,
        guards: RequestGuards,
        context: EntryContext,
        rng: random.Random,
        options: CallerOptions = DEFAULT_CALLER_OPTIONS,
    ) -> None:
        self.in_flight = 0
        self._dependencies = attempt_dependencies.AttemptDependencies(
            context.region,
            context.directory,
            region_steering,
            placement,
            pacer,
            backends,
            guards.quarantine,
            meter,
            self.retry_budget,
            self.refuse,
            options.dialect == dialect_module.DEFAULT_DIALECT,
        )
        self._options = options
        self._sampler = request_log.Sampler(options.log_lines_per_s)
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._config = config
        self._meter = meter
        self._rng = rng
        self._claims = guards.claims

    @property
    def log_lines_left_out(self) -> int:
        """Return the lines of good requests that were not written."""
        return self._sampler.left_out

    def retry_budget(self, pool: str) -> budget.RetryBudget:
        """Return the retries that this entry may still make in a pool."""
        held = self._budgets.get(pool)
        if held is None:
            held = self._budgets[pool] = budget.RetryBudget(
                self._options.retry_share
            )
            held.left = held.reserve = self._reserve()
        held.reserve = self._reserve()
        return held

    def _reserve(self) -> float:
        """Return this entry's part of what all may save up.

        The parts add up to the whole when each entry knows as many others;
        one that knows fewer, cut off, is alone with its part of the callers.
        """
        shared = self._options.shared_retry_reserve
        if not shared:
            return budget.DEFAULT_RESERVE
        return shared / max(
            1, len(self._dependencies.directory.ready_entries())
        )

    async def serve(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Answer one request of a caller."""
        snapshot = self._config.snapshot
        exchange = exchange_module.Exchange(
            scope,
            receive,
            send,
            snapshot,
            _began_at(scope),
            self._options.max_body_bytes,
            self._options.dialect,
            self._sampler,
        )
        route = snapshot.router.match(
            exchange.host, scope["path"], exchange.method
        )
        pool = self._pool(exchange, route) if route else None
        self.in_flight += 1
        self._log_admitted(exchange, route, pool)
        try:
            invalid = exchange.validation_refusal()
            if invalid is not None:
                await self.refuse(exchange, invalid)
            elif snapshot.revision == 0:
                await self.refuse(exchange, _no_tables())
            elif route is None or pool is None:
                await self.refuse(exchange, self._unrouted())
            else:
                await self._serve_once(exchange, route, pool)
        finally:
            self.in_flight -= 1
            labels = {
                "route": route.name if route else "",
                "pool": pool.name if pool else "",
                "outcome": exchange.outcome,
            }
            took = trio.current_time() - exchange.began_at
            self._meter.requests.observe(labels, took)
            goal_s = route.latency_goal_ms / 1000 if route else 0.0
            self._log_end(exchange, took, goal_s)

    def may_run_concurrently(self, scope: http.Scope) -> bool:
        """Return whether a request may run beside others of its connection.

        It may where it may be repeated: the caller has not waited for what
        the others do, and does not mind in which order they are done.
        """
        headers = dict(scope["headers"])
        if headers.keys() & {b"content-length", b"transfer-encoding"}:
            return False
        router = self._config.snapshot.router
        host = exchange_module.parse_host(headers.get(b"host", b""))
        route = router.match(host, scope["path"], scope["method"])
        return route is not None and route.is_repeatable(scope["method"])

    def _log_admitted(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route | None,
        pool: tables.Pool | None,
    ) -> None:
        age_s = self._config.age_s(exchange.began_at)
        exchange.log.add(
            logger,
            "admitted",
            method=exchange.method,
            host=exchange.host,
            route=route.name if route else "",
            pool=pool.name if pool else "",
            object=exchange.object_key,
            caller=exchange.client,
            revision=exchange.snapshot.revision,
            version=exchange.snapshot.held.version,
            revision_age_s=round(age_s, 3),
        )

    def _log_end(
        self,
        exchange: exchange_module.Exchange,
        took_s: float,
        goal_s: float,
    ) -> None:
        position = exchange.pipeline_position
        behind_s = position.behind_s if position is not None else 0.0
        if position is not None and position.requests_ahead:
            self._meter.behind.observe({}, behind_s)
        exchange.log.add(
            logger,
            "ended",
            outcome=exchange.outcome,
            status=exchange.status,
            took_s=round(took_s, 4),
            ahead=position.requests_ahead if position is not None else 0,
            behind_s=round(behind_s, 4),
            goal_s=goal_s,
            fingerprint=exchange.fingerprint.hex(),
        )
        in_time = not goal_s or took_s <= goal_s
        good = exchange.outcome == "answered" and in_time
        exchange.log.end(good and exchange.status < carrier.SERVER_FAILURE)

    def _unrouted(self) -> http.Refusal:
        """Return the answer to a request that no route in force matches.

        A newer revision that is known of may have added the route.
        """
        return _tables_behind() if self._config.is_behind else _no_route()

    def _pool(
        self, exchange: exchange_module.Exchange, route: tables.Route
    ) -> tables.Pool | None:
        name = route.pool
        if route.split:
            name = splits.pick(route.split, exchange.request_id)
        return exchange.snapshot.tables.pool(name)

    async def _serve_once(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        """Serve a request, but not again under the same idempotency key."""
        keyed = exchange.header(b"idempotency-key") is not None
        if not keyed or route.is_repeatable(exchange.method):
            await carrier.AttemptExecutor(
                self._dependencies, exchange, route, pool
            ).run()
            return
        held = await self._claims.claim(exchange)
        if isinstance(held, http.Refusal):
            await self.refuse(exchange, held)
            return
        executor = carrier.AttemptExecutor(
            self._dependencies, exchange, route, pool
        )
        try:
            await executor.run()
        finally:
            self._claims.settle(
                held, exchange.request_id, executor.outcome, exchange.status
            )

    async def refuse(
        self, exchange: exchange_module.Exchange, refusal: http.Refusal
    ) -> None:
        """Answer with a refusal of ours."""
        names = self._options.dialect
        if names.status_503_means_not_run and refusal.status >= 500:
            refusal = refusal._replace(status=_promised_status(refusal))
        exchange.outcome = refusal.outcome
        # Callers refused together would come back together.
        spread = self._rng.uniform(*_RETURN_SPREAD)
        refusal = refusal._replace(retry_after_s=refusal.retry_after_s * spread)
        exchange.status = refusal.status
        self._meter.refusals.inc({"error": refusal.error})
        exchange.log.add(
            logger,
            "refused",
            error=refusal.error,
            status=refusal.status,
            outcome=refusal.outcome,
            retry_after_s=round(refusal.retry_after_s, 3),
            held_s=round(trio.current_time() - exchange.began_at, 4),
            revision=exchange.snapshot.revision,
            detail=refusal.remedy,
        )
        answer = http.refusal_answer(
            refusal, names.format_retry_after, names.outcome
        )
        extra = tuple(exchange.answer_headers())
        answer = answer._replace(headers=answer.headers + extra)
        head = exchange.method == "HEAD"
        await http.send_answer(exchange.send, answer, head)


def _began_at(scope: http.Scope) -> float:
    """Return when a request's head was read: its caller waits since then."""
    position = exchange_module.position_in_pipeline(scope)
    return position.read_at if position is not None else trio.current_time()


def _promised_status(refusal: http.Refusal) -> int:
    """Return the status for callers to whom 503 promises `not-run`."""
    if refusal.outcome == "not-run":
        return 503
    return 504 if refusal.error == "deadline-passed" else 502


def _no_route() -> http.Refusal:
    return http.Refusal(
        404, "no-route", "not-run", "add a row to the table of routes", 5.0
    )


def _tables_behind() -> http.Refusal:
    remedy = "ask again soon: this entry is fetching newer tables"
    return http.Refusal(
        503, "tables-behind", "not-run", remedy, _TABLES_BEHIND_WAIT_S
    )


def _no_tables() -> http.Refusal:
    remedy = "ask again soon: this entry has not learned the tables yet"
    return http.Refusal(503, "no-tables", "not-run", remedy, _NO_TABLES_WAIT_S)
