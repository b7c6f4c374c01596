"""What the logs of several processes tell of one request, and its cause."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from hyssopfold import logs

Fields = Mapping[str, str]


class Line(NamedTuple):
    """A log line about the request: its time, its fields, its text."""

    time: str
    fields: Fields
    text: str


def gather(request_id: str, texts: Iterable[str]) -> list[Line]:
    """Return the lines of a request from any logs, in order of time.

    Args:
        request_id: The request's id.
        texts: Lines of logs, whatever stands before their `time=`.
    """
    found = []
    for text in texts:
        if request_id not in text:
            continue
        fields = logs.parse_line(text)
        if fields.get("request") == request_id:
            found.append(Line(fields.get("time", ""), fields, text.rstrip()))
    return sorted(found, key=lambda line: line.time)


def cause(lines: Sequence[Line]) -> str:
    """Return in one sentence why a request ended as it did."""
    if not lines:
        return "No line tells of this request: no entry got it, or its lines were left out or lost with their process."
    of = {line.fields["event"]: line.fields for line in lines}
    ended = of.get("ended")
    if ended is None:
        where = lines[-1].fields.get("instance", "?")
        return f"Its end is not told: {where} ended or was cut off before."
    if "refused" in of:
        return _refused(of["refused"], of)
    if ended.get("outcome") == "caller-gone":
        return f"Its caller left after {ended.get('took_s')} s, {_last(of)}."
    if ended.get("outcome") == "cut":
        return f"Its answer broke off: {_detail(of)}."
    status = ended.get("status", "?")
    took = ended.get("took_s", "?")
    return (
        f"It was answered with {status} after {took} s,"
        f"{_behind(ended)} {_last(of)}."
    )


def _behind(ended: Fields) -> str:
    """Return how long a request stood behind others of its connection."""
    ahead = ended.get("ahead", "0")
    if ahead == "0":
        return ""
    behind = ended.get("behind_s", "?")
    return f" of these {behind} s behind {ahead} others of its connection,"


def _refused(refused: Fields, of: Mapping[str, Fields]) -> str:
    error = refused.get("error", "")
    held = f"held {refused.get('held_s', '?')} s"
    pool = of.get("admitted", {}).get("pool", "?")
    if refused.get("outcome") == "unknown":
        return (
            f"It may have run and got no whole answer ({error}, {held}):"
            f" {_last(of)}, {_detail(of)}."
        )
    reasons = {
        "no-slot": f"all servers of {pool} that may serve it were full",
        "no-server": f"no server of {pool} may serve it now",
        "no-tables": "the entry had learned no tables yet",
        "tables-behind": "no route matched, and newer tables were on the way",
        "no-route": f"no route matches at version {_version(of)}",
        "deadline-passed": f"no server took it in time, {_last(of)}",
        "quarantined": f"several servers of {pool} crashed under it before",
        "attempt-failed": f"each attempt failed without a run, {_detail(of)}",
    }
    reason = reasons.get(error, refused.get("detail", error))
    return f"It was refused and did not run ({error}, {held}): {reason}."


def _version(of: Mapping[str, Fields]) -> str:
    return of.get("admitted", {}).get("version", "?")


def _last(of: Mapping[str, Fields]) -> str:
    sent = of.get("routing-decision")
    if sent is None:
        return "sent to no server"
    return (
        f"sent last to {sent.get('server')} in {sent.get('region')}"
        f" ({sent.get('reason')}, load {sent.get('load')}"
        f" told {_before(sent)})"
    )


def _before(sent: Fields) -> str:
    age = sent.get("load_age_s", "never")
    return age if age == "never" else f"{age} s before"


def _detail(of: Mapping[str, Fields]) -> str:
    attempt = of.get("attempt-ended", {})
    return attempt.get("detail") or attempt.get("result") or "no attempt ended"
