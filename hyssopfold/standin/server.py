"""Stand-in backend server with slots, service times, faults and a ledger.

The ledger records each run of a request.
"""

from collections import Counter
from collections.abc import Callable
import logging
import random
import time
from typing import NamedTuple

import httpcore
import msgspec
import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold.core.membership import messages
from hyssopfold.standin import wire

logger = logging.getLogger(__name__)

ANNOUNCE_PERIOD_S = 1.0
FAULT_HEADER = b"standin-fault"
ANSWER_BYTES_HEADER = b"standin-answer-bytes"
LATE_FACTOR = 20.0
_NOT_RUN = (b"hyssop-outcome", b"not-run")
# Exit status of a stand-in that crashed under a request.
CRASHED_STATUS = 70


class Options(NamedTuple):
    """Behaviour of a stand-in server; times are in seconds.

    Service times are exponentially distributed with mean `service_s` if
    `exponential`. They are `cold_factor` times as long at first and decrease to
    their normal length over `warm_requests` requests. `faults` gives the share
    of requests that get each fault of `wire.FAULTS`; a request can choose a
    fault by the header `standin-fault`. An unused connection is closed after
    `idle_s`. `ledger` names a file to which a line of JSON is appended for each
    run as it begins, so that the ledger of a killed server is complete.
    `rate_limit` is the number of requests a second that the server names in its
    answers as its limit.
    """

    server_id: str
    pool: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    service_s: float
    announce_to: tuple[str, ...]
    exponential: bool = False
    cold_factor: float = 1.0
    warm_requests: int = 0
    faults: tuple[tuple[str, float], ...] = ()
    idle_s: float = float("inf")
    seed: int = 0
    ledger: str = ""
    rate_limit: float | None = None


def _no_crash() -> None:
    """Do nothing: the server is not serving yet."""


# A server gets the name of the caller's organisation and never its key.
ORGANISATION_HEADER = b"hyssop-organisation"
CREDENTIAL_HEADER = b"hyssop-key"
RATE_LIMIT_HEADER = b"hyssop-rate-limit"
LEAVING_HEADER = b"hyssop-leaving"


