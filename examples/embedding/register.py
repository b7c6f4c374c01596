"""Embeds three members of the replicated register in a program.

Run it with `python examples/embedding/register.py`. Everything is simulated:
the clock is a number, the network a list, the disk a dictionary. A real program
writes and syncs a `Save...` effect before it executes the effects after it, and
sends a `Send` over a network that may lose it.
"""

import random

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node

NAMES = ("a", "b", "c")
STEP_S = 0.01
_EDIT = 1
_READ = 2


def member(name: str) -> messages.Member:
    """Return a member; its incarnation is the ID of its simulated disk."""
    return messages.Member(
        name, f"127.0.0.1:{9000 + ord(name)}", f"disk-{name}"
    )


class Program:
    """Executes the effects of three members.

    Args:
        seed: Determines jitter and the order in which messages arrive.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 0.0
        self._network: list[tuple[str, str, messages.Message]] = []
        self.results: dict[int, messages.Result] = {}
        self.disconnected: set[str] = set()
        endpoints = [member(name).endpoint for name in NAMES]
        self._nodes = {
            name: node.Node(
                messages.Identity(member(name), starts=1, nonce=name),
                endpoints,
                node.BLANK,
                random.Random(self._rng.random()),
            )
            for name in NAMES
        }

    def handle(self, name: str, event: messages.Event) -> None:
        """Pass an event to a member and execute the resulting effects."""
        for effect in self._nodes[name].handle(event, self._now):
            match effect:
                case messages.Send():
                    self._network.append((name, effect.to.name, effect.message))
                case messages.Reply():
                    self.results[effect.request] = effect.result

    def run(self, seconds: float) -> None:
        """Advance the clock; messages arrive in random order."""
        until = self._now + seconds
        while self._now < until:
            self._now += STEP_S
            for name in NAMES:
                self.handle(name, messages.Tick())
            self._deliver()

    def _deliver(self) -> None:
        self._rng.shuffle(self._network)
        messages_sent, self._network = self._network, []
        for sender, to, message in messages_sent:
            if not self.disconnected.intersection((sender, to)):
                received = messages.Received(member(sender).id, message)
                self.handle(to, received)


def main() -> None:
    """Form a cluster, lose a member, edit, and read the edit elsewhere."""
    program = Program(seed=1)
    program.run(5.0)
    program.disconnected.add("c")
    program.handle("a", messages.Edit(_EDIT, "first-change", 0, b"hello"))
    program.run(3.0)
    print("edit:", program.results[_EDIT])
    program.handle("b", messages.Read(_READ))
    program.run(3.0)
    result = program.results[_READ]
    assert isinstance(result, messages.ReadDone), result
    print("read:", result.register.revision, result.register.value)


if __name__ == "__main__":
    main()
