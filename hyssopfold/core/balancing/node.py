"""Placement at one entry: holder, voter and grantor in one state machine."""

from collections.abc import Collection
from collections.abc import Mapping
import functools
import hashlib
import math
import random
import typing
from typing import NamedTuple

from hyssopfold import tables
from hyssopfold.core.balancing import election
from hyssopfold.core.balancing import grantor
from hyssopfold.core.balancing import health
from hyssopfold.core.balancing import holder
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import voter
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership

BEAT_S = 0.3
# With many to tell, half as often: what control may send is limited.
BEAT_MANY_S = 0.5
MANY = 20
HALF_TICK_S = 0.05
# How much later each next candidate claims a term that no one holds.
STAGGER_S = 0.3
# A member that neither holds slots nor was heard of so long is taken off.
ABSENT_S = 60.0
# A grantor uses at most one in so many slots of a server for its own callers
# while there are other members. When it falls silent, no more are kept back.
OWN_SHARE = 3


class Acquire(NamedTuple):
    """Event: a request wants a slot; `ticket` names it in the answer."""

    ticket: int
    req: messages.Request


class Cancel(NamedTuple):
    """Event: the request behind `ticket` waits no longer."""

    ticket: int


class Release(NamedTuple):
    """Event: an attempt on a granted slot ended."""

    grant: messages.Grant
    done: messages.Done


class Received(NamedTuple):
    """Event: a message came from another instance, or from this one."""

    sender: str
    message: messages.Message


class Tick(NamedTuple):
    """Event: time passed; due about every 0.1 s."""


class Leave(NamedTuple):
    """Event: this entry stops; it grants no more."""


Event = Acquire | Cancel | Release | Received | Tick | Leave


class Config(NamedTuple):
    """What a node is: its life, its place, and who votes."""

    me: messages.Member
    region: str
    failure_domain: str
    control: tuple[str, ...]


class _Seat(NamedTuple):
    """A key of this region, as this entry sees it."""

    election: election.Election
    health: health.Health
    unheard_since: float


