"""Run random operations on members under single and double failures."""

from hypothesis import stateful
from hypothesis import strategies

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import quorums
from tests.support import conformance
from tests.support import fake_members
from tests.support import register_history

NETWORK = fake_members.Network(0.1, 0.1, 0.001, 0.15)
RECOVERY_S = 60
_MAX_NAMES = 5

_INDEX = strategies.integers(0, 6)


class RegisterMachine(stateful.RuleBasedStateMachine):
    """Random edits, message losses, crashes, blank disks and new members."""

    node_class = fake_members.node.Node
    is_replayed = True

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        """Form a cluster of three members on an unreliable network."""
        self.members = fake_members.FakeMembers(
            3, seed, NETWORK, self.node_class
        )
        self.history = register_history.History(self.members)
        if self.is_replayed:
            self.replay = conformance.Replay(self.members)
        self.request = 0
        self.expects = {}
        self.members.run_until(self._all_vote, RECOVERY_S)

    def _name(self, index):
        return self.members.names[index % len(self.members.names)]

    def _all_vote(self):
        names = self._member_names()
        return bool(names) and all(self.members.is_voting(n) for n in names)

    def _newest_register(self):
        disks = self.members.disks.values()
        return max(disk.durable for disk in disks).register

    def _member_names(self):
        return [member.name for member in self._newest_register().members]

    def _submit_edit(self, name, change_id, expect):
        self.request += 1
        self.history.requests[self.request] = change_id
        expect = self.expects.setdefault(change_id, expect)
        value = f"{change_id} {expect}".encode()
        event = messages.Edit(self.request, change_id, expect, value, change_id)
        self.members.submit(name, event)

    @stateful.rule(index=_INDEX, behind=strategies.integers(0, 1))
    def edit(self, index, behind):
        """Edit the newest revision learned by an instance or the one before."""
        name = self._name(index)
        member = self.members.nodes.get(name)
        if member is not None:
            expect = max(0, member.learned.revision - behind)
            self._submit_edit(name, f"change-{self.request}", expect)

    @stateful.rule(one=_INDEX, two=_INDEX)
    def race(self, one, two):
        """Send two concurrent edits of one revision."""
        revision = self._newest_register().revision
        for index in (one, two):
            self._submit_edit(
                self._name(index), f"race-{self.request}", revision
            )

    @stateful.rule(index=_INDEX, back=strategies.integers(1, 5))
    def resend(self, index, back):
        """Resend an earlier edit, as after a lost answer."""
        if self.request < back:
            return
        change_id = self.history.requests[self.request - back + 1]
        self._submit_edit(self._name(index), change_id, self.expects[change_id])

    @stateful.rule(index=_INDEX)
    def read(self, index):
        """Read at an instance."""
        self.members.submit(self._name(index), messages.Read(0))

    @stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def wait(self, seconds):
        """Advance time."""
        self.members.run(seconds)

    @stateful.rule(index=_INDEX)
    def crash(self, index):
        """Kill a process."""
        self.members.crash(self._name(index))

    @stateful.rule(
        ahead=strategies.integers(1, 6),
        place=strategies.sampled_from(("before", "after")),
    )
    def crash_at_save(self, ahead, place):
        """Kill the process that executes one of the next saves."""
        self.members.crash_at_save = {self.members.saves + ahead: place}

    @stateful.rule(index=_INDEX)
    def restart(self, index):
        """Start a process, after killing it if it runs."""
        self.members.restart(self._name(index))

    @stateful.rule(one=_INDEX, two=_INDEX)
    def cut_one_way(self, one, two):
        """Lose all messages from one instance to another."""
        self.members.cut_links.add((self._name(one), self._name(two)))

    @stateful.rule(index=_INDEX)
    def cut_off(self, index):
        """Cut all links of an instance."""
        self.members.isolate(self._name(index))

    @stateful.rule()
    def heal(self):
        """Restore all links."""
        self.members.heal()

    @stateful.rule(index=_INDEX)
    def freeze(self, index):
        """Stop a process as SIGSTOP does."""
        self.members.freeze(self._name(index))

    @stateful.rule(index=_INDEX)
    def thaw(self, index):
        """Resume a stopped process."""
        self.members.thaw(self._name(index))

    @stateful.rule(index=_INDEX)
    def fill_disk(self, index):
        """Fill a disk; saves fail until it has free space again."""
        self.members.disks[self._name(index)].full = True

    @stateful.rule(index=_INDEX)
    def mend_disk(self, index):
        """Free space on a disk and save the member's state."""
        name = self._name(index)
        if name in self.members.nodes and name not in self.members.frozen:
            self.members.recover_storage(name)

    @stateful.rule(index=_INDEX)
    def lose_disk(self, index):
        """Lose a disk, if a majority of intact disks remains."""
        name = self._name(index)
        if self._may_lose_disk(name):
            self.members.wipe(name)
            self.members.start(name)

    def _may_lose_disk(self, name):
        disks = self.members.disks
        intact = {
            f"{n}#{disk.incarnation}" for n, disk in disks.items() if n != name
        }
        newest = max(
            (member.learned for member in self.members.nodes.values()),
            key=lambda register: (register.epoch, register.revision),
            default=messages.BLANK_REGISTER,
        )
        accepted = [disk.durable.register for disk in disks.values()]
        recent = [newest] + [r for r in accepted if r.epoch >= newest.epoch]
        return all(quorums.has_quorum(register, intact) for register in recent)

    @stateful.rule(index=_INDEX)
    def add_member(self, index):
        """Start a new instance, and add the newest instance as a member."""
        if len(self.members.names) < _MAX_NAMES:
            name = f"control-{len(self.members.names) + 1}"
            self.members.add_instance(name)
        newest = self.members.names[-1]
        event = messages.AddMember(0, newest)
        self.members.submit(self._name(index), event)

    @stateful.rule(index=_INDEX, gone=_INDEX)
    def remove_member(self, index, gone):
        """Remove a member."""
        event = messages.RemoveMember(0, self._name(gone))
        self.members.submit(self._name(index), event)

    def teardown(self):
        """End all failures; all members must agree and accept an edit."""
        if not hasattr(self, "members"):
            return
        self.members.crash_at_save = {}
        self.members.heal()
        for name, disk in self.members.disks.items():
            disk.full = False
            self.members.restart(name)
        assert self.members.run_until(self._all_vote, RECOVERY_S), (
            "all members vote"
        )
        name = self._member_names()[0]
        self._submit_edit(name, "last", self._newest_register().revision)
        self.members.run(RECOVERY_S)
        assert "last" in self.history.accepted, "the last edit is accepted"
        registers = {
            self.members.nodes[n].learned for n in self._member_names()
        }
        assert len(registers) == 1, "all members agree at the end"
        self.history.check_final(registers.pop())


class ReturningMachine(RegisterMachine):
    """Additionally remove members that keep their data and vote again."""

    @stateful.rule(index=_INDEX, gone=_INDEX)
    def dismiss(self, index, gone):
        """Remove a member without retiring its id."""
        event = messages.RemoveMember(0, self._name(gone), retires=False)
        self.members.submit(self._name(index), event)

    @stateful.rule(index=_INDEX, back=_INDEX)
    def let_vote_again(self, index, back):
        """Add an instance that may have been a member before."""
        event = messages.AddMember(0, self._name(back))
        self.members.submit(self._name(index), event)
