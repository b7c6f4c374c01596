"""What an answer of a backend server, or the lack of one, means."""

import httpcore

from hyssopfold import http
from hyssopfold import tables
from hyssopfold.core.attempts import messages as events
from hyssopfold.core.balancing import messages
from hyssopfold.entry import exchange as exchange_module

# Statuses of answers that have no body.
BODILESS = (204, 304)


def limit(
    exchange: exchange_module.Exchange, route: tables.Route
) -> tuple[float, bool]:
    """Return the time limit, and whether the caller itself counts it."""
    limit = route.deadline_ms / 1000
    given = exchange.header(exchange.dialect.deadline_ms)
    if given is not None and given.isdigit() and len(given) < 12:
        return min(
            limit, int(given) / 1000
        ), exchange.dialect.status_503_means_not_run
    return limit, False


def began(
    exchange: exchange_module.Exchange, answer: httpcore.Response
) -> events.AnswerBegan:
    """Return what an answer's head tells, for the decisions on it."""
    names = exchange.dialect
    headers = {key.lower(): value for key, value in answer.headers}
    echoed = headers.get(names.request_id)
    not_run = names.states_not_run(answer.status, headers)
    bodiless = answer.status in BODILESS or exchange.method == "HEAD"
    chunked = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
    framed = bodiless or chunked or b"content-length" in headers
    signed = not names.signature_header or names.signature_header in headers
    if names.requires_request_id_echo and echoed is None:
        # Refusals come without it; nothing else does.
        signed = False
        echoed = exchange.request_id.encode("latin-1") if not_run else None
    return events.AnswerBegan(
        answer.status,
        echoed.decode("latin-1") if echoed is not None else None,
        not_run,
        framed or names.accepts_unframed_answers,
        names.is_misdirected(answer.status),
        signed,
    )


def shown_age(age_s: float) -> str:
    """Return an age in seconds as a log line shows it."""
    return "never" if age_s >= messages.NEVER_S else f"{age_s:.3f}"


def length_of(answer: httpcore.Response) -> int | None:
    """Return the stated size of an answer's body in bytes, if there is one."""
    for key, value in answer.headers:
        if key.lower() == b"content-length":
            return int(value)
    return None


def refusal(effect: events.Refuse, pool: str) -> http.Refusal:
    """Return what the caller of a request without an answer is told."""
    wait_s = effect.retry_after_s
    if effect.error == "quarantined":
        remedy = f"mend the servers of pool {pool}: several crashed under it"
        return http.Refusal(
            503, effect.error, effect.outcome.value, remedy, wait_s
        )
    status = 504 if effect.error == "deadline-passed" else 502
    if effect.outcome is events.Outcome.UNKNOWN:
        remedy = "look whether it took effect before sending it again"
    elif effect.error in ("attempt-failed", "deadline-passed"):
        remedy = "send the request again"
    else:
        status = 503
        remedy = f"ask again later: no server of pool {pool} has a free slot"
    return http.Refusal(
        status,
        effect.error,
        effect.outcome.value,
        f"{remedy} ({effect.reason})",
        wait_s,
    )
