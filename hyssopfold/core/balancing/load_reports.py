"""Loads of busy servers that entries near each other tell one another.

Where hundreds of entries share the servers, each hears of a server's load from
its own requests too rarely to choose by it.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from hyssopfold.core.balancing import messages

# How old another's report may be for a choice between two servers, and for
# refusing a request for want of room.
CHOICE_MAX_AGE_S = 2.0
REFUSAL_MAX_AGE_S = 0.5


class _Report(NamedTuple):
    requests: float
    at: float
    in_flight_at_report: int


_NONE = _Report(0.0, -math.inf, 0)


class LoadReports:
    """Keep what others told, and what is to be told them."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._busy: dict[int, int] = {}

    def record_answer(self, key: int, load: messages.Load) -> None:
        """Take in a load that an answer told here.

        Only a busy server's is passed on: others are expected to have room.

        Args:
            key: The server's life, see `server_stats.incarnation_key`.
            load: What the answer told.
        """
        requests = load.running + load.waiting
        if requests >= load.slots:
            self._busy[key] = requests

    @property
    def has_busy(self) -> bool:
        """Return whether there is something to tell."""
        return bool(self._busy)

    def take_busy(self) -> tuple[tuple[int, int], ...]:
        """Return the lives and requests of busy servers, each told once."""
        found = tuple(self._busy.items())
        self._busy.clear()
        return found

    def record_report(
        self, server_id: str, requests: float, in_flight: int, now: float
    ) -> None:
        """Take in another entry's report of a server.

        `in_flight` is what this entry has under way there.
        """
        self._reports[server_id] = _Report(requests, now, in_flight)

    def estimated_requests(
        self, server_id: str, since: float, in_flight: int, until: float
    ) -> float:
        """Return a server's requests by others' reports, 0 without one.

        Args:
            server_id: The server.
            since: When this entry itself was told last: an older report of
                others says nothing.
            in_flight: Requests that this entry has under way there.
            until: Reports from before this time are too old.
        """
        held = self._reports.get(server_id, _NONE)
        if held.at < max(since, until):
            return 0.0
        return held.requests + in_flight - held.in_flight_at_report

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._reports.keys() - set(server_ids):
            del self._reports[server_id]


def neighbours(
    me: str, names: Iterable[str], each_side: int
) -> tuple[str, ...]:
    """Return the names before and after `me`, in a ring of all by name.

    Whom one tells is told by them too, so that a few who share what they know
    stay the same, and what an entry sends does not grow with their number.
    """
    ring = sorted({me, *names})
    at = ring.index(me)
    found = {
        ring[(at + step) % len(ring)]
        for step in range(-each_side, each_side + 1)
    }
    return tuple(sorted(found - {me}))
