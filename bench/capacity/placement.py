"""Cost of granting slots: CPU time and bytes for each request.

`python -m bench.capacity.placement` runs a holder and a grantor in one process,
joined by the codec of datagrams, and prints the cost by servers in a pool.
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


class _HolderAndGrantor:
    """A holder and a grantor, joined by the codec of datagrams."""

    def __init__(self, servers: int) -> None:
        self.holder_member = messages.Member("entry-001", 1_760_000_000_000)
        grantor_member = messages.Member("entry-002", 1_760_000_000_000)
        rng = random.Random(1)
        won_term = election.WonTerm(7, {}, frozenset())
        self.grantor = grantor.Grantor(
            won_term, _KEY, health.HealthTracker(0.0), rng, 0.0
        )
        server_records = tuple(_server(number) for number in range(servers))
        self.pool = grantor.PoolServers(_POOL, server_records)
        self.grantor.refresh(self.pool, 0.0)
        self.holder = holder.Holder(
            self.holder_member,
            "dar-1",
            lambda _: grantor_member.name,
            lambda _: True,
            rng,
        )
        self._heartbeat = messages.GrantorHeartbeat(
            _KEY, 7, grantor_member, False
        )
        self.deliver_heartbeat(0.0)
        self.bytes = 0
        self.messages = 0
        self.grants: list[messages.Grant] = []

    def deliver_heartbeat(self, now: float) -> None:
        """Deliver a heartbeat of the grantor to the holder."""
        self.holder.handle_heartbeat(self._heartbeat, now)

    def transmit(self, message: messages.Message) -> messages.Message:
        """Encode and decode a message; count its bytes."""
        data = datagram_wire.encode_message("entry-001", message)
        self.bytes += len(data) + _UDP_BYTES
        self.messages += 1
        received = datagram_wire.decode(data)
        assert isinstance(received, datagram_wire.ReceivedMessage)
        return received.message

    def acquire(self, number: int, now: float) -> None:
        """Request a slot and handle the grant."""
        region = messages.Region("dar", False)
        req = messages.Request(
            str(number), "ledger", (region,), 5, now + 5.0, ()
        )
        for effect in self.holder.acquire(number, req, now):
            assert isinstance(effect, messages.Send)
            slot_request = self.transmit(effect.message)
            assert isinstance(slot_request, messages.SlotRequest)
            for answer in self.grantor.handle_request(slot_request, now):
                assert isinstance(answer, messages.Send)
                self._handle_granted(self.transmit(answer.message), now)

    def _handle_granted(self, message: messages.Message, now: float) -> None:
        assert isinstance(message, messages.SlotGranted), message
        for effect in self.holder.handle_granted("entry-002", message, now):
            assert isinstance(effect, messages.Answer)
            assert isinstance(effect.result, messages.Grant)
            self.grants.append(effect.result)

    def release(self, now: float) -> None:
        """Release the slot that was granted first."""
        result = messages.AttemptResult("answered", 0.05)
        grant = self.grants.pop(0)
        for effect in self.holder.release(grant, result, now):
            assert isinstance(effect, messages.Send)
            release = self.transmit(effect.message)
            assert isinstance(release, messages.SlotRelease)
            self.grantor.release(release, now)


def cost(servers: int) -> tuple[float, float, float]:
    """Return CPU seconds, bytes and messages for each request."""
    endpoints = _HolderAndGrantor(servers)
    endpoints.deliver_heartbeat(1.0)
    busy_slots = int(servers * 3 * _LOAD)
    for number in range(busy_slots):
        endpoints.acquire(number, 1.0)
    endpoints.bytes = endpoints.messages = 0
    started_at = time.process_time()
    for number in range(REQUESTS):
        now = 1.0 + number * 0.001
        if number % 500 == 0:
            endpoints.deliver_heartbeat(now)
        endpoints.release(now)
        endpoints.acquire(busy_slots + number, now)
    duration_s = time.process_time() - started_at
    return (
        duration_s / REQUESTS,
        endpoints.bytes / REQUESTS,
        endpoints.messages / REQUESTS,
    )


def measure() -> list[slopes.Slope]:
    """Return the slope of a grant's cost by servers in the pool."""
    points = [slopes.Point(servers, cost(servers)[0]) for servers in SERVERS]
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
    for servers in SERVERS:
        cpu_s, sent_bytes, message_count = cost(servers)
        print(
            f"{servers:7}  {cpu_s * 1e6:22.0f}  {sent_bytes:13.0f}"
            f"  {message_count:16.2f}"
        )
    for slope in measure():
        print(
            f"{slope.cost}: {slope.intercept:.4g} + {slope.slope:.4g} for each"
            " server"
        )


if __name__ == "__main__":
    main()
