"""Cost of granting slots: processor time and bytes for each request.

`python -m bench.capacity.placement` drives a holder and a grantor in one
process, through the wire's codec, and prints cost against servers in a pool.
"""

import random
import time

from bench.capacity import slopes
from hyssopfold import tables
from hyssopfold.core.balancing import election
from hyssopfold.core.balancing import grantor
from hyssopfold.core.balancing import health
from hyssopfold.core.balancing import holder
from hyssopfold.core.balancing import messages
from hyssopfold.core.membership import messages as membership
from hyssopfold.transport import datagram_wire

COMMAND = "python -m bench.capacity.placement"
SERVERS = (12, 32, 71, 150)
REQUESTS = 3000
_UDP_BYTES = 28
_KEY = messages.PoolRegion("ledger", "dar")
_POOL = tables.Pool("ledger", 3, 330, 0.2, 0.1, 4000, 0.0, tables.Drains())
_LOAD = 0.85


def _server(number: int) -> membership.Server:
    return membership.Server(
        f"server-{number:04d}", "ledger", f"10.9.0.{number % 250}:80", "dar",
        f"dar-{1 + number % 2}", 3, 330, "ready", 1_760_000_000_000, 1, 0.0,
    )  # fmt: skip


class _Pair:
    """A holder and a grantor, joined by the codec."""

    def __init__(self, servers: int) -> None:
        self.me = messages.Member("entry-001", 1_760_000_000_000)
        other = messages.Member("entry-002", 1_760_000_000_000)
        rng = random.Random(1)
        won = election.WonTerm(7, {}, frozenset())
        self.grantor = grantor.Grantor(
            won, _KEY, health.HealthTracker(0.0), rng, 0.0
        )
        words = tuple(_server(number) for number in range(servers))
        self.pool = grantor.PoolServers(_POOL, words)
        self.grantor.refresh(self.pool, 0.0)
        self.holder = holder.Holder(
            self.me, "dar-1", lambda _: other.name, lambda _: True, rng
        )
        self._beat = messages.GrantorHeartbeat(_KEY, 7, other, False)
        self.beat(0.0)
        self.bytes = 0
        self.messages = 0
        self.grants: list[messages.Grant] = []

    def beat(self, now: float) -> None:
        """Let the grantor be heard."""
        self.holder.handle_heartbeat(self._beat, now)

    def wire(self, message: messages.Message) -> messages.Message:
        """Pass a message through the codec."""
        data = datagram_wire.encode_message("entry-001", message)
        self.bytes += len(data) + _UDP_BYTES
        self.messages += 1
        parcel = datagram_wire.decode(data)
        assert isinstance(parcel, datagram_wire.ReceivedMessage)
        return parcel.message

    def ask(self, number: int, now: float) -> None:
        """Ask for a slot and take the grant."""
        region = messages.Region("dar", False)
        req = messages.Request(
            str(number), "ledger", (region,), 5, now + 5.0, ()
        )
        for effect in self.holder.acquire(number, req, now):
            assert isinstance(effect, messages.Send)
            ask = self.wire(effect.message)
            assert isinstance(ask, messages.SlotRequest)
            for answer in self.grantor.handle_request(ask, now):
                assert isinstance(answer, messages.Send)
                self._take(self.wire(answer.message), now)

    def _take(self, message: messages.Message, now: float) -> None:
        assert isinstance(message, messages.SlotGranted), message
        for effect in self.holder.handle_granted("entry-002", message, now):
            assert isinstance(effect, messages.Answer)
            assert isinstance(effect.result, messages.Grant)
            self.grants.append(effect.result)

    def release(self, now: float) -> None:
        """Give the oldest slot back."""
        done = messages.AttemptResult("answered", 0.05)
        grant = self.grants.pop(0)
        for effect in self.holder.release(grant, done, now):
            assert isinstance(effect, messages.Send)
            release = self.wire(effect.message)
            assert isinstance(release, messages.SlotRelease)
            self.grantor.release(release, now)


def cost(servers: int) -> tuple[float, float, float]:
    """Return seconds, bytes and messages for each request."""
    pair = _Pair(servers)
    pair.beat(1.0)
    busy = int(servers * 3 * _LOAD)
    for number in range(busy):
        pair.ask(number, 1.0)
    pair.bytes = pair.messages = 0
    began = time.process_time()
    for number in range(REQUESTS):
        now = 1.0 + number * 0.001
        if number % 500 == 0:
            pair.beat(now)
        pair.release(now)
        pair.ask(busy + number, now)
    took = time.process_time() - began
    return (
        took / REQUESTS,
        pair.bytes / REQUESTS,
        pair.messages / REQUESTS,
    )


def measure() -> list[slopes.Slope]:
    """Return the slope of a grant's cost against servers in the pool."""
    points = [slopes.Point(count, cost(count)[0]) for count in SERVERS]
    return [
        slopes.fit(
            "placement",
            "seconds of processor time a request, both ends",
            "servers in a pool and region",
            points,
            COMMAND,
        )
    ]


def main() -> None:
    """Print the table and the slope."""
    print("servers  us/request (both ends)  bytes/request  messages/request")
    for count in SERVERS:
        seconds, size, number = cost(count)
        print(f"{count:7}  {seconds * 1e6:22.0f}  {size:13.0f}  {number:16.2f}")
    for slope in measure():
        print(
            f"{slope.cost}: {slope.intercept:.4g} + {slope.slope:.4g} for each"
            " server"
        )


if __name__ == "__main__":
    main()
