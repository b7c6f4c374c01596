"""Votes on who grants the slots of a pool in a region, under leases."""

from collections.abc import Mapping
from typing import NamedTuple

from hyssopfold.core.balancing import messages

LEASE_S = 1.0


class VoteState(NamedTuple):
    """What was promised for a key, and the last list that was accepted.

    `until` is monotonic time of one process; all else outlives it on disk.
    """

    term: int
    candidate: messages.Member | None
    until: float
    accepted_term: int
    accepted_version: int
    members: tuple[messages.Member, ...]
    accepted_candidate: messages.Member | None = None
    own_limit: int = 0


_BLANK = VoteState(0, None, 0.0, 0, 0, ())


class Voter:
    """Vote for one grantor at a time.

    Control instances and entries vote alike. A control instance syncs what
    `durable` gives before it answers, if `changed` says so: a vote that were
    forgotten in a restart could let a candidate miss a list of members. The
    lease is not synced; one that was restarted does not vote until votes of
    its last life have lapsed.

    Args:
        me: This life of the instance.
        started: Monotonic time of its start, in seconds.
        lease_s: Seconds that a vote holds; 0 for entries, whose votes only
            order the terms.
        promises: What the last life promised.
    """

    def __init__(
        self,
        me: messages.Member,
        started: float,
        lease_s: float = LEASE_S,
        promises: Mapping[messages.PoolRegion, VoteState] | None = None,
    ) -> None:
        self._me = me
        self._lease_s = lease_s
        self._votes_from = started + lease_s
        self._promises = {
            key: held._replace(until=0.0)
            for key, held in (promises or {}).items()
        }
        self.changed = False

    def durable(self) -> dict[messages.PoolRegion, VoteState]:
        """Return what must outlive this process; it counts as synced now."""
        self.changed = False
        return dict(self._promises)

    def promised(self, key: messages.PoolRegion) -> int:
        """Return the highest term promised."""
        return self._promises.get(key, _BLANK).term

    def members(self, key: messages.PoolRegion) -> tuple[messages.Member, ...]:
        """Return the newest list of members accepted."""
        return self._promises.get(key, _BLANK).members

    def vote(self, claim: messages.Claim, now: float) -> messages.Vote:
        """Return the vote on a claim; a granted one holds `lease_s`."""
        held = self._promises.get(claim.key, _BLANK)
        granted = self._may_grant(claim, held, now)
        if granted:
            before = held
            held = _accept(claim, held, now + self._lease_s)
            self._promises[claim.key] = held
            self.changed |= held._replace(until=before.until) != before
        return messages.Vote(
            claim.key,
            claim.term,
            claim.candidate,
            self._me,
            claim.round,
            granted,
            held.term,
            held.accepted_term,
            held.accepted_version,
            held.members,
            held.accepted_candidate,
            held.own_limit,
            0,
            0,
            None,
        )

    def resign(self, resign: messages.Resign, now: float) -> None:
        """End the lease of a grantor that says that it grants no more."""
        held = self._promises.get(resign.key)
        if held is None or held.term != resign.term:
            return
        if held.candidate == resign.candidate:
            self._promises[resign.key] = held._replace(until=now)

    def _may_grant(
        self, claim: messages.Claim, held: VoteState, now: float
    ) -> bool:
        if now < self._votes_from or claim.term < held.term:
            return False
        same = claim.candidate == held.candidate
        if claim.term == held.term and not same:
            return False
        if held.until > now and not same:
            # Two grantors at once would grant one slot twice.
            return False
        if claim.version and claim.members is None:
            seen = (held.accepted_term, held.accepted_version)
            return seen == (claim.term, claim.version)
        return True


def _accept(claim: messages.Claim, held: VoteState, until: float) -> VoteState:
    held = held._replace(
        term=claim.term, candidate=claim.candidate, until=until
    )
    if claim.members is None:
        return held
    if (claim.term, claim.version) < (
        held.accepted_term,
        held.accepted_version,
    ):
        return held
    return held._replace(
        accepted_term=claim.term,
        accepted_version=claim.version,
        members=claim.members,
        accepted_candidate=claim.candidate,
        own_limit=claim.own_limit,
    )
