"""Replay the steps of members against the specification."""

from hyssopfold.core.consensus import messages
from spec import register_spec

_BLANK = register_spec.DurableState(messages.NO_BALLOT, messages.NO_BALLOT)


def _as_specified(register):
    """Return the members of a register in the form of the specification."""
    return register_spec.Register(
        "",
        tuple(member.id for member in register.members),
        tuple(member.id for member in register.previous),
    )


def _is_successor(new, old):
    """Return whether `new` is `old` after one operation."""
    base = old._replace(previous=())
    if new == base:
        return True
    if new.previous:
        changed = set(old.members) ^ set(new.members)
        return (
            new.previous == old.members
            and new.epoch == old.epoch + 1
            and 1 <= len(changed) <= 2
            and (new.revision, new.value) == (old.revision, old.value)
        )
    return (
        new.members == old.members
        and new.epoch == old.epoch
        and new.revision > old.revision
        and new.changes[:-1] == old.changes[-len(new.changes) + 1 :]
    )


class Replay:
    """Check that each step of fake members is allowed by the specification.

    Args:
        members: The fake members to observe.
    """

    def __init__(self, members):
        self._members = members
        self.steps = 0
        self._durable = {}
        self._promises = {}
        self._registers = {messages.NO_BALLOT: messages.BLANK_REGISTER}
        self._votes = {}
        members.observers.append(self.observe)

    def observe(self, name, effect):
        """Replay one executed effect."""
        member_id = f"{name}#{self._members.disks[name].incarnation}"
        match effect:
            case messages.SavePromise():
                self._promise(member_id, effect.promised)
            case messages.SaveRegister():
                self._accept(member_id, effect)
            case messages.Send(_, messages.Accept() as accept):
                self._propose(accept)
            case messages.Learned():
                self._learn(effect.register)

    def _promise(self, member_id, ballot):
        durable = self._durable.get(member_id, _BLANK)
        assert register_spec.may_promise(durable, ballot), (
            "the promise is allowed"
        )
        promises = self._promises.setdefault(ballot, {})
        promises.setdefault(member_id, durable.accepted)
        self._durable[member_id] = durable._replace(promised=ballot)
        self.steps += 1

    def _accept(self, member_id, save):
        durable = self._durable.get(member_id, _BLANK)
        proposed = self._registers.get(save.accepted)
        if proposed is None:
            self._form(save)
        else:
            assert proposed == save.register, "one register under one ballot"
        if durable.accepted == save.accepted:
            # The same vote is saved again after a failed write.
            return
        assert register_spec.may_accept(
            durable, save.accepted
        ) or self._is_chosen(save.accepted), "the vote is allowed"
        promised = max(durable.promised, save.accepted)
        self._durable[member_id] = register_spec.DurableState(
            promised, save.accepted
        )
        self._votes.setdefault(save.accepted, set()).add(member_id)
        self.steps += 1

    def _form(self, save):
        register = save.register
        assert len(self._registers) == 1, "only one cluster is formed"
        assert (register.revision, register.epoch) == (0, 0), (
            "a cluster is formed empty"
        )
        self._registers[save.accepted] = register

    def _is_chosen(self, ballot):
        register = _as_specified(self._registers[ballot])
        votes = self._votes.get(ballot, ())
        return register_spec.has_quorum(register, votes)

    def _propose(self, accept):
        proposed = self._registers.get(accept.ballot)
        if proposed is not None:
            assert proposed == accept.register, "one register under one ballot"
            return
        promises = self._promises.get(accept.ballot, {})
        assert any(
            self._may_propose(accept.register, promises, newest)
            for newest in set(promises.values())
        ), "the proposal is allowed"
        self._registers[accept.ballot] = accept.register
        self.steps += 1

    def _may_propose(self, proposal, promises, newest):
        """Return whether the promises up to `newest` allow the proposal."""
        ids = {i for i, accepted in promises.items() if accepted <= newest}
        base = self._registers[newest]
        specified = _as_specified(base)
        is_chosen = self._is_chosen(newest)
        if is_chosen:
            specified = specified._replace(previous=())
        if not register_spec.has_quorum(specified, ids):
            return False
        if proposal == base:
            return True
        is_settled = not base.previous or is_chosen
        return is_settled and _is_successor(proposal, base)

    def _learn(self, register):
        chosen = [
            ballot
            for ballot, proposed in self._registers.items()
            if proposed == register and self._is_chosen(ballot)
        ]
        assert chosen, "a learned register is chosen"
        self.steps += 1
