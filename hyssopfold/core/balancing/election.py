"""Election of the entry that grants the slots of a pool in a region."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
import enum
from typing import NamedTuple

from hyssopfold.core.balancing import messages

RENEW_INTERVAL_S = 0.3
# How long a candidate waits for members' reports before it proceeds.
GATHER_TIMEOUT_S = 0.2
# Consecutive rounds with neither a majority of control nor a refusal, after
# which a candidate proceeds as a standalone grantor.
STANDALONE_AFTER_ROUNDS = 3
# Stands for members that a candidate without control cannot know.
UNKNOWN_MEMBER = messages.Member("", 0)

Members = tuple[messages.Member, ...]


class WonTerm(NamedTuple):
    """A term that this entry won, with the members' reports.

    `reports` lists the slots in use by member. The `unreported` members may
    use slots that were not reported. `previous_grantor` is the previous
    grantor, `previous_own_limit` the number of slots of a server that it may
    use itself.
    """

    term: int
    reports: Mapping[messages.Member, tuple[messages.HeldSlot, ...]]
    unreported: frozenset[messages.Member]
    previous_grantor: messages.Member | None = None
    previous_own_limit: int = 0


class _Phase(enum.Enum):
    IDLE = "idle"
    PREPARE = "prepare"
    GATHER = "gather"
    ACCEPT = "accept"
    LEAD = "lead"


class Election:
    """One entry's part in the election of a grantor; used by `node.Node`.

    It claims a term, renews it, and maintains the list of members that may
    hold slots. A majority of the control instances grants a term and stores
    that list. The rule that no slot is granted twice depends neither on this
    majority nor on clocks: a grantor grants only slots that members reported
    or released to it, and all other slots once every listed member has
    reported and has thereby promised to refuse older terms. The majority is
    needed to learn the list. If control is unreachable, a grantor continues.
    Without a grantor, a candidate becomes a standalone grantor of the
    reported slots, and withholds the others until control is reachable again.

    Args:
        pool_region: The pool and region whose slots are granted.
        me: This incarnation of the entry.
        control: Names of the control instances.
    """

    def __init__(
        self,
        pool_region: messages.PoolRegion,
        me: messages.Member,
        control: Collection[str],
    ) -> None:
        self.pool_region = pool_region
        self.term = 0
        self.members: Members = ()
        self.standalone = False
        # Slots of a server that a grantor may use itself, if there are other
        # members.
        self.own_quota = 1
        self.own_limit = 0
        self._established_own_limit = 0
        self._proposed_own_limit = 0
        self._previous_grantor: messages.Member | None = None
        self._previous_own_limit = 0
        self._me = me
        self._control_names = frozenset(control)
        self._phase = _Phase.IDLE
        self._round = 0
        self._sent_at = 0.0
        self._gather_started_at = 0.0
        self._votes: dict[str, messages.Vote] = {}
        self._reports: dict[str, messages.Vote] = {}
        self._polled: set[str] = set()
        self._newest_accepted = (0, 0)
        self._accepted_members: Members = ()
        self._highest_term = 0
        self._version = 0
        # Members that control has accepted; only these may be granted slots.
        self._established: Members = ()
        self._confirmed_versions: dict[str, int] = {}
        self._proposal: Members | None = None
        self._rounds_without_majority = 0
        self._control_term = 0
        self._standalone_term = 0

    @property
    def idle(self) -> bool:
        """Return whether this entry neither claims nor has a term."""
        return self._phase is _Phase.IDLE

    @property
    def leading(self) -> bool:
        """Return whether this entry has won a term and not yet given it up."""
        return self._phase is _Phase.LEAD

    def may_hold_slots(self, member: messages.Member) -> bool:
        """Return whether an incarnation of an entry may be granted slots."""
        return member in self._established

    def campaign(
        self, highest_term: int, control_term: int, now: float
    ) -> list[messages.Effect]:
        """Start to claim the next term.

        Args:
            highest_term: Highest known term.
            control_term: Highest known term that control granted.
            now: Monotonic seconds.

        Returns:
            The claims to send.
        """
        self.term = max(self.term, highest_term, self._highest_term) + 1
        self._control_term = control_term
        self._phase = _Phase.PREPARE
        self._newest_accepted, self._accepted_members, self._version = (
            (0, 0),
            (),
            0,
        )
        self._previous_grantor, self._previous_own_limit = None, 0
        self._standalone_term, self._proposed_own_limit = 0, 0
        self._established, self._confirmed_versions = (), {}
        self._reports, self._proposal, self.standalone = {}, None, False
        self._polled = set()
        return self._start_round(self._control_names, now)

    def step_down(self) -> None:
        """Give up the term or the claim of one."""
        self._phase = _Phase.IDLE

    @property
    def effective_own_limit(self) -> int:
        """Return how many slots of a server this entry may use itself now."""
        return min(
            self.own_limit,
            self._established_own_limit,
            self._proposed_own_limit,
        )

    def propose(self, members: Members, own_limit: int) -> None:
        """Propose a list of members; it takes effect when control accepts it.

        Args:
            members: Members that may hold slots.
            own_limit: Slots of a server that this entry may use itself; at
                least as many as it uses.
        """
        self._proposal = members
        self._proposed_own_limit = own_limit

    def observe_term(self, term: int) -> bool:
        """Record a term of another entry.

        Returns:
            Whether this entry had won its own term and lost it now.
        """
        self._highest_term = max(self._highest_term, term)
        if term <= self.term or self.idle:
            return False
        was_leading = self.leading
        self.step_down()
        return was_leading

    def tick(
        self,
        region_entries: Collection[str],
        unreported: Collection[str],
        now: float,
    ) -> tuple[list[messages.Effect], WonTerm | None]:
        """Renew the term, or continue or give up a claim; call every 0.1 s.

        Args:
            region_entries: Names of the entries of this region.
            unreported: Names of members whose report is still missing.
            now: Monotonic seconds.

        Returns:
            The claims to send, and the term if it was won.
        """
        if self._phase is _Phase.GATHER:
            if now - self._gather_started_at < GATHER_TIMEOUT_S:
                return [], None
            return self._propose_members(now)
        if self.idle or now - self._sent_at < RENEW_INTERVAL_S:
            return [], None
        if self.leading:
            return self._renew(unreported, now), None
        refused = any(not vote.granted for vote in self._votes.values())
        self._rounds_without_majority = (
            0 if refused else self._rounds_without_majority + 1
        )
        if self._rounds_without_majority < STANDALONE_AFTER_ROUNDS:
            self.step_down()
            return [], None
        self.standalone = True
        return self._gather(region_entries, now), None

    def _renew(
        self, unreported: Collection[str], now: float
    ) -> list[messages.Effect]:
        has_majority = self._has_control_majority()
        if self.standalone and has_majority:
            # Control is reachable again: claim a term that control grants,
            # which also restores the list of members.
            return self.campaign(self.term, self._control_term, now)
        settled = (self.members, self.own_limit) == (
            self._established,
            self._established_own_limit,
        )
        if self._proposal is not None and settled and not self.standalone:
            changed = set(self._proposal) != set(self.members)
            changed |= self._proposed_own_limit != self.own_limit
            if changed:
                self._version += 1
                self.members = self._proposal
                self.own_limit = self._proposed_own_limit
        self._proposal = None
        targets = self._control_names | set(unreported) | {self._me.name}
        return self._start_round(targets, now)

    def record_vote(
        self, vote: messages.Vote, region_entries: Collection[str], now: float
    ) -> tuple[list[messages.Effect], WonTerm | None]:
        """Count a vote.

        Args:
            vote: The vote.
            region_entries: Names of the entries of this region.
            now: Monotonic seconds.

        Returns:
            The claims to send, and the term if it was won.
        """
        self.observe_term(vote.promised)
        is_own = vote.term == self.term and vote.candidate == self._me
        if self.idle or not is_own:
            return [], None
        self._control_term = max(self._control_term, vote.control_term)
        self._standalone_term = max(self._standalone_term, vote.standalone_term)
        if vote.granted and vote.held_slots is not None:
            self._reports[vote.voter.name] = vote
        if vote.round != self._round:
            return [], None
        self._votes[vote.voter.name] = vote
        if self._phase in (_Phase.PREPARE, _Phase.GATHER):
            return self._record_promise(vote, region_entries, now)
        if vote.granted:
            self._confirmed_versions[vote.voter.name] = self._version
        else:
            self._confirmed_versions.pop(vote.voter.name, None)
        if not self._has_control_majority() or self.standalone:
            return [], None
        self._established = self.members
        self._established_own_limit = self.own_limit
        if self.leading:
            return [], None
        return [], self._win()

    def _start_round(
        self, targets: Collection[str], now: float
    ) -> list[messages.Effect]:
        self._round += 1
        self._sent_at = now
        self._votes = {}
        return [self._claim(name) for name in sorted(targets)]

    def _claim(self, name: str) -> messages.Effect:
        # A standalone candidate does not know control's list. It must not
        # replace it by a shorter one when control is reachable again.
        version = 0 if self.standalone else self._version
        is_confirmed = self._confirmed_versions.get(name) == version
        members = None if is_confirmed or not version else self.members
        claim = messages.Claim(
            self.pool_region,
            self.term,
            self._me,
            self._round,
            version,
            members,
            self.own_limit,
        )
        return messages.Send(name, claim)

    def _has_control_majority(self) -> bool:
        granted = {name for name, vote in self._votes.items() if vote.granted}
        return len(self._control_names & granted) * 2 > len(self._control_names)

    def _record_promise(
        self, vote: messages.Vote, region_entries: Collection[str], now: float
    ) -> tuple[list[messages.Effect], WonTerm | None]:
        accepted = (vote.accepted_term, vote.accepted_version)
        if accepted > self._newest_accepted:
            self._newest_accepted, self._accepted_members = (
                accepted,
                vote.accepted_members,
            )
            self._previous_grantor, self._previous_own_limit = (
                vote.accepted_candidate,
                vote.accepted_own_limit,
            )
        if self._phase is _Phase.PREPARE:
            if not self._has_control_majority():
                return [], None
            self._rounds_without_majority = 0
            return self._gather(region_entries, now), None
        effects = self._poll_members(())
        if self._unanswered():
            return effects, None
        return self._propose_members(now)

    def _gather(
        self, region_entries: Collection[str], now: float
    ) -> list[messages.Effect]:
        # Entries are polled only now: their promise makes them refuse grants
        # of the previous grantor, which may continue as long as control has
        # not granted a newer term.
        self._phase = _Phase.GATHER
        self._gather_started_at = now
        return self._poll_members(region_entries)

    def _poll_members(
        self, region_entries: Collection[str]
    ) -> list[messages.Effect]:
        names = {member.name for member in self._accepted_members}.union(
            region_entries
        )
        names = (names | {self._me.name}) - self._polled
        self._polled |= names
        return [self._claim(name) for name in sorted(names)]

    def _unanswered(self) -> set[str]:
        return self._polled - self._reports.keys()

    def _propose_members(
        self, now: float
    ) -> tuple[list[messages.Effect], WonTerm | None]:
        if self._me.name not in self._reports:
            # This entry has promised its vote to another candidate meanwhile.
            self.step_down()
            return [], None
        members_by_name = {
            member.name: member for member in self._accepted_members
        }
        for name in self._polled:
            vote = self._reports.get(name)
            if vote is not None:
                members_by_name[name] = vote.voter
        members_by_name[self._me.name] = self._me
        self.members = tuple(
            members_by_name[name] for name in sorted(members_by_name)
        )
        self._version = 1
        self.own_limit = max(self.own_quota, self._own_usage())
        if self.standalone:
            self._established = self.members
            self._established_own_limit = self.own_limit
            return [], self._win()
        self._phase = _Phase.ACCEPT
        targets = self._control_names | {member.name for member in self.members}
        return self._start_round(targets, now), None

    def _own_usage(self) -> int:
        own_vote = self._reports.get(self._me.name)
        held_slots = (
            own_vote.held_slots
            if own_vote is not None and own_vote.held_slots
            else ()
        )
        slots_by_server = Counter(slot.server_id for slot in held_slots)
        return max(slots_by_server.values(), default=0)

    def _win(self) -> WonTerm:
        self._phase = _Phase.LEAD
        reports = {
            vote.voter: vote.held_slots or () for vote in self._reports.values()
        }
        unreported = {
            member for member in self.members if member not in reports
        }
        # An entry that did not answer may hold slots of a term that control
        # does not know.
        names = {member.name for member in (*reports, *unreported)}
        unreported |= {
            messages.Member(name, 0) for name in self._polled - names
        }
        if self.standalone or self._newest_accepted[0] < self._control_term:
            # Control is unreachable, or lost the list when all its instances
            # restarted: unknown members may hold slots.
            unreported.add(UNKNOWN_MEMBER)
        # If a standalone grantor succeeded the last grantor that control
        # knows, that one became an ordinary holder without an own limit.
        previous_grantor = (
            self._previous_grantor
            if self._standalone_term <= self._newest_accepted[0]
            else None
        )
        return WonTerm(
            self.term,
            reports,
            frozenset(unreported),
            previous_grantor,
            self._previous_own_limit,
        )
