"""Granting the slots of a pool in a region while this entry holds the term."""

from collections.abc import Collection
import random
from typing import NamedTuple

from hyssopfold import tables
from hyssopfold.core.admission import queue
from hyssopfold.core.balancing import drains
from hyssopfold.core.balancing import election
from hyssopfold.core.balancing import health
from hyssopfold.core.balancing import ledger
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

MIN_RETRY_AFTER_S = 0.5
# Slots of a holder that stays silent are kept back this long: no request
# lasts longer, so none of its can still run.
HOLD_MAX_S = 1800.0


class Pool(NamedTuple):
    """What a grantor needs of a pool's row, and its servers that are ready."""

    row: tables.Pool
    servers: tuple[membership.Server, ...]


class Grantor:
    """Hand out slots; one request at a time to a slot.

    Args:
        won: The term and what its members reported.
        key: What is granted.
        known: Health of the servers, kept from term to term.
        rng: Source that spreads retry-after.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        won: election.Won,
        key: messages.Key,
        known: health.Health,
        rng: random.Random,
        now: float,
    ) -> None:
        self.ledger = ledger.Ledger(
            won.reports, won.silent, won.last, won.last_own_limit
        )
        # What this entry may use itself: see `messages.Claim`.
        self.me: messages.Member | None = None
        self.own_limit = 0
        self.term = won.term
        self._key = key
        self._health = known
        self._rng = rng
        self._queue: queue.Queue[messages.Ask] = queue.Queue()
        self._heard: dict[messages.Member, float] = {}
        self._since = now
        self._capacity = 0
        self._limits: dict[str, int] = {}
        self._servers: dict[str, membership.Server] = {}
        self._turns: dict[str, int] = {}
        self._turn = 0
        self._headroom = 0.0
        self._warm_up_s = 0.0

    def refresh(self, pool: Pool, now: float) -> None:
        """Take in the pool's row and the servers that may get new work."""
        row = pool.row
        self._servers = {
            server.server_id: server._replace(
                slots=min(server.slots, row.slots)
            )
            for server in pool.servers
            if not drains.is_drained(row, server)
        }
        for server in self._servers.values():
            self._health.see(server, now)
            self.ledger.see(server)
        self._headroom = row.headroom
        self._warm_up_s = row.warm_up_s
        chosen = list(self._servers.values())
        self._limits = self._health.limits(chosen, row.warm_up_s, now)
        self._capacity = sum(self._limits.values())

    @property
    def capacity(self) -> int:
        """Return the slots that may be used now."""
        return self._capacity

    def waiting(self) -> int:
        """Return the asks in the queue."""
        return len(self._queue)

    def ask(self, ask: messages.Ask, now: float) -> list[messages.Effect]:
        """Grant, queue or deny; a doubled ask gets its first grant again."""
        self._heard[ask.holder] = now
        held = self.ledger.find(ask.holder, ask.number)
        if held is not None:
            return self._regrant(ask, held)
        if ask in self._queue.items():
            return []
        if all(self._is_held(one) for one in self._queue.items()):
            server = self._pick(ask)
            if server is not None:
                return self._grant(ask, server, now)
        if not self._queue.push(ask, ask.priority, now + ask.wait_s, now):
            return [self._deny(ask, "pool-full", now)]
        return []

    def _regrant(
        self, ask: messages.Ask, held: messages.Hold
    ) -> list[messages.Effect]:
        server = self._servers.get(held.server_id)
        if server is None or server.incarnation != held.server_incarnation:
            # Its first grant may have arrived: the slot stays counted, and
            # the holder gives it back when it waits no longer.
            return []
        granted = messages.Granted(
            self._key, self.term, ask.holder, ask.number, server
        )
        return [messages.Send(ask.holder.name, granted)]

    def _grant(
        self, ask: messages.Ask, server: membership.Server, now: float
    ) -> list[messages.Effect]:
        self.ledger.grant(ask.holder, ask.number, server)
        self._turn += 1
        self._turns[server.server_id] = self._turn
        self._health.used(server.server_id, self._warm_up_s, now)
        granted = messages.Granted(
            self._key, self.term, ask.holder, ask.number, server
        )
        return [messages.Send(ask.holder.name, granted)]

    def _deny(
        self, ask: messages.Ask, reason: str, now: float
    ) -> messages.Effect:
        wait = max(MIN_RETRY_AFTER_S, self._queue.wait_s(9, now))
        # Callers that were refused together must not come back together.
        spread = wait * self._rng.uniform(1.0, 2.0)
        denied = messages.Denied(
            self._key, ask.holder, ask.number, reason, spread
        )
        return messages.Send(ask.holder.name, denied)

    def _pick(self, ask: messages.Ask) -> membership.Server | None:
        if ask.moved and not self._moved_fits():
            return None
        free = [
            server
            for server_id, server in self._servers.items()
            if self.ledger.used(server_id) < self._limits[server_id]
            and server_id not in ask.avoid
            and server.failure_domain not in ask.closed_domains
            and self._may_use(ask.holder, server_id)
        ]
        if not free:
            return None
        return min(free, key=lambda one: self._rank(one, ask))

    def _is_held(self, ask: messages.Ask) -> bool:
        """Return whether more than free slots decides, so that others go on.

        So it is with asks moved in, of this entry, with domains shut or with
        servers that were tried.
        """
        shut = bool(ask.closed_domains or ask.avoid)
        return ask.moved or shut or ask.holder == self.me

    def _may_use(self, holder: messages.Member, server_id: str) -> bool:
        if holder != self.me:
            return True
        return self.ledger.used_by(holder, server_id) < self.own_limit

    def _moved_fits(self) -> bool:
        used = sum(self.ledger.used(server_id) for server_id in self._servers)
        return used + 1 <= self._capacity * (1 - self._headroom)

    def _rank(
        self, server: membership.Server, ask: messages.Ask
    ) -> tuple[bool, float, int]:
        used = self.ledger.used(server.server_id)
        # Its own count is exact, so what servers report is not used here.
        # Among equals the one used longest ago: none goes cold unseen.
        return (
            server.failure_domain != ask.failure_domain,
            used / self._limits[server.server_id],
            self._turns.get(server.server_id, 0),
        )

    def release(
        self, release: messages.Release, now: float
    ) -> list[messages.Effect]:
        """Take a slot or an ask back and serve who waits."""
        self._heard[release.holder] = now
        hold = self.ledger.release(release.holder, release.number)
        if hold is None:
            self._withdraw(release.holder, release.number)
            return []
        self._health.done(hold.server_id, release.done, now)
        self._queue.record_free(now)
        return self.serve(now)

    def _withdraw(self, holder: messages.Member, number: int) -> None:
        for ask in self._queue.items():
            if ask.holder == holder and ask.number == number:
                self._queue.remove(ask)

    def sync(self, sync: messages.Sync, now: float) -> list[messages.Effect]:
        """Free what a holder no longer uses: its releases were lost."""
        self._heard[sync.holder] = now
        kept = {hold.number for hold in sync.holds}.union(sync.open_asks)
        for number in self.ledger.numbers(sync.holder):
            if number <= sync.high and number not in kept:
                self.ledger.release(sync.holder, number)
        return self.serve(now)

    def serve(self, now: float) -> list[messages.Effect]:
        """Grant to who waits, and deny who has waited too long."""
        effects: list[messages.Effect] = [
            self._deny(ask, "waited-too-long", now)
            for ask in self._queue.pop_expired(now)
        ]
        for ask in self._queue.items():
            server = self._pick(ask)
            if server is None:
                if self._is_held(ask):
                    continue
                break
            self._queue.remove(ask)
            effects += self._grant(ask, server, now)
        return effects

    def forget_silent(self, now: float) -> None:
        """Free what holders used that were silent for the longest hold."""
        for holder in self.ledger.holders():
            heard = self._heard.get(holder, self._since)
            if now - heard > HOLD_MAX_S:
                self.ledger.forget(holder)

    def deny_all(self, now: float) -> list[messages.Effect]:
        """Deny all that wait: this entry grants no more."""
        return [
            self._deny(ask, "grantor-changed", now)
            for ask in self._queue.items()
        ]

    def silent(self) -> Collection[messages.Member]:
        """Return the members whose report is missing."""
        return self.ledger.silent
