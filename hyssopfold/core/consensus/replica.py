"""Hold the state of a member: its votes and the newest chosen register."""

from hyssopfold.core.consensus import acceptor
from hyssopfold.core.consensus import invariants
from hyssopfold.core.consensus import messages


class Replica:
    """The state of a member, shared by its `Node`, `Peers` and `Proposer`.

    Args:
        identity: This instance as a member, and the starts it observed.
        durable: The state in storage, or the blank state.
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
        """Return the member id of this instance."""
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
        """Return whether this instance has accepted no register yet."""
        return self.accepted == messages.NO_BALLOT

    @property
    def is_voter(self) -> bool:
        """Return whether the accepted register lists this instance as voter."""
        return any(voter.id == self.id for voter in self.register.voters())

    @property
    def is_settled(self) -> bool:
        """Return whether the accepted register is known to be chosen.

        False also while a membership change is not completed.
        """
        return (
            self.accepted <= self.chosen_ballot and not self.register.previous
        )

    def learn(
        self,
        ballot: messages.Ballot,
        register: messages.Register,
        effects: list[messages.Effect],
    ) -> None:
        """Record that `register` is chosen under `ballot`.

        Raises:
            InvariantError: if the revision falls, or its value changes.
        """
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
        if register.epoch > old.epoch or not old.members:
            members = messages.MembersLearned(register.epoch, register.members)
            effects.append(members)

    def vote(
        self,
        message: messages.Prepare | messages.Accept | messages.Form,
        effects: list[messages.Effect],
    ) -> messages.Message | None:
        """Return the vote on a proposer's message.

        The effect that saves the vote is added to `effects`.
        """
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
        """Accept a chosen register that this instance missed.

        After a restart an instance does not know yet whether its accepted
        register is chosen. A register older than that one is ignored: learning
        it would put a lower revision in force than before the restart.
        """
        own_cluster = self.register.cluster
        if own_cluster and own_cluster != install.register.cluster:
            return
        if install.ballot < self.accepted:
            return
        save = self.acceptor.install(install.ballot, install.register)
        if save is not None:
            effects.append(save)
        self.learn(install.ballot, install.register, effects)
