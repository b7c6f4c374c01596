"""The HTTP face of an entry: look-ups, announcements, probes, requests."""

import math
import urllib.parse

import trio

from hyssopfold import access
from hyssopfold import announcements
from hyssopfold import http
from hyssopfold import metrics
from hyssopfold.core.steering import lookup
from hyssopfold.entry import configuration
from hyssopfold.entry import placement
from hyssopfold.entry import proxy
from hyssopfold.transport import gossip

_OURS = "/hyssop/"
MAX_AGE_READY_S = 60.0


class App:
    """Dispatch what comes to an entry.

    Args:
        delays_ms: One-way delay from this region to each other.
        lookup_ttl_s: Seconds that callers may cache a look-up.
        config: Source of the tables in force.
        spread: Directory and spreading of announcements.
        forward: Way of callers' requests.
        place: Counts of requests under way, for the metrics.
        meter: Metrics of this process.
        announcers: Lets backend servers through.
    """

    def __init__(
        self,
        delays_ms: dict[str, float],
        lookup_ttl_s: float,
        config: configuration.Configuration,
        spread: gossip.Gossip,
        forward: proxy.Proxy,
        place: placement.Placement,
        meter: metrics.Metrics,
        announcers: access.Guard,
    ) -> None:
        self._announcers = announcers
        self._delays_ms = delays_ms
        self._lookup_ttl_s = lookup_ttl_s
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
        match (method, path):
            case ("GET", "/hyssop/v1/lookup"):
                return self._look_up(scope)
            case ("GET", "/hyssop/v1/healthz"):
                return http.json_answer({"status": "ok"})
            case ("GET", "/hyssop/v1/readyz"):
                return self._ready()
            case ("GET", "/metrics"):
                self._measure()
                return self._meter.render()
        return http.json_answer(
            {"error": "not-found", "remedy": "see docs/operators"}, 404
        )

    def _look_up(self, scope: http.Scope) -> http.Answer:
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        client = query.get("client", [""])[0]
        entries = lookup.rank_entries(
            self._spread.directory.ready_entries(),
            self._spread.myself.region,
            self._delays_ms,
            client,
        )
        named = [
            {
                "address": entry.address,
                "region": entry.region,
                "failure_domain": entry.failure_domain,
            }
            for entry in entries
        ]
        body = {
            "revision": self._config.snapshot.revision,
            "ttl_s": self._lookup_ttl_s,
            "entries": named,
        }
        return http.json_answer(body)

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

    def _measure(self) -> None:
        now = trio.current_time()
        meter, held = self._meter, self._spread.directory
        meter.revision.set({}, self._config.snapshot.revision)
        meter.revision_age.set({}, self._config.age_s(now))
        in_flight = self._placement.in_flight()
        for pool in self._config.snapshot.tables.pools:
            ready = held.ready_servers(pool.name)
            labels = {"pool": pool.name}
            meter.slots.set(labels, sum(server.slots for server in ready))
            busy = sum(in_flight.get(s.server_id, 0) for s in ready)
            meter.in_flight.set(labels, busy)
        for server in held.servers.words():
            age = held.servers.age_s(server.server_id, now)
            meter.lease_age.set({"member": server.server_id}, age)
