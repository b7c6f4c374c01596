"""Placement at one entry: holder, voter and grantors in one state machine."""

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

HEARTBEAT_INTERVAL_S = 0.3
# Interval with more than `LARGE_MEMBER_COUNT` recipients, because the bandwidth
# of control traffic is limited.
LARGE_HEARTBEAT_INTERVAL_S = 0.5
LARGE_MEMBER_COUNT = 20
HALF_TICK_S = 0.05
# Delay before the next candidate in rank claims a vacant term.
CAMPAIGN_STAGGER_S = 0.3
# A member that uses no slots is removed from the list of members when it was
# absent from the directory for this long.
ABSENT_MEMBER_TIMEOUT_S = 60.0
# While there are other members, a grantor uses at most this fraction (1 / n) of
# a server's slots for its own callers. When the grantor fails, no more slots
# than these are withheld.
OWN_SHARE_DIVISOR = 3


class Acquire(NamedTuple):
    """Event: a request needs a slot; `ticket` identifies it in the answer."""

    ticket: int
    req: messages.Request


class Cancel(NamedTuple):
    """Event: the request with this `ticket` no longer waits."""

    ticket: int


class Release(NamedTuple):
    """Event: an attempt on a granted slot ended."""

    grant: messages.Grant
    attempt_result: messages.AttemptResult


class Received(NamedTuple):
    """Event: a message arrived from another instance, or from this one."""

    sender: str
    message: messages.Message


class Tick(NamedTuple):
    """Event: time has passed; due about every 0.1 s."""


class Leave(NamedTuple):
    """Event: this entry is stopping and must grant no more slots."""


Event = Acquire | Cancel | Release | Received | Tick | Leave


class Config(NamedTuple):
    """A node's incarnation, its location, and the control instances."""

    me: messages.Member
    region: str
    failure_domain: str
    control: tuple[str, ...]


class _PoolState(NamedTuple):
    """The state of one pool in this region, as this entry sees it."""

    election: election.Election
    health: health.HealthTracker
    no_grantor_since: float


