"""Slots that an entry chooses by itself, from what it knows of the servers."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import logging
import random

import trio

from hyssopfold import logs
from hyssopfold import tables
from hyssopfold.core.balancing import load_reports
from hyssopfold.core.balancing import local
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import reopened
from hyssopfold.core.balancing import silence_reports
from hyssopfold.core.membership import messages as membership
from hyssopfold.transport import datagram_wire
from hyssopfold.transport import gossip

logger = logging.getLogger(__name__)

_TIDY_S = 5.0
# How often the entries of a region tell each other of servers that are silent.
TELL_S = 0.5
# Entries that are told each time, drawn anew: bounds what a large region costs.
MAX_TOLD = 24
# How long loads of busy servers are gathered before they are told, and to how
# many entries of the failure domain on each side of this one.
BUSY_BATCH_S = 0.1
TOLD_EACH_SIDE = 4
# Servers named in one datagram, of 5 bytes each; a region has no more at once.
MAX_NAMED = 200


class LocalPlacement:
    """Choose servers without asking another entry.

    Args:
        chooser: Decisions of this entry.
        spread: Knows the servers and entries, and carries what is told to these.
        rng: Draws the entries that are told.
        evacuated: Returns the failure domains that are evacuated now.
    """

    def __init__(
        self,
        chooser: local.Chooser,
        spread: gossip.Gossip,
        rng: random.Random,
        evacuated: Callable[[], Collection[str]],
    ) -> None:
        self._chooser = chooser
        self._spread = spread
        self._directory = spread.directory
        self._rng = rng
        self._evacuated = evacuated
        self._reopened = reopened.ReopenedDomains(spread.directory)
        self._warm_up_s: dict[str, float] = {}
        # Names of the entries that serve callers, made once a change.
        self._entries: tuple[membership.Instance, ...] = ()
        self._names: tuple[str, ...] = ()
        self._neighbours: tuple[str, ...] = ()
        self._is_busy = trio.Event()

    async def acquire(
        self, req: messages.Request, pool: tables.Pool
    ) -> messages.Grant | messages.Refused:
        """Return a server, or why there is none; at once."""
        now = trio.current_time()
        self._note_reopened(now)
        view = local.View(
            self._directory.ready_servers(pool.name),
            lambda server_id: self._reopened.is_cold(
                server_id, pool.warm_up_s, now
            ),
            pool.cold_rate,
            pool.warm_up_s,
            self._entry_names(),
            now,
        )
        return self._chooser.choose(req, view)

    def _note_reopened(self, now: float) -> None:
        """Notice a change before the first request that it concerns is placed."""
        for domain in self._reopened.update(self._evacuated(), now):
            logger.info(logs.Event("domain-reopened", domain=domain))

    def _entry_names(self) -> tuple[str, ...]:
        entries = self._directory.ready_entries()
        if entries is not self._entries:
            self._entries = entries
            self._names = tuple(one.name for one in entries)
            self._neighbours = self._find_neighbours()
        return self._names

    def _find_neighbours(self) -> tuple[str, ...]:
        me = self._spread.myself
        near = [
            one.name
            for one in self._entries
            if one.region == me.region
            and one.failure_domain == me.failure_domain
        ]
        return load_reports.neighbours(me.name, near, TOLD_EACH_SIDE)

    def release(
        self, grant: messages.Grant, done: messages.AttemptResult
    ) -> None:
        """Take in how an attempt ended."""
        warm_up_s = self._warm_up_s.get(grant.server.pool, 0.0)
        now = trio.current_time()
        self._chooser.learn(grant, done, now)
        self._chooser.record_done(grant.server.server_id, done, warm_up_s, now)
        if self._chooser.has_busy:
            self._is_busy.set()

    def in_flight(self) -> dict[str, int]:
        """Return the requests under way by server."""
        return self._chooser.in_flight()

    def set_pools(self, pools: Iterable[tables.Pool]) -> None:
        """Put other rows of pools in force."""
        self._warm_up_s = {pool.name: pool.warm_up_s for pool in pools}

    def leave(self) -> None:
        """Do nothing: no other entry relies on this one."""

    async def run(self) -> None:
        """Tell and hear of servers, and forget those that are gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tidy)
            nursery.start_soon(self._tell)
            nursery.start_soon(self._tell_busy)
            nursery.start_soon(self._hear)

    async def _tidy(self) -> None:
        while True:
            await trio.sleep(_TIDY_S)
            words = self._directory.servers.records()
            self._chooser.prune({one.server_id for one in words})

    async def _tell(self) -> None:
        """Tell the entries of this region: they use the same servers most."""
        while True:
            await trio.sleep(TELL_S)
            silent = self._chooser.silent_keys(trio.current_time())
            if not silent:
                continue
            me = self._spread.myself
            near = [
                one.name
                for one in self._directory.ready_entries()
                if one.region == me.region and one.name != me.name
            ]
            told = self._rng.sample(near, min(MAX_TOLD, len(near)))
            self._spread.post_all(
                told, messages.SilentServers(silent[:MAX_NAMED])
            )

    async def _tell_busy(self) -> None:
        """Tell a few near entries of servers at which requests wait."""
        while True:
            await self._is_busy.wait()
            await trio.sleep(BUSY_BATCH_S)
            self._is_busy = trio.Event()
            loads = self._chooser.take_busy()[:MAX_NAMED]
            self._spread.post_all(self._neighbours, messages.BusyServers(loads))

    async def _hear(self) -> None:
        parcel: datagram_wire.ReceivedMessage
        async for parcel in self._spread.received_messages:
            match parcel.message:
                case messages.SilentServers(keys):
                    self._hear_silent(parcel.sender, keys)
                case messages.BusyServers(loads):
                    self._chooser.record_loads(loads, trio.current_time())
                case _:
                    # Sent by an entry with another way of placing requests.
                    logger.warning(
                        logs.Event("parcel-dropped", sender=parcel.sender)
                    )

    def _hear_silent(self, sender: str, keys: tuple[int, ...]) -> None:
        for one in self._chooser.record_silent(
            sender, keys, trio.current_time()
        ):
            logger.info(
                logs.Event(
                    "server-silent",
                    server=one,
                    by=sender,
                    others=silence_reports.MIN_REPORTERS,
                    held_s=silence_reports.REPORT_VALID_S,
                )
            )
