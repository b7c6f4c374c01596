"""Model of slot leases when the grantor changes, checked exhaustively.

There are one slot and two entries. X is the grantor of term 1; Y becomes the
grantor of term 2 at any moment. A message may be lost, duplicated or delayed:
once sent it stays in the network and may arrive any number of times, or never.
X may crash at any moment and restart as a new incarnation that numbers its
requests from 1 again. The invariant must hold under the rules of the protocol;
each variant, which lacks one rule, must violate it. Run as a script.
"""

from collections.abc import Iterator
import sys
from typing import NamedTuple

import minicheck

MAX_STATES = 400_000
# A variant violates the invariant long before all states are reached.
MAX_STATES_BROKEN = 40_000


class Rules(NamedTuple):
    """Rules of the protocol; each variant lacks one of them."""

    refuse_old_terms: bool = True
    withhold_unreported: bool = True
    check_incarnation: bool = True
    report_held_slots: bool = True
    keep_pending: bool = True
    release_to_promised_grantor: bool = True


class SlotRequest(NamedTuple):
    """A request for the slot, which also identifies the slot once granted.

    Numbers begin at 1 in each incarnation of the entry.
    """

    entry: str
    incarnation: int
    number: int


SLOT_REQUESTS = (
    SlotRequest("x", 1, 1),
    SlotRequest("x", 2, 1),
    SlotRequest("y", 1, 1),
    SlotRequest("y", 1, 2),
)


class State(NamedTuple):
    """State of both entries and of the network.

    A slot request is unique. It is closed when its slot is released, the
    request is withdrawn or its entry crashes, and is never reopened. A release
    or a sync that may arrive late, twice or never is therefore modelled as a
    step that the grantor may take at any time after the request was closed. A
    request in `sent` may arrive at any time, and so may a grant in `grants`.

    Attributes:
        incarnation: The present incarnation of X.
        promised_x: Highest term that X has promised or received.
        promised_y: Highest term that Y has promised or received.
        sent: Slot requests that were sent.
        pending: Slot requests that are neither granted nor closed.
        held_slots: Slots in use by their holders.
        grants: Grants that were sent, with their terms.
        reports: Reports of X to Y: its incarnation and its slots in use.
        x_grants: Whether X acts as grantor.
        x_ledger: The slot request to which X has leased the slot.
        y_grants: Whether Y acts as grantor.
        y_ledger: The slot request to which Y has leased the slot.
        x_unreported: Whether Y still lacks X's report.
    """

    incarnation: int = 1
    promised_x: int = 0
    promised_y: int = 0
    sent: frozenset[SlotRequest] = frozenset()
    pending: frozenset[SlotRequest] = frozenset()
    held_slots: frozenset[SlotRequest] = frozenset()
    grants: frozenset[tuple[int, SlotRequest]] = frozenset()
    reports: frozenset[tuple[int, frozenset[SlotRequest]]] = frozenset()
    x_grants: bool = True
    x_ledger: frozenset[SlotRequest] = frozenset()
    y_grants: bool = False
    y_ledger: frozenset[SlotRequest] = frozenset()
    x_unreported: bool = False
    # Requests closed before their holder promised term 2; X may receive the
    # release.
    releases_to_x: frozenset[SlotRequest] = frozenset()
    # The slot was reported to Y or granted by it, so Y may grant it again.
    y_owns_slot: bool = False


Step = tuple[str, State]


def _is_live(state: State, request: SlotRequest) -> bool:
    return request.entry == "y" or request.incarnation == state.incarnation


def _send_steps(state: State) -> Iterator[Step]:
    for request in SLOT_REQUESTS:
        is_next = (
            request.number == 1 or request._replace(number=1) in state.sent
        )
        if request in state.sent or not _is_live(state, request) or not is_next:
            continue
        after = state._replace(
            sent=state.sent | {request}, pending=state.pending | {request}
        )
        yield f"{request} is sent", after


def _grant_steps(state: State, rules: Rules) -> Iterator[Step]:
    for request in state.sent:
        if state.x_grants and not state.x_ledger:
            after = state._replace(
                x_ledger=frozenset({request}),
                grants=state.grants | {(1, request)},
            )
            yield f"x grants {request}", after
        withheld = state.x_unreported and rules.withhold_unreported
        may_grant = state.y_owns_slot or not withheld
        if state.y_grants and may_grant and not state.y_ledger:
            after = state._replace(
                y_ledger=frozenset({request}),
                y_owns_slot=True,
                grants=state.grants | {(2, request)},
            )
            yield f"y grants {request}", after


def _accept_steps(state: State, rules: Rules) -> Iterator[Step]:
    for term, request in state.grants:
        accepted = request
        if request.entry == "x" and not rules.check_incarnation:
            accepted = request._replace(incarnation=state.incarnation)
        if accepted not in state.pending:
            continue
        promised = (
            state.promised_x if request.entry == "x" else state.promised_y
        )
        if rules.refuse_old_terms and term < promised:
            continue
        after = state._replace(
            pending=state.pending - {accepted},
            held_slots=state.held_slots | {accepted},
        )
        if request.entry == "x":
            after = after._replace(promised_x=max(term, promised))
        else:
            after = after._replace(promised_y=max(term, promised))
        yield f"{accepted} is held under term {term}", after


