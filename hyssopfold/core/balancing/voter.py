"""Votes on the grantor of a pool's slots in a region, under leases."""

from collections.abc import Mapping
from typing import NamedTuple

from hyssopfold.core.balancing import messages

LEASE_S = 1.0


class VoteState(NamedTuple):
    """A voter's promise for a pool in a region, and the list it accepted last.

    `candidate` has the vote for `term`, under a lease until `until` in
    monotonic seconds of one process; all other fields outlive the process on
    disk. The list of `members` was accepted from `accepted_candidate` for
    `accepted_term` and `accepted_version`; `own_limit` belongs to the list
    (see `messages.Claim`).
    """

    term: int
    candidate: messages.Member | None
    until: float
    accepted_term: int
    accepted_version: int
    members: tuple[messages.Member, ...]
    accepted_candidate: messages.Member | None = None
    own_limit: int = 0


_NO_STATE = VoteState(0, None, 0.0, 0, 0, ())


class Voter:
    """A voter of an instance: it votes for one grantor at a time.

    Control instances and entries use the same rules. If `changed` is set, a
    control instance must write the result of `durable` to disk before it
    sends a vote: if it lost a vote in a restart, a candidate could miss a
    list of members. The lease is not written; a restarted instance does not
    vote until the leases of its previous incarnation have expired.

    Args:
        me: This incarnation of the instance.
        started: Monotonic time of its start, in seconds.
        lease_s: Lease of a vote in seconds; 0 for entries, whose votes only
            order the terms.
        states: State that the previous incarnation wrote to disk.
    """

    def __init__(
        self,
        me: messages.Member,
        started: float,
        lease_s: float = LEASE_S,
        states: Mapping[messages.PoolRegion, VoteState] | None = None,
    ) -> None:
        self._me = me
        self._lease_s = lease_s
        self._votes_from = started + lease_s
        self._states = {
            pool_region: state._replace(until=0.0)
            for pool_region, state in (states or {}).items()
        }
        self.changed = False

    def durable(self) -> dict[messages.PoolRegion, VoteState]:
        """Return the state to write to disk, and clear `changed`."""
        self.changed = False
        return dict(self._states)

    def promised_term(self, pool_region: messages.PoolRegion) -> int:
        """Return the highest promised term."""
        return self._states.get(pool_region, _NO_STATE).term

    def members(
        self, pool_region: messages.PoolRegion
    ) -> tuple[messages.Member, ...]:
        """Return the newest accepted list of members."""
        return self._states.get(pool_region, _NO_STATE).members

    def vote(self, claim: messages.Claim, now: float) -> messages.Vote:
        """Return the vote on a claim; the lease of a granted one begins now."""
        state = self._states.get(claim.pool_region, _NO_STATE)
        granted = self._may_grant(claim, state, now)
        if granted:
            previous = state
            state = _accept(claim, state, now + self._lease_s)
            self._states[claim.pool_region] = state
            self.changed |= state._replace(until=previous.until) != previous
        return messages.Vote(
            claim.pool_region,
            claim.term,
            claim.candidate,
            self._me,
            claim.round,
            granted,
            state.term,
            state.accepted_term,
            state.accepted_version,
            state.members,
            state.accepted_candidate,
            state.own_limit,
            0,
            0,
            None,
        )

    def resign(self, resign: messages.Resign, now: float) -> None:
        """End the lease of a grantor that resigned."""
        state = self._states.get(resign.pool_region)
        if state is None or state.term != resign.term:
            return
        if state.candidate == resign.candidate:
            self._states[resign.pool_region] = state._replace(until=now)

    def _may_grant(
        self, claim: messages.Claim, state: VoteState, now: float
    ) -> bool:
        if now < self._votes_from or claim.term < state.term:
            return False
        same_candidate = claim.candidate == state.candidate
        if claim.term == state.term and not same_candidate:
            return False
        if state.until > now and not same_candidate:
            # Another candidate's lease is valid: there must not be two grantors
            # at the same time, which could grant the same slot twice.
            return False
        if claim.version and claim.members is None:
            accepted = (state.accepted_term, state.accepted_version)
            return accepted == (claim.term, claim.version)
        return True


def _accept(claim: messages.Claim, state: VoteState, until: float) -> VoteState:
    state = state._replace(
        term=claim.term, candidate=claim.candidate, until=until
    )
    if claim.members is None:
        return state
    if (claim.term, claim.version) < (
        state.accepted_term,
        state.accepted_version,
    ):
        return state
    return state._replace(
        accepted_term=claim.term,
        accepted_version=claim.version,
        members=claim.members,
        accepted_candidate=claim.candidate,
        own_limit=claim.own_limit,
    )