class Node:
    """Place requests: handle events, return effects.

    Args:
        cfg: Who and where this entry is.
        known: Directory of servers and entries, kept by membership.
        rng: Source of spread.
        now: Monotonic seconds of its start.
    """

    def __init__(
        self,
        cfg: Config,
        known: directory.Directory,
        rng: random.Random,
        now: float,
    ) -> None:
        self._cfg = cfg
        self._known = known
        self._rng = rng
        self._started = now
        self._leaving = False
        self._pools: Mapping[str, tables.Pool] = {}
        self._seats: dict[messages.Key, _Seat] = {}
        self._grantors: dict[messages.Key, grantor.Grantor] = {}
        self._wanted: dict[messages.Key, set[messages.Member]] = {}
        self._beat_at: dict[messages.Key, float] = {}
        self._present: dict[str, float] = {}
        self.voter = voter.Voter(cfg.me, -math.inf, 0.0)
        self.holder = holder.Holder(
            cfg.me, cfg.failure_domain, self._first_candidate, self._fit, rng
        )

    def set_pools(self, pools: Collection[tables.Pool]) -> None:
        """Put other rows of pools in force."""
        self._pools = {pool.name: pool for pool in pools}

    def handle(self, event: Event, now: float) -> list[messages.Effect]:
        """Return the effects of an event; messages to itself are carried."""
        effects = _handle(event, self, now)
        out: list[messages.Effect] = []
        while effects:
            effect = effects.pop(0)
            if _is_to(effect, self._cfg.me.name):
                received = Received(effect.to, effect.message)
                effects += _handle(received, self, now)
            else:
                out.append(effect)
        return out

    def granting(self, key: messages.Key) -> grantor.Grantor | None:
        """Return the grantor of a key, while this entry is it."""
        seat = self._seats.get(key)
        if seat is None or not seat.election.leading:
            return None
        return self._grantors.get(key)

    def leading(self) -> list[messages.Key]:
        """Return the keys that this entry grants."""
        return [
            key for key, seat in self._seats.items() if seat.election.leading
        ]

    def _fit(self, server: membership.Server) -> bool:
        held = self._known.servers.get(server.server_id)
        if held is None or held.incarnation < server.incarnation:
            return True
        if held.incarnation > server.incarnation:
            return False
        return held.state == "ready"

    def _nearby(self, region: str) -> list[str]:
        return [
            entry.name
            for entry in self._known.ready_entries()
            if entry.region == region
        ]

    def _candidates(self, key: messages.Key) -> list[str]:
        names = set(self._nearby(key.region))
        if key.region == self._cfg.region and not self._leaving:
            names.add(self._cfg.me.name)
        return sorted(names, key=lambda name: _weight(key, name))

    def _first_candidate(self, key: messages.Key) -> str | None:
        candidates = self._candidates(key)
        return candidates[0] if candidates else None

    def tick(self, now: float) -> list[messages.Effect]:
        """Claim, renew, beat, serve queues and send asks again."""
        for entry in self._known.instances.records():
            self._present[entry.name] = now
        effects = self.holder.tick(now)
        for key, servers in self._servers_by_key().items():
            effects += self._tick_key(key, servers, now)
        return effects

    def _servers_by_key(
        self,
    ) -> dict[messages.Key, list[membership.Server]]:
        found: dict[messages.Key, list[membership.Server]] = {}
        # A pool that lost all its servers keeps its grantor.
        for key in self._seats:
            if key.pool in self._pools:
                found[key] = []
        for server in self._known.servers.records():
            if server.region != self._cfg.region or server.state != "ready":
                continue
            if server.pool in self._pools:
                key = messages.Key(server.pool, server.region)
                found.setdefault(key, []).append(server)
        return found

    def _seat(self, key: messages.Key, now: float) -> _Seat:
        if key not in self._seats:
            self._seats[key] = _Seat(
                election.Election(key, self._cfg.me, self._cfg.control),
                health.Health(self._started),
                now,
            )
        return self._seats[key]

    def _tick_key(
        self,
        key: messages.Key,
        servers: list[membership.Server],
        now: float,
    ) -> list[messages.Effect]:
        seat = self._seat(key, now)
        if seat.election.idle:
            return self._maybe_campaign(key, seat, now)
        granting = self.granting(key)
        silent = {one.name for one in granting.silent()} if granting else set()
        silent.discard(election.UNKNOWN.name)
        nearby = self._nearby(key.region)
        effects, won = seat.election.tick(nearby, silent, now)
        if won is not None:
            effects += self._begin(key, won, now)
        granting = self.granting(key)
        if granting is None:
            return effects
        pool = grantor.Pool(self._pools[key.pool], tuple(servers))
        granting.refresh(pool, now)
        granting.me = self._cfg.me
        granting.forget_silent(now)
        self._free_ended(granting)
        self._propose(key, seat, granting, now)
        granting.own_limit = seat.election.own_allowed
        return effects + granting.serve(now) + self._beat(key, now)

    def _maybe_campaign(
        self, key: messages.Key, seat: _Seat, now: float
    ) -> list[messages.Effect]:
        if self.holder.leader(key, now) is not None or self._leaving:
            self._seats[key] = seat._replace(unheard_since=now)
            return []
        candidates = self._candidates(key)
        rank = candidates.index(self._cfg.me.name)
        # The first one claims at once: control refuses while another's term
        # runs. The others wait, lest all claim at the same time.
        if now - seat.unheard_since < rank * STAGGER_S:
            return []
        if self._rng.random() < 0.3:
            return []
        holding = self.holder
        return seat.election.campaign(
            holding.term(key), holding.given_term(key), now
        )

    def _begin(
        self, key: messages.Key, won: election.Won, now: float
    ) -> list[messages.Effect]:
        seat = self._seats[key]
        self._grantors[key] = grantor.Grantor(
            won, key, seat.health, self._rng, now
        )
        self._beat_at[key] = 0.0
        fields = (
            ("pool", key.pool),
            ("region", key.region),
            ("term", won.term),
            ("reports", len(won.reports)),
            ("silent", len(won.silent)),
            ("alone", seat.election.alone),
        )
        return [messages.Decided("grantor-elected", fields)]

    def _free_ended(self, granting: grantor.Grantor) -> None:
        for one in granting.ledger.holders():
            word = self._known.instances.get(one.name)
            if word is not None:
                granting.ledger.end(one.name, word.incarnation)

    def _propose(
        self,
        key: messages.Key,
        seat: _Seat,
        granting: grantor.Grantor,
        now: float,
    ) -> None:
        """Propose who may hold slots: who is there, asked or still holds."""
        nearby = {
            messages.Member(entry.name, entry.incarnation)
            for entry in self._known.ready_entries()
            if entry.region == key.region
        }
        asked = self._wanted.pop(key, set())
        holding = granting.ledger.holders() - {election.UNKNOWN}
        kept = {
            one
            for one in seat.election.members
            if now - self._present.get(one.name, self._started) < ABSENT_S
            and self._is_life(one)
        }
        members = nearby | asked | holding | kept | {self._cfg.me}
        row = self._pools[key.pool]
        quota = max(1, row.slots // OWN_SHARE)
        wanted = quota if len(members) > 1 else row.slots
        own_limit = max(wanted, granting.ledger.most_used_by(self._cfg.me))
        seat.election.own_quota = quota
        seat.election.propose(tuple(sorted(members)), own_limit)

    def _is_life(self, one: messages.Member) -> bool:
        """Return whether no newer life of a member is known."""
        word = self._known.instances.get(one.name)
        return word is None or word.incarnation <= one.incarnation

    def _beat(self, key: messages.Key, now: float) -> list[messages.Effect]:
        if now < self._beat_at.get(key, 0.0):
            return []
        held = self._seats[key].election
        beat = messages.Beat(key, held.term, self._cfg.me, held.alone)
        members = {one.name for one in held.members}
        names = sorted(members.union(self._nearby(key.region)))
        period = BEAT_MANY_S if len(names) > MANY else BEAT_S
        # Ticks come a little early or late; half of one decides.
        self._beat_at[key] = now + period - HALF_TICK_S
        return [messages.Send(name, beat) for name in names]

    def take_claim(
        self, claim: messages.Claim, now: float
    ) -> list[messages.Effect]:
        """Vote; with a promise goes the report of what is held here."""
        vote = self.voter.vote(claim, now)
        if vote.granted:
            holds = self.holder.promise(claim.key, claim.term)
            given = self.holder.given_term(claim.key)
            alone = self.holder.alone_term(claim.key)
            vote = vote._replace(
                holds=holds, given_term=given, alone_term=alone
            )
        seat = self._seats.get(claim.key)
        if seat is not None:
            self._heard_term(claim.key, seat, vote.promised)
        return [messages.Send(claim.candidate.name, vote)]

    def _heard_term(self, key: messages.Key, seat: _Seat, term: int) -> None:
        if seat.election.heard_term(term):
            self.holder.lost_leader(key, self._cfg.me.name)

    def take_vote(
        self, vote: messages.Vote, now: float
    ) -> list[messages.Effect]:
        """Count a vote, and take in a report that was missing."""
        seat = self._seats.get(vote.key)
        if seat is None:
            return []
        self._heard_term(vote.key, seat, vote.promised)
        nearby = self._nearby(vote.key.region)
        effects, won = seat.election.take(vote, nearby, now)
        if won is not None:
            return effects + self._begin(vote.key, won, now)
        granting = self.granting(vote.key)
        mine = vote.candidate == self._cfg.me
        current = mine and vote.granted and vote.term == seat.election.term
        if granting is not None and current and vote.holds is not None:
            granting.ledger.report(vote.voter, vote.holds)
            effects += granting.serve(now)
        return effects

    def take_beat(
        self, beat: messages.Beat, sender: str, now: float
    ) -> list[messages.Effect]:
        """Note who grants; tell one that was replaced of the newer term."""
        seat = self._seats.get(beat.key)
        if seat is not None:
            self._heard_term(beat.key, seat, beat.term)
        if beat.term < self.holder.term(beat.key):
            return self._hint(beat.key, sender, now)
        effects = self.holder.beat(beat, now)
        heard = self.holder.leader(beat.key, now) == beat.grantor.name
        other = beat.grantor != self._cfg.me
        if seat is not None and heard and other and not seat.election.leading:
            # One who claimed at the same time has won.
            seat.election.step_down()
        return effects

    def _hint(
        self, key: messages.Key, to: str, now: float
    ) -> list[messages.Effect]:
        beat = self.holder.last_beat(key, now)
        if beat is None or beat.grantor.name == to:
            return []
        return [messages.Send(to, beat)]

    def take_ask(self, ask: messages.Ask, now: float) -> list[messages.Effect]:
        """Grant when this entry is the grantor, else say who is."""
        granting = self.granting(ask.key)
        if granting is None:
            return self._hint(ask.key, ask.holder.name, now)
        if self._seats[ask.key].election.may_hold(ask.holder):
            return granting.ask(ask, now)
        # It comes again, and is answered once control knows that this
        # member may hold slots.
        self._wanted.setdefault(ask.key, set()).add(ask.holder)
        return []

    def leave(self, now: float) -> list[messages.Effect]:
        """Grant no more, so that another takes over at once."""
        self._leaving = True
        effects: list[messages.Effect] = []
        for key in self.leading():
            seat = self._seats[key]
            effects += self._grantors[key].deny_all(now)
            seat.election.step_down()
            resign = messages.Resign(key, seat.election.term, self._cfg.me)
            names = set(self._cfg.control).union(self._nearby(key.region))
            effects += [messages.Send(name, resign) for name in sorted(names)]
        return effects


def _is_to(
    effect: messages.Effect, name: str
) -> typing.TypeGuard[messages.Send]:
    return isinstance(effect, messages.Send) and effect.to == name


def _weight(key: messages.Key, name: str) -> bytes:
    text = f"{key.pool} {key.region} {name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@functools.singledispatch
def _handle(event: Event, node: Node, now: float) -> list[messages.Effect]:
    """Return the effects of an event."""
    raise TypeError(f"no such event: {event!r}")


@_handle.register
def _(event: Acquire, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.acquire(event.ticket, event.req, now)


@_handle.register
def _(event: Cancel, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.cancel(event.ticket, now)


@_handle.register
def _(event: Release, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.release(event.grant, event.done, now)


@_handle.register
def _(event: Tick, node: Node, now: float) -> list[messages.Effect]:
    return node.tick(now)


@_handle.register
def _(event: Leave, node: Node, now: float) -> list[messages.Effect]:
    return node.leave(now)


@_handle.register
def _(event: Received, node: Node, now: float) -> list[messages.Effect]:
    return _receive(event.message, node, event.sender, now)


@functools.singledispatch
def _receive(
    message: messages.Message, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    """Return the effects of a message."""
    raise TypeError(f"no such message: {message!r}")


@_receive.register
def _(
    message: messages.Claim, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.take_claim(message, now)


@_receive.register
def _(
    message: messages.Vote, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.take_vote(message, now)


@_receive.register
def _(
    message: messages.Resign, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    node.voter.resign(message, now)
    node.holder.lost_leader(message.key, message.candidate.name)
    return []


@_receive.register
def _(
    message: messages.Beat, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.take_beat(message, sender, now)


@_receive.register
def _(
    message: messages.Ask, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.take_ask(message, now)


@_receive.register
def _(
    message: messages.Granted, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.holder.granted(sender, message, now)


@_receive.register
def _(
    message: messages.Denied, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.holder.denied(message, now)


@_receive.register
def _(
    message: messages.Release, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    granting = node.granting(message.key)
    return granting.release(message, now) if granting is not None else []


@_receive.register
def _(
    message: messages.Silent, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    # An entry that chooses by itself tells of servers; here grantors judge them.
    return []


@_receive.register
def _(
    message: messages.Sync, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    granting = node.granting(message.key)
    return granting.sync(message, now) if granting is not None else []
