"""What a member knows of the other control instances from their words."""

from collections.abc import Sequence
from typing import NamedTuple

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import quorums
from hyssopfold.core.consensus import replica as replica_module
from hyssopfold.core.consensus import voter_selection

RECENT_S = 5.0
# Seconds without a word, of which one is due every second where instances
# find each other. One missed is enough to let a newcomer vote beside a member
# that may be lost, which costs nothing if it is not; five are asked for before
# a member's vote is taken for good.
SUSPECT_S = 1.6
LOST_S = 6.0
MAX_OBSERVED_STARTS = 32

CONFIRMING = "it waits until others have confirmed its data folder"
OLDER_COPY = (
    "its data folder is an older copy: stop it, move the folder aside and"
    " start it again; it comes back blank and is admitted anew"
)
RETIRED = (
    "it was removed or replaced: move its data folder aside, or leave it off"
)
OTHER_CLUSTER = (
    "its data folder belongs to another cluster: move the folder aside and"
    " start it again"
)


class _ReceivedStatus(NamedTuple):
    status: messages.Status
    at: float


class Peers:
    """Keep the latest status of each other instance, and judge by it.

    Args:
        replica: What this member holds and knows.
        configured: Control instances in the settings, this one included.
        first_start: Whether a cluster may be formed where all are blank.
        region: Region that this instance runs in.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        configured: Sequence[messages.Endpoint],
        first_start: bool = True,
        region: str = "",
    ) -> None:
        self._replica = replica
        self.first_start = first_start
        self._region = region
        self._configured = tuple(sorted(configured))
        self._received: dict[str, _ReceivedStatus] = {}
        # Since when a member that was never heard of is waited for.
        self._awaited_since: dict[str, float] = {}
        identity = replica.identity
        self._observed_starts = {
            s.member_id: s for s in identity.observed_starts
        }
        self._confirmed_by: set[str] = set()
        self.stale = False

    @property
    def configured_names(self) -> tuple[str, ...]:
        """Return the names in the settings, sorted."""
        return tuple(endpoint.name for endpoint in self._configured)

    def recent_statuses(self, now: float) -> list[messages.Status]:
        """Return the words of those heard of lately."""
        return [
            received.status
            for received in self._received.values()
            if now - received.at <= RECENT_S
        ]

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all other instances that are worth talking to."""
        found = {endpoint.name: endpoint for endpoint in self._configured}
        for voter in self._replica.register.voters():
            found[voter.name] = voter.endpoint
        for name, received in self._received.items():
            found[name] = received.status.member.endpoint
        found.pop(self._replica.identity.member.name, None)
        return list(found.values())

    def endpoint_of(self, member_id: str) -> messages.Endpoint | None:
        """Return where the instance with this id is reached."""
        name = member_id.partition("#")[0]
        for endpoint in self.endpoints():
            if endpoint.name == name:
                return endpoint
        return None

    def observed_start_of(
        self, member_id: str
    ) -> messages.ObservedStart | None:
        """Return what was seen of a member."""
        return self._observed_starts.get(member_id)

    def record_accepted(
        self, member_id: str, accepted: messages.Ballot, nonce: str
    ) -> None:
        """Remember a vote, so that a folder without it is known as a copy."""
        known = self._observed_starts.get(member_id)
        if known is not None and known.nonce == nonce:
            newest = max(known.accepted, accepted)
            self._observed_starts[member_id] = known._replace(accepted=newest)

    def record_status(
        self,
        status: messages.Status,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        """Take in the word of another instance."""
        self._received[status.member.name] = _ReceivedStatus(status, now)
        self._record_start(status, effects)
        self._check_own_start(status)

    def _record_start(
        self, status: messages.Status, effects: list[messages.Effect]
    ) -> None:
        member_id = status.member.id
        known = self._observed_starts.get(member_id)
        if known is not None and known.nonce == status.nonce:
            self.record_accepted(member_id, status.accepted, status.nonce)
            return
        if known is not None and _is_older(status, known):
            return
        self._observed_starts.pop(member_id, None)
        self._observed_starts[member_id] = messages.ObservedStart(
            member_id, status.starts, status.nonce, status.accepted
        )
        while len(self._observed_starts) > MAX_OBSERVED_STARTS:
            del self._observed_starts[next(iter(self._observed_starts))]
        observed_starts = tuple(self._observed_starts.values())
        effects.append(messages.SaveObservedStarts(observed_starts))

    def _check_own_start(self, status: messages.Status) -> None:
        """Learn from what the other has seen of this instance."""
        observed_start = status.observed_start
        identity = self._replica.identity
        if (
            observed_start is None
            or observed_start.member_id != self._replica.id
        ):
            return
        if observed_start.nonce == identity.nonce:
            self._confirmed_by |= {status.member.id, status.member.name}
            return
        # Put back from a copy, the folder lacks votes that others rely on;
        # voting on would let a majority forget an accepted edit.
        if observed_start.starts >= identity.starts:
            self.stale = True
        if observed_start.accepted > self._replica.accepted_at_start:
            self.stale = True

    def is_confirmed(self) -> bool:
        """Return whether enough others know of no newer start of this one."""
        if self._replica.identity.starts <= 1:
            return True
        voters = self._replica.register.voters()
        if voters:
            known = sum(
                voter.id in self._confirmed_by or voter.id == self._replica.id
                for voter in voters
            )
            return known > len(voters) // 2
        names = self.configured_names
        me = self._replica.identity.member.name
        known = sum(name in self._confirmed_by or name == me for name in names)
        return known > len(names) // 2

    def fault(self) -> str:
        """Return why this instance does not vote, or nothing."""
        if self.stale:
            return OLDER_COPY
        register = self._replica.chosen
        voters = [voter.id for voter in register.voters()]
        is_retired = self._replica.id in register.retired
        if is_retired and self._replica.id not in voters:
            return RETIRED
        mine = self._replica.register.cluster
        others = [
            received.status.cluster for received in self._received.values()
        ]
        foreign = sum(bool(other) and other != mine for other in others)
        if mine and foreign > len(self._configured) // 2:
            return OTHER_CLUSTER
        return "" if self.is_confirmed() else CONFIRMING

    def is_majority_reachable(
        self, members: Sequence[messages.Member], now: float
    ) -> bool:
        """Return whether a majority of `members` was heard of lately."""
        received = {status.member.id for status in self.recent_statuses(now)}
        received.add(self._replica.id)
        return quorums.has_majority(members, received)

    def may_form(self, now: float) -> bool:
        """Return whether this instance forms the cluster.

        All configured instances must say that they are blank, and the first by
        name alone forms: a blank disk beside others with data, or two that
        begin at once, can never make a second cluster.
        """
        me = self._replica.identity.member.name
        names = self.configured_names
        if not self._replica.is_blank or not names or names[0] != me:
            return False
        if not self.first_start:
            # All disks here are blank because they were lost or replaced:
            # a cluster with accepted state may run where none of them sees.
            return False
        blank = {
            status.member.name
            for status in self.recent_statuses(now)
            if status.blank
            and not status.fault
            and status.configured_names == names
        }
        return set(names) - {me} <= blank

    def initial_members(self, now: float) -> tuple[messages.Member, ...]:
        """Return the members of the cluster that is to be formed."""
        names = self.configured_names
        members = [self._replica.identity.member]
        members += [
            status.member
            for status in self.recent_statuses(now)
            if status.member.name in names
        ]
        return tuple(sorted(members))

    def candidate(self, name: str, now: float) -> messages.Member | str:
        """Return the instance called `name` if it has caught up, else why not."""
        for status in self.recent_statuses(now):
            if status.member.name != name:
                continue
            if status.fault:
                return f"{name} does not vote: {status.fault}"
            if not self._has_caught_up(status):
                return f"{name} has not caught up yet; try again"
            if status.member.id in self._replica.register.retired:
                return f"{name}: {RETIRED}"
            return status.member
        return (
            f"{name} was not heard of; start it with this instance among"
            " its `control` settings"
        )

    def _has_caught_up(self, status: messages.Status) -> bool:
        if status.blank or status.cluster != self._replica.register.cluster:
            return False
        return status.accepted >= self._replica.chosen_ballot

    def replacement(
        self, status: messages.Status
    ) -> messages.ReplaceMember | None:
        """Return how to admit a new incarnation under a member's name."""
        register = self._replica.register
        old = register.member(status.member.name)
        new = status.member
        if old is None or old.id == new.id:
            return None
        # Two processes under one name would otherwise replace each other
        # for ever.
        if new.id in register.retired or status.fault:
            return None
        if not self._has_caught_up(status):
            return None
        return messages.ReplaceMember(0, old.id, new)

    def admission(
        self, status: messages.Status, wanted: int, now: float
    ) -> messages.AddMember | None:
        """Return how to let a caught-up newcomer vote, if one is wanted.

        A lost member's place is taken at once, by a newcomer under another
        name; the lost one goes once the newcomer votes (see `removal`).

        Args:
            status: The newcomer's word.
            wanted: How many members there should be.
            now: Monotonic time in seconds.
        """
        register = self._replica.register
        new = status.member
        if register.member(new.name) is not None or status.fault:
            return None
        if new.id in register.retired or not self._has_caught_up(status):
            return None
        if self.rejection_reason(register, new.name, wanted, now):
            return None
        return messages.AddMember(0, new.name, wanted)

    def rejection_reason(
        self, register: messages.Register, name: str, wanted: int, now: float
    ) -> str:
        """Return why a newcomer should not vote beside the members, or "".

        A region that holds a majority of the votes takes every decision with
        it when it is lost: its surplus votes count as places to be taken, and
        a newcomer of a region with fewer votes goes first. Where no other
        region offers one, any voter is better than one too few.
        """
        selection = voter_selection.VoterSelection(
            register.members,
            self._regions(),
            set(self._silent_members(SUSPECT_S, now)),
        )
        region = self._regions().get(name, "")
        others = [
            status.region
            for status in self.recent_statuses(now)
            if not status.fault and register.member(status.member.name) is None
        ]
        return selection.rejection_reason(region, others, wanted)

    def removal(self, wanted: int, now: float) -> messages.RemoveMember | None:
        """Return how to take a vote beyond `wanted`: a lost member's first.

        It is not retired: it may have been cut off or frozen and hold its
        data still. Retired, it would be gone for good though it runs, and
        each such cut would leave one instance fewer to bear later losses.
        """
        members = self._replica.register.members
        if len(members) <= wanted:
            return None
        silent = self._silent_members(LOST_S, now)
        if silent:
            return messages.RemoveMember(0, silent[0], retires=False)
        if self._silent_members(SUSPECT_S, now):
            # It is lost, or back soon: known before long.
            return None
        selection = voter_selection.VoterSelection(
            members, self._regions(), set()
        )
        me = self._replica.identity.member.name
        return messages.RemoveMember(
            0, selection.least_needed(me), retires=False
        )

    def _regions(self) -> dict[str, str]:
        """Return the region of each instance that was heard of."""
        me = self._replica.identity.member.name
        return {me: self._region} | {
            name: received.status.region
            for name, received in self._received.items()
        }

    def _silent_members(self, silent_s: float, now: float) -> list[str]:
        """Return the names of members not heard of for so many seconds."""
        me = self._replica.identity.member.name
        return [
            member.name
            for member in self._replica.register.members
            if member.name != me
            and now - self._last_received_at(member, now) > silent_s
        ]

    def _last_received_at(self, member: messages.Member, now: float) -> float:
        """Return when a member was heard of, at the start if never."""
        received = self._received.get(member.name)
        if received is not None and received.status.member.id == member.id:
            return received.at
        return self._awaited_since.setdefault(member.id, now)


class PeerSnapshot:
    """What is known of the other instances at one moment.

    Args:
        peers: Their latest words.
        now: Monotonic time in seconds.
    """

    def __init__(self, peers: Peers, now: float) -> None:
        self._peers = peers
        self._now = now

    def candidate(self, name: str) -> messages.Member | str:
        """Return the instance if it has caught up, else why it may not vote."""
        return self._peers.candidate(name, self._now)

    def rejection_reason(
        self, register: messages.Register, name: str, wanted: int
    ) -> str:
        """Return why the instance should not vote beside the members."""
        return self._peers.rejection_reason(register, name, wanted, self._now)

    def is_majority_reachable(self, members: Sequence[messages.Member]) -> bool:
        """Return whether a majority of `members` was heard of lately."""
        return self._peers.is_majority_reachable(members, self._now)


def _is_older(status: messages.Status, known: messages.ObservedStart) -> bool:
    return status.starts <= known.starts or status.accepted < known.accepted
