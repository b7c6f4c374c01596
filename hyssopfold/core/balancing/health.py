"""How many slots of each server are used now: health and warm-up."""

from collections.abc import Collection
import math
import statistics
from typing import NamedTuple

from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership

# Failures in a row after which a server gets no new work for a while.
EJECT_AFTER = 3
FIRST_EJECT_S = 2.0
MAX_EJECT_S = 60.0
# At most this share of a pool's servers is ejected at once.
MAX_EJECTED = 1 / 3
# Requests in a row that a server refused, after which it gets one at a time.
SHED_AFTER = 2
SHED_S = 1.0
# A server this many times slower than the median gets one at a time.
SLOW_FACTOR = 4.0
SLOW_SAMPLES = 10
_GAIN = 0.1
# A server that ran nothing for this long is taken for cold.
IDLE_S = 300.0


class _Record(NamedTuple):
    incarnation: int
    warm_from: float
    failures: int = 0
    sheds: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    shed_until: float = 0.0
    seconds: float = 0.0
    samples: int = 0
    last_used: float = 0.0
    on_probation: bool = False


class Health:
    """Judge the servers of a pool in a region by what requests showed.

    Reports of the servers do not come in here: one that lies can neither
    empty nor flood a server.

    Args:
        since: Monotonic seconds from which servers were known; what is seen
            first until `settle_s` later was there before and is warm.
        settle_s: Time in which a fresh process learns who is there.
    """

    def __init__(self, since: float, settle_s: float = 5.0) -> None:
        self._settled = since + settle_s
        self._records: dict[str, _Record] = {}

    def see(self, server: membership.Server, now: float) -> None:
        """Note a server that is ready; a new one begins cold."""
        held = self._records.get(server.server_id)
        if held is not None and held.incarnation >= server.incarnation:
            return
        cold = held is not None or now > self._settled
        warm_from = now if cold else -math.inf
        self._records[server.server_id] = _Record(
            server.incarnation, warm_from, last_used=now
        )

    def forget(self, server_id: str) -> None:
        """Drop a server that is gone."""
        self._records.pop(server_id, None)

    def used(self, server_id: str, warm_up_s: float, now: float) -> None:
        """Note that a request goes to a server; after long idling it is cold."""
        held = self._records[server_id]
        if now - held.last_used > max(IDLE_S, warm_up_s):
            held = held._replace(warm_from=now)
        self._records[server_id] = held._replace(last_used=now)

    def done(
        self, server_id: str, done: messages.AttemptResult, now: float
    ) -> None:
        """Take in how a request ended."""
        held = self._records.get(server_id)
        if held is None:
            return
        if done.kind == "failed":
            held = self._failed(held, now)
        elif done.kind == "shed":
            held = _shed(held, now)
        elif done.kind == "answered":
            held = _answered(held, done.duration_s, now)
        self._records[server_id] = held

    def _failed(self, held: _Record, now: float) -> _Record:
        failures = held.failures + 1
        held = held._replace(failures=failures)
        if failures < EJECT_AFTER and not held.on_probation:
            return held
        pause = min(MAX_EJECT_S, FIRST_EJECT_S * 2.0**held.ejections)
        return held._replace(
            failures=0,
            ejections=min(held.ejections + 1, 10),
            ejected_until=now + pause,
            on_probation=True,
        )

    def limits(
        self,
        servers: Collection[membership.Server],
        warm_up_s: float,
        now: float,
    ) -> dict[str, int]:
        """Return how many slots of each server may be used now.

        Never more than the server's slots. Ejected servers get 0, but never
        more than `MAX_EJECTED` of them: when most fail, the cause is likely
        elsewhere, and an empty pool would refuse what could be served.
        """
        ejected = self._ejected(servers, now)
        slow = self._slow(servers)
        found = {}
        for server in servers:
            held = self._records[server.server_id]
            limit = _warm(server.slots, held, warm_up_s, now)
            alone = (
                held.on_probation
                or held.shed_until > now
                or server.server_id in slow
            )
            if server.server_id in ejected:
                limit = 0
            elif alone:
                limit = 1
            found[server.server_id] = limit
        return found

    def _ejected(
        self, servers: Collection[membership.Server], now: float
    ) -> set[str]:
        out = [
            server.server_id
            for server in servers
            if self._records[server.server_id].ejected_until > now
        ]
        out.sort(key=lambda one: (-self._records[one].ejections, one))
        return set(out[: int(len(servers) * MAX_EJECTED)])

    def _slow(self, servers: Collection[membership.Server]) -> set[str]:
        known = {
            server.server_id: held.seconds
            for server in servers
            if (held := self._records[server.server_id]).samples >= SLOW_SAMPLES
        }
        if len(known) < 3:
            return set()
        limit = SLOW_FACTOR * statistics.median(known.values())
        out = [name for name, seconds in known.items() if seconds > limit]
        out.sort(key=lambda name: (-known[name], name))
        return set(out[: int(len(servers) * MAX_EJECTED)])


def _shed(held: _Record, now: float) -> _Record:
    sheds = held.sheds + 1
    if sheds < SHED_AFTER:
        return held._replace(sheds=sheds)
    return held._replace(sheds=0, shed_until=now + SHED_S)


def _answered(held: _Record, seconds: float, now: float) -> _Record:
    if held.on_probation:
        # It answers again: it comes back as a cold server does.
        held = held._replace(on_probation=False, warm_from=now)
    average = held.seconds + _GAIN * (seconds - held.seconds)
    return held._replace(
        failures=0,
        sheds=0,
        ejections=max(0, held.ejections - 1)
        if held.samples % 20 == 0
        else held.ejections,
        seconds=average if held.samples else seconds,
        samples=held.samples + 1,
    )


def _warm(slots: int, held: _Record, warm_up_s: float, now: float) -> int:
    if warm_up_s <= 0:
        return slots
    share = (now - held.warm_from) / warm_up_s
    if share >= 1:
        return slots
    return max(1, math.floor(slots * share))
