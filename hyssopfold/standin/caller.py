"""Stand-in caller of the system, for the demo and for tests.

It looks entries up, sends requests, tries the next entry when one fails,
resends, and records the outcome of each request.
"""

from collections import Counter
from collections.abc import AsyncIterator
import enum
import time
from typing import NamedTuple
import uuid

import httpcore
import msgspec
import trio

from hyssopfold import errors

MAX_SENDS = 4
MAX_WAIT_S = 2.0
# Share of a retry-after time that the stand-in waits; a caller in a trial waits
# less than a real one.
RETRY_WAIT_SHARE = 0.05
_BODY_PART = b"\0" * 65_536
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class LookupResult(NamedTuple):
    """Best entry of a look-up; it may be cached for `ttl_s` seconds."""

    address: str
    region: str
    ttl_s: float
    revision: int


class Answer(NamedTuple):
    """An answer to one request and the seconds until it was complete."""

    status: int
    body: bytes
    headers: dict[str, str]
    seconds: float


class RequestOutcome(enum.Enum):
    """What a caller knows of its request after the last attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class OutcomeLedger:
    """Outcomes that callers saw, for comparison with the servers' ledgers.

    `outcomes` is by idempotency key; `crossed` lists the keys of requests that
    got the answer to another request; `cut` counts attempts without a whole
    answer by error, except those with `ConnectError`; `sends` counts all
    attempts.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, RequestOutcome] = {}
        self.crossed: list[str] = []
        self.cut: Counter[str] = Counter()
        self.sends = 0

    def find_violations(
        self, run_counts: Counter[str], run_once_keys: set[str]
    ) -> list[str]:
        """Return where the servers' ledgers contradict the callers' outcomes.

        Args:
            run_counts: How often each key ran, over all servers.
            run_once_keys: Keys of requests that may run at most once.

        Returns:
            A sentence for each contradiction; empty when there is none.
        """
        violations = [
            f"answer to {key} belongs to another request"
            for key in self.crossed
        ]
        for key, outcome in self.outcomes.items():
            count = run_counts[key]
            if key in run_once_keys and count > 1:
                violations.append(f"{key} ran {count} times")
            if outcome is RequestOutcome.NOT_RUN and count:
                violations.append(f"{key} ran, but its outcome is not-run")
            if outcome is RequestOutcome.ANSWERED and not count:
                violations.append(f"{key} never ran, but was answered")
        return violations


class Caller:
    """Looks up entries, sends requests and resends them, as a program would.

    Args:
        host: Host name of the requests.
        client: IP address of the client, for the look-up.
        ledger: Records the outcome of each request; made here when left out.
    """

    def __init__(
        self,
        host: str,
        client: str = "127.0.0.1",
        ledger: OutcomeLedger | None = None,
    ) -> None:
        self._host = host
        self._client = client
        self._pool = httpcore.AsyncConnectionPool()
        self._entry_addresses: list[str] = []
        self._entries_expire_at = -float("inf")
        self.ledger = ledger or OutcomeLedger()

    async def look_up(self, entry: str, path: str) -> LookupResult:
        """Return the best entry for `path`, by a look-up at `entry`.

        Raises:
            PeerUnavailableError: when the look-up returns no entry.
        """
        body = await self._look_up(entry, path)
        if not body["entries"]:
            raise errors.PeerUnavailableError(entry, "it names no entries")
        best = body["entries"][0]
        return LookupResult(
            best["address"], best["region"], body["ttl_s"], body["revision"]
        )

    async def _look_up(self, entry: str, path: str) -> dict:  # type: ignore[type-arg]
        url = (
            f"http://{entry}/hyssop/v1/lookup"
            f"?host={self._host}&path={path}&client={self._client}"
        )
        answer = await self._pool.request("GET", url)
        body: dict = msgspec.json.decode(answer.content)  # type: ignore[type-arg]
        return body

    async def _entries(self, seeds: list[str], path: str) -> list[str]:
        """Return the addresses of entries; look up again after the TTL."""
        if trio.current_time() < self._entries_expire_at:
            return self._entry_addresses
        for entry in [*self._entry_addresses, *seeds]:
            try:
                body = await self._look_up(entry, path)
            except _CONNECTION_ERRORS:
                continue
            if body["entries"]:
                self._entry_addresses = [
                    item["address"] for item in body["entries"]
                ]
                self._entries_expire_at = trio.current_time() + body["ttl_s"]
                break
        return self._entry_addresses

    async def send(
        self,
        entry: str,
        method: str,
        path: str,
        size: int = 0,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a request through `entry` and return the answer.

        Args:
            entry: IP address and port of the entry.
            method: HTTP method.
            path: Path and query.
            size: Bytes of body to send.
            extra_headers: Headers besides host and content-length.
        """
        headers = [("host", self._host), *extra_headers]
        if size:
            headers.append(("content-length", str(size)))
        start = time.perf_counter()
        answer = await self._pool.request(
            method,
            f"http://{entry}{path}",
            headers=headers,
            content=_body_parts(size) if size else None,
        )
        duration_s = time.perf_counter() - start
        headers_by_name = {
            key.decode().lower(): value.decode("latin-1")
            for key, value in answer.headers
        }
        return Answer(
            answer.status, answer.content, headers_by_name, duration_s
        )

    async def send_with_retries(
        self, seeds: list[str], method: str, path: str, size: int = 0
    ) -> RequestOutcome:
        """Send a request until it is answered, `MAX_SENDS` times at most.

        Each attempt goes to the next entry, with the same idempotency key. The
        outcome is recorded in the ledger.

        Args:
            seeds: Addresses of entries to ask for a look-up.
            method: HTTP method.
            path: Path of the request; the key is added as its query.
            size: Bytes of body to send.
        """
        key = uuid.uuid4().hex
        target = f"{path}?{key}"
        extra_headers = (("idempotency-key", key),)
        outcome = RequestOutcome.NOT_RUN
        for attempt in range(MAX_SENDS):
            entries = await self._entries(seeds, path)
            if not entries:
                await trio.sleep(0.05)
                continue
            entry = entries[attempt % len(entries)]
            self.ledger.sends += 1
            try:
                answer = await self.send(
                    entry, method, target, size, extra_headers
                )
            except httpcore.ConnectError:
                self._entries_expire_at = -float("inf")
                continue
            except _CONNECTION_ERRORS as exc:
                self.ledger.cut[type(exc).__name__] += 1
                outcome = RequestOutcome.UNKNOWN
                continue
            outcome = self._outcome_after(key, target, answer, outcome)
            if outcome is RequestOutcome.ANSWERED:
                break
            await trio.sleep(_wait_s(answer))
        self.ledger.outcomes[key] = outcome
        return outcome

    def _outcome_after(
        self, key: str, target: str, answer: Answer, previous: RequestOutcome
    ) -> RequestOutcome:
        """Return the request's outcome after an answer to one attempt.

        An attempt that did not run leaves the outcome of those before it.
        """
        if answer.status == 200:
            body = msgspec.json.decode(answer.body)
            if body["path"] != target:
                self.ledger.crossed.append(key)
            return RequestOutcome.ANSWERED
        if answer.headers.get("hyssop-outcome") == "not-run":
            return previous
        return RequestOutcome.UNKNOWN

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _wait_s(answer: Answer) -> float:
    retry_after_s = float(answer.headers.get("retry-after", "0"))
    return min(retry_after_s, MAX_WAIT_S) * RETRY_WAIT_SHARE


async def _body_parts(size: int) -> AsyncIterator[bytes]:
    while size > 0:
        part = _BODY_PART[:size]
        size -= len(part)
        yield part
