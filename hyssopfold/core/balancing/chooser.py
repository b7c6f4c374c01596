"""Which backend server serves a request."""

from collections import Counter
from collections.abc import Collection
import random
from typing import NamedTuple

from hyssopfold import tables
from hyssopfold.core.membership import messages


class Choice(NamedTuple):
    """A chosen server and the requests it had under way from here."""

    server: messages.Server
    in_flight: int


class Chooser:
    """Choose the less loaded of two servers.

    Args:
        rng: Source of the two candidates.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: Counter[str] = Counter()

    def choose(
        self,
        pool: tables.Pool,
        servers: Collection[messages.Server],
        avoid: Collection[str],
    ) -> Choice | None:
        """Return a server with a free slot, or None when there is none.

        Args:
            pool: The pool's row, for its drains.
            servers: Servers that are ready.
            avoid: Servers already tried for this request.
        """
        free = [
            server
            for server in servers
            if server.server_id not in avoid
            and not is_drained(pool, server)
            and self._in_flight[server.server_id] < server.slots
        ]
        if not free:
            return None
        picked = self._rng.sample(free, min(2, len(free)))
        server = min(picked, key=self._load)
        return Choice(server, self._in_flight[server.server_id])

    def begin(self, server_id: str) -> None:
        """Count a request that goes to a server."""
        self._in_flight[server_id] += 1

    def end(self, server_id: str) -> None:
        """Count a request that is done."""
        self._in_flight[server_id] -= 1
        if not self._in_flight[server_id]:
            del self._in_flight[server_id]

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return dict(self._in_flight)

    def _load(self, server: messages.Server) -> float:
        mine = self._in_flight[server.server_id]
        return max(server.load, mine) / server.slots


def is_drained(pool: tables.Pool, server: messages.Server) -> bool:
    """Return whether the tables ask for this server to be emptied.

    Drains of regions and failure domains are shifts, see
    `hyssopfold.core.steering`: they reach a request by its `Region`s.
    """
    return server.server_id in pool.drains.servers
