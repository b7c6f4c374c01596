"""Summarizes from the logs of entries which requests missed their goal.

A request misses its goal if it is refused, if its caller leaves, if its answer
is cut, a server error (5xx), or later than the latency goal of its route. A
request that matches no route is not counted as a miss.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from hyssopfold import logs

Fields = Mapping[str, str]

# Largest number of requests without a line for their end. An entry writes the
# lines of a request together, so more come only from truncated logs.
MAX_OPEN_REQUESTS = 10_000
# A wait counts as the cause if it took this share of the goal or more.
CAUSE_SHARE = 0.2
UNKNOWN_CAUSE = "not known"
# Organisations with the most misses that the table lists.
_SHOWN_ORGANISATIONS = 5


class Row(NamedTuple):
    """A group of misses that agree in all of these fields.

    `organisation` is empty for requests without a key.
    """

    second: str
    instance: str
    route: str
    cause: str
    organisation: str = ""


class Losses(NamedTuple):
    """Number of misses by row, and number of requests that ended."""

    misses: Counter[Row]
    ended: int


class LossCounter:
    """Counts the misses in log lines that are added one by one.

    Foreign and truncated lines are ignored. Memory does not grow with the
    length of the logs, but with the number of seconds and routes in them.
    """

    def __init__(self) -> None:
        self._misses: Counter[Row] = Counter()
        self._ended = 0
        self._open: dict[tuple[str, str], dict[str, Fields]] = {}

    @property
    def open_count(self) -> int:
        """Return the number of requests without a line for their end."""
        return len(self._open)

    def process_line(self, text: str) -> None:
        """Update the counts with one line."""
        fields = _read(text)
        request, event = fields.get("request"), fields.get("event")
        if not request or not event:
            return
        key = (fields.get("instance", ""), request)
        events = self._open.setdefault(key, {})
        events[event] = fields
        if event == "ended":
            del self._open[key]
            self._end(events)
        elif len(self._open) > MAX_OPEN_REQUESTS:
            del self._open[next(iter(self._open))]

    def _end(self, events: Mapping[str, Fields]) -> None:
        self._ended += 1
        cause = cause_of(events)
        if cause:
            self._misses[_row(events, cause)] += 1

    def losses(self) -> Losses:
        """Return the misses in the lines so far."""
        return Losses(self._misses, self._ended)


def gather(texts: Iterable[str]) -> Losses:
    """Return the misses in the lines of some logs."""
    counter = LossCounter()
    for text in texts:
        counter.process_line(text)
    return counter.losses()


def _read(text: str) -> Fields:
    if "request=" not in text:
        return {}
    try:
        return logs.parse_line(text)
    except ValueError:
        # A truncated line: the request is judged by its other lines.
        return {}


def _row(events: Mapping[str, Fields], cause: str) -> Row:
    ended = events["ended"]
    second = ended.get("time", "")[:19]
    route = events.get("admitted", {}).get("route", "")
    organisation = ended.get("organisation", "")
    return Row(second, ended.get("instance", ""), route, cause, organisation)


def cause_of(events: Mapping[str, Fields]) -> str:
    """Return why a request missed its goal, or "" when it did not.

    Args:
        events: Fields of the request's last line of each event, by event.
    """
    ended = events["ended"]
    if "refused" in events:
        return _refusal_cause(events)
    outcome = ended.get("outcome", "")
    if outcome == "caller-gone":
        return "caller left"
    if outcome != "answered":
        return f"answer {outcome}" if outcome == "cut" else UNKNOWN_CAUSE
    if ended.get("status", "").startswith("5"):
        return "server failed"
    took_s, goal_s = _number(ended, "took_s"), _number(ended, "goal_s")
    if not goal_s or took_s <= goal_s:
        return ""
    return _late_cause(events, took_s, goal_s)


def _refusal_cause(events: Mapping[str, Fields]) -> str:
    error = events["refused"].get("error", "?")
    if error in ("no-route", "unknown-key"):
        # No entry could have served such a request.
        return ""
    decision = events.get("routing-decision")
    if error == "deadline-passed" and decision is not None:
        if _number(decision, "load") >= 1:
            return "limit passed in a server's queue"
        return "limit passed as it ran"
    return f"refused: {error}"


def _late_cause(
    events: Mapping[str, Fields], took_s: float, goal_s: float
) -> str:
    """Return why an answer was late: the first delay that explains it."""
    ended, decision = events["ended"], events.get("routing-decision")
    attempt = events.get("attempt-ended")
    if _number(ended, "behind_s") >= CAUSE_SHARE * goal_s:
        return "late: stood behind others on its connection"
    if decision is None or attempt is None:
        return UNKNOWN_CAUSE
    if decision.get("attempt", "1") != "1":
        return "late: sent twice"
    at_server_s = _number(attempt, "took_s")
    if took_s - at_server_s >= CAUSE_SHARE * goal_s:
        return "late: waited at the entry"
    if _number(decision, "load") >= 1:
        return "late: waited in a server's queue"
    return "late: ran long (object new to the server, or a slow or far one)"


def _number(fields: Fields, name: str) -> float:
    try:
        return float(fields.get(name, "0"))
    except ValueError:
        return 0.0


def lines(losses: Losses, as_json: bool) -> Iterator[str]:
    """Yield the misses as a table by cause, or as one JSON object per row."""
    if as_json:
        for row, count in sorted(losses.misses.items()):
            fields = {**row._asdict(), "count": count}
            yield msgspec.json.encode(fields).decode()
        return
    total = sum(losses.misses.values())
    yield f"{losses.ended} requests ended, {total} missed their goal"
    by_cause: Counter[str] = Counter()
    by_second: Counter[str] = Counter()
    by_organisation: Counter[str] = Counter()
    for row, count in losses.misses.items():
        by_cause[row.cause] += count
        by_second[row.second] += count
        if row.organisation:
            by_organisation[row.organisation] += count
    for cause, count in by_cause.most_common():
        yield f"{count:7} {count / total:5.0%}  {cause}"
    for name, count in by_organisation.most_common(_SHOWN_ORGANISATIONS):
        yield f"{count:7} {count / total:5.0%}  organisation {name}"
    if by_second:
        second, count = by_second.most_common(1)[0]
        yield f"worst second: {second}, {count} missed"
