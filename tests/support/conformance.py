"""Replays the steps of members against the specification."""

from hyssopfold.core.consensus import messages
from spec import register_spec

_BLANK = register_spec.DurableState(messages.NO_BALLOT, messages.NO_BALLOT)


def _as_specified(register):
    """Return who decides on a register, in the specification's form."""
    return register_spec.Register(
        "",
        tuple(member.id for member in register.members),
        tuple(member.id for member in register.previous),
    )


def _follows(new, old):
    """Return whether `new` is one operation after `old`."""
    base = old._replace(previous=())
    if new == base:
        return True
    if new.previous:
        gone = set(old.members) ^ set(new.members)
        return (
            new.previous == old.members
            and new.epoch == old.epoch + 1
            and 1 <= len(gone) <= 2
            and (new.revision, new.value) == (old.revision, old.value)
        )
    return (
        new.members == old.members
        and new.epoch == old.epoch
        and new.revision > old.revision
        and new.changes[:-1] == old.changes[-len(new.changes) + 1 :]
    )


class Replay:
    """Follow fake members; refuse a step that the specification has not.

    Args:
        members: The fake members to follow.
    """

    def __init__(self, members):
        self._members = members
        self.steps = 0
        self._slots = {}
        self._promises = {}
        self._registers = {messages.NO_BALLOT: messages.BLANK_REGISTER}
        self._votes = {}
        members.observers.append(self.observe)

    def observe(self, name, effect):
        """Replay one effect that was carried out."""
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
        slot = self._slots.get(member_id, _BLANK)
        assert register_spec.may_promise(slot, ballot), "promise"
        promises = self._promises.setdefault(ballot, {})
        promises.setdefault(member_id, slot.accepted)
        self._slots[member_id] = slot._replace(promised=ballot)
        self.steps += 1

    def _accept(self, member_id, save):
        slot = self._slots.get(member_id, _BLANK)
        held = self._registers.get(save.accepted)
        if held is None:
            self._form(save)
        else:
            assert held == save.register, "one register under one ballot"
        if slot.accepted == save.accepted:
            # Saved again after a disk had refused: no vote of its own.
            return
        assert register_spec.may_accept(slot, save.accepted) or self._is_chosen(
            save.accepted
        ), "accept"
        promised = max(slot.promised, save.accepted)
        self._slots[member_id] = register_spec.DurableState(
            promised, save.accepted
        )
        self._votes.setdefault(save.accepted, set()).add(member_id)
        self.steps += 1

    def _form(self, save):
        register = save.register
        assert len(self._registers) == 1, "a cluster is formed once"
        assert (register.revision, register.epoch) == (0, 0), "formed empty"
        self._registers[save.accepted] = register

    def _is_chosen(self, ballot):
        register = _as_specified(self._registers[ballot])
        votes = self._votes.get(ballot, ())
        return register_spec.satisfied(register, votes)

    def _propose(self, accept):
        held = self._registers.get(accept.ballot)
        if held is not None:
            assert held == accept.register, "one register under one ballot"
            return
        promises = self._promises.get(accept.ballot, {})
        assert any(
            self._may_propose(accept.register, promises, newest)
            for newest in set(promises.values())
        ), "propose"
        self._registers[accept.ballot] = accept.register
        self.steps += 1

    def _may_propose(self, proposal, promises, newest):
        """Return whether the promises up to `newest` allow the proposal."""
        seen = {i for i, accepted in promises.items() if accepted <= newest}
        held = self._registers[newest]
        decides = _as_specified(held)
        is_chosen = self._is_chosen(newest)
        if is_chosen:
            decides = decides._replace(previous=())
        if not register_spec.satisfied(decides, seen):
            return False
        if proposal == held:
            return True
        is_settled = not held.previous or is_chosen
        return is_settled and _follows(proposal, held)

    def _learn(self, register):
        chosen = [
            ballot
            for ballot, held in self._registers.items()
            if held == register and self._is_chosen(ballot)
        ]
        assert chosen, "learned is chosen"
        self.steps += 1
