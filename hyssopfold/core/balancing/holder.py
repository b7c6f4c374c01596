"""Requests for slots on behalf of callers, and the slots in use here."""

from collections.abc import Callable
import random
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# Longest time that a request waits for a slot in one region.
MAX_WAIT_S = 1.0
# Longest time that it waits in a region without a recent grantor heartbeat.
MAX_WAIT_NO_GRANTOR_S = 0.4
RESEND_INTERVAL_S = 0.1
# No requests are sent to a grantor without a heartbeat for this long.
GRANTOR_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


class _KnownGrantor(NamedTuple):
    heartbeat: messages.GrantorHeartbeat
    received_at: float

    @property
    def name(self) -> str:
        return self.heartbeat.grantor.name


class _PendingRequest(NamedTuple):
    ticket: int
    req: messages.Request
    region_index: int
    slot_request: messages.SlotRequest
    expires_at: float
    resend_at: float


def _excluding(pending: _PendingRequest, server_id: str) -> _PendingRequest:
    """Return a pending request that excludes a server.

    The grantor does not know yet that the server is leaving and would grant
    its free slot again at once. An entry that is its own grantor would repeat
    the request forever.
    """
    avoid = (*pending.req.avoid, server_id)
    return pending._replace(req=pending.req._replace(avoid=avoid))


