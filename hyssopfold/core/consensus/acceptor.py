"""The voting half of a member: promises and accepts ballots."""

from hyssopfold.core.consensus import invariants
from hyssopfold.core.consensus import messages

Save = messages.SavePromise | messages.SaveRegister


class Acceptor:
    """Vote on ballots; each vote is persisted before it is told.

    Args:
        durable: What storage holds, or the blank state.
    """

    def __init__(self, durable: messages.DurableState) -> None:
        self.durable = durable

    def prepare(
        self, prepare: messages.Prepare
    ) -> tuple[Save | None, messages.Message | None]:
        """Return what to persist first, and the answer to a `Prepare`."""
        held = self.durable
        if not self._is_same_cluster(prepare.cluster):
            return None, None
        ballot = prepare.ballot
        if ballot < held.promised:
            return None, messages.Refused(ballot, held.promised)
        is_known = prepare.proposer_accepted == held.accepted
        register = messages.BLANK_REGISTER if is_known else held.register
        promise = messages.Promise(ballot, held.accepted, register)
        if ballot == held.promised:
            return None, promise
        self._replace(held._replace(promised=ballot))
        return messages.SavePromise(ballot), promise

    def accept(
        self, ballot: messages.Ballot, register: messages.Register
    ) -> tuple[Save | None, messages.Message | None]:
        """Return what to persist first, and the answer to an `Accept`."""
        held = self.durable
        if not self._is_same_cluster(register.cluster):
            return None, None
        if ballot < held.promised:
            return None, messages.Refused(ballot, held.promised)
        if ballot == held.accepted:
            invariants.check(
                register == held.register, "one register under one ballot"
            )
            return None, messages.Accepted(ballot)
        self._replace(messages.DurableState(ballot, ballot, register))
        save = messages.SaveRegister(ballot, register)
        return save, messages.Accepted(ballot)

    def form(
        self, form: messages.Form
    ) -> tuple[Save | None, messages.Message | None]:
        """Return what to persist first, and the answer to a `Form`.

        Only a blank instance takes part in forming: one that holds a
        register would otherwise drop it for an empty one.
        """
        held = self.durable
        if held.accepted == form.ballot:
            return None, messages.Accepted(form.ballot)
        if held.accepted != messages.NO_BALLOT:
            return None, None
        if form.ballot < held.promised:
            return None, messages.Refused(form.ballot, held.promised)
        return self.accept(form.ballot, form.register)

    def install(
        self, ballot: messages.Ballot, register: messages.Register
    ) -> Save | None:
        """Take in a register known to be chosen; return what to persist.

        A higher promise does not stand against it: whoever got that promise
        has a majority that saw this register, since it is chosen.
        """
        held = self.durable
        if not self._is_same_cluster(register.cluster):
            return None
        if ballot <= held.accepted:
            return None
        promised = max(held.promised, ballot)
        self._replace(messages.DurableState(promised, ballot, register))
        return messages.SaveRegister(ballot, register)

    def _is_same_cluster(self, cluster: str) -> bool:
        # A message of another cluster, such as one that was half formed and
        # forgotten, would mix two histories under one order of ballots.
        mine = self.durable.register.cluster
        return not mine or mine == cluster

    def _replace(self, new: messages.DurableState) -> None:
        held = self.durable
        invariants.check(new.promised >= held.promised, "promises only go up")
        invariants.check(new.accepted >= held.accepted, "accepts only go up")
        invariants.check(new.accepted <= new.promised, "accepted is promised")
        self.durable = new
