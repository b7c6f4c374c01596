"""Model of claims on idempotency keys, checked exhaustively.

Three entries are ranked for one key. A request and two resends of it each ask
the first two entries for the claim, independently and in any order. One fault
may occur at any moment: an entry that holds claims crashes, and restarts
without them, or it can't be reached by one of the requests. The invariant must
hold under the rules of the program; each variant, which lacks one rule, must
violate it. Run as a script.
"""

import sys
from typing import NamedTuple

import minicheck

RANKED_ENTRIES = (0, 1, 2)
REQUESTS = (0, 1, 2)
FREE = -1
FIELDS = (
    "claims", "is_up", "replies", "phases", "fault_count", "cut_link", "runs",
    "outcomes",
)  # fmt: skip


class State(NamedTuple):
    """State of the entries and of the requests.

    Attributes:
        claims: For each entry, the request that has the claim there, or FREE.
        is_up: For each entry, whether it runs.
        replies: For each request, the reply of each entry: "" if it was not
            asked, "yes", "no", or "lost" if there was no reply.
        phases: For each request, what it does.
        fault_count: Number of faults so far.
        cut_link: A request and an entry that it can't reach; (FREE, FREE) if
            there is no such fault.
        runs: How often the request was executed.
        outcomes: For each request, "not-run" if its caller received that.
    """

    claims: tuple[int, ...] = (FREE,) * 3
    is_up: tuple[bool, ...] = (True,) * 3
    replies: tuple[tuple[str, ...], ...] = (("",) * 3,) * 3
    phases: tuple[str, ...] = ("asking",) * 3
    fault_count: int = 0
    cut_link: tuple[int, int] = (FREE, FREE)
    runs: int = 0
    outcomes: tuple[str, ...] = ("",) * 3


class Rules(NamedTuple):
    """The rules of the program; each variant lacks one of them."""

    two_holders: bool = True
    all_must_grant: bool = True
    keep_unknown: bool = True
    release_own_only: bool = True


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return `values` with the item at `index` replaced."""
    return (*values[:index], value, *values[index + 1 :])


def entries_to_ask(state: State, request: int, rules: Rules) -> list[int]:
    """Return the entries that a request has yet to ask."""
    count = 2 if rules.two_holders else 1
    replies = state.replies[request]
    asked = list(RANKED_ENTRIES[:count])
    lost = [entry for entry in asked if replies[entry] == "lost"]
    if lost and len(lost) < len(asked):
        asked.append(RANKED_ENTRIES[count])
    return [entry for entry in asked if not replies[entry]]


def ask(state: State, request: int, entry: int) -> State:
    """Return the state after a request has asked an entry for the claim."""
    reachable = state.is_up[entry] and state.cut_link != (request, entry)
    claimant = state.claims[entry]
    reply, claims = "no", state.claims
    if not reachable:
        reply = "lost"
    elif claimant in (FREE, request):
        reply, claims = "yes", replace_item(claims, entry, request)
    replies = replace_item(
        state.replies,
        request,
        replace_item(state.replies[request], entry, reply),
    )
    return state._replace(claims=claims, replies=replies)


def release(state: State, request: int, rules: Rules) -> State:
    """Return the state after a request that did not run frees its claims."""
    claims = tuple(
        FREE if claimant == request or not rules.release_own_only else claimant
        for claimant in state.claims
    )
    return state._replace(claims=claims)


def decide(state: State, request: int, rules: Rules) -> State:
    """Return the state after a request decides by the replies it received."""
    received = [reply for reply in state.replies[request] if reply]
    granted = "yes" in received and "no" not in received
    if not rules.all_must_grant:
        granted = "yes" in received
    if granted:
        phases = replace_item(state.phases, request, "running")
        return state._replace(phases=phases)
    state = release(state, request, rules)
    return state._replace(phases=replace_item(state.phases, request, "refused"))


def end_steps(
    state: State, request: int, rules: Rules
) -> list[tuple[str, State]]:
    """Return the steps with which a request that may run can end."""
    done = state._replace(phases=replace_item(state.phases, request, "done"))
    ran = done._replace(runs=state.runs + 1)
    unknown = ran if rules.keep_unknown else release(ran, request, rules)
    not_run = release(done, request, rules)
    refused = not_run._replace(
        outcomes=replace_item(state.outcomes, request, "not-run")
    )
    return [
        ("answered", ran),
        ("outcome unknown", unknown),
        ("not run", refused),
    ]


def next_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Return all steps that are possible next."""
    steps = []
    for request in REQUESTS:
        if state.phases[request] == "running":
            steps += end_steps(state, request, rules)
        if state.phases[request] != "asking":
            continue
        unasked = entries_to_ask(state, request, rules)
        steps += [
            (f"{request} asks {entry}", ask(state, request, entry))
            for entry in unasked
        ]
        if not unasked:
            steps.append((f"{request} decides", decide(state, request, rules)))
    return steps + fault_steps(state)


def fault_steps(state: State) -> list[tuple[str, State]]:
    """Return the faults that may occur now, and the restarts after one."""
    steps = []
    for entry in RANKED_ENTRIES:
        if not state.is_up[entry]:
            restarted = state._replace(
                is_up=replace_item(state.is_up, entry, True)
            )
            steps.append((f"{entry} restarts", restarted))
        elif not state.fault_count:
            with_fault = state._replace(fault_count=1)
            crashed = with_fault._replace(
                is_up=replace_item(state.is_up, entry, False),
                claims=replace_item(state.claims, entry, FREE),
            )
            steps.append((f"{entry} crashes", crashed))
            steps += [
                (
                    f"{entry} cut from {request}",
                    with_fault._replace(cut_link=(request, entry)),
                )
                for request in REQUESTS
            ]
    return steps


def model(rules: Rules) -> minicheck.Protocol:
    """Return the state machine under `rules`."""
    return minicheck.Protocol(
        name="claims",
        candidate=False,
        fields=FIELDS,
        initial=tuple(State()),
        transitions=lambda raw: [
            (name, tuple(after))
            for name, after in next_steps(State(*raw), rules)
        ],
        invariants={"runs at most once": lambda s: s["runs"] <= 1},
    )


def runs_at_most_once(rules: Rules) -> bool | None:
    """Return whether the invariant holds; None if the search was cut off."""
    result = minicheck.check_safety(model(rules), max_states=2_000_000)
    verdict: bool | None = result["properties"]["runs at most once"]["holds"]
    return verdict


def main() -> int:
    """Check the rules and each variant; return the exit status."""
    rules_verdict = runs_at_most_once(Rules())
    print(f"claims: {rules_verdict}")
    status = 0 if rules_verdict is True else 1
    for name in Rules._fields:
        verdict = runs_at_most_once(Rules()._replace(**{name: False}))
        print(f"without {name}: {verdict}")
        if verdict is not False:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
