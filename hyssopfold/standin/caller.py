"""Stand-in caller: looks an entry up, then sends it requests."""

from collections.abc import AsyncIterator
import time
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import errors

_PART = b"\0" * 65_536


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


class Caller:
    """Call as a user's program would.

    Args:
        host: Host to ask for.
        client: Address of the client, for the look-up.
    """

    def __init__(self, host: str, client: str = "127.0.0.1") -> None:
        self._host = host
        self._client = client
        self._pool = httpcore.AsyncConnectionPool()

    async def look_up(self, entry: str, path: str) -> LookedUp:
        """Return the best entry for `path`, asking any entry."""
        url = (
            f"http://{entry}/hyssop/v1/lookup"
            f"?host={self._host}&path={path}&client={self._client}"
        )
        answer = await self._pool.request("GET", url)
        found = msgspec.json.decode(answer.content)
        if not found["entries"]:
            raise errors.PeerUnavailableError(entry, "it names no entries")
        best = found["entries"][0]
        return LookedUp(
            best["address"], best["region"], found["ttl_s"], found["revision"]
        )

    async def send(
        self, entry: str, method: str, path: str, size: int = 0
    ) -> Outcome:
        """Send a request with `size` bytes of body through `entry`."""
        headers: dict[bytes | str, bytes | str] = {"host": self._host}
        if size:
            headers["content-length"] = str(size)
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

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _parts(size: int) -> AsyncIterator[bytes]:
    while size > 0:
        part = _PART[:size]
        size -= len(part)
        yield part
