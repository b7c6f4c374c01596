"""Interprets servers' answers, and builds refusals of requests without one."""

import math

from hyssopfold import http
from hyssopfold import tables
from hyssopfold.core.attempts import messages as events
from hyssopfold.core.balancing import messages
from hyssopfold.entry import exchange as exchange_module
from hyssopfold.entry import http1

# Statuses of answers that have no body.
BODILESS_STATUSES = (204, 304)


def time_limit(
    exchange: exchange_module.Exchange, route: tables.Route
) -> tuple[float, bool]:
    """Return the time limit of a request.

    Args:
        exchange: The request.
        route: Its route.

    Returns:
        The limit in seconds, and whether it is total: counted from the
        request's head only, since the caller counts it so too.
    """
    limit_s = route.deadline_ms / 1000
    caller_limit_s = _caller_limit_s(exchange)
    if caller_limit_s is None:
        return limit_s, False
    is_total_limit = exchange.dialect.status_503_means_not_run
    return min(limit_s, caller_limit_s), is_total_limit


def relay_deadline(exchange: exchange_module.Exchange) -> float:
    """Return the monotonic time until which an answer may be relayed.

    The route limits the time until an answer begins. A caller that counts its
    own limit until the end of the answer no longer waits for it afterwards.

    Args:
        exchange: The request.
    """
    limit_s = _caller_limit_s(exchange)
    if limit_s is None or not exchange.dialect.status_503_means_not_run:
        return math.inf
    return exchange.began_at + limit_s


def _caller_limit_s(exchange: exchange_module.Exchange) -> float | None:
    """Return the limit that the caller has set, in seconds, or None."""
    value = exchange.header(exchange.dialect.deadline_ms)
    if value is None or not value.isdigit() or len(value) >= 12:
        return None
    return int(value) / 1000


def answer_began(
    exchange: exchange_module.Exchange, answer: http1.Answer
) -> events.AnswerBegan:
    """Return the event of an answer's head for the state machine.

    Args:
        exchange: The request.
        answer: The answer, of which the head was read.
    """
    dialect = exchange.dialect
    headers = {key.lower(): value for key, value in answer.headers}
    echoed = headers.get(dialect.request_id)
    not_run = dialect.states_not_run(answer.status, headers)
    is_bodiless = (
        answer.status in BODILESS_STATUSES or exchange.method == "HEAD"
    )
    is_chunked = b"chunked" in headers.get(b"transfer-encoding", b"").lower()
    is_framed = is_bodiless or is_chunked or b"content-length" in headers
    is_signed = (
        not dialect.signature_header or dialect.signature_header in headers
    )
    if dialect.requires_request_id_echo and echoed is None:
        # Only refusals are sent without the request's id.
        is_signed = False
        is_refusal = not_run or dialect.is_misdirected(answer.status)
        echoed = exchange.request_id.encode("latin-1") if is_refusal else None
    return events.AnswerBegan(
        answer.status,
        echoed.decode("latin-1") if echoed is not None else None,
        not_run,
        is_framed or dialect.accepts_unframed_answers,
        dialect.is_misdirected(answer.status),
        is_signed,
        answer.status in dialect.not_run_statuses,
    )


def format_age(age_s: float) -> str:
    """Return the text of an age in seconds for a log line."""
    return "never" if age_s >= messages.NEVER_S else f"{age_s:.3f}"


def format_rate_limit(rate_limit: float | None) -> str:
    """Return the text of a server's rate limit for a log line."""
    return "none" if rate_limit is None else f"{rate_limit:g}"


def content_length(answer: http1.Answer) -> int | None:
    """Return the `content-length` of an answer in bytes, or None."""
    for key, value in answer.headers:
        if key.lower() == b"content-length":
            return int(value)
    return None


def refusal(effect: events.Refuse, pool: str) -> http.Refusal:
    """Return the refusal of a request that got no answer to relay.

    Args:
        effect: The effect of the state machine.
        pool: Name of the pool.
    """
    retry_after_s = effect.retry_after_s
    if effect.error == "quarantined":
        remedy = f"mend the servers of pool {pool}: several crashed under it"
        return http.Refusal(
            503, effect.error, effect.outcome.value, remedy, retry_after_s
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
        retry_after_s,
    )
