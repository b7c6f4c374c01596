"""Specification of the replicated register, checked exhaustively.

Acceptors A, B and C vote; D replaces C on a blank disk. Each ballot has one
proposer and one operation. A sent message may be delivered at any later time,
any number of times or never. The steps of acceptors therefore stay enabled
once a ballot is started, and a crashed proposer is one that takes no further
step. A crashed acceptor restarts with its disk, which contains every vote that
it sent; an acceptor that lost its disk takes no further step.

Run as a script, it checks that the invariants hold under the rules and that
each broken variant of the rules violates one.
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
    """The edits so far, the members, and the members before a change."""

    edits: str
    members: str
    previous: str = ""


START = Register("", "ABC")


class Rules(NamedTuple):
    """The rules of the register; a variant with one set to False is broken."""

    majority_of_old: bool = True
    settle_change_first: bool = True
    refuse_lower: bool = True
    adopt_newest: bool = True
    majority: bool = True
    majority_to_prepare: bool = True


RULES = Rules()


class Operation(NamedTuple):
    """The proposer of a ballot and the edit or members that it proposes."""

    proposer: str
    edit: str = ""
    members: str = ""


class Schedule(NamedTuple):
    """The operation of each ballot, starting with ballot 1."""

    name: str
    operations: tuple[Operation, ...]


class DurableState(NamedTuple):
    """The promise and vote on the disk of one acceptor."""

    promised: int = NONE
    accepted: int = NONE


class BallotState(NamedTuple):
    """The progress of one ballot.

    `promises` are pairs of an acceptor and the ballot it had accepted; they
    are dropped once the proposal is made. `votes` lists the acceptors that
    accepted the proposal.
    """

    promises: tuple[tuple[str, int], ...] = ()
    proposal: Register | None = None
    votes: str = ""


class State(NamedTuple):
    """All disks and all ballots."""

    disks: tuple[DurableState, ...]
    ballots: tuple[BallotState, ...]


def has_majority(members: str, ids: Iterable[str], rules: Rules) -> bool:
    """Return whether `ids` contains a majority of `members`."""
    votes = len(set(members) & set(ids))
    if not rules.majority:
        return votes >= len(members) // 2
    return votes > len(members) // 2


def has_quorum(
    register: Register, ids: Iterable[str], rules: Rules = RULES
) -> bool:
    """Return whether `ids` form a quorum for `register`."""
    voters = set(ids)
    if not has_majority(register.members, voters, rules):
        return False
    if not register.previous or not rules.majority_of_old:
        return True
    return has_majority(register.previous, voters, rules)


def may_promise(disk: DurableState, ballot: int) -> bool:
    """Return whether an acceptor promises `ballot`."""
    return disk.promised <= ballot


def may_accept(disk: DurableState, ballot: int, rules: Rules = RULES) -> bool:
    """Return whether an acceptor accepts `ballot`."""
    return disk.promised <= ballot or not rules.refuse_lower


def apply(operation: Operation, register: Register) -> Register:
    """Return the register after an operation on a chosen register."""
    base = register._replace(previous="")
    if operation.edit:
        return base._replace(edits=base.edits + operation.edit)
    if operation.members == base.members:
        return base
    # A membership change counts as an edit, since it must not be lost either.
    edits = f"{base.edits}({operation.members})"
    return Register(edits, operation.members, base.members)


def propose(
    operation: Operation,
    promises: Mapping[str, int],
    registers: Mapping[int, Register],
    rules: Rules,
) -> Register | None:
    """Return the proposed register, or None while promises are missing."""
    select = max if rules.adopt_newest else min
    base = registers[promises[operation.proposer]]
    newest = select(promises.values())
    newest_register = registers[newest]
    if rules.majority_to_prepare:
        if not has_quorum(base, promises, rules):
            return None
        if not has_quorum(newest_register, promises, rules):
            return None
    agreeing = [a for a, accepted in promises.items() if accepted == newest]
    is_chosen = has_quorum(newest_register, agreeing, rules)
    if newest_register.previous and not is_chosen and rules.settle_change_first:
        return newest_register
    return apply(operation, newest_register)


def proposed_registers(state: State) -> dict[int, Register]:
    """Return the register of each ballot; that of `NONE` is `START`."""
    registers = {NONE: START}
    for ballot, ballot_state in enumerate(state.ballots, 1):
        if ballot_state.proposal is not None:
            registers[ballot] = ballot_state.proposal
    return registers


class Model:
    """The states and steps of a schedule under the given rules.

    Args:
        schedule: The operation of each ballot.
        rules: Rules to check.
    """

    def __init__(self, schedule: Schedule, rules: Rules) -> None:
        self.operations = schedule.operations
        self.rules = rules

    def initial(self) -> State:
        """Return the initial state, in which all acceptors have `START`."""
        return State(
            (DurableState(),) * len(ACCEPTORS),
            (BallotState(),) * len(self.operations),
        )

    def steps(self, state: State) -> list[tuple[str, State]]:
        """Return the label and next state of each possible step."""
        steps = []
        for index in range(len(self.operations)):
            steps += self._promises(state, index)
            steps += self._proposal(state, index)
            steps += self._votes(state, index)
        return steps

    def _promises(self, state: State, index: int) -> list[tuple[str, State]]:
        ballot_state, ballot = state.ballots[index], index + 1
        if ballot_state.proposal is not None:
            return []
        proposer = self.operations[index].proposer
        promised_by = dict(ballot_state.promises)
        steps = []
        for acceptor_index, acceptor in enumerate(ACCEPTORS):
            disk = state.disks[acceptor_index]
            # The proposer's own promise comes first.
            if acceptor in promised_by or (
                not promised_by and acceptor != proposer
            ):
                continue
            if not may_promise(disk, ballot):
                continue
            promises = (*ballot_state.promises, (acceptor, disk.accepted))
            new = ballot_state._replace(promises=tuple(sorted(promises)))
            promised = disk._replace(promised=ballot)
            label = f"{acceptor} promises {ballot}"
            steps.append(
                (label, _update(state, acceptor_index, promised, index, new))
            )
        return steps

    def _proposal(self, state: State, index: int) -> list[tuple[str, State]]:
        ballot_state, operation = state.ballots[index], self.operations[index]
        promises = dict(ballot_state.promises)
        if (
            ballot_state.proposal is not None
            or operation.proposer not in promises
        ):
            return []
        registers = proposed_registers(state)
        proposal = propose(operation, promises, registers, self.rules)
        if proposal is None:
            return []
        new = BallotState((), proposal, "")
        ballots = _replace_item(state.ballots, index, new)
        label = f"{operation.proposer} proposes {index + 1}: {proposal}"
        return [(label, state._replace(ballots=ballots))]

    def _votes(self, state: State, index: int) -> list[tuple[str, State]]:
        ballot_state, ballot = state.ballots[index], index + 1
        if ballot_state.proposal is None:
            return []
        voters = set(
            ballot_state.proposal.members + ballot_state.proposal.previous
        )
        steps = []
        for acceptor_index, acceptor in enumerate(ACCEPTORS):
            disk = state.disks[acceptor_index]
            if acceptor not in voters or acceptor in ballot_state.votes:
                continue
            if not may_accept(disk, ballot, self.rules):
                continue
            votes = "".join(sorted(ballot_state.votes + acceptor))
            accepted = DurableState(max(disk.promised, ballot), ballot)
            new = ballot_state._replace(votes=votes)
            label = f"{acceptor} accepts {ballot}"
            steps.append(
                (label, _update(state, acceptor_index, accepted, index, new))
            )
        return steps

    def chosen(self, state: State) -> list[tuple[int, Register]]:
        """Return the chosen ballots with their registers."""
        return [
            (ballot, ballot_state.proposal)
            for ballot, ballot_state in enumerate(state.ballots, 1)
            if ballot_state.proposal is not None
            and has_quorum(
                ballot_state.proposal, ballot_state.votes, self.rules
            )
        ]

    def has_one_history(self, state: State) -> bool:
        """Return whether the chosen edits form one growing sequence."""
        edits = sorted(
            (register.edits for _, register in self.chosen(state)), key=len
        )
        pairs = itertools.pairwise(edits)
        return all(later.startswith(earlier) for earlier, later in pairs)

    def loses_no_chosen_edit(self, state: State) -> bool:
        """Return whether each proposal contains all edits chosen before it."""
        proposals = proposed_registers(state)
        return all(
            register.edits.startswith(chosen.edits)
            for ballot, chosen in self.chosen(state)
            for later, register in proposals.items()
            if later > ballot
        )


def _replace_item(items: tuple, index: int, item: NamedTuple) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _update(
    state: State,
    acceptor_index: int,
    disk: DurableState,
    index: int,
    ballot_state: BallotState,
) -> State:
    return State(
        _replace_item(state.disks, acceptor_index, disk),
        _replace_item(state.ballots, index, ballot_state),
    )


SCHEDULES = (
    Schedule(
        "three edits race",
        (Operation("A", edit="x"), Operation("B", edit="y"),
         Operation("C", edit="z")),
    ),
    Schedule(
        "D replaces C while A and B propose edits",
        (Operation("B", members="ABD"), Operation("A", edit="x"),
         Operation("B", edit="y")),
    ),
    Schedule(
        "two membership changes in a row, then an edit",
        (Operation("A", members="ABD"), Operation("A", members="AD"),
         Operation("B", edit="x")),
    ),
)  # fmt: skip

# Each broken rule with the index of the schedule that violates an invariant. A
# violation counts even if the search stops at `MAX_BROKEN_STATES`.
BROKEN = {
    "half of the votes is enough": (0, Rules(majority=False)),
    "lower ballots are accepted": (0, Rules(refuse_lower=False)),
    "the oldest value is adopted": (0, Rules(adopt_newest=False)),
    "no majority of promises is required": (
        0,
        Rules(majority_to_prepare=False),
    ),
    "no majority of the old members is required": (
        1,
        Rules(majority_of_old=False),
    ),
    "an undecided membership change is built upon": (
        2,
        Rules(settle_change_first=False),
    ),
}
MAX_STATES = 1_000_000
MAX_BROKEN_STATES = 40_000


def check(schedule: Schedule, rules: Rules, max_states: int) -> dict:
    """Return the checker's result for a schedule under the given rules."""
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
            "one history of edits": lambda d: model.has_one_history(d["state"]),
            "no chosen edit is lost": lambda d: model.loses_no_chosen_edit(
                d["state"]
            ),
        },
    )
    return minicheck.check_safety(protocol, max_states=max_states)


def main() -> int:
    """Check all schedules and all broken variants; return the exit status."""
    passed = True
    for schedule in SCHEDULES:
        result = check(schedule, RULES, MAX_STATES)
        holds = all(p["holds"] for p in result["properties"].values())
        passed = passed and holds
        print(f"{schedule.name}: {result['reachable_states']} states: {holds}")
    for name, (index, rules) in BROKEN.items():
        result = check(SCHEDULES[index], rules, MAX_BROKEN_STATES)
        failed = [
            invariant
            for invariant, p in result["properties"].items()
            if p["holds"] is False
        ]
        passed = passed and bool(failed)
        print(f"broken: {name}: fails {failed or 'NOTHING'}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
