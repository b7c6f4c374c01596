"""Model of one request's attempts, checked exhaustively.

The state of the entry is modelled apart from that of the servers: a request of
which bytes were sent is executed now, later or never. The invariants must hold
under the rules of the program; each variant, which lacks one rule, must violate
one of them. An answer or a refusal ("shed") is called foreign if it doesn't
have the id of this request. Run as a script.
"""

import sys
from typing import NamedTuple

import minicheck

# Three attempts in which the server may have received the request, and two in
# which it did not.
MAX_ATTEMPTS = 5
FIELDS = (
    "repeatable", "phase", "attempt", "sent", "maybe_ran", "exchange",
    "late_requests", "runs", "outcome",
)  # fmt: skip


class State(NamedTuple):
    """State of one request, at the entry and at the servers.

    Attributes:
        repeatable: Whether the request may run more than once.
        phase: What the entry does with the request.
        attempt: Number of attempts begun.
        sent: Whether bytes of the current attempt were sent.
        maybe_ran: Whether an earlier attempt may have run.
        exchange: State of the current attempt at its server.
        late_requests: Number of lost attempts that may still run.
        runs: How often the request was executed.
        outcome: What the caller received.
    """

    repeatable: bool
    phase: str = "acquiring"
    attempt: int = 0
    sent: bool = False
    maybe_ran: bool = False
    exchange: str = "none"
    late_requests: int = 0
    runs: int = 0
    outcome: str = ""


class Rules(NamedTuple):
    """The rules of the program; each variant lacks one of them."""

    retry_only_certain: bool = True
    remember_maybe_ran: bool = True
    check_refusal_id: bool = True
    check_answer_id: bool = True
    sent_at_first_byte: bool = True


def failed(state: State, rules: Rules, certain: bool) -> State:
    """Return the state after an attempt that brought no valid answer.

    Args:
        state: State before.
        rules: Rules of the entry.
        certain: Whether the entry is certain that the attempt did not run.
    """
    late_requests = state.late_requests + (state.exchange == "request")
    maybe_ran = not certain
    if rules.remember_maybe_ran:
        maybe_ran = maybe_ran or state.maybe_ran
    state = state._replace(
        late_requests=late_requests, exchange="none", maybe_ran=maybe_ran
    )
    may_repeat = (
        state.repeatable or not maybe_ran or not rules.retry_only_certain
    )
    if may_repeat and state.attempt < MAX_ATTEMPTS:
        return state._replace(phase="acquiring")
    return refuse(state)


def refuse(state: State) -> State:
    """Return the state after the entry has refused the request."""
    outcome = "unknown" if state.maybe_ran else "not-run"
    return state._replace(phase="done", outcome=outcome)


def entry_steps(state: State, rules: Rules) -> list[tuple[str, State]]:
    """Return the steps that the entry may take or observe next."""
    if state.phase == "acquiring":
        granted = state._replace(
            phase="sending", attempt=state.attempt + 1, sent=False
        )
        return [("granted", granted), ("no slot", refuse(state))]
    if state.phase == "relaying":
        return [
            ("complete", state._replace(phase="done", outcome="answered")),
            ("cut", state._replace(phase="done", outcome="cut")),
        ]
    if state.phase != "sending":
        return []
    if not state.sent:
        return [
            ("not connected", failed(state, rules, True)),
            ("bytes sent", state._replace(sent=True, exchange="request")),
        ]
    counted_unsent = not rules.sent_at_first_byte
    steps = [("lost", failed(state, rules, certain=counted_unsent))]
    relaying = state._replace(phase="relaying")
    match state.exchange:
        case "answer":
            steps.append(("own answer", relaying))
        case "shed":
            steps.append(("shed", failed(state, rules, True)))
        case "foreign shed":
            trusted = not rules.check_refusal_id
            steps.append(("foreign shed", failed(state, rules, trusted)))
        case "foreign answer" if rules.check_answer_id:
            steps.append(("foreign answer", failed(state, rules, False)))
        case "foreign answer":
            foreign = relaying._replace(outcome="foreign")
            steps.append(("foreign answer", foreign._replace(phase="done")))
    return steps


def server_steps(state: State) -> list[tuple[str, State]]:
    """Return the steps that servers may take next."""
    steps = []
    if state.exchange == "request":
        ran = state._replace(runs=state.runs + 1)
        steps += [
            ("runs", ran._replace(exchange="answer")),
            ("runs and dies", ran._replace(exchange="silence")),
            ("runs, foreign answer", ran._replace(exchange="foreign answer")),
            ("runs, foreign shed", ran._replace(exchange="foreign shed")),
            ("sheds", state._replace(exchange="shed")),
            ("dies", state._replace(exchange="silence")),
        ]
    if state.late_requests:
        remaining = state._replace(late_requests=state.late_requests - 1)
        steps += [
            ("runs late", remaining._replace(runs=state.runs + 1)),
            ("never runs", remaining),
        ]
    return steps


def model(rules: Rules, repeatable: bool) -> minicheck.Protocol:
    """Return the state machine under `rules`."""

    def transitions(raw: tuple) -> list:
        state = State(*raw)
        steps = entry_steps(state, rules) + server_steps(state)
        return [(name, tuple(after)) for name, after in steps]

    return minicheck.Protocol(
        name="attempts",
        candidate=False,
        fields=FIELDS,
        initial=tuple(State(repeatable)),
        transitions=transitions,
        invariants={
            "runs at most once": lambda s: s["repeatable"] or s["runs"] <= 1,
            "not-run never ran": lambda s: (
                s["outcome"] != "not-run" or not s["runs"]
            ),
            "answered ran": lambda s: (
                s["outcome"] != "answered" or s["runs"] > 0
            ),
            "own answer only": lambda s: s["outcome"] != "foreign",
        },
    )


def violated_invariants(rules: Rules) -> list[str]:
    """Return the names of the invariants that don't hold under `rules`."""
    names = set()
    for repeatable in (False, True):
        result = minicheck.check_safety(model(rules, repeatable))
        for name, verdict in result["properties"].items():
            if verdict["holds"] is not True:
                names.add(name)
    return sorted(names)


def main() -> int:
    """Check the rules and each variant; return the exit status."""
    violated = violated_invariants(Rules())
    print(f"attempts: {violated or 'holds'}")
    status = 1 if violated else 0
    for name in Rules._fields:
        variant_violated = violated_invariants(
            Rules()._replace(**{name: False})
        )
        print(
            f"without {name}: {', '.join(variant_violated) or 'NO VIOLATION'}"
        )
        if not variant_violated:
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
