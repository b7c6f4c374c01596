"""Slot leases across a takeover, checked exhaustively, with broken variants.

One slot, two entries. X grants under term 1; Y takes over under term 2 at any
moment. Every message may be lost, doubled or late: what was sent stays in the
network and may arrive any number of times, or never. X may die at any moment
and come back as a new life that counts its asks from 1 again.
"""

from collections.abc import Iterator
import sys
from typing import NamedTuple

import minicheck

MAX_STATES = 400_000
# A broken variant shows its fault long before all states are seen.
MAX_STATES_BROKEN = 40_000


class Rules(NamedTuple):
    """Guards of the protocol; each is taken out in a broken variant."""

    refuse_old_terms: bool = True
    withhold_unreported: bool = True
    check_life: bool = True
    report_holds: bool = True
    keep_open_asks: bool = True
    release_to_promised: bool = True


class Name(NamedTuple):
    """An ask, and the slot that it may become: numbers begin with a life."""

    entry: str
    life: int
    number: int


NAMES = (Name("x", 1, 1), Name("x", 2, 1), Name("y", 1, 1), Name("y", 1, 2))


class State(NamedTuple):
    """All that matters of both entries and the network.

    Names are unique and an ask once closed stays so: hence a release or a
    sync that may arrive late, twice or never is the same as being allowed to
    take it in at any time after the ask was closed. An ask that was sent may
    arrive at any time; so may a grant once it is in `grants`.
    """

    life: int = 1
    promised_x: int = 0
    promised_y: int = 0
    asked: frozenset[Name] = frozenset()
    open_asks: frozenset[Name] = frozenset()
    holds: frozenset[Name] = frozenset()
    grants: frozenset[tuple[int, Name]] = frozenset()
    reports: frozenset[tuple[int, frozenset[Name]]] = frozenset()
    x_grants: bool = True
    x_ledger: frozenset[Name] = frozenset()
    y_grants: bool = False
    y_ledger: frozenset[Name] = frozenset()
    y_silent: bool = False
    # Closed before their holder promised term 2, so that X may learn of it.
    told_x: frozenset[Name] = frozenset()
    # The slot was reported to Y, so it is Y's to grant on.
    y_owns: bool = False


Step = tuple[str, State]


def _is_live(state: State, name: Name) -> bool:
    return name.entry == "y" or name.life == state.life


def _asks(state: State) -> Iterator[Step]:
    for name in NAMES:
        first = name.number == 1 or name._replace(number=1) in state.asked
        if name in state.asked or not _is_live(state, name) or not first:
            continue
        after = state._replace(
            asked=state.asked | {name}, open_asks=state.open_asks | {name}
        )
        yield f"{name} is asked", after


def _grants(state: State, rules: Rules) -> Iterator[Step]:
    for name in state.asked:
        if state.x_grants and not state.x_ledger:
            after = state._replace(
                x_ledger=frozenset({name}),
                grants=state.grants | {(1, name)},
            )
            yield f"x grants {name}", after
        withheld = state.y_silent and rules.withhold_unreported
        may = state.y_owns or not withheld
        if state.y_grants and may and not state.y_ledger:
            after = state._replace(
                y_ledger=frozenset({name}),
                y_owns=True,
                grants=state.grants | {(2, name)},
            )
            yield f"y grants {name}", after


def _accepts(state: State, rules: Rules) -> Iterator[Step]:
    for term, name in state.grants:
        taker = name
        if name.entry == "x" and not rules.check_life:
            taker = name._replace(life=state.life)
        if taker not in state.open_asks:
            continue
        promised = state.promised_x if name.entry == "x" else state.promised_y
        if rules.refuse_old_terms and term < promised:
            continue
        after = state._replace(
            open_asks=state.open_asks - {taker}, holds=state.holds | {taker}
        )
        if name.entry == "x":
            after = after._replace(promised_x=max(term, promised))
        else:
            after = after._replace(promised_y=max(term, promised))
        yield f"{taker} is held under term {term}", after


