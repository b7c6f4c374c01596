"""Specification of the replicated register, checked exhaustively.

Acceptors A, B and C vote; D is what comes in place of C on a blank disk. Each
ballot has one proposer and one operation. A message that was sent may be
delivered at any later time, any number of times or never: so the steps of
acceptors are enabled for good once a ballot is begun, and a proposer that
crashes is one that takes no further step. A crashed acceptor comes back with
its disk, which holds all that it told; one that lost its disk takes no
further step.

Run as a script: the rules must hold, and each broken variant must fail.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import sys
from typing import NamedTuple

import minicheck

ACCEPTORS = "ABCD"
NONE = 0


class Register(NamedTuple):
    """The edits made so far, who votes, and who voted before a change."""

    edits: str
    members: str
    previous: str = ""


START = Register("", "ABC")


class Rules(NamedTuple):
    """What can be broken; the defaults are the rules of the register."""

    majority_of_old: bool = True
    settle_change_first: bool = True
    refuse_lower: bool = True
    adopt_newest: bool = True
    majority: bool = True
    majority_to_prepare: bool = True


RULES = Rules()


class Operation(NamedTuple):
    """Who proposes under a ballot, and what."""

    proposer: str
    edit: str = ""
    members: str = ""


class Schedule(NamedTuple):
    """The operation of each ballot, the first being ballot 1."""

    name: str
    operations: tuple[Operation, ...]


class Slot(NamedTuple):
    """What one acceptor holds on its disk."""

    promised: int = NONE
    accepted: int = NONE


class Attempt(NamedTuple):
    """What became of one ballot.

    `promises` are pairs of acceptor and the ballot it had accepted, dropped
    once the proposal is made; `votes` are the acceptors that accepted it.
    """

    promises: tuple[tuple[str, int], ...] = ()
    proposal: Register | None = None
    votes: str = ""


class State(NamedTuple):
    """All disks and all ballots."""

    slots: tuple[Slot, ...]
    attempts: tuple[Attempt, ...]


def has_majority(members: str, ids: Iterable[str], rules: Rules) -> bool:
    """Return whether `ids` holds a majority of `members`."""
    votes = len(set(members) & set(ids))
    if not rules.majority:
        return votes >= len(members) // 2
    return votes > len(members) // 2


def satisfied(
    register: Register, ids: Iterable[str], rules: Rules = RULES
) -> bool:
    """Return whether `ids` may decide on `register`."""
    found = set(ids)
    if not has_majority(register.members, found, rules):
        return False
    if not register.previous or not rules.majority_of_old:
        return True
    return has_majority(register.previous, found, rules)


def may_promise(slot: Slot, ballot: int) -> bool:
    """Return whether an acceptor promises `ballot`."""
    return slot.promised <= ballot


def may_accept(slot: Slot, ballot: int, rules: Rules = RULES) -> bool:
    """Return whether an acceptor accepts `ballot`."""
    return slot.promised <= ballot or not rules.refuse_lower


def apply(operation: Operation, register: Register) -> Register:
    """Return the register after an operation on one known to be chosen."""
    base = register._replace(previous="")
    if operation.edit:
        return base._replace(edits=base.edits + operation.edit)
    if operation.members == base.members:
        return base
    # A change of members counts as an edit: none of them may be lost either.
    edits = f"{base.edits}({operation.members})"
    return Register(edits, operation.members, base.members)


def propose(
    operation: Operation,
    promises: Mapping[str, int],
    registers: Mapping[int, Register],
    rules: Rules,
) -> Register | None:
    """Return what a proposer proposes, or None while promises are missing."""
    pick = max if rules.adopt_newest else min
    base = registers[promises[operation.proposer]]
    newest = pick(promises.values())
    held = registers[newest]
    if rules.majority_to_prepare:
        if not satisfied(base, promises, rules):
            return None
        if not satisfied(held, promises, rules):
            return None
    same = [a for a, accepted in promises.items() if accepted == newest]
    is_chosen = satisfied(held, same, rules)
    if held.previous and not is_chosen and rules.settle_change_first:
        return held
    return apply(operation, held)


def registers_of(state: State) -> dict[int, Register]:
    """Return the register proposed under each ballot, `NONE` the first."""
    found = {NONE: START}
    for ballot, attempt in enumerate(state.attempts, 1):
        if attempt.proposal is not None:
            found[ballot] = attempt.proposal
    return found


class Model:
    """Steps of a schedule under some rules.

    Args:
        schedule: The operation of each ballot.
        rules: Rules to check.
    """

    def __init__(self, schedule: Schedule, rules: Rules) -> None:
        self.operations = schedule.operations
        self.rules = rules

    def initial(self) -> State:
        """Return the state after forming: all hold the first register."""
        return State(
            (Slot(),) * len(ACCEPTORS), (Attempt(),) * len(self.operations)
        )

    def steps(self, state: State) -> list[tuple[str, State]]:
        """Return the states that one step leads to."""
        found = []
        for index in range(len(self.operations)):
            found += self._promises(state, index)
            found += self._proposal(state, index)
            found += self._votes(state, index)
        return found

    def _promises(self, state: State, index: int) -> list[tuple[str, State]]:
        attempt, ballot = state.attempts[index], index + 1
        if attempt.proposal is not None:
            return []
        proposer = self.operations[index].proposer
        done = dict(attempt.promises)
        found = []
        for place, acceptor in enumerate(ACCEPTORS):
            slot = state.slots[place]
            # The proposer's own promise comes first.
            if acceptor in done or (not done and acceptor != proposer):
                continue
            if not may_promise(slot, ballot):
                continue
            promises = (*attempt.promises, (acceptor, slot.accepted))
            new = attempt._replace(promises=tuple(sorted(promises)))
            promised = slot._replace(promised=ballot)
            label = f"{acceptor} promises {ballot}"
            found.append((label, _put(state, place, promised, index, new)))
        return found

    def _proposal(self, state: State, index: int) -> list[tuple[str, State]]:
        attempt, operation = state.attempts[index], self.operations[index]
        promises = dict(attempt.promises)
        if attempt.proposal is not None or operation.proposer not in promises:
            return []
        registers = registers_of(state)
        proposal = propose(operation, promises, registers, self.rules)
        if proposal is None:
            return []
        new = Attempt((), proposal, "")
        attempts = _at(state.attempts, index, new)
        label = f"{operation.proposer} proposes {index + 1}: {proposal}"
        return [(label, state._replace(attempts=attempts))]

    def _votes(self, state: State, index: int) -> list[tuple[str, State]]:
        attempt, ballot = state.attempts[index], index + 1
        if attempt.proposal is None:
            return []
        voters = set(attempt.proposal.members + attempt.proposal.previous)
        found = []
        for place, acceptor in enumerate(ACCEPTORS):
            slot = state.slots[place]
            if acceptor not in voters or acceptor in attempt.votes:
                continue
            if not may_accept(slot, ballot, self.rules):
                continue
            votes = "".join(sorted(attempt.votes + acceptor))
            accepted = Slot(max(slot.promised, ballot), ballot)
            new = attempt._replace(votes=votes)
            label = f"{acceptor} accepts {ballot}"
            found.append((label, _put(state, place, accepted, index, new)))
        return found

    def chosen(self, state: State) -> list[tuple[int, Register]]:
        """Return the ballots that are chosen, with their registers."""
        return [
            (ballot, attempt.proposal)
            for ballot, attempt in enumerate(state.attempts, 1)
            if attempt.proposal is not None
            and satisfied(attempt.proposal, attempt.votes, self.rules)
        ]

    def one_history(self, state: State) -> bool:
        """Return whether the edits chosen are one growing sequence."""
        edits = sorted((r.edits for _, r in self.chosen(state)), key=len)
        pairs = itertools.pairwise(edits)
        return all(later.startswith(earlier) for earlier, later in pairs)

    def nothing_lost(self, state: State) -> bool:
        """Return whether each proposal builds on all chosen before it."""
        proposals = registers_of(state)
        return all(
            register.edits.startswith(held.edits)
            for ballot, held in self.chosen(state)
            for later, register in proposals.items()
            if later > ballot
        )


def _at(items: tuple, index: int, item: NamedTuple) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _put(
    state: State, place: int, slot: Slot, index: int, attempt: Attempt
) -> State:
    return State(
        _at(state.slots, place, slot), _at(state.attempts, index, attempt)
    )


SCHEDULES = (
    Schedule(
        "edits race, the last one reads who won",
        (Operation("A", edit="x"), Operation("B", edit="y"),
         Operation("C", edit="z")),
    ),
    Schedule(
        "C is replaced by D while both sides edit",
        (Operation("B", members="ABD"), Operation("A", edit="x"),
         Operation("B", edit="y")),
    ),
    Schedule(
        "an edit, then two changes of members in a row",
        (Operation("A", members="ABD"), Operation("A", members="AD"),
         Operation("B", edit="x")),
    ),
)  # fmt: skip

# Each with the schedule in which it shows; a violation found is one even when
# the search ends early.
BROKEN = {
    "half is enough": (0, Rules(majority=False)),
    "lower ballots are accepted": (0, Rules(refuse_lower=False)),
    "the oldest value is adopted": (0, Rules(adopt_newest=False)),
    "no majority promises": (0, Rules(majority_to_prepare=False)),
    "the old members are not asked": (1, Rules(majority_of_old=False)),
    "a change is built on unsettled": (2, Rules(settle_change_first=False)),
}
MAX_STATES = 1_000_000
MAX_BROKEN_STATES = 40_000


def check(schedule: Schedule, rules: Rules, max_states: int) -> dict:
    """Return what the checker says of a schedule under some rules."""
    model = Model(schedule, rules)
    protocol = minicheck.Protocol(
        name=schedule.name,
        candidate=False,
        fields=("state",),
        initial=(model.initial(),),
        transitions=lambda s: [
            (label, (new,)) for label, new in model.steps(s[0])
        ],
        invariants={
            "one history": lambda d: model.one_history(d["state"]),
            "nothing lost": lambda d: model.nothing_lost(d["state"]),
        },
    )
    return minicheck.check_safety(protocol, max_states=max_states)


def main() -> int:
    """Check all schedules and all broken variants; return the exit status."""
    good = True
    for schedule in SCHEDULES:
        result = check(schedule, RULES, MAX_STATES)
        held = all(p["holds"] for p in result["properties"].values())
        good = good and held
        print(f"{schedule.name}: {result['reachable_states']} states: {held}")
    for name, (index, rules) in BROKEN.items():
        result = check(SCHEDULES[index], rules, MAX_BROKEN_STATES)
        failed = [
            invariant
            for invariant, p in result["properties"].items()
            if p["holds"] is False
        ]
        good = good and bool(failed)
        print(f"broken: {name}: fails {failed or 'NOTHING'}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
