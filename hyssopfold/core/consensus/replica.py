"""What a member holds and knows: its votes and the newest chosen register."""

from hyssopfold.core.consensus import acceptor
from hyssopfold.core.consensus import invariants
from hyssopfold.core.consensus import messages


class Replica:
    """The state that the halves of a member share.

    Args:
        identity: Who this instance is.
        durable: What storage holds, or the blank state.
    """

    def __init__(
        self, identity: messages.Identity, durable: messages.DurableState
    ) -> None:
        self.identity = identity
        self.acceptor = acceptor.Acceptor(durable)
        self.chosen_ballot = messages.NO_BALLOT
        self.chosen = messages.BLANK_REGISTER
        self.accepted_at_start = durable.accepted

    @property
    def id(self) -> str:
        """Return the id under which this instance votes."""
        return self.identity.member.id

    @property
    def accepted(self) -> messages.Ballot:
        """Return the ballot accepted last."""
        return self.acceptor.durable.accepted

    @property
    def register(self) -> messages.Register:
        """Return the register accepted last; it may not be chosen."""
        return self.acceptor.durable.register

    @property
    def is_blank(self) -> bool:
        """Return whether no register is held at all."""
        return self.accepted == messages.NO_BALLOT

    @property
    def is_voter(self) -> bool:
        """Return whether the register held names this instance as a voter."""
        return any(voter.id == self.id for voter in self.register.voters())

    @property
    def is_settled(self) -> bool:
        """Return whether the register held is known to be chosen for good."""
        return (
            self.accepted <= self.chosen_ballot and not self.register.previous
        )

    def learn(
        self,
        ballot: messages.Ballot,
        register: messages.Register,
        effects: list[messages.Effect],
    ) -> None:
        """Take note that `register` is chosen under `ballot`."""
        if ballot <= self.chosen_ballot:
            return
        old = self.chosen
        invariants.check(
            register.revision >= old.revision, "the revision never falls"
        )
        invariants.check(
            register.revision != old.revision or register.value == old.value,
            "one value for one revision",
        )
        self.chosen_ballot = ballot
        self.chosen = register
        if register.revision > old.revision or not old.members:
            effects.append(messages.Learned(register))

    def vote(
        self,
        message: messages.Prepare | messages.Accept | messages.Form,
        effects: list[messages.Effect],
    ) -> messages.Message | None:
        """Return the vote on a proposer's message; it is saved first."""
        match message:
            case messages.Prepare():
                save, answer = self.acceptor.prepare(message)
            case messages.Accept():
                save, answer = self.acceptor.accept(
                    message.ballot, message.register
                )
            case messages.Form():
                save, answer = self.acceptor.form(message)
        if save is not None:
            effects.append(save)
        if isinstance(answer, messages.Accepted):
            return answer._replace(nonce=self.identity.nonce)
        return answer

    def install(
        self, install: messages.Install, effects: list[messages.Effect]
    ) -> None:
        """Take in a chosen register that this instance missed.

        An instance that restarted does not know yet whether what it holds is
        chosen. A register older than that is let pass: learned, it would put
        a lower revision in force than before the restart.
        """
        mine = self.register.cluster
        if mine and mine != install.register.cluster:
            return
        if install.ballot < self.accepted:
            return
        save = self.acceptor.install(install.ballot, install.register)
        if save is not None:
            effects.append(save)
        self.learn(install.ballot, install.register, effects)
