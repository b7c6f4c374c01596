"""The HTTP face of an entry: look-ups, announcements, probes, requests."""

from collections.abc import Callable
import math

import trio

from hyssopfold import access
from hyssopfold import announcements
from hyssopfold import http
from hyssopfold import log_output
from hyssopfold import metrics
from hyssopfold.entry import carrier_parts
from hyssopfold.entry import configuration
from hyssopfold.entry import lookups
from hyssopfold.entry import proxy
from hyssopfold.entry import status as entry_status
from hyssopfold.transport import gossip

_OURS = "/hyssop/"
MAX_AGE_READY_S = 60.0


class App:
    """Dispatch what comes to an entry.

    Args:
        look_up: Answers to look-ups.
        status: What operators are told.
        config: Source of the tables in force.
        spread: Directory and spreading of announcements.
        forward: Way of callers' requests.
        place: Counts of requests under way, for the metrics.
        meter: Metrics of this process.
        announcers: Lets backend servers through.
        output: Where the log goes.
    """

    def __init__(
        self,
        look_up: lookups.Lookups,
        status: entry_status.Status,
        config: configuration.Configuration,
        spread: gossip.Gossip,
        forward: proxy.Proxy,
        place: carrier_parts.Placement,
        meter: metrics.Metrics,
        announcers: access.Guard,
        output: log_output.BoundedHandler,
    ) -> None:
        self._output = output
        self._announcers = announcers
        self._pages: dict[str, Callable[[http.Scope], http.Answer]] = {
            "/hyssop/v1/lookup": look_up.answer,
            "/hyssop/v1/status": lambda _: status.answer(),
            "/hyssop/v1/healthz": lambda _: http.json_answer({"status": "ok"}),
            "/hyssop/v1/readyz": lambda _: self._ready(),
            "/metrics": lambda _: self._measured(),
        }
        self._config = config
        self._spread = spread
        self._proxy = forward
        self._placement = place
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
        path = scope["path"]
        if not path.startswith(_OURS) and path != "/metrics":
            await self._proxy.serve(scope, receive, send)
            return
        answer = await self._answer(scope, receive)
        await http.send_answer(send, answer, scope["method"] == "HEAD")

    async def _answer(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        method, path = scope["method"], scope["path"]
        if method == "PUT" and path.startswith(announcements.PATH):
            return await announcements.answer(
                self._spread, scope, receive, self._announcers
            )
        if method == "GET" and path in self._pages:
            return self._pages[path](scope)
        return http.json_answer(
            {"error": "not-found", "remedy": "see docs/operators"}, 404
        )

    def _ready(self) -> http.Answer:
        age = self._config.age_s(trio.current_time())
        revision = self._config.snapshot.revision
        body = {
            "revision": revision,
            "age_s": None if math.isinf(age) else round(age, 3),
            "state": self._spread.myself.state,
        }
        ready = revision > 0 and self._spread.myself.state == "ready"
        return http.json_answer(body, 200 if ready else 503)

    def _measured(self) -> http.Answer:
        self._measure()
        return self._meter.render()

    def _measure(self) -> None:
        now = trio.current_time()
        meter, held = self._meter, self._spread.directory
        meter.revision.set({}, self._config.snapshot.revision)
        meter.revision_age.set({}, self._config.age_s(now))
        left_out = self._output.left_out + self._proxy.log_lines_left_out
        meter.log_lines_left_out.set({}, left_out)
        meter.set_gossip(self._spread.sent_bytes)
        in_flight = self._placement.in_flight()
        for pool in self._config.snapshot.tables.pools:
            ready = held.ready_servers(pool.name)
            labels = {"pool": pool.name}
            meter.slots.set(labels, sum(server.slots for server in ready))
            cold = sum(held.is_cold(one.server_id, now) for one in ready)
            meter.cold_servers.set(labels, cold)
            busy = sum(in_flight.get(s.server_id, 0) for s in ready)
            meter.in_flight.set(labels, busy)
            left = self._proxy.budget_of(pool.name).left
            meter.retries_left.set(labels, left)
        for server in held.servers.records():
            age = held.servers.age_s(server.server_id, now)
            meter.lease_age.set({"member": server.server_id}, age)
