"""Check the answers of members against the content of their disks."""

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import quorums


class History:
    """Check the invariants of the register on the effects of fake members.

    Args:
        members: The fake members to observe.
    """

    def __init__(self, members):
        self.members = members
        self.requests = {}
        self.values = {}
        self.accepted = {}
        self.refused = set()
        self.in_force = {}
        self.on_disk = {}
        members.observers.append(self.observe)

    def observe(self, name, effect):
        """Check one executed effect."""
        match effect:
            case messages.SaveRegister():
                disk = self.members.disks[name]
                member_id = f"{name}#{disk.incarnation}"
                self.on_disk[member_id] = effect.register
            case messages.Learned():
                self._check_learned(name, effect.register)
            case messages.Reply() if effect.request in self.requests:
                self._check_reply(name, effect)

    def _check_learned(self, name, register):
        value = self.values.setdefault(register.revision, register.value)
        assert value == register.value, "one value for one revision"
        key = (name, self.members.disks[name].incarnation)
        previous = self.in_force.get(key, -1)
        assert register.revision >= previous, (
            "the revision in force never falls"
        )
        self.in_force[key] = register.revision
        for change in register.changes:
            assert change.change_id not in self.refused, (
                "a refused edit never takes effect"
            )

    def _check_reply(self, name, reply):
        change_id = self.requests[reply.request]
        match reply.result:
            case messages.EditAccepted(revision):
                first = self.accepted.setdefault(change_id, revision)
                assert first == revision, "a resent edit gets its first answer"
                assert change_id not in self.refused, (
                    "a refused edit never takes effect"
                )
                self._check_majority(name, change_id)
            case messages.EditConflict(_, winner):
                assert change_id not in self.accepted, (
                    "an accepted edit is not refused later"
                )
                assert winner != change_id, "the winner is another edit"
                self.refused.add(change_id)

    def _check_majority(self, name, change_id):
        members = self.members.nodes[name].learned.members
        saved_by = {
            member_id
            for member_id, register in self.on_disk.items()
            if register.accepted_change(change_id) is not None
        }
        assert quorums.has_majority(members, saved_by), (
            "an accepted edit is on a majority's disks"
        )

    def check_final(self, register):
        """Check the register that all members agree on at the end."""
        for change_id, revision in self.accepted.items():
            change = register.accepted_change(change_id)
            assert change is not None, "an accepted edit is never lost"
            assert change.revision == revision, (
                "an accepted edit keeps its revision"
            )
        for change in register.changes:
            assert change.change_id not in self.refused, (
                "a refused edit never takes effect"
            )
