"""Slots that an entry chooses by itself, from what it knows of the servers."""

from collections.abc import Iterable

import trio

from hyssopfold import tables
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import directory

_TIDY_S = 5.0


class LocalPlacement:
    """Choose servers without asking another entry.

    Args:
        chooser: Decisions of this entry.
        known: Directory of the servers and entries.
    """

    def __init__(
        self, chooser: local.Chooser, known: directory.Directory
    ) -> None:
        self._chooser = chooser
        self._directory = known
        self._warm_up_s: dict[str, float] = {}

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a server, or why there is none; at once."""
        now = trio.current_time()
        known = self._directory
        servers = known.ready_servers(pool.name)
        view = local.View(
            servers,
            {
                one.server_id
                for one in servers
                if known.is_cold(one.server_id, now)
            },
            pool.cold_rate,
            pool.warm_up_s,
            [one.name for one in known.ready_entries()],
            now,
        )
        return self._chooser.choose(req, view)

    def release(self, grant: messages.Grant, done: messages.Done) -> None:
        """Take in how an attempt ended."""
        warm_up_s = self._warm_up_s.get(grant.server.pool, 0.0)
        now = trio.current_time()
        self._chooser.done(grant.server.server_id, done, warm_up_s, now)

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._chooser.in_flight()

    def set_pools(self, pools: Iterable[tables.Pool]) -> None:
        """Put other rows of pools in force."""
        self._warm_up_s = {pool.name: pool.warm_up_s for pool in pools}

    def leave(self) -> None:
        """Do nothing: no other entry relies on this one."""

    async def run(self) -> None:
        """Forget servers that are gone, for as long as the entry runs."""
        while True:
            await trio.sleep(_TIDY_S)
            words = self._directory.servers.words()
            self._chooser.forget({one.server_id for one in words})