def _release_steps(state: State, rules: Rules) -> Iterator[Step]:
    for request in state.held_slots | state.pending:
        promised = (
            state.promised_x if request.entry == "x" else state.promised_y
        )
        reaches_x = promised < 2 or not rules.release_to_promised_grantor
        after = state._replace(
            pending=state.pending - {request},
            held_slots=state.held_slots - {request},
            releases_to_x=state.releases_to_x | {request}
            if reaches_x
            else state.releases_to_x,
        )
        yield f"{request} ends", after
    for request in state.x_ledger & state.releases_to_x:
        after = state._replace(x_ledger=state.x_ledger - {request})
        yield f"x learns of the end of {request}", after
    for request in state.y_ledger:
        closed = request not in state.held_slots | state.pending
        # The slots of an earlier incarnation are freed only by an announcement
        # of the new incarnation.
        if not rules.keep_pending or (closed and _is_live(state, request)):
            after = state._replace(y_ledger=state.y_ledger - {request})
            yield f"y learns of the end of {request}", after


def _takeover_steps(state: State, rules: Rules) -> Iterator[Step]:
    if not state.y_grants:
        y_slots = frozenset(
            request for request in state.held_slots if request.entry == "y"
        )
        reported_slots = y_slots if rules.report_held_slots else frozenset()
        after = state._replace(
            y_grants=True,
            x_unreported=True,
            y_ledger=reported_slots,
            y_owns_slot=bool(reported_slots),
            promised_y=2,
        )
        yield "y takes over", after
        return
    x_slots = frozenset(
        request for request in state.held_slots if request.entry == "x"
    )
    after = state._replace(
        x_grants=False,
        promised_x=2,
        reports=state.reports | {(state.incarnation, x_slots)},
    )
    yield "x promises and reports", after
    for incarnation, reported in state.reports:
        if not state.x_unreported or incarnation > state.incarnation:
            continue
        reported_slots = reported if rules.report_held_slots else frozenset()
        after = state._replace(
            x_unreported=False, y_ledger=state.y_ledger | reported_slots
        )
        yield f"y receives the report of incarnation {incarnation}", after


def _restart_steps(state: State) -> Iterator[Step]:
    """X crashes and restarts; Y learns that the earlier incarnation ended."""
    x_requests = {
        request
        for request in state.held_slots | state.pending
        if request.entry == "x"
    }
    if state.incarnation == 1:
        after = state._replace(
            incarnation=2,
            x_grants=False,
            x_ledger=frozenset(),
            promised_x=0,
            pending=state.pending - x_requests,
            held_slots=state.held_slots - x_requests,
        )
        yield "x crashes and restarts", after
    elif state.y_grants:
        ended = {
            request
            for request in state.y_ledger
            if request.entry == "x" and request.incarnation < state.incarnation
        }
        after = state._replace(
            x_unreported=False, y_ledger=state.y_ledger - ended
        )
        yield "y receives an announcement of x's new incarnation", after


def protocol(rules: Rules) -> minicheck.Protocol:
    """Return the state machine under `rules`."""

    def transitions(state: tuple) -> list[Step]:
        current = State(*state)
        steps = [
            *_send_steps(current),
            *_grant_steps(current, rules),
            *_accept_steps(current, rules),
            *_release_steps(current, rules),
            *_takeover_steps(current, rules),
            *_restart_steps(current),
        ]
        return [
            (name, tuple(after)) for name, after in steps if after != current
        ]

    return minicheck.Protocol(
        name="slots",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=transitions,
        invariants={
            "one slot, one request": lambda s: len(s["held_slots"]) <= 1
        },
    )


VARIANTS = {
    "old terms accepted": Rules(refuse_old_terms=False),
    "unreported slots granted": Rules(withhold_unreported=False),
    "incarnations not distinguished": Rules(check_incarnation=False),
    "reports without held slots": Rules(report_held_slots=False),
    "a sync frees pending requests": Rules(keep_pending=False),
    "releases go to the old grantor": Rules(release_to_promised_grantor=False),
}


def main() -> int:
    """Check the rules and each variant; return the exit status."""
    status = 0
    result = minicheck.check_safety(protocol(Rules()), max_states=MAX_STATES)
    for name, verdict in result["properties"].items():
        print(
            f"{name}: holds={verdict['holds']}"
            f" states={result['reachable_states']}"
        )
        if verdict["holds"] is not True:
            print(verdict)
            status = 1
    for label, rules in VARIANTS.items():
        result = minicheck.check_safety(
            protocol(rules), max_states=MAX_STATES_BROKEN
        )
        violated = [
            verdict
            for verdict in result["properties"].values()
            if verdict["holds"] is False
        ]
        print(f"variant {label}: {'fails' if violated else 'NO VIOLATION'}")
        if not violated:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