class Holder:
    """One entry's slot requests and slots in use; part of a `node.Node`.

    Args:
        me: This incarnation of the entry.
        failure_domain: Failure domain that the entry runs in.
        likely_grantor: Returns the name of the entry to send requests to
            while no grantor is known, or None.
        accepts_work: Returns whether a server may get new requests, as far as
            this entry knows.
        rng: Random source that spreads retry-after times.
    """

    def __init__(
        self,
        me: messages.Member,
        failure_domain: str,
        likely_grantor: Callable[[messages.PoolRegion], str | None],
        accepts_work: Callable[[membership.Server], bool],
        rng: random.Random,
    ) -> None:
        self._me = me
        self._failure_domain = failure_domain
        self._likely_grantor = likely_grantor
        self._accepts_work = accepts_work
        self._rng = rng
        self._grantors: dict[messages.PoolRegion, _KnownGrantor] = {}
        self._promised_terms: dict[messages.PoolRegion, int] = {}
        self._control_terms: dict[messages.PoolRegion, int] = {}
        self._standalone_terms: dict[messages.PoolRegion, int] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._held_slots: dict[
            messages.PoolRegion, dict[int, messages.HeldSlot]
        ] = {}
        self._unsynced: set[messages.PoolRegion] = set()
        self._last_number = 0

    def acquire(
        self, ticket: int, req: messages.Request, now: float
    ) -> list[messages.Effect]:
        """Request a slot for a caller's request.

        Args:
            ticket: Identifies the request in `messages.Answer`.
            req: The request.
            now: Monotonic seconds.
        """
        return self._request_slot(
            ticket, req, 0, "no-region", RETRY_AFTER_S, now
        )

    def _request_slot(
        self,
        ticket: int,
        req: messages.Request,
        region_index: int,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> list[messages.Effect]:
        """Request a slot in the next region, or refuse if none is left."""
        for index in range(region_index, len(req.regions)):
            region = req.regions[index]
            pool_region = messages.PoolRegion(req.pool, region.name)
            recipient = self.grantor_name(pool_region, now)
            max_wait_s = MAX_WAIT_S
            if recipient is None:
                recipient = self._likely_grantor(pool_region)
                max_wait_s = MAX_WAIT_NO_GRANTOR_S
            wait_s = min(max_wait_s, (req.deadline - now) / 2)
            if recipient is None or wait_s <= 0:
                reason = "no-grantor"
                continue
            self._last_number += 1
            slot_request = messages.SlotRequest(
                pool_region,
                self._me,
                self._last_number,
                req.priority,
                wait_s,
                region.moved,
                req.avoid,
                self._failure_domain,
                region.closed_domains,
            )
            resend_at = now + RESEND_INTERVAL_S
            self._pending[self._last_number] = _PendingRequest(
                ticket, req, index, slot_request, now + wait_s, resend_at
            )
            return [messages.Send(recipient, slot_request)]
        jittered_s = retry_after_s * self._rng.uniform(1.0, 2.0)
        return [messages.Answer(ticket, messages.Refused(reason, jittered_s))]

    def grantor_name(
        self, pool_region: messages.PoolRegion, now: float
    ) -> str | None:
        """Return the name of the current grantor, if there is one."""
        heartbeat = self.last_heartbeat(pool_region, now)
        return heartbeat.grantor.name if heartbeat is not None else None

    def last_heartbeat(
        self, pool_region: messages.PoolRegion, now: float
    ) -> messages.GrantorHeartbeat | None:
        """Return the last heartbeat of the current grantor, if there is one."""
        grantor = self._grantors.get(pool_region)
        if grantor is None or now - grantor.received_at > GRANTOR_TIMEOUT_S:
            return None
        if grantor.heartbeat.term < self._promised_terms.get(pool_region, 0):
            # The slots in use were reported to a newer grantor. A release
            # sent to the old grantor would free the slot at both, and both
            # would grant it.
            return None
        return grantor.heartbeat

    def highest_term(self, pool_region: messages.PoolRegion) -> int:
        """Return the highest term that was promised or received."""
        grantor = self._grantors.get(pool_region)
        heartbeat_term = grantor.heartbeat.term if grantor is not None else 0
        return max(self._promised_terms.get(pool_region, 0), heartbeat_term)

    def control_term(self, pool_region: messages.PoolRegion) -> int:
        """Return the highest received term that control granted."""
        return self._control_terms.get(pool_region, 0)

    def standalone_term(self, pool_region: messages.PoolRegion) -> int:
        """Return the highest received term of a standalone grantor."""
        return self._standalone_terms.get(pool_region, 0)

    def drop_grantor(self, pool_region: messages.PoolRegion, name: str) -> None:
        """Remove a grantor that resigned or lost its term."""
        grantor = self._grantors.get(pool_region)
        if grantor is not None and grantor.name == name:
            del self._grantors[pool_region]

    def promise(
        self, pool_region: messages.PoolRegion, term: int
    ) -> tuple[messages.HeldSlot, ...]:
        """Refuse grants of older terms from now on; return the slots in use."""
        self._promised_terms[pool_region] = max(
            self._promised_terms.get(pool_region, 0), term
        )
        return tuple(self._held_slots.get(pool_region, {}).values())

    def handle_heartbeat(
        self, heartbeat: messages.GrantorHeartbeat, now: float
    ) -> list[messages.Effect]:
        """Record the grantor; send it the slots in use and pending requests."""
        pool_region = heartbeat.pool_region
        if heartbeat.term < self.highest_term(pool_region):
            return []
        grantor = _KnownGrantor(heartbeat, now)
        self._grantors[pool_region] = grantor
        terms = (
            self._standalone_terms
            if heartbeat.standalone
            else self._control_terms
        )
        terms[pool_region] = heartbeat.term
        held_slots = self._held_slots.get(pool_region, {})
        numbers = tuple(
            number
            for number, pending in self._pending.items()
            if pending.slot_request.pool_region == pool_region
        )
        if not held_slots and not numbers and pool_region not in self._unsynced:
            return []
        # One more sync is sent after the last slot was released, in case the
        # release was lost.
        self._unsynced.discard(pool_region)
        if held_slots or numbers:
            self._unsynced.add(pool_region)
        sync = messages.SlotSync(
            pool_region,
            self._me,
            self._last_number,
            tuple(held_slots.values()),
            numbers,
        )
        return [messages.Send(grantor.name, sync)]

    def handle_granted(
        self, sender: str, granted: messages.SlotGranted, now: float
    ) -> list[messages.Effect]:
        """Use a granted slot, or release it if no request waits for it."""
        if granted.holder != self._me:
            # Addressed to an earlier incarnation, which used the same numbers.
            return []
        pool_region, number = granted.pool_region, granted.number
        if number in self._held_slots.get(pool_region, {}):
            return []
        if granted.term < self._promised_terms.get(pool_region, 0):
            # A newer grantor already counts this slot as free.
            return []
        pending = self._pending.pop(number, None)
        if pending is None:
            return [self._return_slot(sender, pool_region, number)]
        if not self._accepts_work(granted.server):
            effects = [self._return_slot(sender, pool_region, number)]
            pending = _excluding(pending, granted.server.server_id)
            return effects + self._retry_region(pending, "server-left", now)
        self._promised_terms[pool_region] = granted.term
        server = granted.server
        slot = messages.HeldSlot(number, server.server_id, server.incarnation)
        self._held_slots.setdefault(pool_region, {})[number] = slot
        reason = "moved" if pending.slot_request.moved else "home"
        grant = messages.Grant(server, reason, pool_region, number)
        return [messages.Answer(pending.ticket, grant)]

    def _retry_region(
        self, pending: _PendingRequest, reason: str, now: float
    ) -> list[messages.Effect]:
        region_index = pending.region_index
        return self._request_slot(
            pending.ticket,
            pending.req,
            region_index,
            reason,
            RETRY_AFTER_S,
            now,
        )

    def _return_slot(
        self, to: str, pool_region: messages.PoolRegion, number: int
    ) -> messages.Effect:
        result = messages.AttemptResult("cancelled", 0.0)
        release = messages.SlotRelease(pool_region, self._me, number, result)
        return messages.Send(to, release)

    def handle_denied(
        self, denied: messages.SlotDenied, now: float
    ) -> list[messages.Effect]:
        """Request a slot in the next region, or refuse at once."""
        if denied.holder != self._me:
            return []
        pending = self._pending.pop(denied.number, None)
        if pending is None:
            return []
        return self._request_slot(
            pending.ticket,
            pending.req,
            pending.region_index + 1,
            denied.reason,
            denied.retry_after_s,
            now,
        )

    def release(
        self, grant: messages.Grant, result: messages.AttemptResult, now: float
    ) -> list[messages.Effect]:
        """Release a slot.

        Args:
            grant: The grant of the slot.
            result: How the attempt on it ended.
            now: Monotonic seconds.

        Raises:
            AssertionError: when the slot is not in use.
        """
        pool_region = grant.pool_region
        if pool_region is None:
            return []
        slot = self._held_slots.get(pool_region, {}).pop(grant.number, None)
        assert slot is not None, grant
        self._unsynced.add(pool_region)
        grantor_name = self.grantor_name(pool_region, now)
        if grantor_name is None:
            return []
        release = messages.SlotRelease(
            pool_region, self._me, grant.number, result
        )
        return [messages.Send(grantor_name, release)]

    def cancel(self, ticket: int, now: float) -> list[messages.Effect]:
        """Withdraw the slot request of a request that was cancelled."""
        for number, pending in list(self._pending.items()):
            if pending.ticket == ticket:
                del self._pending[number]
                return self._withdraw(pending, now)
        return []

    def _withdraw(
        self, pending: _PendingRequest, now: float
    ) -> list[messages.Effect]:
        pool_region = pending.slot_request.pool_region
        self._unsynced.add(pool_region)
        grantor_name = self.grantor_name(pool_region, now)
        if grantor_name is None:
            return []
        return [
            self._return_slot(
                grantor_name, pool_region, pending.slot_request.number
            )
        ]

    def tick(self, now: float) -> list[messages.Effect]:
        """Resend unanswered slot requests; give up those that expired."""
        effects: list[messages.Effect] = []
        for number, pending in list(self._pending.items()):
            if now >= pending.expires_at:
                del self._pending[number]
                effects += self._withdraw(pending, now)
                effects += self._try_next_region(pending, now)
            elif now >= pending.resend_at:
                self._pending[number] = pending._replace(
                    resend_at=now + RESEND_INTERVAL_S
                )
                pool_region = pending.slot_request.pool_region
                recipient = self.grantor_name(
                    pool_region, now
                ) or self._likely_grantor(pool_region)
                if recipient is not None:
                    effects.append(
                        messages.Send(recipient, pending.slot_request)
                    )
        return effects

    def _try_next_region(
        self, pending: _PendingRequest, now: float
    ) -> list[messages.Effect]:
        grantor_is_known = (
            self.grantor_name(pending.slot_request.pool_region, now) is not None
        )
        return self._request_slot(
            pending.ticket,
            pending.req,
            pending.region_index + 1,
            "waited-too-long" if grantor_is_known else "no-answer",
            RETRY_AFTER_S,
            now,
        )

    def pending_numbers(self) -> list[int]:
        """Return the numbers of the unanswered slot requests."""
        return list(self._pending)

    def in_flight(self) -> dict[str, int]:
        """Return the number of slots in use here by server id."""
        counts: dict[str, int] = {}
        for slots in self._held_slots.values():
            for slot in slots.values():
                counts[slot.server_id] = counts.get(slot.server_id, 0) + 1
        return counts

    def held_slots(self) -> list[messages.HeldSlot]:
        """Return all slots in use here."""
        return [
            slot
            for slots in self._held_slots.values()
            for slot in slots.values()
        ]
