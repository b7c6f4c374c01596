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
from hyssopfold.entry import carrier
from hyssopfold.entry import carrier_parts
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


class Here(NamedTuple):
    """The entry's region, and its directory of the servers."""

    region: str
    known: directory.Directory


class Guards(NamedTuple):
    """What may keep a request from running, wherever it is to go."""

    claimed: claims.Claims
    quarantine: carrier_parts.Quarantine


class Callers(NamedTuple):
    """How callers are served: the headers in use, limits, retries for them.

    `max_body_bytes` is the largest body taken. Retries are `retry_share` for
    each request of a pool; `shared_retry_reserve` is what all entries
    together may save up, with 0 each has a reserve of its own.
    """

    max_body_bytes: int = exchange_module.MAX_BODY_BYTES
    dialect: dialect_module.Dialect = dialect_module.OURS
    retry_share: float = budget.DEFAULT_RATIO
    shared_retry_reserve: float = 0.0
    log_lines_per_s: float = log_output.LINES_PER_S


USUAL_CALLERS = Callers()


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
        steer: steering.Steering,
        place: carrier_parts.Placement,
        pacer: pacing.Pacer,
        servers: upstream.Upstream,
        meter: metrics.Metrics,
        *,
        guards: Guards,
        here: Here,
        rng: random.Random,
        callers: Callers = USUAL_CALLERS,
    ) -> None:
        self.in_flight = 0
        self._parts = carrier_parts.Parts(
            here.region,
            here.known,
            steer,
            place,
            pacer,
            servers,
            guards.quarantine,
            meter,
            self.budget_of,
            self.refuse,
            callers.dialect == dialect_module.OURS,
        )
        self._callers = callers
        self._sampler = request_log.Sampler(callers.log_lines_per_s)
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._config = config
        self._meter = meter
        self._rng = rng
        self._claims = guards.claimed

    @property
    def log_lines_left_out(self) -> int:
        """Return the lines of good requests that were not written."""
        return self._sampler.left_out

    def budget_of(self, pool: str) -> budget.RetryBudget:
        """Return the retries that this entry may still make in a pool."""
        held = self._budgets.get(pool)
        if held is None:
            held = self._budgets[pool] = budget.RetryBudget(
                self._callers.retry_share
            )
            held.left = held.reserve = self._reserve()
        held.reserve = self._reserve()
        return held

    def _reserve(self) -> float:
        """Return this entry's part of what all may save up.

        The parts add up to the whole when each entry knows as many others;
        one that knows fewer, cut off, is alone with its part of the callers.
        """
        shared = self._callers.shared_retry_reserve
        if not shared:
            return budget.DEFAULT_RESERVE
        return shared / max(1, len(self._parts.known.ready_entries()))

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
            _began(scope),
            self._callers.max_body_bytes,
            self._callers.dialect,
            self._sampler,
        )
        route = snapshot.router.match(
            exchange.host, scope["path"], exchange.method
        )
        pool = self._pool(exchange, route) if route else None
        self.in_flight += 1
        self._log_admitted(exchange, route, pool)
        try:
            fault = exchange.fault()
            if fault is not None:
                await self.refuse(exchange, fault)
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
            took = trio.current_time() - exchange.began
            self._meter.requests.observe(labels, took)
            goal_s = route.latency_goal_ms / 1000 if route else 0.0
            self._log_end(exchange, took, goal_s)

    def runs_beside(self, scope: http.Scope) -> bool:
        """Return whether a request may run beside others of its connection.

        It may where it may be repeated: the caller has not waited for what
        the others do, and does not mind in which order they are done.
        """
        headers = dict(scope["headers"])
        if headers.keys() & {b"content-length", b"transfer-encoding"}:
            return False
        router = self._config.snapshot.router
        host = exchange_module.host_of(headers.get(b"host", b""))
        route = router.match(host, scope["path"], scope["method"])
        return route is not None and route.is_repeatable(scope["method"])

    def _log_admitted(
        self,
        exchange: exchange_module.Exchange,
        route: tables.Route | None,
        pool: tables.Pool | None,
    ) -> None:
        age_s = self._config.age_s(exchange.began)
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
        )

    def _log_end(
        self,
        exchange: exchange_module.Exchange,
        took_s: float,
        goal_s: float,
    ) -> None:
        place = exchange.place
        behind_s = place.behind_s if place is not None else 0.0
        if place is not None and place.ahead:
            self._meter.behind.observe({}, behind_s)
        exchange.log.add(
            logger,
            "ended",
            outcome=exchange.outcome,
            status=exchange.status,
            took_s=round(took_s, 4),
            ahead=place.ahead if place is not None else 0,
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
            await carrier.Carrier(self._parts, exchange, route, pool).run()
            return
        held = await self._claims.claim(exchange)
        if isinstance(held, http.Refusal):
            await self.refuse(exchange, held)
            return
        carried = carrier.Carrier(self._parts, exchange, route, pool)
        try:
            await carried.run()
        finally:
            self._claims.settle(
                held, exchange.request_id, carried.fate, exchange.status
            )

    async def refuse(
        self, exchange: exchange_module.Exchange, refusal: http.Refusal
    ) -> None:
        """Answer with a refusal of ours."""
        names = self._callers.dialect
        if names.status_is_promise and refusal.status >= 500:
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
            held_s=round(trio.current_time() - exchange.began, 4),
            revision=exchange.snapshot.revision,
            detail=refusal.remedy,
        )
        answer = http.refusal_answer(refusal, names.retry_after, names.outcome)
        extra = tuple(exchange.answer_headers())
        answer = answer._replace(headers=answer.headers + extra)
        head = exchange.method == "HEAD"
        await http.send_answer(exchange.send, answer, head)


def _began(scope: http.Scope) -> float:
    """Return when a request's head was read: its caller waits since then."""
    place = exchange_module.place_of(scope)
    return place.read_at if place is not None else trio.current_time()


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
