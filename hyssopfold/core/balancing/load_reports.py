"""Load reports of busy servers that neighbouring entries exchange.

Where hundreds of entries share the servers, the answers to an entry's own
requests report a server's load too rarely to base choices on it.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from hyssopfold.core.balancing import messages

# Greatest age in seconds of another entry's report that decides between two
# servers, and of one that causes a refusal.
CHOICE_MAX_AGE_S = 2.0
REFUSAL_MAX_AGE_S = 0.5


class _Report(NamedTuple):
    requests: float
    at: float
    in_flight_at_report: int


_NO_REPORT = _Report(0.0, -math.inf, 0)


class LoadReports:
    """Load reports received from other entries, and those to be sent to them.

    Used by `local.Chooser`.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._busy: dict[int, int] = {}

    def record_answer(self, key: int, load: messages.Load) -> None:
        """Record the load that a server reported in an answer to this entry.

        Only loads of busy servers are reported to others: other servers are
        assumed to have free slots.

        Args:
            key: The server's key, see `server_stats.incarnation_key`.
            load: The load in the answer.
        """
        requests = load.running + load.waiting
        if requests >= load.slots:
            self._busy[key] = requests

    @property
    def has_busy(self) -> bool:
        """Return whether there are loads of busy servers to report."""
        return bool(self._busy)

    def take_busy(self) -> tuple[tuple[int, int], ...]:
        """Return and clear the busy servers: incarnation keys and requests."""
        loads = tuple(self._busy.items())
        self._busy.clear()
        return loads

    def record_report(
        self, server_id: str, requests: float, in_flight: int, now: float
    ) -> None:
        """Record another entry's load report of a server.

        Args:
            server_id: The server.
            requests: Requests running and waiting at it.
            in_flight: This entry's requests under way to it.
            now: Monotonic time in seconds.
        """
        self._reports[server_id] = _Report(requests, now, in_flight)

    def estimated_requests(
        self, server_id: str, since: float, in_flight: int, not_before: float
    ) -> float:
        """Return a server's requests by other entries' reports.

        Args:
            server_id: The server.
            since: Time of the last load report in an answer to this entry,
                which supersedes older reports of others.
            in_flight: This entry's requests under way to the server.
            not_before: Time before which reports are too old.

        Returns:
            The reported requests plus those that this entry sent since; 0
            without a valid report.
        """
        report = self._reports.get(server_id, _NO_REPORT)
        if report.at < max(since, not_before):
            return 0.0
        return report.requests + in_flight - report.in_flight_at_report

    def prune(self, server_ids: Collection[str]) -> None:
        """Drop the servers that are not in `server_ids`."""
        for server_id in self._reports.keys() - set(server_ids):
            del self._reports[server_id]


def neighbours(
    own_name: str, names: Iterable[str], each_side: int
) -> tuple[str, ...]:
    """Return the entries before and after this one in a ring ordered by name.

    The relation is symmetric: an entry sends its reports to the same entries
    from which it receives reports. The number of messages of an entry does not
    grow with the number of entries.

    Args:
        own_name: Name of this entry.
        names: Names of the entries of the failure domain.
        each_side: Neighbours on each side.
    """
    ring = sorted({own_name, *names})
    position = ring.index(own_name)
    neighbour_names = {
        ring[(position + step) % len(ring)]
        for step in range(-each_side, each_side + 1)
    }
    return tuple(sorted(neighbour_names - {own_name}))
