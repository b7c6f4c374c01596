"""Asking for slots on behalf of callers, and holding them."""

from collections.abc import Callable
import random
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# Longest that a request waits for a slot of one region.
WAIT_S = 1.0
# Longest that it waits where no grantor was heard lately.
WAIT_UNHEARD_S = 0.4
RESEND_S = 0.1
# A grantor that was silent for this long is asked no more.
HEARD_S = 1.0
RETRY_AFTER_S = 1.0


class _Leader(NamedTuple):
    beat: messages.GrantorHeartbeat
    heard_at: float

    @property
    def name(self) -> str:
        return self.beat.grantor.name


class _Open(NamedTuple):
    ticket: int
    req: messages.Request
    step: int
    ask: messages.SlotRequest
    until: float
    resend_at: float


def _without(one: _Open, server_id: str) -> _Open:
    """Return an open ask that does not want this server.

    The grantor has not heard yet that the server leaves, and its free slot
    would be the first to be granted again: an entry that is its own grantor
    would go round without an end.
    """
    avoid = (*one.req.avoid, server_id)
    return one._replace(req=one.req._replace(avoid=avoid))


class Holder:
    """Ask grantors for slots and keep count of those in use here.

    Args:
        me: This life of the entry.
        failure_domain: Where it runs.
        guess: Gives the entry to ask while no grantor was heard of.
        is_fit: Tells whether a server may get new work, as known here.
        rng: Source that spreads retry-after.
    """

    def __init__(
        self,
        me: messages.Member,
        failure_domain: str,
        guess: Callable[[messages.PoolRegion], str | None],
        is_fit: Callable[[membership.Server], bool],
        rng: random.Random,
    ) -> None:
        self._me = me
        self._failure_domain = failure_domain
        self._guess = guess
        self._is_fit = is_fit
        self._rng = rng
        self._leaders: dict[messages.PoolRegion, _Leader] = {}
        self._promised: dict[messages.PoolRegion, int] = {}
        self._given: dict[messages.PoolRegion, int] = {}
        self._alone: dict[messages.PoolRegion, int] = {}
        self._open: dict[int, _Open] = {}
        self._holds: dict[
            messages.PoolRegion, dict[int, messages.HeldSlot]
        ] = {}
        self._unsynced: set[messages.PoolRegion] = set()
        self._number = 0

    def acquire(
        self, ticket: int, req: messages.Request, now: float
    ) -> list[messages.Effect]:
        """Ask for a slot; `ticket` names the request in the answer."""
        return self._ask(ticket, req, 0, "no-region", RETRY_AFTER_S, now)

    def _ask(
        self,
        ticket: int,
        req: messages.Request,
        step: int,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> list[messages.Effect]:
        """Ask the next region of the request, or refuse when none is left."""
        for at in range(step, len(req.regions)):
            region = req.regions[at]
            key = messages.PoolRegion(req.pool, region.name)
            target = self.leader(key, now)
            limit = WAIT_S
            if target is None:
                target = self._guess(key)
                limit = WAIT_UNHEARD_S
            wait_s = min(limit, (req.deadline - now) / 2)
            if target is None or wait_s <= 0:
                reason = "no-grantor"
                continue
            self._number += 1
            ask = messages.SlotRequest(
                key,
                self._me,
                self._number,
                req.priority,
                wait_s,
                region.moved,
                req.avoid,
                self._failure_domain,
                region.closed_domains,
            )
            resend_at = now + RESEND_S
            self._open[self._number] = _Open(
                ticket, req, at, ask, now + wait_s, resend_at
            )
            return [messages.Send(target, ask)]
        spread = retry_after_s * self._rng.uniform(1.0, 2.0)
        return [messages.Answer(ticket, messages.Refused(reason, spread))]

    def leader(self, key: messages.PoolRegion, now: float) -> str | None:
        """Return the grantor that was heard of lately."""
        beat = self.last_beat(key, now)
        return beat.grantor.name if beat is not None else None

    def last_beat(
        self, key: messages.PoolRegion, now: float
    ) -> messages.GrantorHeartbeat | None:
        """Return the last word of the grantor that was heard of lately."""
        leader = self._leaders.get(key)
        if leader is None or now - leader.heard_at > HEARD_S:
            return None
        if leader.beat.term < self._promised.get(key, 0):
            # What is held was reported to a newer one. A release that still
            # went to the old one would free the slot at both, and both
            # would grant it.
            return None
        return leader.beat

    def term(self, key: messages.PoolRegion) -> int:
        """Return the highest term promised or heard of."""
        leader = self._leaders.get(key)
        heard = leader.beat.term if leader is not None else 0
        return max(self._promised.get(key, 0), heard)

    def control_term(self, key: messages.PoolRegion) -> int:
        """Return the highest term heard of that control had given."""
        return self._given.get(key, 0)

    def standalone_term(self, key: messages.PoolRegion) -> int:
        """Return the highest term heard of that had no control behind it."""
        return self._alone.get(key, 0)

    def lost_leader(self, key: messages.PoolRegion, name: str) -> None:
        """Note that a grantor resigned."""
        leader = self._leaders.get(key)
        if leader is not None and leader.name == name:
            del self._leaders[key]

    def promise(
        self, key: messages.PoolRegion, term: int
    ) -> tuple[messages.HeldSlot, ...]:
        """Refuse grants of older terms from now on; return what is held."""
        self._promised[key] = max(self._promised.get(key, 0), term)
        return tuple(self._holds.get(key, {}).values())

    def beat(
        self, beat: messages.GrantorHeartbeat, now: float
    ) -> list[messages.Effect]:
        """Note who grants; tell it what is held here."""
        key = beat.key
        if beat.term < self.term(key):
            return []
        leader = _Leader(beat, now)
        self._leaders[key] = leader
        terms = self._alone if beat.standalone else self._given
        terms[key] = beat.term
        held = self._holds.get(key, {})
        asks = tuple(
            number for number, one in self._open.items() if one.ask.key == key
        )
        if not held and not asks and key not in self._unsynced:
            return []
        # Once more after the last, for a release that was lost.
        self._unsynced.discard(key)
        if held or asks:
            self._unsynced.add(key)
        sync = messages.SlotSync(
            key, self._me, self._number, tuple(held.values()), asks
        )
        return [messages.Send(leader.name, sync)]

    def granted(
        self, sender: str, granted: messages.SlotGranted, now: float
    ) -> list[messages.Effect]:
        """Use a slot, or give it back when no one waits for it."""
        if granted.holder != self._me:
            # Meant for an earlier life, whose numbers were the same.
            return []
        key, number = granted.key, granted.number
        if number in self._holds.get(key, {}):
            return []
        if granted.term < self._promised.get(key, 0):
            # A newer grantor counts this slot as free already.
            return []
        one = self._open.pop(number, None)
        if one is None:
            return [self._give_back(sender, key, number)]
        if not self._is_fit(granted.server):
            effects = [self._give_back(sender, key, number)]
            one = _without(one, granted.server.server_id)
            return effects + self._again(one, "server-left", now)
        self._promised[key] = granted.term
        server = granted.server
        hold = messages.HeldSlot(number, server.server_id, server.incarnation)
        self._holds.setdefault(key, {})[number] = hold
        reason = "moved" if one.ask.moved else "home"
        grant = messages.Grant(server, reason, key, number)
        return [messages.Answer(one.ticket, grant)]

    def _again(
        self, one: _Open, reason: str, now: float
    ) -> list[messages.Effect]:
        step = one.step
        return self._ask(one.ticket, one.req, step, reason, RETRY_AFTER_S, now)

    def _give_back(
        self, to: str, key: messages.PoolRegion, number: int
    ) -> messages.Effect:
        done = messages.AttemptResult("cancelled", 0.0)
        release = messages.SlotRelease(key, self._me, number, done)
        return messages.Send(to, release)

    def denied(
        self, denied: messages.SlotDenied, now: float
    ) -> list[messages.Effect]:
        """Try the next region, or refuse at once."""
        if denied.holder != self._me:
            return []
        one = self._open.pop(denied.number, None)
        if one is None:
            return []
        return self._ask(
            one.ticket,
            one.req,
            one.step + 1,
            denied.reason,
            denied.retry_after_s,
            now,
        )

    def release(
        self, grant: messages.Grant, done: messages.AttemptResult, now: float
    ) -> list[messages.Effect]:
        """Give a slot back."""
        key = grant.key
        if key is None:
            return []
        hold = self._holds.get(key, {}).pop(grant.number, None)
        assert hold is not None, grant
        self._unsynced.add(key)
        leader = self.leader(key, now)
        if leader is None:
            return []
        release = messages.SlotRelease(key, self._me, grant.number, done)
        return [messages.Send(leader, release)]

    def cancel(self, ticket: int, now: float) -> list[messages.Effect]:
        """Withdraw the ask of a request that waits no longer."""
        for number, one in list(self._open.items()):
            if one.ticket == ticket:
                del self._open[number]
                return self._withdraw(one, now)
        return []

    def _withdraw(self, one: _Open, now: float) -> list[messages.Effect]:
        key = one.ask.key
        self._unsynced.add(key)
        leader = self.leader(key, now)
        if leader is None:
            return []
        return [self._give_back(leader, key, one.ask.number)]

    def tick(self, now: float) -> list[messages.Effect]:
        """Send asks again that were not answered; give up those too late."""
        effects: list[messages.Effect] = []
        for number, one in list(self._open.items()):
            if now >= one.until:
                del self._open[number]
                effects += self._withdraw(one, now)
                effects += self._next(one, now)
            elif now >= one.resend_at:
                self._open[number] = one._replace(resend_at=now + RESEND_S)
                key = one.ask.key
                target = self.leader(key, now) or self._guess(key)
                if target is not None:
                    effects.append(messages.Send(target, one.ask))
        return effects

    def _next(self, one: _Open, now: float) -> list[messages.Effect]:
        heard = self.leader(one.ask.key, now) is not None
        return self._ask(
            one.ticket,
            one.req,
            one.step + 1,
            "waited-too-long" if heard else "no-answer",
            RETRY_AFTER_S,
            now,
        )

    def open_numbers(self) -> list[int]:
        """Return the numbers of the asks that wait for an answer."""
        return list(self._open)

    def in_flight(self) -> dict[str, int]:
        """Return the slots in use here by server."""
        counts: dict[str, int] = {}
        for holds in self._holds.values():
            for hold in holds.values():
                counts[hold.server_id] = counts.get(hold.server_id, 0) + 1
        return counts

    def holds(self) -> list[messages.HeldSlot]:
        """Return all slots in use here."""
        return [
            hold for holds in self._holds.values() for hold in holds.values()
        ]
