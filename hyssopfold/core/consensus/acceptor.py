"""The voting half of a member: promises and accepts ballots."""

from hyssopfold.core.consensus import messages


class Acceptor:
    """Vote on ballots; each vote is persisted before it is told.

    Args:
        durable: What storage holds, or the blank state.
    """

    def __init__(self, durable: messages.Durable) -> None:
        self.durable = durable

    def prepare(
        self, ballot: messages.Ballot
    ) -> tuple[messages.Durable | None, messages.Message]:
        """Return what to persist first, and the answer to a `Prepare`."""
        held = self.durable
        if ballot < held.promised:
            return None, messages.Refused(ballot, held.promised)
        promise = messages.Promise(ballot, held.accepted, held.register)
        if ballot == held.promised:
            return None, promise
        self.durable = held._replace(promised=ballot)
        return self.durable, promise

    def accept(
        self, ballot: messages.Ballot, register: messages.Register
    ) -> tuple[messages.Durable | None, messages.Message]:
        """Return what to persist first, and the answer to an `Accept`."""
        held = self.durable
        if ballot < held.promised:
            return None, messages.Refused(ballot, held.promised)
        if ballot == held.accepted:
            return None, messages.Accepted(ballot)
        self.durable = messages.Durable(ballot, ballot, register)
        return self.durable, messages.Accepted(ballot)
