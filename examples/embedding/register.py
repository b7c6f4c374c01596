"""Three members of the replicated register in a program of your own.

Run it: `python examples/embedding/register.py`. Everything here is virtual:
the clock is a number, the network a list, the disk a dictionary. In a real
program a `Save...` effect is written and synced before the effects after it
are carried out, and a `Send` goes over a wire that may lose it.
"""

import random

from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node

NAMES = ("a", "b", "c")
STEP_S = 0.01
_EDIT = 1
_READ = 2


def member(name: str) -> messages.Member:
    """Return a member; its incarnation is the id of its (virtual) disk."""
    return messages.Member(
        name, f"127.0.0.1:{9000 + ord(name)}", f"disk-{name}"
    )


class Program:
    """Carry the effects of three members.

    Args:
        seed: Decides jitter and the order in which messages arrive.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._now = 0.0
        self._wire: list[tuple[str, str, messages.Message]] = []
        self.results: dict[int, messages.Result] = {}
        self.cut_off: set[str] = set()
        listed = [member(name).endpoint for name in NAMES]
        self._nodes = {
            name: node.Node(
                messages.Identity(member(name), starts=1, nonce=name),
                listed,
                node.BLANK,
                random.Random(self._rng.random()),
            )
            for name in NAMES
        }

    def hand(self, name: str, event: messages.Event) -> None:
        """Hand an event to a member and carry what comes of it."""
        for effect in self._nodes[name].handle(event, self._now):
            match effect:
                case messages.Send():
                    self._wire.append((name, effect.to.name, effect.message))
                case messages.Reply():
                    self.results[effect.request] = effect.result

    def run(self, seconds: float) -> None:
        """Let time pass; messages arrive in any order."""
        until = self._now + seconds
        while self._now < until:
            self._now += STEP_S
            for name in NAMES:
                self.hand(name, messages.Tick())
            self._deliver()

    def _deliver(self) -> None:
        self._rng.shuffle(self._wire)
        sent, self._wire = self._wire, []
        for sender, to, message in sent:
            if not self.cut_off.intersection((sender, to)):
                received = messages.Received(member(sender).id, message)
                self.hand(to, received)


def main() -> None:
    """Form a cluster, lose a member, edit, and read the edit elsewhere."""
    program = Program(seed=1)
    program.run(5.0)
    program.cut_off.add("c")
    program.hand("a", messages.Edit(_EDIT, "first-change", 0, b"hello"))
    program.run(3.0)
    print("edit:", program.results[_EDIT])
    program.hand("b", messages.Read(_READ))
    program.run(3.0)
    result = program.results[_READ]
    assert isinstance(result, messages.ReadDone), result
    print("read:", result.register.revision, result.register.value)


if __name__ == "__main__":
    main()
