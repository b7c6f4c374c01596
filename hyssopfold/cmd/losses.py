"""Which requests missed their goal, and why, as the logs of entries tell."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from hyssopfold import logs

Fields = Mapping[str, str]

# Requests whose lines have begun and not ended; an entry writes the lines of a
# request together, so that more only come of torn logs.
MAX_OPEN = 10_000
# A wait counts as the cause when it took this share of the goal or more.
CAUSE_SHARE = 0.2
NOT_KNOWN = "not known"


class Row(NamedTuple):
    """One group of misses: when, where, of what, and why."""

    second: str
    instance: str
    route: str
    cause: str


class Losses(NamedTuple):
    """Misses by row, and how many requests' ends were read in all."""

    misses: Counter[Row]
    ended: int


class Gatherer:
    """Take in lines of any logs, one by one, and count the misses.

    Lines that are none of ours, or torn, are passed over. Memory does not grow
    with the length of the logs, but with the seconds and routes in them.
    """

    def __init__(self) -> None:
        self._misses: Counter[Row] = Counter()
        self._ended = 0
        self._open: dict[tuple[str, str], dict[str, Fields]] = {}

    @property
    def held(self) -> int:
        """Return how many requests are held whose end was not read."""
        return len(self._open)

    def take(self, text: str) -> None:
        """Take in one line."""
        fields = _read(text)
        request, event = fields.get("request"), fields.get("event")
        if not request or not event:
            return
        key = (fields.get("instance", ""), request)
        held = self._open.setdefault(key, {})
        held[event] = fields
        if event == "ended":
            del self._open[key]
            self._end(held)
        elif len(self._open) > MAX_OPEN:
            del self._open[next(iter(self._open))]

    def _end(self, held: Mapping[str, Fields]) -> None:
        self._ended += 1
        cause = cause_of(held)
        if cause:
            self._misses[_row(held, cause)] += 1

    def losses(self) -> Losses:
        """Return what the lines told so far."""
        return Losses(self._misses, self._ended)


def gather(texts: Iterable[str]) -> Losses:
    """Return the misses that the lines of some logs tell of."""
    gatherer = Gatherer()
    for text in texts:
        gatherer.take(text)
    return gatherer.losses()


def _read(text: str) -> Fields:
    if "request=" not in text:
        return {}
    try:
        return logs.parse_line(text)
    except ValueError:
        # A torn line; its request counts as far as its other lines tell.
        return {}


def _row(held: Mapping[str, Fields], cause: str) -> Row:
    ended = held["ended"]
    second = ended.get("time", "")[:19]
    route = held.get("admitted", {}).get("route", "")
    return Row(second, ended.get("instance", ""), route, cause)


def cause_of(held: Mapping[str, Fields]) -> str:
    """Return why a request missed its goal, or "" when it did not.

    Args:
        held: Its last line of each event.
    """
    ended = held["ended"]
    if "refused" in held:
        return _refused(held)
    outcome = ended.get("outcome", "")
    if outcome == "caller-gone":
        return "caller left"
    if outcome != "answered":
        return f"answer {outcome}" if outcome == "cut" else NOT_KNOWN
    if ended.get("status", "").startswith("5"):
        return "server failed"
    took_s, goal_s = _number(ended, "took_s"), _number(ended, "goal_s")
    if not goal_s or took_s <= goal_s:
        return ""
    return _late(held, took_s, goal_s)


def _refused(held: Mapping[str, Fields]) -> str:
    error = held["refused"].get("error", "?")
    if error == "no-route":
        # Nothing that could have been served.
        return ""
    decision = held.get("routing-decision")
    if error == "deadline-passed" and decision is not None:
        if _number(decision, "load") >= 1:
            return "limit passed in a server's queue"
        return "limit passed as it ran"
    return f"refused: {error}"


def _late(held: Mapping[str, Fields], took_s: float, goal_s: float) -> str:
    """Return why an answer came late: the first part that explains it."""
    ended, decision = held["ended"], held.get("routing-decision")
    attempt = held.get("attempt-ended")
    if _number(ended, "behind_s") >= CAUSE_SHARE * goal_s:
        return "late: stood behind others on its connection"
    if decision is None or attempt is None:
        return NOT_KNOWN
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


def lines(found: Losses, as_json: bool) -> Iterator[str]:
    """Yield the misses as a table by cause, or as a JSON object a row."""
    if as_json:
        for row, count in sorted(found.misses.items()):
            fields = {**row._asdict(), "count": count}
            yield msgspec.json.encode(fields).decode()
        return
    total = sum(found.misses.values())
    yield f"{found.ended} requests ended, {total} missed their goal"
    by_cause: Counter[str] = Counter()
    by_second: Counter[str] = Counter()
    for row, count in found.misses.items():
        by_cause[row.cause] += count
        by_second[row.second] += count
    for cause, count in by_cause.most_common():
        yield f"{count:7} {count / total:5.0%}  {cause}"
    if by_second:
        second, count = by_second.most_common(1)[0]
        yield f"worst second: {second}, {count} missed"
