"""Data path of an entry: serves the requests of callers."""

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
from hyssopfold.entry import answer_relay
from hyssopfold.entry import answers
from hyssopfold.entry import attempt_dependencies
from hyssopfold.entry import authentication
from hyssopfold.entry import carrier
from hyssopfold.entry import claims
from hyssopfold.entry import configuration
from hyssopfold.entry import dialect as dialect_module
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import limits
from hyssopfold.entry import pacing
from hyssopfold.entry import steering
from hyssopfold.entry import upstream

logger = logging.getLogger(__name__)

# Shorter waits of a request in its socket are not counted.
_MIN_UNREAD_S = 0.02
# Range of the random factor of `retry-after`, so that callers that are refused
# together do not retry together.
_RETRY_DELAY_FACTORS = (1.0, 3.0)
_NO_TABLES_RETRY_S = 0.5
_TABLES_BEHIND_RETRY_S = 0.2
# Another entry can take the request at once.
_STOPPING_RETRY_S = 0.05


class EntryContext(NamedTuple):
    """The entry's region and its directory of servers and instances."""

    region: str
    server_directory: directory.Directory


class RequestGuards(NamedTuple):
    """Checks that may keep a request from running at any server."""

    key_claims: claims.Claims
    quarantine: attempt_dependencies.Quarantine
    limits: limits.Limits


class CallerOptions(NamedTuple):
    """Options of the data path for callers.

    Attributes:
        max_body_bytes: Largest accepted body.
        dialect: Names of the headers.
        retry_share: Retries that each request of a pool adds to the budget.
        shared_retry_reserve: Unused retries that all entries together may
            keep. If 0, each entry has its own reserve.
        log_lines_per_s: Largest number of log lines of successful requests per
            second.
        max_key_age_s: Keys are valid for this time in seconds after a majority
            confirmed the tables last. If 0, they are valid until newer tables
            remove them.
    """

    max_body_bytes: int = exchange_module.MAX_BODY_BYTES
    dialect: dialect_module.Dialect = dialect_module.DEFAULT_DIALECT
    retry_share: float = budget.DEFAULT_RATIO
    shared_retry_reserve: float = 0.0
    log_lines_per_s: float = log_output.LINES_PER_S
    max_key_age_s: float = 0.0


DEFAULT_CALLER_OPTIONS = CallerOptions()


