"""ASGI application of an entry: look-ups, announcements, probes, requests."""

from collections.abc import Callable
import math

import trio

from hyssopfold import access
from hyssopfold import announcements
from hyssopfold import http
from hyssopfold import log_output
from hyssopfold import metrics
from hyssopfold.entry import attempt_dependencies
from hyssopfold.entry import configuration
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy
from hyssopfold.entry import status as entry_status
from hyssopfold.transport import gossip

_API_PREFIX = "/hyssop/"
MAX_AGE_READY_S = 60.0


class App:
    """Dispatches the HTTP requests that an entry receives.

    Requests under `/hyssop/` and `/metrics` are served here, all others are
    requests of callers and go to the data path.

    Args:
        lookup_handler: Answers look-ups.
        status: Answers status requests of operators.
        config: Source of the tables in force.
        gossip_service: Keeps the directory and distributes announcements.
        data_path: Serves the requests of callers.
        placement: Counts the running requests, for the metrics.
        meter: Metrics of this process.
        announcement_guard: Authenticates announcements of backend servers.
        log_handler: Handler of the log, whose dropped lines are measured.
    """

    def __init__(
        self,
        lookup_handler: lookups.Lookups,
        status: entry_status.Status,
        config: configuration.Configuration,
        gossip_service: gossip.Gossip,
        data_path: proxy.Proxy,
        placement: attempt_dependencies.Placement,
        meter: metrics.Metrics,
        announcement_guard: access.Guard,
        log_handler: log_output.BoundedHandler,
    ) -> None:
        self._log_handler = log_handler
        self._announcement_guard = announcement_guard
        self._pages: dict[str, Callable[[http.Scope], http.Answer]] = {
            "/hyssop/v1/lookup": lookup_handler.answer,
            "/hyssop/v1/status": lambda _: status.answer(),
            "/hyssop/v1/healthz": lambda _: http.json_answer({"status": "ok"}),
            "/hyssop/v1/readyz": lambda _: self._readiness(),
            "/metrics": lambda _: self._render_metrics(),
        }
        self._config = config
        self._gossip = gossip_service
        self._data_path = data_path
        self._placement = placement
        self._meter = meter

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serve one request; an ASGI application."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        path = http.path_as_sent(scope)
        if not path.startswith(_API_PREFIX) and path != "/metrics":
            await self._data_path.serve(scope, receive, send)
            return
        answer = await self._answer(scope, receive)
        await http.send_answer(send, answer, scope["method"] == "HEAD")

    async def _answer(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        method, path = scope["method"], scope["path"]
        if method == "PUT" and path.startswith(announcements.PATH):
            return await announcements.answer(
                self._gossip, scope, receive, self._announcement_guard
            )
        if method == "GET" and path in self._pages:
            return self._pages[path](scope)
        return http.json_answer(
            {"error": "not-found", "remedy": "see docs/operators"}, 404
        )

    def _readiness(self) -> http.Answer:
        age_s = self._config.age_s(trio.current_time())
        revision = self._config.snapshot.revision
        body = {
            "revision": revision,
            "age_s": None if math.isinf(age_s) else round(age_s, 3),
            "state": self._gossip.myself.state,
        }
        is_ready = revision > 0 and self._gossip.myself.state == "ready"
        return http.json_answer(body, 200 if is_ready else 503)

    def _render_metrics(self) -> http.Answer:
        self._update_metrics()
        return self._meter.render()

    def _update_metrics(self) -> None:
        now = trio.current_time()
        meter, directory = self._meter, self._gossip.directory
        meter.revision.set({}, self._config.snapshot.revision)
        meter.revision_age.set({}, self._config.age_s(now))
        left_out = (
            self._log_handler.left_out + self._data_path.log_lines_left_out
        )
        meter.log_lines_left_out.set({}, left_out)
        meter.set_gossip(self._gossip.sent_bytes)
        poll_server = self._config.publisher
        meter.set_poll_answers(poll_server.answers, poll_server.answered_bytes)
        in_flight = self._placement.in_flight()
        for pool in self._config.snapshot.tables.pools:
            ready_servers = directory.ready_servers(pool.name)
            labels = {"pool": pool.name}
            meter.slots.set(
                labels, sum(server.slots for server in ready_servers)
            )
            cold_servers = sum(
                directory.is_cold(ready_server.server_id, now)
                for ready_server in ready_servers
            )
            meter.cold_servers.set(labels, cold_servers)
            in_flight_requests = sum(
                in_flight.get(backend.server_id, 0) for backend in ready_servers
            )
            meter.in_flight.set(labels, in_flight_requests)
            retries_left = self._data_path.retry_budget(pool.name).left
            meter.retries_left.set(labels, retries_left)
        for server in directory.servers.records():
            age_s = directory.servers.age_s(server.server_id, now)
            meter.lease_age.set({"member": server.server_id}, age_s)
