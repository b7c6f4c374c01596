"""Promise and accept ballots: the acceptor of a member."""

from hyssopfold.core.consensus import invariants
from hyssopfold.core.consensus import messages

Save = messages.SavePromise | messages.SaveRegister


class Acceptor:
    """The acceptor of a member.

    Each vote is persisted before it is sent. `replica.Replica` owns one.

    Args:
        durable: The state in storage, or the blank state.
    """

    def __init__(self, durable: messages.DurableState) -> None:
        self.durable = durable

    def prepare(
        self, prepare: messages.Prepare
    ) -> tuple[Save | None, messages.Message | None]:
        """Return the state to persist first and the answer to a `Prepare`."""
        durable = self.durable
        if not self._is_same_cluster(prepare.cluster):
            return None, None
        ballot = prepare.ballot
        if ballot < durable.promised:
            return None, messages.Refused(ballot, durable.promised)
        proposer_has_register = prepare.proposer_accepted == durable.accepted
        register = (
            messages.BLANK_REGISTER
            if proposer_has_register
            else durable.register
        )
        promise = messages.Promise(ballot, durable.accepted, register)
        if ballot == durable.promised:
            return None, promise
        self._replace(durable._replace(promised=ballot))
        return messages.SavePromise(ballot), promise

    def accept(
        self, ballot: messages.Ballot, register: messages.Register
    ) -> tuple[Save | None, messages.Message | None]:
        """Return the state to persist first and the answer to an `Accept`."""
        durable = self.durable
        if not self._is_same_cluster(register.cluster):
            return None, None
        if ballot < durable.promised:
            return None, messages.Refused(ballot, durable.promised)
        if ballot == durable.accepted:
            invariants.check(
                register == durable.register, "one register under one ballot"
            )
            return None, messages.Accepted(ballot)
        self._replace(messages.DurableState(ballot, ballot, register))
        save = messages.SaveRegister(ballot, register)
        return save, messages.Accepted(ballot)

    def form(
        self, form: messages.Form
    ) -> tuple[Save | None, messages.Message | None]:
        """Return the state to persist first and the answer to a `Form`.

        Only a blank instance accepts a `Form`: an instance with a register
        would replace it by an empty one.
        """
        durable = self.durable
        if durable.accepted == form.ballot:
            return None, messages.Accepted(form.ballot)
        if durable.accepted != messages.NO_BALLOT:
            return None, None
        if form.ballot < durable.promised:
            return None, messages.Refused(form.ballot, durable.promised)
        return self.accept(form.ballot, form.register)

    def install(
        self, ballot: messages.Ballot, register: messages.Register
    ) -> Save | None:
        """Accept a register known to be chosen; return the state to persist.

        A higher promise does not prevent this: since the register is chosen,
        any majority that promised the higher ballot has an acceptor that
        accepted it.
        """
        durable = self.durable
        if not self._is_same_cluster(register.cluster):
            return None
        if ballot <= durable.accepted:
            return None
        promised = max(durable.promised, ballot)
        self._replace(messages.DurableState(promised, ballot, register))
        return messages.SaveRegister(ballot, register)

    def _is_same_cluster(self, cluster: str) -> bool:
        # Messages of another cluster, for example one whose forming was
        # interrupted, would mix two histories under one order of ballots.
        own_cluster = self.durable.register.cluster
        return not own_cluster or own_cluster == cluster

    def _replace(self, new: messages.DurableState) -> None:
        old = self.durable
        invariants.check(new.promised >= old.promised, "promises only go up")
        invariants.check(new.accepted >= old.accepted, "accepts only go up")
        invariants.check(new.accepted <= new.promised, "accepted is promised")
        self.durable = new
