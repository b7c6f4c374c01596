"""Run members of the register on a fake network and fake disks."""

import heapq
import itertools
import random
from typing import NamedTuple

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node


class Disk:
    """The content of one data folder; a save is either lost or complete."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.starts = 0
        self.durable = node.BLANK
        self.observed_starts = ()
        self.full = False

    def copy(self):
        """Return a copy of the folder."""
        other = Disk(self.incarnation)
        other.__dict__.update(self.__dict__)
        return other

    def save(self, effect):
        """Execute a save effect."""
        durable = self.durable
        match effect:
            case messages.SavePromise():
                self.durable = durable._replace(promised=effect.promised)
            case messages.SaveRegister():
                promised = max(durable.promised, effect.accepted)
                self.durable = messages.DurableState(
                    promised, effect.accepted, effect.register
                )
            case messages.SaveObservedStarts():
                self.observed_starts = effect.observed_starts


SAVES = (
    messages.SavePromise,
    messages.SaveRegister,
    messages.SaveObservedStarts,
)


class Network(NamedTuple):
    """Probabilities of loss and duplication; delays in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.002


GOOD_NETWORK = Network()


class FakeMembers:
    """Run members in virtual time under induced failures.

    Args:
        count: Number of members that form the first cluster.
        seed: Seed of all random choices.
        network: Loss, duplication and delay of messages.
        node_class: The `node.Node` under test.
        names: Names of the members, by default control-1, control-2, ...
    """

    def __init__(
        self,
        count,
        seed,
        network=GOOD_NETWORK,
        node_class=node.Node,
        names=None,
    ):
        self.rng = random.Random(seed)
        self.network = network
        self.node_class = node_class
        self.names = names or [f"control-{n}" for n in range(1, count + 1)]
        self.configured = [self._endpoint(name) for name in self.names]
        self.cut_links = set()
        self.frozen = {}
        self.now = 0.0
        self.results = {}
        self.learned = []
        self.saves = 0
        self.crash_at_save = {}
        self.sent = 0
        self._events = []
        self._sequence = itertools.count()
        self._incarnations = itertools.count(1)
        self.disks = {}
        self.nodes = {}
        self._tick_times = {}
        self.observers = []
        for name in self.names:
            self.disks[name] = self._blank_disk()
            self.start(name)

    @staticmethod
    def _endpoint(name):
        return messages.Endpoint(name, f"address of {name}")

    def _blank_disk(self):
        return Disk(f"i{next(self._incarnations):03}")

    def start(self, name):
        """Start a process with the state on its disk."""
        disk = self.disks[name]
        disk.starts += 1
        member = messages.Member(
            name, self._endpoint(name).address, disk.incarnation
        )
        nonce = f"{self.rng.getrandbits(32):08x}"
        identity = messages.Identity(
            member, disk.starts, nonce, disk.observed_starts
        )
        rng = random.Random(self.rng.random())
        self.nodes[name] = self.node_class(
            identity, self.configured, disk.durable, rng
        )
        self._schedule_tick(name)

    def crash(self, name):
        """Kill a process; its unsaved state is lost."""
        self.nodes.pop(name, None)
        self.frozen.pop(name, None)

    def restart(self, name):
        """Kill a process and start it with the state on its disk."""
        self.crash(name)
        self.start(name)

    def wipe(self, name):
        """Kill a process and replace its disk by a blank one."""
        self.crash(name)
        self.disks[name] = self._blank_disk()

    def add_instance(self, name):
        """Start a new instance on a blank disk."""
        self.names.append(name)
        self.configured = [*self.configured, self._endpoint(name)]
        self.disks[name] = self._blank_disk()
        self.start(name)

    def freeze(self, name):
        """Stop a process as SIGSTOP does; its messages are queued."""
        if name in self.nodes:
            self.frozen.setdefault(name, [])

    def thaw(self, name):
        """Resume a frozen process, which first gets its queued messages."""
        for sender, message in self.frozen.pop(name, []):
            self.submit(name, messages.Received(sender, message))
        if name in self.nodes:
            self._schedule_tick(name)

    def isolate(self, name):
        """Cut all links of a member, in both directions."""
        for other in self.names:
            self.cut_links |= {(name, other), (other, name)} - {(name, name)}

    def heal(self):
        """Restore all links."""
        self.cut_links.clear()

    def submit(self, name, event):
        """Pass an event to a member and execute the effects."""
        member = self.nodes.get(name)
        if member is None or name in self.frozen:
            return
        self._execute(name, member.handle(event, self.now))
        if name in self.nodes:
            self._schedule_tick(name)

    def _execute(self, name, effects):
        for index, effect in enumerate(effects):
            if isinstance(effect, SAVES) and not self._save(name, effect):
                if name in self.nodes:
                    self._fail_storage(name, effects[index + 1 :])
                return
            if name not in self.nodes:
                return
            match effect:
                case messages.Send():
                    self._send(name, effect)
                case messages.Learned():
                    self.learned.append((name, effect.register))
                case messages.Reply():
                    self.results[effect.request] = effect.result
            if not isinstance(effect, SAVES):
                self._observe(name, effect)

    def _observe(self, name, effect):
        for observe in self.observers:
            observe(name, effect)

    def _save(self, name, effect):
        """Execute a save, or crash before or after it.

        Returns whether later effects are executed.
        """
        self.saves += 1
        crash = self.crash_at_save.pop(self.saves, None)
        if crash == "before":
            self.crash(name)
            return False
        if self.disks[name].full:
            return False
        self.disks[name].save(effect)
        self._observe(name, effect)
        if crash == "after":
            self.crash(name)
            return False
        return True

    def _fail_storage(self, name, dropped):
        for effect in dropped:
            if isinstance(effect, messages.Reply):
                self.results[effect.request] = messages.OutcomeUnknown()
        self.submit(name, messages.StorageFailed("no space left on device"))

    def recover_storage(self, name):
        """Free space on a full disk and save the member's whole state."""
        disk = self.disks[name]
        disk.full = False
        disk.durable = durable = self.nodes[name].durable
        register = messages.SaveRegister(durable.accepted, durable.register)
        if durable.accepted != messages.NO_BALLOT:
            self._observe(name, register)
        self._observe(name, messages.SavePromise(durable.promised))
        self.submit(name, messages.StorageRecovered())

    def _send(self, name, effect):
        self.sent += 1
        if self.rng.random() < self.network.loss:
            return
        copies = 2 if self.rng.random() < self.network.duplication else 1
        sender = self.nodes[name].replica.id
        for _ in range(copies):
            delay = self.rng.uniform(
                self.network.min_delay_s, self.network.max_delay_s
            )
            item = (name, sender, effect.to.name, effect.message)
            self._schedule(self.now + delay, item)

    def _schedule(self, at, item):
        heapq.heappush(self._events, (at, next(self._sequence), item))

    def _schedule_tick(self, name):
        """Schedule the next tick of a member."""
        due = max(self.now, self.nodes[name].next_deadline())
        scheduled = self._tick_times.get(name)
        if scheduled is None or due < scheduled or scheduled < self.now:
            self._tick_times[name] = due
            self._schedule(due, name)

    def run(self, seconds):
        """Advance virtual time by `seconds`."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            at, _, item = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if isinstance(item, str):
                self._tick(item, at)
            else:
                self._deliver(*item)
        self.now = until

    def _tick(self, name, at):
        if self._tick_times.get(name) != at:
            return
        del self._tick_times[name]
        self.submit(name, messages.Tick())
        if name in self.nodes and name not in self.frozen:
            # A member that requests ticks in the past would never stop.
            assert self.nodes[name].next_deadline() > self.now, (
                "the next tick is in the future"
            )

    def _deliver(self, name, sender, to, message):
        if (name, to) in self.cut_links:
            return
        if to in self.frozen:
            self.frozen[to].append((sender, message))
            return
        self.submit(to, messages.Received(sender, message))

    def run_until(self, condition, seconds):
        """Advance time until `condition()`; return whether it came true."""
        until = self.now + seconds
        while self.now < until:
            if condition():
                return True
            self.run(0.01)
        return condition()

    def is_voting(self, name):
        """Return whether a member votes, as of the register it learned."""
        member = self.nodes.get(name)
        if member is None or member.fault:
            return False
        register = member.learned
        ids = [m.id for m in register.members]
        return member.replica.id in ids and not register.previous
