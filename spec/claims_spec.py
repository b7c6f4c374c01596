"""Claims on idempotency keys, checked exhaustively with variants that fail.

Three entries rank for one key; a request and two resends of it ask the first two,
each holder by itself and in any order. One fault may strike at any moment: a
holder dies (and is back with nothing in its memory), or is cut off from one
of the two requests. Run as a script.
"""

import sys
from typing import NamedTuple

import minicheck

RANKED = (0, 1, 2)
REQUESTS = (0, 1, 2)
FREE = -1
FIELDS = ("held", "up", "asks", "phases", "faults", "cut", "runs", "told")


class State(NamedTuple):
    """`held` is the request that holds the claim at each entry, or FREE.

    `asks` has, for each request, what each entry said: "", "yes", "no" or
    "lost". `cut` is the pair of a request and an entry that it can't reach.
    """

    held: tuple[int, ...] = (FREE,) * 3
    up: tuple[bool, ...] = (True,) * 3
    asks: tuple[tuple[str, ...], ...] = (("",) * 3,) * 3
    phases: tuple[str, ...] = ("asking",) * 3
    faults: int = 0
    cut: tuple[int, int] = (FREE, FREE)
    runs: int = 0
    told: tuple[str, ...] = ("",) * 3


class Rules(NamedTuple):
    """The rules of the program; each variant breaks one of them."""

    two_holders: bool = True
    all_must_grant: bool = True
    keep_unknown: bool = True
    release_own_only: bool = True


def put(values: tuple, index: int, value: object) -> tuple:
    """Return `values` with one replaced."""
    return (*values[:index], value, *values[index + 1 :])


def to_ask(state: State, request: int, rules: Rules) -> list[int]:
    """Return the entries still to be asked by a request."""
    count = 2 if rules.two_holders else 1
    said = state.asks[request]
    first = list(RANKED[:count])
    lost = [entry for entry in first if said[entry] == "lost"]
    if lost and len(lost) < len(first):
        first.append(RANKED[count])
    return [entry for entry in first if not said[entry]]


def ask(state: State, request: int, entry: int) -> State:
    """Return the state after one entry was asked by one request."""
    reachable = state.up[entry] and state.cut != (request, entry)
    holder = state.held[entry]
    said, held = "no", state.held
    if not reachable:
        said = "lost"
    elif holder in (FREE, request):
        said, held = "yes", put(held, entry, request)
    asks = put(state.asks, request, put(state.asks[request], entry, said))
    return state._replace(held=held, asks=asks)


def release(state: State, request: int, rules: Rules) -> State:
    """Return the state after a request that did not run freed its claims."""
    held = tuple(
        FREE if holder == request or not rules.release_own_only else holder
        for holder in state.held
    )
    return state._replace(held=held)


def decide(state: State, request: int, rules: Rules) -> State:
    """Return the state after a request has heard from all it asked."""
    said = [word for word in state.asks[request] if word]
    granted = "yes" in said and "no" not in said
    if not rules.all_must_grant:
        granted = "yes" in said
    if granted:
        phases = put(state.phases, request, "running")
        return state._replace(phases=phases)
    state = release(state, request, rules)
    return state._replace(phases=put(state.phases, request, "refused"))


def end(state: State, request: int, rules: Rules) -> list[tuple[str, State]]:
    """Return how a request that may run can end."""
    done = state._replace(phases=put(state.phases, request, "done"))
    ran = done._replace(runs=state.runs + 1)
    lost = ran if rules.keep_unknown else release(ran, request, rules)
    not_run = release(done, request, rules)
    told = not_run._replace(told=put(state.told, request, "not-run"))
    return [("answered", ran), ("outcome unknown", lost), ("not run", told)]


def steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Return all that may happen next."""
    found = []
    for request in REQUESTS:
        if state.phases[request] == "running":
            found += end(state, request, rules)
        if state.phases[request] != "asking":
            continue
        waiting = to_ask(state, request, rules)
        found += [
            (f"{request} asks {entry}", ask(state, request, entry))
            for entry in waiting
        ]
        if not waiting:
            found.append((f"{request} decides", decide(state, request, rules)))
    return found + faults(state)


def faults(state: State) -> list[tuple[str, State]]:
    """Return the faults that may strike now, and the end of one."""
    found = []
    for entry in RANKED:
        if not state.up[entry]:
            back = state._replace(up=put(state.up, entry, True))
            found.append((f"{entry} is back", back))
        elif not state.faults:
            struck = state._replace(faults=1)
            dead = struck._replace(
                up=put(state.up, entry, False),
                held=put(state.held, entry, FREE),
            )
            found.append((f"{entry} dies", dead))
            found += [
                (f"{entry} cut from {one}", struck._replace(cut=(one, entry)))
                for one in REQUESTS
            ]
    return found


def model(rules: Rules) -> minicheck.Protocol:
    """Return the machine under `rules`."""
    return minicheck.Protocol(
        name="claims",
        candidate=False,
        fields=FIELDS,
        initial=tuple(State()),
        transitions=lambda raw: [
            (name, tuple(after)) for name, after in steps(State(*raw), rules)
        ],
        invariants={"runs at most once": lambda s: s["runs"] <= 1},
    )


def holds(rules: Rules) -> bool | None:
    """Return whether the invariant holds; None if that is not known."""
    result = minicheck.check_safety(model(rules), max_states=2_000_000)
    found: bool | None = result["properties"]["runs at most once"]["holds"]
    return found


def main() -> int:
    """Check the rules and each variant; return the exit status."""
    good = holds(Rules())
    print(f"claims: {good}")
    status = 0 if good is True else 1
    for name in Rules._fields:
        verdict = holds(Rules()._replace(**{name: False}))
        print(f"without {name}: {verdict}")
        if verdict is not False:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
