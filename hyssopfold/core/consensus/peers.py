"""Track the other control instances by the statuses that they send."""

from collections.abc import Sequence
from typing import NamedTuple

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import quorums
from hyssopfold.core.consensus import replica as replica_module
from hyssopfold.core.consensus import voter_selection

# Age in seconds up to which a status counts as recent.
RECENT_S = 5.0
# Seconds without a status before a member is suspected and before it is
# considered lost. With discovery a status is due every second. One missed
# status is enough to add a newcomer beside a suspected member, which does no
# harm if that member is alive. Five missed statuses are required before a
# member is removed.
SUSPECT_S = 1.6
LOST_S = 6.0
MAX_OBSERVED_STARTS = 32

CONFIRMING = "it waits until others have confirmed its data folder"
OLDER_COPY = (
    "its data folder is an older copy: stop it, move the folder aside and"
    " start it again; it restarts blank and is admitted again"
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
    received_at: float


class Peers:
    """The latest status of each other instance, and decisions based on it.

    `node.Node` uses it to decide whether this instance may vote, who forms the
    cluster, and which membership changes are due.

    Args:
        replica: State of this member.
        configured: Control instances in the settings, this one included.
        first_start: Whether a cluster may be formed if all instances are blank.
        region: Region that this instance runs in.
        form_without_s: Seconds for which a majority of the configured instances
            waits for the others before the cluster is formed. If 0, all are
            waited for.
    """

    def __init__(
        self,
        replica: replica_module.Replica,
        configured: Sequence[messages.Endpoint],
        first_start: bool = True,
        region: str = "",
        form_without_s: float = 0.0,
    ) -> None:
        self._replica = replica
        self._form_without_s = form_without_s
        # When a majority of the configured instances was first seen blank.
        self._majority_since: float | None = None
        self.first_start = first_start
        self._region = region
        self._configured = tuple(sorted(configured))
        self._received: dict[str, _ReceivedStatus] = {}
        # When each member without any status so far was first checked.
        self._awaited_since: dict[str, float] = {}
        identity = replica.identity
        self._observed_starts = {
            s.member_id: s for s in identity.observed_starts
        }
        self._confirmed_by: set[str] = set()
        self.stale = False

    @property
    def configured_names(self) -> tuple[str, ...]:
        """Return the sorted names of the control instances in the settings."""
        return tuple(endpoint.name for endpoint in self._configured)

    def recent_statuses(self, now: float) -> list[messages.Status]:
        """Return the statuses received within the last `RECENT_S` seconds."""
        return [
            received.status
            for received in self._received.values()
            if now - received.received_at <= RECENT_S
        ]

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all other instances: configured, voting or with a status."""
        endpoints = {endpoint.name: endpoint for endpoint in self._configured}
        for voter in self._replica.register.voters():
            endpoints[voter.name] = voter.endpoint
        for name, received in self._received.items():
            endpoints[name] = received.status.member.endpoint
        endpoints.pop(self._replica.identity.member.name, None)
        return list(endpoints.values())

    def endpoint_of(self, member_id: str) -> messages.Endpoint | None:
        """Return the endpoint of the instance with this id, or None."""
        name = member_id.partition("#")[0]
        for endpoint in self.endpoints():
            if endpoint.name == name:
                return endpoint
        return None

    def observed_start_of(
        self, member_id: str
    ) -> messages.ObservedStart | None:
        """Return the latest start observed of a member, or None."""
        return self._observed_starts.get(member_id)

    def record_accepted(
        self, member_id: str, accepted: messages.Ballot, nonce: str
    ) -> None:
        """Record a member's vote, to detect a restored folder without it."""
        observed = self._observed_starts.get(member_id)
        if observed is not None and observed.nonce == nonce:
            newest = max(observed.accepted, accepted)
            self._observed_starts[member_id] = observed._replace(
                accepted=newest
            )

    def record_status(
        self,
        status: messages.Status,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        """Record the status of another instance.

        Args:
            status: The status received.
            now: Monotonic time in seconds.
            effects: Gets the effect that saves a newly observed start.
        """
        self._received[status.member.name] = _ReceivedStatus(status, now)
        self._record_start(status, effects)
        self._check_own_start(status)

    def _record_start(
        self, status: messages.Status, effects: list[messages.Effect]
    ) -> None:
        member_id = status.member.id
        observed = self._observed_starts.get(member_id)
        if observed is not None and observed.nonce == status.nonce:
            self.record_accepted(member_id, status.accepted, status.nonce)
            return
        if observed is not None and _is_older(status, observed):
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
        """Compare this start with the one that the other instance observed."""
        observed = status.observed_start
        identity = self._replica.identity
        if observed is None or observed.member_id != self._replica.id:
            return
        if observed.nonce == identity.nonce:
            self._confirmed_by |= {status.member.id, status.member.name}
            return
        # A folder restored from a copy lacks votes that others rely on. If
        # this instance kept voting, a majority could lose an accepted edit.
        if observed.starts >= identity.starts:
            self.stale = True
        if observed.accepted > self._replica.accepted_at_start:
            self.stale = True

    def is_confirmed(self) -> bool:
        """Return whether a majority has confirmed this start as the latest.

        The first start of a data folder needs no confirmation.
        """
        if self._replica.identity.starts <= 1:
            return True
        voters = self._replica.register.voters()
        if voters:
            confirmations = sum(
                voter.id in self._confirmed_by or voter.id == self._replica.id
                for voter in voters
            )
            return confirmations > len(voters) // 2
        names = self.configured_names
        me = self._replica.identity.member.name
        confirmations = sum(
            name in self._confirmed_by or name == me for name in names
        )
        return confirmations > len(names) // 2

    def fault(self) -> str:
        """Return why this instance does not vote, or "" if it votes."""
        if self.stale:
            return OLDER_COPY
        register = self._replica.chosen
        voter_ids = [voter.id for voter in register.voters()]
        is_retired = self._replica.id in register.retired
        if is_retired and self._replica.id not in voter_ids:
            return RETIRED
        cluster = self._replica.register.cluster
        others = [
            received.status.cluster for received in self._received.values()
        ]
        foreign = sum(bool(other) and other != cluster for other in others)
        if cluster and foreign > len(self._configured) // 2:
            return OTHER_CLUSTER
        return "" if self.is_confirmed() else CONFIRMING

    def is_majority_reachable(
        self, members: Sequence[messages.Member], now: float
    ) -> bool:
        """Return whether a majority of `members` sent a recent status."""
        ids = {status.member.id for status in self.recent_statuses(now)}
        ids.add(self._replica.id)
        return quorums.has_majority(members, ids)

    def may_form(self, now: float) -> bool:
        """Return whether this instance forms the cluster.

        Only the first by name forms the cluster, so that two instances that
        start at once can't form two. All configured instances must report that
        they are blank, so that a blank disk among instances with data forms
        none. Where `first_start` is certain, that need not be shown: then a
        majority suffices after a time, since an instance that is lost before
        the cluster is formed would keep the others from it for ever.
        """
        me = self._replica.identity.member.name
        names = self.configured_names
        if not self._replica.is_blank or not names or names[0] != me:
            return False
        if not self.first_start:
            # These disks are blank because they were lost or replaced; a
            # cluster with accepted state may run that this instance cannot
            # reach.
            return False
        statuses = [
            status
            for status in self.recent_statuses(now)
            if status.member.name in names
        ]
        blank = {me} | {
            status.member.name
            for status in statuses
            if status.blank
            and not status.fault
            and status.configured_names == names
        }
        if set(names) <= blank:
            return True
        is_enough = len(blank) > len(names) // 2
        if not is_enough or not all(status.blank for status in statuses):
            self._majority_since = None
            return False
        if self._majority_since is None:
            self._majority_since = now
        waited_s = now - self._majority_since
        return 0 < self._form_without_s <= waited_s

    def initial_members(self, now: float) -> tuple[messages.Member, ...]:
        """Return the members of the cluster that this instance forms."""
        names = self.configured_names
        members = [self._replica.identity.member]
        members += [
            status.member
            for status in self.recent_statuses(now)
            if status.member.name in names
        ]
        return tuple(sorted(members))

    def candidate(self, name: str, now: float) -> messages.Member | str:
        """Return the instance as a member, or why it cannot be added.

        Args:
            name: Name of the instance.
            now: Monotonic time in seconds.
        """
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
            f"{name} has sent no recent status; start it with this instance in"
            " its `control` settings"
        )

    def _has_caught_up(self, status: messages.Status) -> bool:
        if status.blank or status.cluster != self._replica.register.cluster:
            return False
        return status.accepted >= self._replica.chosen_ballot

    def replacement(
        self, status: messages.Status
    ) -> messages.ReplaceMember | None:
        """Return the change that replaces a member by its new incarnation.

        Returns None when none is due.
        """
        register = self._replica.register
        old = register.member(status.member.name)
        new = status.member
        if old is None or old.id == new.id:
            return None
        # Without the check of retired ids, two processes with the same name
        # would keep replacing each other.
        if new.id in register.retired or status.fault:
            return None
        if not self._has_caught_up(status):
            return None
        return messages.ReplaceMember(0, old.id, new)

    def admission(
        self, status: messages.Status, wanted: int, now: float
    ) -> messages.AddMember | None:
        """Return the change that adds a caught-up newcomer, or None.

        A newcomer under another name is added as soon as a member is suspected;
        that member is removed later, when it counts as lost (see `removal`).

        Args:
            status: Status of the newcomer.
            wanted: Target number of members.
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
        """Return why a newcomer should not be added to the members, or "".

        If a region that holds a majority of the votes is lost, nothing can be
        decided. Its votes beyond the limit therefore count as free, and
        newcomers of regions with fewer votes come first. If no other region
        has a newcomer, any voter is better than too few voters.

        Args:
            register: The register with the members.
            name: Name of the newcomer.
            wanted: Target number of members.
            now: Monotonic time in seconds.
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
        """Return the change that removes a member beyond `wanted`, or None.

        A lost member is removed first. Its id is not retired, because it may
        have been partitioned or frozen and still hold its data. If it were
        retired, it could never vote again although it runs, and each such
        partition would leave one instance fewer to tolerate later losses.
        """
        members = self._replica.register.members
        if len(members) <= wanted:
            return None
        lost = self._silent_members(LOST_S, now)
        if lost:
            return messages.RemoveMember(
                0, lost[0], retires=False, wanted=wanted
            )
        if self._silent_members(SUSPECT_S, now):
            # The suspected member soon either counts as lost or sends a status.
            return None
        selection = voter_selection.VoterSelection(
            members, self._regions(), set()
        )
        me = self._replica.identity.member.name
        return messages.RemoveMember(
            0, selection.least_needed(me), retires=False, wanted=wanted
        )

    def _regions(self) -> dict[str, str]:
        """Return the region of each instance that has sent a status."""
        me = self._replica.identity.member.name
        return {me: self._region} | {
            name: received.status.region
            for name, received in self._received.items()
        }

    def _silent_members(self, silent_s: float, now: float) -> list[str]:
        """Return the names of members without a status for `silent_s`."""
        me = self._replica.identity.member.name
        return [
            member.name
            for member in self._replica.register.members
            if member.name != me
            and now - self._last_received_at(member, now) > silent_s
        ]

    def _last_received_at(self, member: messages.Member, now: float) -> float:
        """Return when a member's last status arrived.

        Without any status, this is the time of the first call for the member.
        """
        received = self._received.get(member.name)
        if received is not None and received.status.member.id == member.id:
            return received.received_at
        return self._awaited_since.setdefault(member.id, now)


class PeerSnapshot:
    """The statuses of the other instances at one point in time.

    Implements `operations.PeerView`.

    Args:
        peers: Tracks the other instances.
        now: Monotonic time in seconds.
    """

    def __init__(self, peers: Peers, now: float) -> None:
        self._peers = peers
        self._now = now

    def candidate(self, name: str) -> messages.Member | str:
        """Return the instance as a member, or why it cannot be added."""
        return self._peers.candidate(name, self._now)

    def rejection_reason(
        self, register: messages.Register, name: str, wanted: int
    ) -> str:
        """Return why the instance should not be added, or ""."""
        return self._peers.rejection_reason(register, name, wanted, self._now)

    def is_majority_reachable(self, members: Sequence[messages.Member]) -> bool:
        """Return whether a majority of `members` sent a recent status."""
        return self._peers.is_majority_reachable(members, self._now)


def _is_older(
    status: messages.Status, observed: messages.ObservedStart
) -> bool:
    return (
        status.starts <= observed.starts or status.accepted < observed.accepted
    )
