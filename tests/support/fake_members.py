"""Members of the register joined by a fake network and fake disks."""

import random

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node


class FakeMembers:
    """Run members in virtual time; messages can be cut between pairs."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.names = [f"control-{n}" for n in range(1, count + 1)]
        self.disks = {name: node.BLANK for name in self.names}
        self.cut = set()
        self.now = 0.0
        self.in_flight = []
        self.results = {}
        self.learned = {name: [] for name in self.names}
        self.nodes = {name: self._boot(name) for name in self.names}

    def _boot(self, name):
        rng = random.Random(self.rng.random())
        return node.Node(name, self.names, self.disks[name], rng)

    def restart(self, name):
        """Kill a member and start it from what its disk holds."""
        self.nodes[name] = self._boot(name)

    def submit(self, name, event):
        """Hand an event to a member."""
        self._carry(name, self.nodes[name].handle(event, self.now))

    def _carry(self, name, effects):
        for effect in effects:
            match effect:
                case messages.Persist():
                    self.disks[name] = effect.durable
                case messages.Send():
                    self.in_flight.append((name, effect.to, effect.message))
                case messages.Learned():
                    self.learned[name].append(effect.register)
                case messages.Reply():
                    self.results[effect.request] = effect.result

    def run(self, seconds):
        """Deliver messages and pass time in steps of 10 ms."""
        until = self.now + seconds
        while self.now < until:
            self._deliver()
            self.now += 0.01
            for name in self.names:
                self.submit(name, messages.Tick())

    def _deliver(self):
        while self.in_flight:
            index = self.rng.randrange(len(self.in_flight))
            sender, to, message = self.in_flight.pop(index)
            if (sender, to) not in self.cut:
                self.submit(to, messages.Received(sender, message))

    def isolate(self, name):
        """Cut a member off from all others, both ways."""
        for other in self.names:
            self.cut |= {(name, other), (other, name)} - {(name, name)}
