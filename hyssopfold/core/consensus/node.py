"""One member of the replicated register: acceptor and proposer in one.

The register is decided by ballots, and each round proposes the whole value. A
round that reaches a majority in both of its phases makes its value the chosen
one. There is no log; see docs/design/durable-state.md.
"""

from collections.abc import Sequence
import functools
import random

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import peers as peers_module
from hyssopfold.core.consensus import proposer as proposer_module
from hyssopfold.core.consensus import replica as replica_module

STATUS_S = 2.0
# Status interval when newcomers are admitted without an operator. A lost
# member must be detected quickly, since a second one may be lost a few seconds
# after the first was replaced.
DISCOVERY_STATUS_S = 1.0
# Probability with which each voter then proposes a due membership change on
# each status: with four voters one of them does within one or two statuses,
# and rarely all of them at once.
_MEMBER_CHANGE_PROBABILITY = 0.5
_FIRST_STATUS_S = 0.1
_FETCH_S = 1.0
# Delay of the read that completes an unfinished round (see `Node._settle`), and
# of the first such read after the start.
_SETTLE_S = 3.0
_FIRST_SETTLE_S = 0.3
# Delay of the first read with discovery, where all instances may lose power at
# once: callers are refused until one instance knows that its register is
# chosen. The read starts with a query, and writes nothing if a majority holds
# the same register.
_DISCOVERY_SETTLE_S = 0.05

BLANK = messages.DurableState()

Effects = list[messages.Effect]


class Node:
    """The decisions of one member of the register, without input or output.

    `control.instance.Instance` passes it events and executes its effects.

    Args:
        identity: This instance as a member, from its data folder.
        configured: Control instances in the settings, this one included.
        durable: The state in storage, or `BLANK`.
        rng: Source of jitter and of the cluster's id.
        round_timeout_s: Timeout of one round, in seconds.
        operation_timeout_s: Timeout of an operation, in seconds.
        first_start: Whether a cluster may be formed if all instances are blank.
        wanted_members: Target number of members; newcomers are admitted until
            it is reached. With 0 only operators change the members.
        region: Region that this instance runs in.
        form_without_s: Seconds after which a majority of the configured
            instances forms the cluster without the others; 0 for never.
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
        form_without_s: float = 0.0,
    ) -> None:
        self._wanted_members = wanted_members
        self._region = region
        self._max_status_interval_s = (
            DISCOVERY_STATUS_S if wanted_members else STATUS_S
        )
        self.name = identity.member.name
        self.replica = replica_module.Replica(identity, durable)
        self.peers = peers_module.Peers(
            self.replica, configured, first_start, region, form_without_s
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
        """Return the state that this member's acceptor has persisted."""
        return self.replica.acceptor.durable

    @property
    def learned(self) -> messages.Register:
        """Return the newest register known to be chosen."""
        return self.replica.chosen

    @property
    def fault(self) -> str:
        """Return why this instance does not vote, or "" if it votes."""
        return self._storage_fault or self.peers.fault()

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Return the effects of `event`, to be executed in order.

        If a save fails, the effects after it must not be executed, and the
        next event must be `StorageFailed`.

        Args:
            event: The event to handle.
            now: Monotonic time in seconds.
        """
        effects: Effects = []
        self._now = now
        _handle(event, self, now, effects)
        self._advance(now, effects)
        return effects

    def next_deadline(self) -> float:
        """Return when the next `Tick` is due at the latest, in seconds."""
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
            # An instance that does not vote has nothing to settle. A deadline
            # left in the past would request ticks without pause.
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
        """Complete a round that another proposer may have left unfinished.

        A proposer that crashes between its two phases leaves a register that
        only a minority accepted, or one that is chosen but not known to be. A
        read completes or discards it without waiting for the next edit.
        """
        if self.replica.is_settled or not self.replica.is_voter:
            self._settle_at = None
            return
        if self._settle_at is None:
            delay_s = self._settle_delay_s * self._rng.uniform(1.0, 2.0)
            self._settle_at = now + delay_s
            self._settle_delay_s = _SETTLE_S
        if now >= self._settle_at:
            self._settle_at = None
            if self.proposer.is_idle:
                self.proposer.submit(messages.Read(0), now, effects)

    def _form(self, now: float, effects: Effects) -> None:
        """Create the first register and ask all members to accept it."""
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
        """Queue `operation` in the proposer."""
        self.proposer.submit(operation, now, effects)

    def receive(
        self,
        sender: str,
        message: messages.Message,
        now: float,
        effects: Effects,
    ) -> None:
        """Handle a message from another instance."""
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
        """Handle a message of a round; called only if this instance votes."""
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
        own_cluster = self.replica.register.cluster
        if own_cluster and status.cluster != own_cluster:
            return
        if status.chosen > self.replica.chosen_ballot:
            self._on_chosen(status.member.id, status.chosen, now, effects)
        if self.fault or not self.replica.is_voter:
            return
        self._propose_member_change(status, now, effects)

    def _propose_member_change(
        self, status: messages.Status, now: float, effects: Effects
    ) -> None:
        """Propose to add, replace or remove a member where one is due."""
        if not self.proposer.is_idle:
            return
        change: messages.Operation | None = self.peers.replacement(status)
        wanted = self._wanted_members
        if change is None and wanted:
            admission = self.peers.admission(status, wanted, now)
            change = admission or self.peers.removal(wanted, now)
        # Any voter may propose the change; chance keeps them from all doing so.
        probability = 1.0 / len(self.replica.register.members)
        if wanted:
            probability = _MEMBER_CHANGE_PROBABILITY
        if change is not None and self._rng.random() < probability:
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
        # A vote that could not be written is only in memory. If it were
        # reported, this folder would look like an older copy after a restart.
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
        asks_for_status = self.replica.is_blank or bool(self.fault)
        members = {
            s.member.name: s.member for s in self.peers.recent_statuses(now)
        }
        for endpoint in self.peers.endpoints():
            status = self._status(
                members.get(endpoint.name), ask=asks_for_status
            )
            effects.append(messages.Send(endpoint, status))
        # The interval is short at first and then grows: an instance that stays
        # blank or faulty for days must not cost more than a healthy one.
        if asks_for_status:
            interval_s = min(
                self._status_interval_s * 1.5, self._max_status_interval_s
            )
        else:
            interval_s = self._max_status_interval_s
        self._status_interval_s = interval_s
        self._status_at = now + interval_s * self._rng.uniform(0.75, 1.0)

    def fail_storage(self, detail: str) -> None:
        """Stop voting, since the last vote could not be synced."""
        self._storage_fault = f"its disk refuses writes: {detail}"

    def recover_storage(self, effects: Effects) -> None:
        """Vote again, since the whole durable state is synced."""
        self._storage_fault = ""
        if self.replica.chosen.members:
            # The `Learned` effect may have been dropped with the failed batch.
            effects.append(messages.Learned(self.replica.chosen))


@functools.singledispatch
def _handle(
    event: messages.Event, node: Node, now: float, effects: Effects
) -> None:
    """Pass `event` to the method of `node` that handles it."""
    raise TypeError(f"unknown event: {event!r}")


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