def _releases(state: State, rules: Rules) -> Iterator[Step]:
    for name in state.holds | state.open_asks:
        promised = state.promised_x if name.entry == "x" else state.promised_y
        told = promised < 2 or not rules.release_to_promised
        after = state._replace(
            open_asks=state.open_asks - {name},
            holds=state.holds - {name},
            told_x=state.told_x | {name} if told else state.told_x,
        )
        yield f"{name} ends", after
    for name in state.x_ledger & state.told_x:
        after = state._replace(x_ledger=state.x_ledger - {name})
        yield f"x learns of the end of {name}", after
    for name in state.y_ledger:
        closed = name not in state.holds | state.open_asks
        # What a dead life used is freed by the word of its new life alone.
        if not rules.keep_open_asks or (closed and _is_live(state, name)):
            after = state._replace(y_ledger=state.y_ledger - {name})
            yield f"y learns of the end of {name}", after


def _takeover(state: State, rules: Rules) -> Iterator[Step]:
    if not state.y_grants:
        mine = frozenset(name for name in state.holds if name.entry == "y")
        known = mine if rules.report_holds else frozenset()
        after = state._replace(
            y_grants=True,
            y_silent=True,
            y_ledger=known,
            y_owns=bool(known),
            promised_y=2,
        )
        yield "y takes over", after
        return
    holds = frozenset(name for name in state.holds if name.entry == "x")
    after = state._replace(
        x_grants=False,
        promised_x=2,
        reports=state.reports | {(state.life, holds)},
    )
    yield "x promises and reports", after
    for life, reported in state.reports:
        if not state.y_silent or life > state.life:
            continue
        known = reported if rules.report_holds else frozenset()
        after = state._replace(y_silent=False, y_ledger=state.y_ledger | known)
        yield f"y takes the report of life {life}", after


def _dies(state: State) -> Iterator[Step]:
    """X dies and comes back; Y learns that the earlier life has ended."""
    gone = {name for name in state.holds | state.open_asks if name.entry == "x"}
    if state.life == 1:
        after = state._replace(
            life=2,
            x_grants=False,
            x_ledger=frozenset(),
            promised_x=0,
            open_asks=state.open_asks - gone,
            holds=state.holds - gone,
        )
        yield "x dies and starts again", after
    elif state.y_grants:
        ended = {
            name
            for name in state.y_ledger
            if name.entry == "x" and name.life < state.life
        }
        after = state._replace(y_silent=False, y_ledger=state.y_ledger - ended)
        yield "y hears of x's new life", after


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the machine under these rules."""

    def transitions(state: tuple) -> list[Step]:
        now = State(*state)
        steps = [
            *_asks(now),
            *_grants(now, rules),
            *_accepts(now, rules),
            *_releases(now, rules),
            *_takeover(now, rules),
            *_dies(now),
        ]
        return [(name, tuple(after)) for name, after in steps if after != now]

    return minicheck.Protocol(
        name="slots",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={"one slot, one request": lambda s: len(s["holds"]) <= 1},
    )


VARIANTS = {
    "old terms accepted": Rules(refuse_old_terms=False),
    "unreported slots granted": Rules(withhold_unreported=False),
    "lives not told apart": Rules(check_life=False),
    "reports without what is held": Rules(report_holds=False),
    "a sync frees open asks": Rules(keep_open_asks=False),
    "releases go to the old grantor": Rules(release_to_promised=False),
}


def main() -> int:
    """Check the protocol and that each broken variant fails."""
    status = 0
    result = minicheck.check_safety(protocol(Rules()), max_states=MAX_STATES)
    for name, found in result["properties"].items():
        print(
            f"{name}: holds={found['holds']} states={result['reachable_states']}"
        )
        if found["holds"] is not True:
            print(found)
            status = 1
    for label, rules in VARIANTS.items():
        result = minicheck.check_safety(
            protocol(rules), max_states=MAX_STATES_BROKEN
        )
        broken = [
            found
            for found in result["properties"].values()
            if found["holds"] is False
        ]
        print(f"variant {label}: {'fails' if broken else 'NOT SEEN FAILING'}")
        if not broken:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