class Proxy:
    """Routes requests to backend servers and relays their answers.

    Args:
        config: Source of the tables in force.
        region_steering: Chooses the regions that may serve a request.
        placement: Chooses servers and counts their slots.
        pacer: Shares the capacity of the links between regions.
        backends: Sends requests to the servers.
        meter: Metrics of this process.
        guards: Claims on idempotency keys, and the quarantine.
        context: Region and directory of this entry.
        rng: Draws the delays of refused callers.
        options: Options for callers.

    Attributes:
        in_flight: Number of running requests.
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
            context.server_directory,
            region_steering,
            placement,
            pacer,
            backends,
            guards.quarantine,
            guards.limits,
            meter,
            self.retry_budget,
            self.refuse,
            lambda: config.snapshot.state.evacuated,
            answer_relay.BufferSpace(),
            options.dialect == dialect_module.DEFAULT_DIALECT,
        )
        self._options = options
        self._sampler = request_log.Sampler(options.log_lines_per_s)
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._config = config
        self._meter = meter
        self._rng = rng
        self._claims = guards.key_claims
        self._limits = guards.limits

    @property
    def log_lines_left_out(self) -> int:
        """Return the number of log lines of successful requests left out."""
        return self._sampler.left_out

    def retry_budget(self, pool: str) -> budget.RetryBudget:
        """Return this entry's retry budget for a pool."""
        retry_budget = self._budgets.get(pool)
        if retry_budget is None:
            retry_budget = self._budgets[pool] = budget.RetryBudget(
                self._options.retry_share
            )
            retry_budget.left = retry_budget.reserve = self._reserve()
        retry_budget.reserve = self._reserve()
        return retry_budget

    def _reserve(self) -> float:
        """Return this entry's part of the shared retry reserve.

        The parts add up to the reserve if all entries know the same number of
        entries. An entry in a network partition knows fewer and gets a larger
        part, but serves only the callers on its side.
        """
        shared_reserve = self._options.shared_retry_reserve
        if not shared_reserve:
            return budget.DEFAULT_RESERVE
        return shared_reserve / max(
            1, len(self._dependencies.server_directory.ready_entries())
        )

    async def serve(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serve one request of a caller; an ASGI application."""
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
            exchange.host, http.path_as_sent(scope), exchange.method
        )
        pool = self._select_pool(exchange, route) if route else None
        self.in_flight += 1
        self._log_admitted(exchange, route, pool)
        try:
            invalid = exchange.validation_refusal()
            if invalid is not None:
                await self.refuse(exchange, invalid)
            elif snapshot.revision == 0:
                await self.refuse(exchange, _no_tables())
            elif route is None or pool is None:
                await self.refuse(exchange, self._no_matching_route())
            elif _may_outlast_stop(exchange, route):
                await self.refuse(exchange, _stopping())
            else:
                await self._serve_authenticated(exchange, route, pool)
        finally:
            self.in_flight -= 1
            labels = {
                "route": route.name if route else "",
                "pool": pool.name if pool else "",
                "outcome": exchange.outcome,
            }
            took_s = trio.current_time() - exchange.began_at
            self._meter.requests.observe(labels, took_s)
            goal_s = route.latency_goal_ms / 1000 if route else 0.0
            self._log_ended(exchange, took_s, goal_s)

    def may_run_concurrently(self, scope: http.Scope) -> bool:
        """Return whether a request may run concurrently on its connection.

        A request without a body may if it is repeatable: the caller has sent it
        without waiting for the effects of the others, so their order does not
        matter.

        Args:
            scope: ASGI scope of the request.
        """
        headers = dict(scope["headers"])
        if headers.keys() & {b"content-length", b"transfer-encoding"}:
            return False
        router = self._config.snapshot.router
        host = exchange_module.parse_host(headers.get(b"host", b""))
        path = http.path_as_sent(scope)
        route = router.match(host, path, scope["method"])
        return route is not None and route.is_repeatable(scope["method"])

    def _log_admitted(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route | None,
        pool: tables.Pool | None,
    ) -> None:
        age_s = self._config.age_s(exchange.began_at)
        position = exchange.pipeline_position
        unread_s = position.unread_s if position is not None else 0.0
        if unread_s >= _MIN_UNREAD_S:
            self._meter.unread.observe({}, unread_s)
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
            version=exchange.snapshot.state.version,
            revision_age_s=round(age_s, 3),
            unread_s=round(unread_s, 3),
        )

    def _log_ended(
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
            organisation=exchange.organisation,
            took_s=round(took_s, 4),
            ahead=position.requests_ahead if position is not None else 0,
            behind_s=round(behind_s, 4),
            connection_end=exchange.connection_end,
            goal_s=goal_s,
            fingerprint=exchange.fingerprint.hex(),
        )
        is_in_time = not goal_s or took_s <= goal_s
        is_good = exchange.outcome == "answered" and is_in_time
        exchange.log.end(
            is_good and exchange.status < carrier.MIN_SERVER_ERROR_STATUS
        )

    def _no_matching_route(self) -> http.Refusal:
        """Return the refusal of a request that no route in force matches.

        A newer revision that is still being fetched may have added the route.
        """
        return _tables_behind() if self._config.is_behind else _no_route()

    def _select_pool(
        self, exchange: exchange_module.Exchange, route: tables.Route
    ) -> tables.Pool | None:
        name = route.pool
        if route.split:
            name = splits.pick(route.split, exchange.request_id)
        return exchange.snapshot.tables.pool(name)

    async def _serve_authenticated(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        """Serve a request if its caller has a key, within the limits."""
        allowed = self._authenticate(exchange, route)
        if isinstance(allowed, http.Refusal):
            await self.refuse(exchange, allowed)
            return
        organisation = exchange.organisation
        over_limit = self._limits.admit(organisation, exchange.request_id)
        if organisation:
            within_limit = over_limit is None
            self._meter.count_organisation(organisation, within_limit)
        if over_limit is not None:
            await self.refuse(exchange, over_limit)
            return
        try:
            await self._serve_routed(exchange, allowed, pool)
        finally:
            if exchange.outcome == "not-run":
                self._limits.give_back(organisation)

    def _authenticate(
        self, exchange: exchange_module.Exchange, route: tables.Route
    ) -> tables.Route | http.Refusal:
        allowed = authentication.authenticate(
            exchange, route, self._config.is_behind
        )
        max_age_s = self._options.max_key_age_s
        if exchange.organisation and max_age_s:
            age_s = self._config.age_s(trio.current_time())
            if age_s > max_age_s:
                return authentication.keys_too_old()
        return allowed

    async def _serve_routed(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route,
        pool: tables.Pool,
    ) -> None:
        """Serve a request, at most once for the same idempotency key."""
        has_key = exchange.header(b"idempotency-key") is not None
        if not has_key or route.is_repeatable(exchange.method):
            await carrier.AttemptExecutor(
                self._dependencies, exchange, route, pool
            ).run()
            return
        claim = await self._claims.claim(exchange)
        if isinstance(claim, http.Refusal):
            await self.refuse(exchange, claim)
            return
        executor = carrier.AttemptExecutor(
            self._dependencies, exchange, route, pool
        )
        try:
            await executor.run()
        finally:
            self._claims.settle(
                claim, exchange.request_id, executor.outcome, exchange.status
            )

    async def refuse(
        self, exchange: exchange_module.Exchange, refusal: http.Refusal
    ) -> None:
        """Answer a request with a refusal of this entry.

        Args:
            exchange: The request.
            refusal: The refusal; its `retry_after_s` is multiplied by a random
                factor.
        """
        dialect = self._options.dialect
        if dialect.status_503_means_not_run and refusal.status >= 500:
            refusal = refusal._replace(
                status=_status_for_not_run_guarantee(refusal)
            )
        exchange.outcome = refusal.outcome
        # Callers that are refused together must not retry together.
        delay_factor = self._rng.uniform(*_RETRY_DELAY_FACTORS)
        refusal = refusal._replace(
            retry_after_s=refusal.retry_after_s * delay_factor
        )
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
            refusal, dialect.format_retry_after, dialect.outcome
        )
        extra_headers = tuple(exchange.answer_headers())
        answer = answer._replace(headers=answer.headers + extra_headers)
        is_head = exchange.method == "HEAD"
        await http.send_answer(exchange.send, answer, is_head)


def _began_at(scope: http.Scope) -> float:
    """Return the time at which a request's head arrived, or now."""
    position = exchange_module.position_in_pipeline(scope)
    return position.arrived_at if position is not None else trio.current_time()


def _may_outlast_stop(
    exchange: exchange_module.Exchange, route: tables.Route
) -> bool:
    """Return whether a request may run beyond a planned stop of this entry."""
    position = exchange.pipeline_position
    if position is None:
        return False
    limit_s, _ = answers.time_limit(exchange, route)
    return exchange.began_at + limit_s > position.answer_by


def _stopping() -> http.Refusal:
    remedy = "send it again, to another entry: this one stops before its limit"
    return http.Refusal(503, "stopping", "not-run", remedy, _STOPPING_RETRY_S)


def _status_for_not_run_guarantee(refusal: http.Refusal) -> int:
    """Return the status for callers that take only 503 as `not-run`."""
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
        503, "tables-behind", "not-run", remedy, _TABLES_BEHIND_RETRY_S
    )


def _no_tables() -> http.Refusal:
    remedy = "ask again soon: this entry has not learned the tables yet"
    return http.Refusal(503, "no-tables", "not-run", remedy, _NO_TABLES_RETRY_S)
