"""Finds a request's lines in logs and explains why it ended as it did."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from hyssopfold import logs

Fields = Mapping[str, str]


class Line(NamedTuple):
    """A log line of the request: its time, fields and text."""

    time: str
    fields: Fields
    text: str


def gather(request_id: str, texts: Iterable[str]) -> list[Line]:
    """Return the lines of a request from any logs, in order of time.

    Args:
        request_id: The request's ID.
        texts: Lines of logs; text before their `time=` is ignored.
    """
    lines = []
    for text in texts:
        if request_id not in text:
            continue
        fields = logs.parse_line(text)
        if fields.get("request") == request_id:
            lines.append(Line(fields.get("time", ""), fields, text.rstrip()))
    return sorted(lines, key=lambda line: line.time)


def cause(lines: Sequence[Line]) -> str:
    """Return in one sentence why a request ended as it did.

    Args:
        lines: The request's lines, in order of time.
    """
    if not lines:
        return (
            "No log line mentions this request: no entry received it, or its"
            " lines were dropped or lost with their process."
        )
    events = {line.fields["event"]: line.fields for line in lines}
    ended = events.get("ended")
    if ended is None:
        instance = lines[-1].fields.get("instance", "?")
        return (
            f"No log line records its end: {instance} ended or was cut off"
            " before."
        )
    if "refused" in events:
        return _refusal(events["refused"], events)
    if ended.get("outcome") == "caller-gone":
        return (
            f"Its caller left after {ended.get('took_s')} s,"
            f" {_last_attempt(events)}."
        )
    if ended.get("outcome") == "cut":
        return _cut(ended, events)
    status = ended.get("status", "?")
    took = ended.get("took_s", "?")
    return (
        f"It was answered with {status} after {took} s,"
        f"{_wait(ended)} {_last_attempt(events)}."
    )


def _cut(ended: Fields, events: Mapping[str, Fields]) -> str:
    connection_end = ended.get("connection_end")
    if not connection_end:
        return f"Its answer broke off: {_failure(events)}."
    return (
        f"The entry closed its caller's connection ({connection_end}) before"
        f" the answer was complete, {_last_attempt(events)}."
    )


def _wait(ended: Fields) -> str:
    """Return how long a request waited behind others on its connection."""
    ahead = ended.get("ahead", "0")
    if ahead == "0":
        return ""
    behind = ended.get("behind_s", "?")
    return f" of which {behind} s behind {ahead} others on its connection,"


def _refusal(refused: Fields, events: Mapping[str, Fields]) -> str:
    error = refused.get("error", "")
    duration = f"held {refused.get('held_s', '?')} s"
    pool = events.get("admitted", {}).get("pool", "?")
    if refused.get("outcome") == "unknown":
        return (
            f"It may have run and got no whole answer ({error}, {duration}):"
            f" {_last_attempt(events)}, {_failure(events)}."
        )
    reasons = {
        "no-slot": f"all servers of {pool} that may serve it were full",
        "no-server": f"no server of {pool} may serve it now",
        "no-tables": "the entry had not received any tables yet",
        "tables-behind": (
            "no route or key matched while the entry fetched newer tables"
        ),
        "over-limit": f"{_organisation(events)} was at its limit",
        "unknown-key": "it carried no key, or not one of an organisation",
        "stopping": (
            "the entry was stopping, and the request might have run for longer"
            " than the stop"
        ),
        "keys-stale": "no majority of control confirmed the keys in time",
        "no-region": (
            f"no region is allowed by both {_organisation(events)} and its"
            " route"
        ),
        "no-route": f"no route matches at version {_version(events)}",
        "deadline-passed": (
            f"no server accepted it in time, {_last_attempt(events)}"
        ),
        "quarantined": f"several servers of {pool} crashed under it before",
        "attempt-failed": (
            f"each attempt failed before the request ran, {_failure(events)}"
        ),
    }
    reason = reasons.get(error, refused.get("detail", error))
    return f"It was refused and did not run ({error}, {duration}): {reason}."


def _organisation(events: Mapping[str, Fields]) -> str:
    return f"organisation {events.get('ended', {}).get('organisation', '?')}"


def _version(events: Mapping[str, Fields]) -> str:
    return events.get("admitted", {}).get("version", "?")


def _last_attempt(events: Mapping[str, Fields]) -> str:
    decision = events.get("routing-decision")
    if decision is None:
        return "sent to no server"
    return (
        f"sent last to {decision.get('server')} in {decision.get('region')}"
        f" ({decision.get('reason')}, load {decision.get('load')}"
        f" reported {_load_age(decision)})"
    )


def _load_age(decision: Fields) -> str:
    age = decision.get("load_age_s", "never")
    return age if age == "never" else f"{age} s before"


def _failure(events: Mapping[str, Fields]) -> str:
    attempt = events.get("attempt-ended", {})
    return attempt.get("detail") or attempt.get("result") or "no attempt ended"
