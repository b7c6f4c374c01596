"""One member of the replicated register: acceptor and proposer in one.

The register is decided by ballots, each round carrying the whole value: a
round that reaches a majority in both of its phases makes its value the
chosen one. There is no log; see docs/design/durable-state.md.
"""

from collections.abc import Sequence
import functools
import random

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import peers as peers_module
from hyssopfold.core.consensus import proposer as proposer_module
from hyssopfold.core.consensus import replica as replica_module

STATUS_S = 2.0
# Where newcomers are admitted without an operator, who is lost must show soon:
# a second one may be lost a few seconds after the first was replaced.
DISCOVERY_STATUS_S = 1.0
# Chance with which each voter there proposes a change of members that is due:
# of four voters one does within a word or two, and rarely do all.
_MEMBER_CHANGE_PROBABILITY = 0.5
_FIRST_STATUS_S = 0.1
_FETCH_S = 1.0
_SETTLE_S = 3.0
_FIRST_SETTLE_S = 0.3
# Where all may lose power at once, callers are refused until one has settled
# what it holds; it asks first, and writes nothing if a majority holds the same.
_DISCOVERY_SETTLE_S = 0.05

BLANK = messages.DurableState()

Effects = list[messages.Effect]


class Node:
    """Decide edits, reads and changes of members of the register.

    Args:
        identity: Who this instance is, from its data folder.
        configured: Control instances in the settings, this one included.
        durable: What storage holds, or `BLANK`.
        rng: Source of jitter and of the cluster's id.
        round_timeout_s: Time for one round to reach a majority.
        operation_timeout_s: Time until an operation is given up.
        first_start: Whether a cluster may be formed where all are blank.
        wanted_members: How many instances vote; newcomers are admitted until
            there are so many. 0 leaves that to operators.
        region: Region that this instance runs in.
    """

    def __init__(
        self,
        identity: messages.Identity,
        configured: Sequence[messages.Endpoint],
        durable: messages.DurableState,
        rng: random.Random,
        round_timeout_s: float = 1.0,
        operation_timeout_s: float = 8.0,
        first_start: bool = True,
        wanted_members: int = 0,
        region: str = "",
    ) -> None:
        self._wanted_members = wanted_members
        self._region = region
        self._status_s = DISCOVERY_STATUS_S if wanted_members else STATUS_S
        self.name = identity.member.name
        self.replica = replica_module.Replica(identity, durable)
        self.peers = peers_module.Peers(
            self.replica, configured, first_start, region
        )
        self._rng = rng
        self._now = 0.0
        self.proposer = proposer_module.Proposer(
            self.replica,
            rng,
            round_timeout_s,
            operation_timeout_s,
            functools.partial(peers_module.PeerSnapshot, self.peers),
        )
        self._storage_fault = ""
        self._reported_fault = ""
        self._status_at = 0.0
        self._status_interval_s = _FIRST_STATUS_S
        self._fetch_at = 0.0
        self._settle_at: float | None = None
        self._settle_delay_s = _FIRST_SETTLE_S
        if wanted_members:
            self._settle_delay_s = _DISCOVERY_SETTLE_S

    @property
    def durable(self) -> messages.DurableState:
        """Return what this member's acceptor has persisted."""
        return self.replica.acceptor.durable

    @property
    def learned(self) -> messages.Register:
        """Return the newest register known to be chosen."""
        return self.replica.chosen

    @property
    def fault(self) -> str:
        """Return why this instance does not vote, or nothing."""
        return self._storage_fault or self.peers.fault()

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Return the effects of `event`, to be carried out in order.

        When a save fails, the effects after it must not be carried out; the
        next event is then `StorageFailed`.

        Args:
            event: What happened.
            now: Monotonic time in seconds.
        """
        effects: Effects = []
        self._now = now
        _handle(event, self, now, effects)
        self._advance(now, effects)
        return effects

    def next_deadline(self) -> float:
        """Return when a `Tick` is due at the latest, in seconds."""
        due = [self._status_at]
        if self._settle_at is not None:
            due.append(self._settle_at)
        pending = self.proposer.next_deadline()
        if pending is not None:
            due.append(pending)
        return min(due)

    def _advance(self, now: float, effects: Effects) -> None:
        fault = self.fault
        if fault != self._reported_fault:
            self._reported_fault = fault
            effects.append(messages.FaultChanged(fault))
        if fault or self.replica.is_blank:
            # Left standing in the past, it would ask for a tick at once, for
            # ever: one that does not vote has nothing to settle.
            self._settle_at = None
        if fault:
            self.proposer.refuse_all(fault, effects)
        elif self.replica.is_blank:
            self.proposer.refuse_all("no cluster is formed yet", effects)
            if self.peers.may_form(now):
                self._form(now, effects)
        else:
            self._settle(now, effects)
            self.proposer.advance(now, effects)
        if now >= self._status_at:
            self._send_status_to_all(now, effects)

    def _settle(self, now: float, effects: Effects) -> None:
        """Finish what another proposer may have left half done.

        A proposer that dies between its two phases leaves a register on a
        minority, or one that is chosen without anyone knowing: a read carries
        it through, or buries it, so that nobody waits for the next edit.
        """
        if self.replica.is_settled or not self.replica.is_voter:
            self._settle_at = None
            return
        if self._settle_at is None:
            gap_s = self._settle_delay_s * self._rng.uniform(1.0, 2.0)
            self._settle_at = now + gap_s
            self._settle_delay_s = _SETTLE_S
        if now >= self._settle_at:
            self._settle_at = None
            if self.proposer.is_idle:
                self.proposer.submit(messages.Read(0), now, effects)

    def _form(self, now: float, effects: Effects) -> None:
        """Make the first register and ask all to accept it."""
        ballot = messages.Ballot(1, self.replica.id)
        promised = self.durable.promised
        if ballot <= promised:
            ballot = messages.Ballot(promised.counter + 1, self.replica.id)
        members = self.peers.initial_members(now)
        register = messages.Register(
            cluster=f"{self._rng.getrandbits(64):016x}", members=members
        )
        form = messages.Form(ballot, register)
        self.proposer.observe_counter(ballot.counter)
        self.replica.vote(form, effects)
        for member in members:
            if member.id != self.replica.id:
                effects.append(messages.Send(member.endpoint, form))
        self.proposer.submit(messages.Read(0), now, effects)
        self.proposer.advance(now, effects)

    def submit(
        self, operation: messages.Operation, now: float, effects: Effects
    ) -> None:
        """Let `operation` wait for its rounds."""
        self.proposer.submit(operation, now, effects)

    def receive(
        self,
        sender: str,
        message: messages.Message,
        now: float,
        effects: Effects,
    ) -> None:
        """Take in a message of another instance."""
        match message:
            case messages.Status():
                self._on_status(message, now, effects)
            case messages.Fetch():
                self._on_fetch(sender, effects)
            case messages.Install():
                self._on_install(message, effects)
            case messages.Chosen():
                self._on_chosen(sender, message.ballot, now, effects)
            case _ if not self.fault:
                self._receive_round(sender, message, now, effects)

    def _receive_round(
        self,
        sender: str,
        message: messages.Message,
        now: float,
        effects: Effects,
    ) -> None:
        """Take in a message of a round; one that does not vote ignores it."""
        match message:
            case messages.Prepare() | messages.Accept() | messages.Form():
                self._vote(sender, message, effects)
            case messages.Query():
                answer = messages.QueryAnswer(
                    message.number, self.replica.accepted
                )
                self._send(sender, answer, effects)
            case messages.QueryAnswer():
                self.proposer.on_query_answer(sender, message, now, effects)
            case messages.Promise():
                self.proposer.on_promise(sender, message, now, effects)
            case messages.Accepted():
                self.peers.record_accepted(
                    sender, message.ballot, message.nonce
                )
                self.proposer.on_accepted(sender, message, now, effects)
            case messages.Refused():
                self.proposer.on_refused(message, now)

    def _send(
        self, to: str, message: messages.Message, effects: Effects
    ) -> None:
        endpoint = self.peers.endpoint_of(to)
        if endpoint is not None:
            effects.append(messages.Send(endpoint, message))

    def _vote(
        self,
        sender: str,
        message: messages.Prepare | messages.Accept | messages.Form,
        effects: Effects,
    ) -> None:
        self.proposer.observe_counter(message.ballot.counter)
        answer = self.replica.vote(message, effects)
        if answer is not None:
            self._send(sender, answer, effects)

    def _on_status(
        self, status: messages.Status, now: float, effects: Effects
    ) -> None:
        if status.member.name == self.name:
            return
        self.peers.record_status(status, now, effects)
        if status.ask:
            reply = self._status(status.member, ask=False)
            to = status.member.endpoint
            effects.append(messages.Send(to, reply))
        mine = self.replica.register.cluster
        if mine and status.cluster != mine:
            return
        if status.chosen > self.replica.chosen_ballot:
            self._on_chosen(status.member.id, status.chosen, now, effects)
        if self.fault or not self.replica.is_voter:
            return
        self._propose_member_change(status, now, effects)

    def _propose_member_change(
        self, status: messages.Status, now: float, effects: Effects
    ) -> None:
        """Admit who may take a vote, and dismiss who was replaced."""
        if not self.proposer.is_idle:
            return
        change: messages.Operation | None = self.peers.replacement(status)
        wanted = self._wanted_members
        if change is None and wanted:
            admission = self.peers.admission(status, wanted, now)
            change = admission or self.peers.removal(wanted, now)
        # Any voter may do it; by lot, so that they do not all propose.
        chance = 1.0 / len(self.replica.register.members)
        if wanted:
            chance = _MEMBER_CHANGE_PROBABILITY
        if change is not None and self._rng.random() < chance:
            self.submit(change, now, effects)

    def _on_chosen(
        self,
        sender: str,
        ballot: messages.Ballot,
        now: float,
        effects: Effects,
    ) -> None:
        if ballot <= self.replica.chosen_ballot:
            return
        if ballot == self.replica.accepted:
            self.replica.learn(ballot, self.replica.register, effects)
            return
        if now >= self._fetch_at:
            self._fetch_at = now + _FETCH_S
            self._send(sender, messages.Fetch(), effects)

    def _on_fetch(self, sender: str, effects: Effects) -> None:
        if self.replica.chosen_ballot == messages.NO_BALLOT:
            return
        install = messages.Install(
            self.replica.chosen_ballot, self.replica.chosen
        )
        self._send(sender, install, effects)

    def _on_install(self, install: messages.Install, effects: Effects) -> None:
        if self.peers.stale or self._storage_fault:
            return
        self._fetch_at = 0.0
        self.proposer.observe_counter(install.ballot.counter)
        self.replica.install(install, effects)
        self._status_at = self._now

    def _status(self, to: messages.Member | None, ask: bool) -> messages.Status:
        identity = self.replica.identity
        observed_start = (
            self.peers.observed_start_of(to.id) if to is not None else None
        )
        # A vote that the disk refused is in memory alone: told, it would make
        # this folder look like an older copy after the next restart.
        is_synced = not self._storage_fault
        accepted = self.replica.accepted if is_synced else messages.NO_BALLOT
        return messages.Status(
            member=identity.member,
            starts=identity.starts,
            nonce=identity.nonce,
            accepted=accepted,
            chosen=self.replica.chosen_ballot,
            revision=self.replica.chosen.revision,
            epoch=self.replica.chosen.epoch,
            cluster=self.replica.register.cluster,
            configured_names=self.peers.configured_names,
            observed_start=observed_start,
            ask=ask,
            fault=self.fault,
            region=self._region,
        )

    def _send_status_to_all(self, now: float, effects: Effects) -> None:
        is_eager = self.replica.is_blank or bool(self.fault)
        known = {
            s.member.name: s.member for s in self.peers.recent_statuses(now)
        }
        for endpoint in self.peers.endpoints():
            status = self._status(known.get(endpoint.name), ask=is_eager)
            effects.append(messages.Send(endpoint, status))
        # Eager at first, then ever slower: an instance that stays blank or
        # faulty for days must not cost the others more than a healthy one.
        if is_eager:
            gap_s = min(self._status_interval_s * 1.5, self._status_s)
        else:
            gap_s = self._status_s
        self._status_interval_s = gap_s
        self._status_at = now + gap_s * self._rng.uniform(0.75, 1.0)

    def fail_storage(self, detail: str) -> None:
        """Stop voting: what was decided last could not be synced."""
        self._storage_fault = f"its disk refuses writes: {detail}"

    def recover_storage(self, effects: Effects) -> None:
        """Vote again: all that this member holds is synced."""
        self._storage_fault = ""
        if self.replica.chosen.members:
            # It may have been learned in the batch that was broken off.
            effects.append(messages.Learned(self.replica.chosen))


@functools.singledispatch
def _handle(
    event: messages.Event, node: Node, now: float, effects: Effects
) -> None:
    """Carry `event` to the half of the member that it concerns."""
    raise TypeError(f"no such event: {event!r}")


@_handle.register(messages.Edit)
@_handle.register(messages.Read)
@_handle.register(messages.AddMember)
@_handle.register(messages.RemoveMember)
@_handle.register(messages.ReplaceMember)
def _(
    event: messages.Operation, node: Node, now: float, effects: Effects
) -> None:
    node.submit(event, now, effects)


@_handle.register
def _(event: messages.Tick, node: Node, now: float, effects: Effects) -> None:
    return


@_handle.register
def _(
    event: messages.Received, node: Node, now: float, effects: Effects
) -> None:
    node.receive(event.sender, event.message, now, effects)


@_handle.register
def _(
    event: messages.StorageFailed, node: Node, now: float, effects: Effects
) -> None:
    node.fail_storage(event.detail)


@_handle.register
def _(
    event: messages.StorageRecovered, node: Node, now: float, effects: Effects
) -> None:
    node.recover_storage(effects)
