"""Stand-in backend server: slots, service times and a ledger of what ran."""

from collections import Counter
import logging
import time
from typing import NamedTuple

import httpcore
import msgspec
import trio

from hyssopfold import http
from hyssopfold import logs
from hyssopfold.core.membership import messages

logger = logging.getLogger(__name__)

ANNOUNCE_PERIOD_S = 1.0


class Options(NamedTuple):
    """How a stand-in behaves; times are in seconds."""

    server_id: str
    pool: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    service_s: float
    announce_to: tuple[str, ...]


class Server:
    """Answer requests as a backend server would.

    Args:
        options: Its place and behaviour.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state: messages.State = "ready"
        self._running = 0
        self.ledger: Counter[str] = Counter()

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await http.accept_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if scope["path"] == "/standin/ledger":
            answer = http.json_answer(dict(self.ledger))
        else:
            answer = await self._work(scope, receive)
        await http.send_answer(send, answer, scope["method"] == "HEAD")

    async def _work(
        self, scope: http.Scope, receive: http.Receive
    ) -> http.Answer:
        headers = dict(scope["headers"])
        request_id = headers.get(b"hyssop-request-id", b"")
        echo = (b"hyssop-request-id", request_id)
        if self._running >= self._options.slots:
            not_run = (b"hyssop-outcome", b"not-run")
            return http.Answer(503, b"", headers=(echo, not_run))
        self._running += 1
        try:
            size = await _drain(receive)
            if size is None:
                return http.Answer(400, b"cut request", headers=(echo,))
            await trio.sleep(self._options.service_s)
            self.ledger[request_id.decode("latin-1")] += 1
        finally:
            self._running -= 1
        body = {
            "server": self._options.server_id,
            "method": scope["method"],
            "path": scope["path"],
            "received_bytes": size,
        }
        return http.json_answer(body)._replace(headers=(echo,))

    def leave(self) -> None:
        """Announce `leaving` from now on."""
        self._state = "leaving"

    async def announce(self) -> None:
        """Tell the system each second that this server is there."""
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
        return answer.status == 200


async def _drain(receive: http.Receive) -> int | None:
    """Read a body away; return its size, or None when it was cut."""
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        size += len(message.get("body", b""))
        if not message.get("more_body", False):
            return size