class Node:
    """The placement state machine of one entry: takes events, returns effects.

    Args:
        cfg: Identity and location of this entry, and the control instances.
        instance_directory: Directory of servers and instances, updated by
            membership.
        rng: Random source for delays and retry-after times.
        now: Monotonic seconds of the start of this entry.
    """

    def __init__(
        self,
        cfg: Config,
        instance_directory: directory.Directory,
        rng: random.Random,
        now: float,
    ) -> None:
        self._cfg = cfg
        self._directory = instance_directory
        self._rng = rng
        self._started = now
        self._leaving = False
        self._pools: Mapping[str, tables.Pool] = {}
        self._states: dict[messages.PoolRegion, _PoolState] = {}
        self._grantors: dict[messages.PoolRegion, grantor.Grantor] = {}
        self._pending_members: dict[
            messages.PoolRegion, set[messages.Member]
        ] = {}
        self._next_heartbeat_at: dict[messages.PoolRegion, float] = {}
        self._last_listed_at: dict[str, float] = {}
        self.voter = voter.Voter(cfg.me, -math.inf, 0.0)
        self.holder = holder.Holder(
            cfg.me,
            cfg.failure_domain,
            self._first_candidate,
            self._accepts_work,
            rng,
        )

    def set_pools(self, pools: Collection[tables.Pool]) -> None:
        """Replace the rows of the pools."""
        self._pools = {pool.name: pool for pool in pools}

    def handle(self, event: Event, now: float) -> list[messages.Effect]:
        """Return the effects of an event; handle messages to itself at once."""
        effects = _handle(event, self, now)
        outgoing: list[messages.Effect] = []
        while effects:
            effect = effects.pop(0)
            if _is_to(effect, self._cfg.me.name):
                received = Received(effect.to, effect.message)
                effects += _handle(received, self, now)
            else:
                outgoing.append(effect)
        return outgoing

    def own_grantor(
        self, pool_region: messages.PoolRegion
    ) -> grantor.Grantor | None:
        """Return the grantor of a pool in a region if it is this entry."""
        state = self._states.get(pool_region)
        if state is None or not state.election.leading:
            return None
        return self._grantors.get(pool_region)

    def granted_pools(self) -> list[messages.PoolRegion]:
        """Return the pools and regions whose slots this entry grants."""
        return [
            pool_region
            for pool_region, state in self._states.items()
            if state.election.leading
        ]

    def _accepts_work(self, server: membership.Server) -> bool:
        record = self._directory.servers.get(server.server_id)
        if record is None or record.incarnation < server.incarnation:
            return True
        if record.incarnation > server.incarnation:
            return False
        return record.state == "ready"

    def _region_entries(self, region: str) -> list[str]:
        return [
            entry.name
            for entry in self._directory.ready_entries()
            if entry.region == region
        ]

    def _candidates(self, pool_region: messages.PoolRegion) -> list[str]:
        names = set(self._region_entries(pool_region.region))
        if pool_region.region == self._cfg.region and not self._leaving:
            names.add(self._cfg.me.name)
        return sorted(names, key=lambda name: _weight(pool_region, name))

    def _first_candidate(self, pool_region: messages.PoolRegion) -> str | None:
        candidates = self._candidates(pool_region)
        return candidates[0] if candidates else None

    def tick(self, now: float) -> list[messages.Effect]:
        """Claim and renew terms, send heartbeats, serve queues and resend."""
        for entry in self._directory.instances.records():
            self._last_listed_at[entry.name] = now
        effects = self.holder.tick(now)
        for pool_region, servers in self._servers_by_pool().items():
            effects += self._tick_pool(pool_region, servers, now)
        return effects

    def _servers_by_pool(
        self,
    ) -> dict[messages.PoolRegion, list[membership.Server]]:
        servers_by_pool: dict[messages.PoolRegion, list[membership.Server]] = {}
        # A pool that lost all its servers keeps its grantor.
        for pool_region in self._states:
            if pool_region.pool in self._pools:
                servers_by_pool[pool_region] = []
        for server in self._directory.servers.records():
            if server.region != self._cfg.region or server.state != "ready":
                continue
            if server.pool in self._pools:
                pool_region = messages.PoolRegion(server.pool, server.region)
                servers_by_pool.setdefault(pool_region, []).append(server)
        return servers_by_pool

    def _state(
        self, pool_region: messages.PoolRegion, now: float
    ) -> _PoolState:
        if pool_region not in self._states:
            self._states[pool_region] = _PoolState(
                election.Election(pool_region, self._cfg.me, self._cfg.control),
                health.HealthTracker(self._started),
                now,
            )
        return self._states[pool_region]

    def _tick_pool(
        self,
        pool_region: messages.PoolRegion,
        servers: list[membership.Server],
        now: float,
    ) -> list[messages.Effect]:
        state = self._state(pool_region, now)
        if state.election.idle:
            return self._maybe_campaign(pool_region, state, now)
        own_grantor = self.own_grantor(pool_region)
        unreported = (
            {member.name for member in own_grantor.unreported_members()}
            if own_grantor
            else set()
        )
        unreported.discard(election.UNKNOWN_MEMBER.name)
        region_entries = self._region_entries(pool_region.region)
        effects, won = state.election.tick(region_entries, unreported, now)
        if won is not None:
            effects += self._start_term(pool_region, won, now)
        own_grantor = self.own_grantor(pool_region)
        if own_grantor is None:
            return effects
        pool = grantor.PoolServers(
            self._pools[pool_region.pool], tuple(servers)
        )
        own_grantor.refresh(pool, now)
        own_grantor.me = self._cfg.me
        own_grantor.expire_holders(now)
        self._free_ended_incarnations(own_grantor)
        self._propose(pool_region, state, own_grantor, now)
        own_grantor.own_limit = state.election.effective_own_limit
        return (
            effects
            + own_grantor.serve_queue(now)
            + self._send_heartbeats(pool_region, now)
        )

    def _maybe_campaign(
        self, pool_region: messages.PoolRegion, state: _PoolState, now: float
    ) -> list[messages.Effect]:
        if (
            self.holder.grantor_name(pool_region, now) is not None
            or self._leaving
        ):
            self._states[pool_region] = state._replace(no_grantor_since=now)
            return []
        candidates = self._candidates(pool_region)
        rank = candidates.index(self._cfg.me.name)
        # The first candidate claims at once: control refuses the claim while
        # another entry's term is valid. The others wait, so that not all of
        # them claim at the same time.
        if now - state.no_grantor_since < rank * CAMPAIGN_STAGGER_S:
            return []
        if self._rng.random() < 0.3:
            return []
        slot_holder = self.holder
        return state.election.campaign(
            slot_holder.highest_term(pool_region),
            slot_holder.control_term(pool_region),
            now,
        )

    def _start_term(
        self,
        pool_region: messages.PoolRegion,
        won: election.WonTerm,
        now: float,
    ) -> list[messages.Effect]:
        state = self._states[pool_region]
        self._grantors[pool_region] = grantor.Grantor(
            won, pool_region, state.health, self._rng, now
        )
        self._next_heartbeat_at[pool_region] = 0.0
        fields = (
            ("pool", pool_region.pool),
            ("region", pool_region.region),
            ("term", won.term),
            ("reports", len(won.reports)),
            ("silent", len(won.unreported)),
            ("alone", state.election.standalone),
        )
        return [messages.LogDecision("grantor-elected", fields)]

    def _free_ended_incarnations(self, own_grantor: grantor.Grantor) -> None:
        for member in own_grantor.ledger.holders():
            record = self._directory.instances.get(member.name)
            if record is not None:
                own_grantor.ledger.end_incarnations(
                    member.name, record.incarnation
                )

    def _propose(
        self,
        pool_region: messages.PoolRegion,
        state: _PoolState,
        own_grantor: grantor.Grantor,
        now: float,
    ) -> None:
        """Propose the members that may hold slots.

        These are the ready entries of the region, the entries that requested
        or use slots, and members that were present recently.
        """
        ready_members = {
            messages.Member(entry.name, entry.incarnation)
            for entry in self._directory.ready_entries()
            if entry.region == pool_region.region
        }
        requesters = self._pending_members.pop(pool_region, set())
        slot_holders = own_grantor.ledger.holders() - {election.UNKNOWN_MEMBER}
        recent_members = {
            member
            for member in state.election.members
            if now - self._last_listed_at.get(member.name, self._started)
            < ABSENT_MEMBER_TIMEOUT_S
            and self._is_current(member)
        }
        members = (
            ready_members
            | requesters
            | slot_holders
            | recent_members
            | {self._cfg.me}
        )
        row = self._pools[pool_region.pool]
        quota = max(1, row.slots // OWN_SHARE_DIVISOR)
        intended_limit = quota if len(members) > 1 else row.slots
        own_limit = max(
            intended_limit, own_grantor.ledger.max_slots_used_by(self._cfg.me)
        )
        state.election.own_quota = quota
        state.election.propose(tuple(sorted(members)), own_limit)

    def _is_current(self, member: messages.Member) -> bool:
        """Return whether no newer incarnation of a member is known."""
        record = self._directory.instances.get(member.name)
        return record is None or record.incarnation <= member.incarnation

    def _send_heartbeats(
        self, pool_region: messages.PoolRegion, now: float
    ) -> list[messages.Effect]:
        if now < self._next_heartbeat_at.get(pool_region, 0.0):
            return []
        current_election = self._states[pool_region].election
        heartbeat = messages.GrantorHeartbeat(
            pool_region,
            current_election.term,
            self._cfg.me,
            current_election.standalone,
        )
        members = {member.name for member in current_election.members}
        names = sorted(members.union(self._region_entries(pool_region.region)))
        interval_s = (
            LARGE_HEARTBEAT_INTERVAL_S
            if len(names) > LARGE_MEMBER_COUNT
            else HEARTBEAT_INTERVAL_S
        )
        # Ticks come slightly early or late: a heartbeat is due on the tick
        # nearest to the interval's end.
        self._next_heartbeat_at[pool_region] = now + interval_s - HALF_TICK_S
        return [messages.Send(name, heartbeat) for name in names]

    def handle_claim(
        self, claim: messages.Claim, now: float
    ) -> list[messages.Effect]:
        """Vote on a claim; a granted vote reports the slots in use here."""
        vote = self.voter.vote(claim, now)
        if vote.granted:
            held_slots = self.holder.promise(claim.pool_region, claim.term)
            control_term = self.holder.control_term(claim.pool_region)
            standalone_term = self.holder.standalone_term(claim.pool_region)
            vote = vote._replace(
                held_slots=held_slots,
                control_term=control_term,
                standalone_term=standalone_term,
            )
        state = self._states.get(claim.pool_region)
        if state is not None:
            self._observe_term(claim.pool_region, state, vote.promised)
        return [messages.Send(claim.candidate.name, vote)]

    def _observe_term(
        self, pool_region: messages.PoolRegion, state: _PoolState, term: int
    ) -> None:
        if state.election.observe_term(term):
            self.holder.drop_grantor(pool_region, self._cfg.me.name)

    def handle_vote(
        self, vote: messages.Vote, now: float
    ) -> list[messages.Effect]:
        """Count a vote, and the slots of a report that was missing."""
        state = self._states.get(vote.pool_region)
        if state is None:
            return []
        self._observe_term(vote.pool_region, state, vote.promised)
        region_entries = self._region_entries(vote.pool_region.region)
        effects, won = state.election.record_vote(vote, region_entries, now)
        if won is not None:
            return effects + self._start_term(vote.pool_region, won, now)
        own_grantor = self.own_grantor(vote.pool_region)
        is_own = vote.candidate == self._cfg.me
        is_current = (
            is_own and vote.granted and vote.term == state.election.term
        )
        if (
            own_grantor is not None
            and is_current
            and vote.held_slots is not None
        ):
            own_grantor.ledger.add_report(vote.voter, vote.held_slots)
            effects += own_grantor.serve_queue(now)
        return effects

    def handle_heartbeat(
        self, heartbeat: messages.GrantorHeartbeat, sender: str, now: float
    ) -> list[messages.Effect]:
        """Record the grantor; redirect a grantor of an older term."""
        state = self._states.get(heartbeat.pool_region)
        if state is not None:
            self._observe_term(heartbeat.pool_region, state, heartbeat.term)
        if heartbeat.term < self.holder.highest_term(heartbeat.pool_region):
            return self._redirect(heartbeat.pool_region, sender, now)
        effects = self.holder.handle_heartbeat(heartbeat, now)
        is_accepted = (
            self.holder.grantor_name(heartbeat.pool_region, now)
            == heartbeat.grantor.name
        )
        is_other = heartbeat.grantor != self._cfg.me
        if (
            state is not None
            and is_accepted
            and is_other
            and not state.election.leading
        ):
            # Another entry claimed at the same time and won.
            state.election.step_down()
        return effects

    def _redirect(
        self, pool_region: messages.PoolRegion, to: str, now: float
    ) -> list[messages.Effect]:
        heartbeat = self.holder.last_heartbeat(pool_region, now)
        if heartbeat is None or heartbeat.grantor.name == to:
            return []
        return [messages.Send(to, heartbeat)]

    def handle_request(
        self, slot_request: messages.SlotRequest, now: float
    ) -> list[messages.Effect]:
        """Serve a slot request, or redirect it to the current grantor."""
        own_grantor = self.own_grantor(slot_request.pool_region)
        if own_grantor is None:
            return self._redirect(
                slot_request.pool_region, slot_request.holder.name, now
            )
        if self._states[slot_request.pool_region].election.may_hold_slots(
            slot_request.holder
        ):
            return own_grantor.handle_request(slot_request, now)
        # The holder sends the request again. It is answered once control has
        # accepted this member in the list.
        self._pending_members.setdefault(slot_request.pool_region, set()).add(
            slot_request.holder
        )
        return []

    def leave(self, now: float) -> list[messages.Effect]:
        """Stop granting, so that another entry can take over at once."""
        self._leaving = True
        effects: list[messages.Effect] = []
        for pool_region in self.granted_pools():
            state = self._states[pool_region]
            effects += self._grantors[pool_region].deny_all(now)
            state.election.step_down()
            resign = messages.Resign(
                pool_region, state.election.term, self._cfg.me
            )
            names = set(self._cfg.control).union(
                self._region_entries(pool_region.region)
            )
            effects += [messages.Send(name, resign) for name in sorted(names)]
        return effects


def _is_to(
    effect: messages.Effect, name: str
) -> typing.TypeGuard[messages.Send]:
    return isinstance(effect, messages.Send) and effect.to == name


def _weight(pool_region: messages.PoolRegion, name: str) -> bytes:
    text = f"{pool_region.pool} {pool_region.region} {name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@functools.singledispatch
def _handle(event: Event, node: Node, now: float) -> list[messages.Effect]:
    """Return the effects of an event."""
    raise TypeError(f"unknown event: {event!r}")


@_handle.register
def _(event: Acquire, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.acquire(event.ticket, event.req, now)


@_handle.register
def _(event: Cancel, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.cancel(event.ticket, now)


@_handle.register
def _(event: Release, node: Node, now: float) -> list[messages.Effect]:
    return node.holder.release(event.grant, event.attempt_result, now)


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
    raise TypeError(f"unknown message: {message!r}")


@_receive.register
def _(
    message: messages.Claim, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.handle_claim(message, now)


@_receive.register
def _(
    message: messages.Vote, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.handle_vote(message, now)


@_receive.register
def _(
    message: messages.Resign, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    node.voter.resign(message, now)
    node.holder.drop_grantor(message.pool_region, message.candidate.name)
    return []


@_receive.register
def _(
    message: messages.GrantorHeartbeat, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.handle_heartbeat(message, sender, now)


@_receive.register
def _(
    message: messages.SlotRequest, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.handle_request(message, now)


@_receive.register
def _(
    message: messages.SlotGranted, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.holder.handle_granted(sender, message, now)


@_receive.register
def _(
    message: messages.SlotDenied, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    return node.holder.handle_denied(message, now)


@_receive.register
def _(
    message: messages.SlotRelease, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    own_grantor = node.own_grantor(message.pool_region)
    return own_grantor.release(message, now) if own_grantor is not None else []


@_receive.register
def _(
    message: messages.SilentServers
    | messages.BusyServers
    | messages.LimitedServers,
    node: Node,
    sender: str,
    now: float,
) -> list[messages.Effect]:
    # Sent by an entry that chooses servers by itself. With granted slots the
    # grantor judges the servers.
    return []


@_receive.register
def _(
    message: messages.SlotSync, node: Node, sender: str, now: float
) -> list[messages.Effect]:
    own_grantor = node.own_grantor(message.pool_region)
    return own_grantor.sync(message, now) if own_grantor is not None else []