class Server:
    """Answers requests as a backend server does, with the configured faults.

    `ledger` counts runs by request ID, `keys` by idempotency key; `post_keys`
    are the keys of requests that may run only once. `refused` counts requests
    that were answered as not run, `cancelled` those whose caller disconnected
    during the run, both by request ID. `received_at` has the monotonic time of
    each request. `rate_limit` is named in all answers unless it is None. With
    `rest_s` the server turns all requests away and asks for so many seconds
    without requests; with `is_leaving` it says in its answers that it leaves.

    Args:
        options: Address, pool, location and behaviour.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state: messages.State = "ready"
        # Monotonic time at which the announcement that it leaves was accepted.
        self._left_at: float | None = None
        self._running = 0
        self._served = 0
        self._rng = random.Random(options.seed)
        self.ledger: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()
        self.post_keys: set[str] = set()
        self.refused: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.received_at: list[float] = []
        self.rate_limit = options.rate_limit
        self.rest_s: float | None = None
        self.is_leaving = False
        # Monotonic time of the first answer that said so.
        self.first_leaving_answer_at: float | None = None
        self.max_running = 0
        self.open_connections: set[wire.Connection] = set()
        self.has_crashed = False
        # Ends `serve` at once; set while it runs.
        self._crash: Callable[[], None] = _no_crash
        self.last_headers: dict[bytes, bytes] = {}

    async def serve(self, stop: trio.Event, grace_s: float = 0.0) -> None:
        """Serve until `stop` is set, then finish requests in flight.

        Args:
            stop: Ends the accepting of connections.
            grace_s: Longest time in seconds to wait for requests in flight.
        """
        listeners = await http.listen(self._options.address)
        async with trio.open_nursery() as nursery:
            self._crash = nursery.cancel_scope.cancel
            async with trio.open_nursery() as accepting:

                async def accept() -> None:
                    await trio.serve_listeners(
                        self._serve_stream, listeners, handler_nursery=nursery
                    )

                accepting.start_soon(accept)
                await stop.wait()
                accepting.cancel_scope.cancel()
            with trio.move_on_after(grace_s):
                while self._running:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        conn = wire.Connection(stream, self._options.idle_s)
        self.open_connections.add(conn)
        try:
            while await self._serve_request(conn):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except wire.PeerGoneError:
            pass
        finally:
            self.open_connections.discard(conn)
            await conn.aclose()

    async def _serve_request(self, conn: wire.Connection) -> bool:
        """Serve a request; return whether another may follow."""
        req = await conn.next_request()
        if req is None:
            return False
        if req.path == "/standin/ledger":
            await conn.read_body()
            ledger = {
                "ran": dict(self.ledger),
                "keys": dict(self.keys),
                "refused": dict(self.refused),
                "cancelled": dict(self.cancelled),
            }
            return await conn.answer(200, msgspec.json.encode(ledger), ())
        self.received_at.append(trio.current_time())
        fault = self._fault(req)
        echo = (b"hyssop-request-id", req.request_id.encode())
        is_full = self._running >= self._options.slots
        if self.rest_s is not None or (is_full and not fault):
            fault = "shed"
        if fault in wire.BEFORE_RUN:
            return await self._answer_without_run(conn, req, fault, echo)
        self.last_headers = req.headers
        if fault == "hold":
            await trio.sleep_forever()
        size = await conn.read_body()
        await self._run(conn, req, fault)
        if fault == "crash":
            self.has_crashed = True
            self._crash()
            await trio.sleep_forever()
        body = {
            "server": self._options.server_id,
            "method": req.method,
            "path": req.path,
            "received_bytes": size,
        }
        encoded = msgspec.json.encode(body)
        answer_bytes = int(req.headers.get(ANSWER_BYTES_HEADER, b"0"))
        if answer_bytes:
            return await conn.answer_chunked(answer_bytes, echo)
        if fault:
            return await wire.send_faulty_answer(conn, fault, encoded, echo)
        return await conn.answer(200, encoded, (echo, *self._state_headers()))

    def _state_headers(self) -> tuple[wire.Header, ...]:
        headers: tuple[wire.Header, ...] = ()
        if self.rate_limit is not None:
            limit = f"{self.rate_limit:g}".encode()
            headers = ((RATE_LIMIT_HEADER, limit),)
        if self.is_leaving:
            if self.first_leaving_answer_at is None:
                self.first_leaving_answer_at = trio.current_time()
            headers = (*headers, (LEAVING_HEADER, b"1"))
        return headers

    def _fault(self, req: wire.Request) -> str:
        value = req.headers.get(FAULT_HEADER, b"").decode("latin-1")
        name, _, server_id = value.partition("@")
        if name and server_id in ("", self._options.server_id):
            return name
        draw = self._rng.random()
        for name, share in self._options.faults:
            if draw < share:
                return name
            draw -= share
        return ""

    async def _answer_without_run(
        self,
        conn: wire.Connection,
        req: wire.Request,
        fault: str,
        echo: wire.Header,
    ) -> bool:
        if fault == "shed":
            await conn.read_body()
            self.refused[req.request_id] += 1
            headers = (echo, _NOT_RUN, *self._state_headers())
            if self.rest_s is not None:
                rest = f"{self.rest_s:g}".encode()
                headers = (*headers, (b"retry-after", rest))
            return await conn.answer(503, b"", headers)
        return await wire.send_faulty_refusal(conn, fault, echo)

    async def _run(
        self, conn: wire.Connection, req: wire.Request, fault: str
    ) -> None:
        self._write_to_ledger(req)
        self.ledger[req.request_id] += 1
        if req.key:
            self.keys[req.key] += 1
            if req.method == "POST":
                self.post_keys.add(req.key)
        self._running += 1
        self.max_running = max(self.max_running, self._running)
        try:
            await conn.sleep_while_connected(self._service_s(fault))
        except wire.PeerGoneError:
            self.cancelled[req.request_id] += 1
            raise
        finally:
            self._running -= 1
            self._served += 1

    def _write_to_ledger(self, req: wire.Request) -> None:
        if not self._options.ledger:
            return
        organisation = req.headers.get(ORGANISATION_HEADER, b"")
        line = {
            "id": req.request_id,
            "key": req.key,
            "path": req.path,
            "organisation": organisation.decode("latin-1"),
            "got_credential": CREDENTIAL_HEADER in req.headers,
            "utc_s": time.time(),
            "left_s": self._left_s(),
        }
        with open(self._options.ledger, "ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")

    def _service_s(self, fault: str) -> float:
        options = self._options
        mean = options.service_s
        if options.exponential and mean:
            mean = self._rng.expovariate(1 / mean)
        if self._served < options.warm_requests:
            cold_share = 1 - self._served / options.warm_requests
            mean *= 1 + (options.cold_factor - 1) * cold_share
        if fault == "silent":
            return float("inf")
        return mean * LATE_FACTOR if fault == "late" else mean

    def _left_s(self) -> float | None:
        """Return the seconds since its leave was accepted, None before."""
        if self._left_at is None:
            return None
        return trio.current_time() - self._left_at

    def leave(self) -> None:
        """Announce `leaving` from now on."""
        self._state = "leaving"

    async def announce(self) -> None:
        """Announce this server to the system once a second."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                self._sequence += 1
                for address in self._options.announce_to:
                    if await self._announce_to(pool, address):
                        break
                await trio.sleep(ANNOUNCE_PERIOD_S)

    async def _announce_to(
        self, pool: httpcore.AsyncConnectionPool, address: str
    ) -> bool:
        options = self._options
        url = f"http://{address}/hyssop/v1/servers/{options.server_id}"
        body = {
            "pool": options.pool,
            "address": options.address,
            "region": options.region,
            "failure_domain": options.failure_domain,
            "slots": options.slots,
            "connections": options.connections,
            "state": self._state,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "load": float(self._running),
        }
        timeout = {"connect": 0.5, "read": 0.5, "write": 0.5, "pool": 0.5}
        try:
            answer = await pool.request(
                "PUT",
                url,
                content=msgspec.json.encode(body),
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException,
                httpcore.ProtocolError) as exc:  # fmt: skip
            logger.warning(
                logs.Event("announce-failed", to=address, error=repr(exc))
            )
            return False
        accepted: bool = answer.status == 200
        if accepted and body["state"] == "leaving" and self._left_at is None:
            self._left_at = trio.current_time()
        return accepted
