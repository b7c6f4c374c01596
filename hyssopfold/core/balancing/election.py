"""Winning and keeping the right to grant the slots of a pool in a region."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
import enum
from typing import NamedTuple

from hyssopfold.core.balancing import messages

RENEW_S = 0.3
# How long a candidate waits for members' reports before it goes on.
GATHER_S = 0.2
# Rounds without a majority of control until a candidate goes on without.
ROUNDS_ALONE = 3
# Stands for members that a candidate without control cannot know of.
UNKNOWN = messages.Member("", 0)

Members = tuple[messages.Member, ...]


class Won(NamedTuple):
    """A term was won; `silent` ones may use slots that were not reported."""

    term: int
    reports: Mapping[messages.Member, tuple[messages.HeldSlot, ...]]
    silent: frozenset[messages.Member]
    # The last grantor, and how many slots of a server it may use itself.
    last: messages.Member | None = None
    last_own_limit: int = 0


class _Phase(enum.Enum):
    IDLE = "idle"
    PREPARE = "prepare"
    GATHER = "gather"
    ACCEPT = "accept"
    LEAD = "lead"


class Election:
    """Claim a term, keep it, and keep the list of who may hold slots.

    A majority of the control instances gives a term and keeps the list of
    members that may hold slots. That no slot is granted twice does not rest
    on it, nor on clocks: a grantor grants only slots that members reported
    to it or gave back to it, and all others once every listed member has
    reported and so promised to refuse older terms. The majority is needed
    to know that list. When control is cut off, a grantor goes on; without a
    grantor a candidate goes on with what is reported, and keeps back the
    rest until control is there again.

    Args:
        key: What is granted.
        me: This life of the entry.
        control: Names of the control instances.
    """

    def __init__(
        self,
        key: messages.PoolRegion,
        me: messages.Member,
        control: Collection[str],
    ) -> None:
        self.key = key
        self.term = 0
        self.members: Members = ()
        self.alone = False
        # Slots of a server that a grantor may use itself beside others.
        self.own_quota = 1
        self.own_limit = 0
        self._established_own_limit = 0
        self._proposed_own_limit = 0
        self._last: messages.Member | None = None
        self._last_own_limit = 0
        self._me = me
        self._control = frozenset(control)
        self._phase = _Phase.IDLE
        self._round = 0
        self._sent_at = 0.0
        self._gather_from = 0.0
        self._votes: dict[str, messages.Vote] = {}
        self._reports: dict[str, messages.Vote] = {}
        self._asked: set[str] = set()
        self._seen = (0, 0)
        self._listed: Members = ()
        self._highest = 0
        self._version = 0
        # Members that control has accepted; only these may get slots.
        self._established: Members = ()
        self._confirmed: dict[str, int] = {}
        self._proposal: Members | None = None
        self._rounds_alone = 0
        self._control_term = 0
        self._standalone_term = 0

    @property
    def idle(self) -> bool:
        """Return whether no claim is under way and no term is held."""
        return self._phase is _Phase.IDLE

    @property
    def leading(self) -> bool:
        """Return whether a term was won and not yet given up."""
        return self._phase is _Phase.LEAD

    def may_hold(self, member: messages.Member) -> bool:
        """Return whether a life of an entry may be granted slots."""
        return member in self._established

    def campaign(
        self, known_term: int, control_term: int, now: float
    ) -> list[messages.Effect]:
        """Begin to claim the next term.

        Args:
            known_term: Highest term heard of.
            control_term: Highest term heard of that control had given.
            now: Monotonic seconds.
        """
        self.term = max(self.term, known_term, self._highest) + 1
        self._control_term = control_term
        self._phase = _Phase.PREPARE
        self._seen, self._listed, self._version = (0, 0), (), 0
        self._last, self._last_own_limit = None, 0
        self._standalone_term, self._proposed_own_limit = 0, 0
        self._established, self._confirmed = (), {}
        self._reports, self._proposal, self.alone = {}, None, False
        self._asked = set()
        return self._next_round(self._control, now)

    def step_down(self) -> None:
        """Grant no more under this term."""
        self._phase = _Phase.IDLE

    @property
    def own_allowed(self) -> int:
        """Return how many slots of a server this entry may use itself."""
        return min(
            self.own_limit,
            self._established_own_limit,
            self._proposed_own_limit,
        )

    def propose(self, members: Members, own_limit: int) -> None:
        """Propose another list; it counts once control has accepted it.

        Args:
            members: Who may hold slots.
            own_limit: Slots of a server that this entry may use itself; not
                below what it uses.
        """
        self._proposal = members
        self._proposed_own_limit = own_limit

    def heard_term(self, term: int) -> bool:
        """Note a term of another; return whether it ended this entry's."""
        self._highest = max(self._highest, term)
        if term <= self.term or self.idle:
            return False
        led = self.leading
        self.step_down()
        return led

    def tick(
        self, nearby: Collection[str], silent: Collection[str], now: float
    ) -> tuple[list[messages.Effect], Won | None]:
        """Renew, go on, or give up a claim that got too few votes.

        Args:
            nearby: Names of the entries of this region.
            silent: Names of members whose report is still missing.
            now: Monotonic seconds.
        """
        if self._phase is _Phase.GATHER:
            if now - self._gather_from < GATHER_S:
                return [], None
            return self._accept(now)
        if self.idle or now - self._sent_at < RENEW_S:
            return [], None
        if self.leading:
            return self._renew(silent, now), None
        refused = any(not vote.granted for vote in self._votes.values())
        self._rounds_alone = 0 if refused else self._rounds_alone + 1
        if self._rounds_alone < ROUNDS_ALONE:
            self.step_down()
            return [], None
        self.alone = True
        return self._gather(nearby, now), None

    def _renew(
        self, silent: Collection[str], now: float
    ) -> list[messages.Effect]:
        heard = self._by_control()
        if self.alone and heard:
            # Control is there again: a proper term tells who may hold slots.
            return self.campaign(self.term, self._control_term, now)
        settled = (self.members, self.own_limit) == (
            self._established,
            self._established_own_limit,
        )
        if self._proposal is not None and settled and not self.alone:
            changed = set(self._proposal) != set(self.members)
            changed |= self._proposed_own_limit != self.own_limit
            if changed:
                self._version += 1
                self.members = self._proposal
                self.own_limit = self._proposed_own_limit
        self._proposal = None
        targets = self._control | set(silent) | {self._me.name}
        return self._next_round(targets, now)

    def take(
        self, vote: messages.Vote, nearby: Collection[str], now: float
    ) -> tuple[list[messages.Effect], Won | None]:
        """Count a vote; return claims to send, and the term once won."""
        self.heard_term(vote.promised)
        mine = vote.term == self.term and vote.candidate == self._me
        if self.idle or not mine:
            return [], None
        self._control_term = max(self._control_term, vote.control_term)
        self._standalone_term = max(self._standalone_term, vote.standalone_term)
        if vote.granted and vote.held_slots is not None:
            self._reports[vote.voter.name] = vote
        if vote.round != self._round:
            return [], None
        self._votes[vote.voter.name] = vote
        if self._phase in (_Phase.PREPARE, _Phase.GATHER):
            return self._take_promise(vote, nearby, now)
        if vote.granted:
            self._confirmed[vote.voter.name] = self._version
        else:
            self._confirmed.pop(vote.voter.name, None)
        if not self._by_control() or self.alone:
            return [], None
        self._established = self.members
        self._established_own_limit = self.own_limit
        if self.leading:
            return [], None
        return [], self._win()

    def _next_round(
        self, targets: Collection[str], now: float
    ) -> list[messages.Effect]:
        self._round += 1
        self._sent_at = now
        self._votes = {}
        return [self._claim(name) for name in sorted(targets)]

    def _claim(self, name: str) -> messages.Effect:
        # Without control its list is not known, and must not be replaced
        # by a shorter one when control is there again.
        version = 0 if self.alone else self._version
        known = self._confirmed.get(name) == version
        members = None if known or not version else self.members
        claim = messages.Claim(
            self.key,
            self.term,
            self._me,
            self._round,
            version,
            members,
            self.own_limit,
        )
        return messages.Send(name, claim)

    def _by_control(self) -> bool:
        granted = {name for name, one in self._votes.items() if one.granted}
        return len(self._control & granted) * 2 > len(self._control)

    def _take_promise(
        self, vote: messages.Vote, nearby: Collection[str], now: float
    ) -> tuple[list[messages.Effect], Won | None]:
        seen = (vote.accepted_term, vote.accepted_version)
        if seen > self._seen:
            self._seen, self._listed = seen, vote.accepted_members
            self._last, self._last_own_limit = (
                vote.accepted_candidate,
                vote.accepted_own_limit,
            )
        if self._phase is _Phase.PREPARE:
            if not self._by_control():
                return [], None
            self._rounds_alone = 0
            return self._gather(nearby, now), None
        sends = self._ask_members(())
        if self._missing():
            return sends, None
        return self._accept(now)

    def _gather(
        self, nearby: Collection[str], now: float
    ) -> list[messages.Effect]:
        # Entries are asked only now: their promise makes them refuse what
        # the last grantor grants, and it may go on while control lets it.
        self._phase = _Phase.GATHER
        self._gather_from = now
        return self._ask_members(nearby)

    def _ask_members(self, nearby: Collection[str]) -> list[messages.Effect]:
        names = {one.name for one in self._listed}.union(nearby)
        names = (names | {self._me.name}) - self._asked
        self._asked |= names
        return [self._claim(name) for name in sorted(names)]

    def _missing(self) -> set[str]:
        return self._asked - self._reports.keys()

    def _accept(self, now: float) -> tuple[list[messages.Effect], Won | None]:
        if self._me.name not in self._reports:
            # This entry has promised another candidate meanwhile.
            self.step_down()
            return [], None
        lives = {one.name: one for one in self._listed}
        for name in self._asked:
            vote = self._reports.get(name)
            if vote is not None:
                lives[name] = vote.voter
        lives[self._me.name] = self._me
        self.members = tuple(lives[name] for name in sorted(lives))
        self._version = 1
        self.own_limit = max(self.own_quota, self._own_use())
        if self.alone:
            self._established = self.members
            self._established_own_limit = self.own_limit
            return [], self._win()
        self._phase = _Phase.ACCEPT
        targets = self._control | {one.name for one in self.members}
        return self._next_round(targets, now), None

    def _own_use(self) -> int:
        mine = self._reports.get(self._me.name)
        holds = mine.held_slots if mine is not None and mine.held_slots else ()
        used = Counter(hold.server_id for hold in holds)
        return max(used.values(), default=0)

    def _win(self) -> Won:
        self._phase = _Phase.LEAD
        reports = {
            vote.voter: vote.held_slots or () for vote in self._reports.values()
        }
        silent = {one for one in self.members if one not in reports}
        # An entry that did not answer may hold slots of a term that control
        # knows nothing of.
        known = {one.name for one in (*reports, *silent)}
        silent |= {messages.Member(name, 0) for name in self._asked - known}
        if self.alone or self._seen[0] < self._control_term:
            # Control is cut off, or has lost the list in a restart of all
            # its instances: members that are not known of may hold slots.
            silent.add(UNKNOWN)
        # A grantor without control came after: under it, the last one that
        # control knows of was a holder, without a limit.
        last = self._last if self._standalone_term <= self._seen[0] else None
        return Won(
            self.term, reports, frozenset(silent), last, self._last_own_limit
        )
