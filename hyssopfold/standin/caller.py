"""Stand-in caller: looks entries up, sends, fails over, resends, keeps books."""

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
# A caller in a trial has less patience than retry-after asks for.
WAIT_SHARE = 0.05
_PART = b"\0" * 65_536
_LOST = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class LookedUp(NamedTuple):
    """The entry that a look-up named best, and how long it may be cached."""

    address: str
    region: str
    ttl_s: float
    revision: int


class Outcome(NamedTuple):
    """What a request came to."""

    status: int
    body: bytes
    headers: dict[str, str]
    seconds: float


class Told(enum.Enum):
    """What a caller knows of its request in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Books:
    """What callers were told, to be held against the servers' ledgers.

    `told` is by key; `crossed` lists answers to other requests; `cut` counts
    answers that ended early.
    """

    def __init__(self) -> None:
        self.told: dict[str, Told] = {}
        self.crossed: list[str] = []
        self.cut: Counter[str] = Counter()
        self.sends = 0

    def faults(self, ran: Counter[str], once: set[str]) -> list[str]:
        """Return what the ledgers say against the books.

        Args:
            ran: How often each key ran, over all servers.
            once: Keys that may run at most once.
        """
        found = [f"answer of {key} was another's" for key in self.crossed]
        for key, told in self.told.items():
            times = ran[key]
            if key in once and times > 1:
                found.append(f"{key} ran {times} times")
            if told is Told.NOT_RUN and times:
                found.append(f"{key} ran, told not-run")
            if told is Told.ANSWERED and not times:
                found.append(f"{key} never ran, told answered")
        return found


class Caller:
    """Call as a user's program would.

    Args:
        host: Host to ask for.
        client: Address of the client, for the look-up.
        books: Where to note what was told.
    """

    def __init__(
        self,
        host: str,
        client: str = "127.0.0.1",
        books: Books | None = None,
    ) -> None:
        self._host = host
        self._client = client
        self._pool = httpcore.AsyncConnectionPool()
        self._known: list[str] = []
        self._known_until = -float("inf")
        self.books = books or Books()

    async def look_up(self, entry: str, path: str) -> LookedUp:
        """Return the best entry for `path`, asking any entry."""
        found = await self._look_up(entry, path)
        if not found["entries"]:
            raise errors.PeerUnavailableError(entry, "it names no entries")
        best = found["entries"][0]
        return LookedUp(
            best["address"], best["region"], found["ttl_s"], found["revision"]
        )

    async def _look_up(self, entry: str, path: str) -> dict:  # type: ignore[type-arg]
        url = (
            f"http://{entry}/hyssop/v1/lookup"
            f"?host={self._host}&path={path}&client={self._client}"
        )
        answer = await self._pool.request("GET", url)
        found: dict = msgspec.json.decode(answer.content)  # type: ignore[type-arg]
        return found

    async def _entries(self, seeds: list[str], path: str) -> list[str]:
        """Return the entries to use, from a look-up no older than its ttl."""
        if trio.current_time() < self._known_until:
            return self._known
        for entry in [*self._known, *seeds]:
            try:
                found = await self._look_up(entry, path)
            except _LOST:
                continue
            if found["entries"]:
                self._known = [one["address"] for one in found["entries"]]
                self._known_until = trio.current_time() + found["ttl_s"]
                break
        return self._known

    async def send(
        self,
        entry: str,
        method: str,
        path: str,
        size: int = 0,
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Outcome:
        """Send a request with `size` bytes of body through `entry`."""
        headers = [("host", self._host), *extra]
        if size:
            headers.append(("content-length", str(size)))
        began = time.perf_counter()
        answer = await self._pool.request(
            method,
            f"http://{entry}{path}",
            headers=headers,
            content=_parts(size) if size else None,
        )
        took = time.perf_counter() - began
        named = {
            key.decode().lower(): value.decode("latin-1")
            for key, value in answer.headers
        }
        return Outcome(answer.status, answer.content, named, took)

    async def ask(
        self, seeds: list[str], method: str, path: str, size: int = 0
    ) -> Told:
        """Send a request until its fate is known, as a careful program does.

        The next entry is tried when one can't be reached, the same key goes
        with each resend, and the books get what is known in the end.
        """
        key = uuid.uuid4().hex
        target = f"{path}?{key}"
        extra = (("idempotency-key", key),)
        told = Told.NOT_RUN
        for number in range(MAX_SENDS):
            entries = await self._entries(seeds, path)
            if not entries:
                await trio.sleep(0.05)
                continue
            entry = entries[number % len(entries)]
            self.books.sends += 1
            try:
                outcome = await self.send(entry, method, target, size, extra)
            except httpcore.ConnectError:
                self._known_until = -float("inf")
                continue
            except _LOST as exc:
                self.books.cut[type(exc).__name__] += 1
                told = Told.UNKNOWN
                continue
            told = self._judge(key, target, outcome, told)
            if told is Told.ANSWERED:
                break
            await trio.sleep(_wait_s(outcome))
        self.books.told[key] = told
        return told

    def _judge(
        self, key: str, target: str, outcome: Outcome, before: Told
    ) -> Told:
        if outcome.status == 200:
            body = msgspec.json.decode(outcome.body)
            if body["path"] != target:
                self.books.crossed.append(key)
            return Told.ANSWERED
        if outcome.headers.get("hyssop-outcome") == "not-run":
            return before
        return Told.UNKNOWN

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _wait_s(outcome: Outcome) -> float:
    given = float(outcome.headers.get("retry-after", "0"))
    return min(given, MAX_WAIT_S) * WAIT_SHARE


async def _parts(size: int) -> AsyncIterator[bytes]:
    while size > 0:
        part = _PART[:size]
        size -= len(part)
        yield part
