"""Grant the slots of a pool in a region during a term won by this entry."""

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
from hyssopfold.core.balancing import server_limits
from hyssopfold.core.membership import messages as membership

MIN_RETRY_AFTER_S = 0.5
# Slots of a holder that sends no message stay counted this long. No request
# lasts longer, so none of the holder's requests can still run then.
HOLD_MAX_S = 1800.0


class PoolServers(NamedTuple):
    """A pool's row of the tables and its ready servers in the region."""

    row: tables.Pool
    servers: tuple[membership.Server, ...]


class Grantor:
    """The grantor of a pool's slots in a region, for one term.

    A slot is granted to one request at a time. The entry's `node.Node` creates
    a grantor for each term that the entry wins.

    Args:
        won: The term and the slots that its members reported.
        pool_region: The pool and region whose slots are granted.
        health_tracker: Health of the servers, kept from term to term.
        rng: Random source that spreads retry-after times.
        now: Monotonic seconds.
    """

    def __init__(
        self,
        won: election.WonTerm,
        pool_region: messages.PoolRegion,
        health_tracker: health.HealthTracker,
        rng: random.Random,
        now: float,
    ) -> None:
        self.ledger = ledger.Ledger(
            won.reports,
            won.unreported,
            won.previous_grantor,
            won.previous_own_limit,
        )
        # This entry and the slots of a server that it may use itself: see
        # `messages.Claim`.
        self.me: messages.Member | None = None
        self.own_limit = 0
        self.term = won.term
        self._pool_region = pool_region
        self._health = health_tracker
        self._rng = rng
        self._queue: queue.Queue[messages.SlotRequest] = queue.Queue()
        self._last_message_at: dict[messages.Member, float] = {}
        self._started_at = now
        self._capacity = 0
        self._slot_limits: dict[str, int] = {}
        self._servers: dict[str, membership.Server] = {}
        self._last_granted: dict[str, int] = {}
        self._grant_count = 0
        self._headroom = 0.0
        self._warm_up_s = 0.0
        # It is the only one that grants the slots of its servers, so it uses
        # the whole rate of a limited one.
        self._server_limiter = server_limits.ServerLimiter("grantor")

    def refresh(self, pool: PoolServers, now: float) -> None:
        """Update the pool's settings, its servers and their limits."""
        row = pool.row
        self._servers = {
            server.server_id: server._replace(
                slots=min(server.slots, row.slots)
            )
            for server in pool.servers
            if not drains.is_drained(row, server)
        }
        for server in self._servers.values():
            self._health.update_server(server, now)
            self.ledger.update_server(server)
        self._headroom = row.headroom
        self._warm_up_s = row.warm_up_s
        servers = list(self._servers.values())
        self._slot_limits = self._health.slot_limits(
            servers, row.warm_up_s, now
        )
        self._capacity = sum(self._slot_limits.values())

    @property
    def capacity(self) -> int:
        """Return the number of slots that may be used now."""
        return self._capacity

    def queue_length(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._queue)

    def handle_request(
        self, request: messages.SlotRequest, now: float
    ) -> list[messages.Effect]:
        """Grant, queue or deny a request; a duplicate gets its grant again."""
        self._last_message_at[request.holder] = now
        slot = self.ledger.held_slot(request.holder, request.number)
        if slot is not None:
            return self._resend_grant(request, slot)
        if request in self._queue.items():
            return []
        if all(self._is_constrained(queued) for queued in self._queue.items()):
            server = self._choose_server(request, now)
            if server is not None:
                return self._grant(request, server, now)
        if not self._queue.push(
            request, request.priority, now + request.wait_s, now
        ):
            return [self._deny(request, "pool-full", now)]
        return []

    def _resend_grant(
        self, request: messages.SlotRequest, slot: messages.HeldSlot
    ) -> list[messages.Effect]:
        server = self._servers.get(slot.server_id)
        if server is None or server.incarnation != slot.server_incarnation:
            # The first grant may have arrived: the slot stays counted, and
            # the holder releases it when it no longer waits for it.
            return []
        granted = messages.SlotGranted(
            self._pool_region, self.term, request.holder, request.number, server
        )
        return [messages.Send(request.holder.name, granted)]

    def _grant(
        self,
        request: messages.SlotRequest,
        server: membership.Server,
        now: float,
    ) -> list[messages.Effect]:
        self.ledger.grant(request.holder, request.number, server)
        self._grant_count += 1
        self._last_granted[server.server_id] = self._grant_count
        self._health.record_use(server.server_id, self._warm_up_s, now)
        self._server_limiter.spend(server, now)
        granted = messages.SlotGranted(
            self._pool_region, self.term, request.holder, request.number, server
        )
        return [messages.Send(request.holder.name, granted)]

    def _deny(
        self, request: messages.SlotRequest, reason: str, now: float
    ) -> messages.Effect:
        wait_s = max(MIN_RETRY_AFTER_S, self._queue.wait_s(9, now))
        # Callers that were refused together must not retry together.
        retry_after_s = wait_s * self._rng.uniform(1.0, 2.0)
        denied = messages.SlotDenied(
            self._pool_region,
            request.holder,
            request.number,
            reason,
            retry_after_s,
        )
        return messages.Send(request.holder.name, denied)

    def _choose_server(
        self, request: messages.SlotRequest, now: float
    ) -> membership.Server | None:
        if request.moved and not self._has_room_for_moved():
            return None
        candidates = [
            server
            for server_id, server in self._servers.items()
            if self.ledger.used_slots(server_id) < self._slot_limits[server_id]
            and server_id not in request.avoid
            and server.failure_domain not in request.closed_domains
            and self._may_use(request.holder, server_id)
            and self._server_limiter.may_send(server, (), now)
        ]
        if not candidates:
            return None
        return min(
            candidates, key=lambda server: self._preference(server, request)
        )

    def _is_constrained(self, request: messages.SlotRequest) -> bool:
        """Return whether a request may wait although slots are free.

        This holds for requests that were moved into the region, requests of
        this entry, and requests that exclude failure domains or servers.
        They must not block the requests behind them in the queue.
        """
        is_restricted = bool(request.closed_domains or request.avoid)
        return request.moved or is_restricted or request.holder == self.me

    def _may_use(self, holder: messages.Member, server_id: str) -> bool:
        if holder != self.me:
            return True
        return self.ledger.slots_used_by(holder, server_id) < self.own_limit

    def _has_room_for_moved(self) -> bool:
        used = sum(
            self.ledger.used_slots(server_id) for server_id in self._servers
        )
        return used + 1 <= self._capacity * (1 - self._headroom)

    def _preference(
        self, server: membership.Server, request: messages.SlotRequest
    ) -> tuple[bool, float, int]:
        used = self.ledger.used_slots(server.server_id)
        # The grantor's count is exact, so load reports of servers are not
        # used. Among equal servers the least recently used one is preferred,
        # so that no server becomes cold for lack of requests.
        return (
            server.failure_domain != request.failure_domain,
            used / self._slot_limits[server.server_id],
            self._last_granted.get(server.server_id, 0),
        )

    def release(
        self, message: messages.SlotRelease, now: float
    ) -> list[messages.Effect]:
        """Free a slot or withdraw a request, then serve the queue."""
        self._last_message_at[message.holder] = now
        slot = self.ledger.release(message.holder, message.number)
        if slot is None:
            self._withdraw(message.holder, message.number)
            return []
        self._health.record_result(slot.server_id, message.attempt_result, now)
        incarnation = (slot.server_id, slot.server_incarnation)
        sent_at = now - message.attempt_result.duration_s
        self._server_limiter.record_result(
            incarnation, message.attempt_result, sent_at, now
        )
        self._queue.record_free(now)
        return self.serve_queue(now)

    def _withdraw(self, holder: messages.Member, number: int) -> None:
        for request in self._queue.items():
            if request.holder == holder and request.number == number:
                self._queue.remove(request)

    def sync(
        self, message: messages.SlotSync, now: float
    ) -> list[messages.Effect]:
        """Free slots that a holder no longer uses; their releases were lost."""
        self._last_message_at[message.holder] = now
        kept_numbers = {slot.number for slot in message.held_slots}.union(
            message.pending_numbers
        )
        for number in self.ledger.slot_numbers(message.holder):
            if number <= message.highest_number and number not in kept_numbers:
                self.ledger.release(message.holder, number)
        return self.serve_queue(now)

    def serve_queue(self, now: float) -> list[messages.Effect]:
        """Grant slots to queued requests; deny those that waited too long."""
        effects: list[messages.Effect] = [
            self._deny(request, "waited-too-long", now)
            for request in self._queue.pop_expired(now)
        ]
        for request in self._queue.items():
            server = self._choose_server(request, now)
            if server is None:
                if self._is_constrained(request):
                    continue
                break
            self._queue.remove(request)
            effects += self._grant(request, server, now)
        return effects

    def expire_holders(self, now: float) -> None:
        """Free the slots of holders without a message for `HOLD_MAX_S`."""
        self._server_limiter.prune(self._servers.keys(), now)
        for holder in self.ledger.holders():
            last_message_at = self._last_message_at.get(
                holder, self._started_at
            )
            if now - last_message_at > HOLD_MAX_S:
                self.ledger.release_all(holder)

    def deny_all(self, now: float) -> list[messages.Effect]:
        """Deny all queued requests, because this entry stops granting."""
        return [
            self._deny(request, "grantor-changed", now)
            for request in self._queue.items()
        ]

    def unreported_members(self) -> Collection[messages.Member]:
        """Return the members whose report is still missing."""
        return self.ledger.unreported
