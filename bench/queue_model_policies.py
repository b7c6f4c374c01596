"""Placement policies of the queue model, and the world they act in."""

from collections import deque
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

WARM_UP_S = 3.0
REPORT_S = 0.1
# A lost server refuses connections at once; one that is frozen would not.
FAILURE_S = 0.002
LEASE_S = 4.0
PATIENCE_S = 1.0
SLOW_FACTOR = 10.0
# Measured by `bench.placement_failover`.
TAKEOVER_S = 1.4
RESTART_S = 5.0
EJECT_AFTER = 3
KEEP_S = 0.05


class Request(NamedTuple):
    """A request: when it comes, at which entry, how long it runs."""

    number: int
    arrival_s: float
    entry: int
    service_s: float


class Simulation:
    """Time, servers and what is counted.

    Args:
        deployment: Sizes and delays.
        case: Which fault happens at half time.
        rng: Source of the policies' choices.
        until_s: Seconds of arrivals.
    """

    def __init__(
        self, deployment: Any, case: str, rng: random.Random, until_s: float
    ) -> None:
        self.deployment = deployment
        self.case = case
        self.rng = rng
        self.fault_at = until_s / 2
        self.now = 0.0
        self.busy = [0] * deployment.servers
        self.queues: list[deque[Any]] = [
            deque() for _ in range(deployment.servers)
        ]
        self.lost_servers = [False] * deployment.servers
        self.is_entry_lost = False
        self.latencies_s: list[float] = []
        self.refused = self.failed = self.queued_at_server = 0
        self.cross_domain = self.messages = 0
        self._events: list[Any] = []
        self._order = itertools.count()

    def call_later(self, delay_s: float, call: Any, *args: Any) -> None:
        """Call after a delay."""
        item = (self.now + delay_s, next(self._order), call, args)
        heapq.heappush(self._events, item)

    def failure_domain(self, number: int) -> int:
        """Return the failure domain of an entry or server."""
        return number % 2

    def message_delay_s(self, one: int, other: int) -> float:
        """Return the delay of a message between two instances."""
        near = self.failure_domain(one) == self.failure_domain(other)
        return 0.0001 if near else float(self.deployment.delay_s)

    def run(self, policy: "Policy", requests: Iterator[Request]) -> None:
        """Run all requests through a policy."""
        self.call_later(self.fault_at, self._fail, policy)
        self.call_later(0.0, policy.update_reports)
        pending = next(requests, None)
        while pending is not None or self._events:
            if pending is not None and (
                not self._events or pending.arrival_s <= self._events[0][0]
            ):
                self.now = pending.arrival_s
                self._arrive(policy, pending)
                pending = next(requests, None)
                if pending is None:
                    policy.end_arrivals()
                continue
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def _arrive(self, policy: "Policy", req: Request) -> None:
        # Callers of a lost entry use the next one of their look-up.
        if self.is_entry_lost and req.entry == 0:
            others = self.deployment.entries - 1
            req = req._replace(entry=1 + req.number % others)
        policy.arrive(req)

    def _fail(self, policy: "Policy") -> None:
        if self.case == "server-lost":
            self.lost_servers[0] = True
            for req in self.queues[0]:
                self.failed += 1
                policy.request_ended(req, 0, False)
            self.queues[0].clear()
            self.call_later(LEASE_S, policy.server_lease_ended, 0)
        if self.case == "entry-lost":
            self.is_entry_lost = True
            policy.entry_lost()

    def serve(self, policy: "Policy", req: Request, server: int) -> None:
        """Send a request to a server; it queues there if all slots are busy."""
        if self.lost_servers[server]:
            # Nothing was sent: the connection was refused.
            self.call_later(FAILURE_S, policy.connection_refused, req, server)
            return
        slots = self.deployment.slots
        if self.busy[server] >= slots:
            self.queued_at_server += 1
            self.queues[server].append(req)
            return
        self.busy[server] += 1
        self._start(policy, req, server)

    def _start(self, policy: "Policy", req: Request, server: int) -> None:
        slow = self.case == "slow-server" and self.now >= self.fault_at
        factor = SLOW_FACTOR if slow and server == 0 else 1.0
        self.call_later(req.service_s * factor, self._end, policy, req, server)

    def _end(self, policy: "Policy", req: Request, server: int) -> None:
        if self.lost_servers[server]:
            self.failed += 1
            policy.request_ended(req, server, False)
            return
        if self.queues[server]:
            self._start(policy, self.queues[server].popleft(), server)
        else:
            self.busy[server] -= 1
        if req.arrival_s >= WARM_UP_S:
            self.latencies_s.append(self.now - req.arrival_s)
            self.cross_domain += self.failure_domain(
                req.entry
            ) != self.failure_domain(server)
        policy.request_ended(req, server, True)

    def refuse(self, req: Request) -> None:
        """Count a refusal, which is answered at once."""
        self.refused += req.arrival_s >= WARM_UP_S


class Policy:
    """What a policy may do at each event."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.sizes = simulation.deployment
        self.servers = list(range(self.sizes.servers))
        self.running = True

    def update_reports(self) -> None:
        """Take in load reports."""

    def end_arrivals(self) -> None:
        """Note that no request comes any more."""
        self.running = False

    def arrive(self, req: Request) -> None:
        """Place a request."""
        raise NotImplementedError

    def request_ended(self, req: Request, server: int, good: bool) -> None:
        """Note that a request ended."""

    def connection_refused(self, req: Request, server: int) -> None:
        """Try a request elsewhere: it certainly did not run."""
        self.arrive(req)

    def server_lease_ended(self, server: int) -> None:
        """Note that a server's lease ended."""
        self.servers.remove(server)

    def entry_lost(self) -> None:
        """Note that entry 0 died."""


class Random(Policy):
    """A server at random; it queues there."""

    def arrive(self, req: Request) -> None:
        """Place a request."""
        server = self.simulation.rng.choice(self.servers)
        self.simulation.serve(self, req, server)


class RoundRobin(Policy):
    """Each entry goes round the servers."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        size = self.sizes.entries
        self._next = [simulation.rng.randrange(999) for _ in range(size)]

    def arrive(self, req: Request) -> None:
        """Place a request."""
        self._next[req.entry] += 1
        at = self._next[req.entry] % len(self.servers)
        self.simulation.serve(self, req, self.servers[at])


class TwoChoices(Policy):
    """The less loaded of two servers, by reports and own requests."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._reports = [0.0] * self.sizes.servers
        self._mine = [
            [0] * self.sizes.servers for _ in range(self.sizes.entries)
        ]

    def update_reports(self) -> None:
        """Take in load reports."""
        simulation = self.simulation
        late = simulation.now >= simulation.fault_at
        if not (late and simulation.case == "reports-frozen"):
            for server in self.servers:
                load = simulation.busy[server] + len(simulation.queues[server])
                self._reports[server] = load
            if late and simulation.case == "reports-lie":
                self._reports[0] = 0.0
        if self.running:
            simulation.call_later(REPORT_S, self.update_reports)

    def arrive(self, req: Request) -> None:
        """Place a request."""
        pair = self.simulation.rng.sample(self.servers, 2)
        mine = self._mine[req.entry]
        server = min(pair, key=lambda one: max(self._reports[one], mine[one]))
        mine[server] += 1
        self.simulation.serve(self, req, server)

    def request_ended(self, req: Request, server: int, good: bool) -> None:
        """Note that a request ended."""
        self._mine[req.entry][server] -= 1

    def connection_refused(self, req: Request, server: int) -> None:
        """Try a request elsewhere."""
        self._mine[req.entry][server] -= 1
        self.arrive(req)


class Partitioned(Policy):
    """Slots split among queues, each used by its own entry alone."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._free: list[list[int]] = [[] for _ in range(self.sizes.entries)]
        self._waiting: list[deque[Request]] = [
            deque() for _ in range(self.sizes.entries)
        ]
        self._owner: dict[int, list[int]] = {}
        self._split()

    def _split(self) -> None:
        raise NotImplementedError

    def _entry_of(self, req: Request) -> int:
        return req.entry

    def arrive(self, req: Request) -> None:
        """Place a request."""
        entry = self._entry_of(req)
        if self._free[entry]:
            self.simulation.serve(self, req, self._free[entry].pop())
            return
        self._waiting[entry].append(req)

    def request_ended(self, req: Request, server: int, good: bool) -> None:
        """Hand the slot to the entry's next request."""
        entry = self._entry_of(req)
        if self.simulation.lost_servers[server]:
            return
        waiting = self._waiting[entry]
        while waiting:
            following = waiting.popleft()
            if self.simulation.now - following.arrival_s > PATIENCE_S:
                self.simulation.refuse(following)
                continue
            self.simulation.serve(self, following, server)
            return
        self._free[entry].append(server)

    def server_lease_ended(self, server: int) -> None:
        """Note that a server's lease ended."""
        for free in self._free:
            free[:] = [one for one in free if one != server]

    def entry_lost(self) -> None:
        """Give the dead entry's queue to no one; its slots idle until back."""
        for req in self._waiting[0]:
            self.simulation.refuse(req)
        self._waiting[0].clear()


class SlotShares(Partitioned):
    """Each entry holds a share of the slots of each server."""

    def _split(self) -> None:
        entries = itertools.cycle(range(self.sizes.entries))
        for _ in range(self.sizes.slots):
            for server in self.servers:
                self._free[next(entries)].append(server)


class FixedOwner(Partitioned):
    """Each server is used through one entry, found at random."""

    def _split(self) -> None:
        for server in self.servers:
            owner = server % self.sizes.entries
            self._free[owner] += [server] * self.sizes.slots

    def _entry_of(self, req: Request) -> int:
        owners = min(self.sizes.entries, self.sizes.servers)
        spread = req.number * 2654435761 % 2**32
        return spread % owners


class GrantedSlots(Policy):
    """One entry grants slots to the others; a short queue by arrival."""

    reuses_slots = False
    is_central = False

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._used = [0] * self.sizes.servers
        self._waiting: deque[Request] = deque()
        self._failures = [0] * self.sizes.servers
        self._slow = [0.0] * self.sizes.servers
        self._grantor = 0
        self._absent = False
        self._kept: list[list[tuple[int, float]]] = [
            [] for _ in range(self.sizes.entries)
        ]
        self._total = self.sizes.servers * self.sizes.slots
        self._out = 0

    def _message_delay_s(self, entry: int) -> float:
        if self.is_central:
            return 0.0
        if entry != self._grantor:
            self.simulation.messages += 1
        return (
            0.0
            if entry == self._grantor
            else self.simulation.message_delay_s(entry, self._grantor)
        )

    def arrive(self, req: Request) -> None:
        """Use a kept slot or ask for one."""
        kept = self._kept[req.entry]
        if kept:
            server, _ = kept.pop()
            self.simulation.serve(self, req, server)
            return
        self.simulation.call_later(
            self._message_delay_s(req.entry), self._asked, req
        )

    def _asked(self, req: Request) -> None:
        if self._absent:
            self.simulation.refuse(req)
            return
        self._waiting.append(req)
        self._grant()

    def _grant(self) -> None:
        while self._waiting:
            req = self._waiting[0]
            if self.simulation.now - req.arrival_s > PATIENCE_S:
                self.simulation.refuse(self._waiting.popleft())
                continue
            server = self._pick(req)
            if server is None:
                return
            self._waiting.popleft()
            self._used[server] += 1
            self._out += 1
            delay = self._message_delay_s(req.entry)
            self.simulation.call_later(
                delay, self.simulation.serve, self, req, server
            )

    def _pick(self, req: Request) -> int | None:
        free = [
            server
            for server in self.servers
            if self._used[server] < self._limit(server)
        ]
        if not free:
            return None
        domain = self.simulation.failure_domain(req.entry)
        near = [
            one for one in free if self.simulation.failure_domain(one) == domain
        ]
        return min(near or free, key=lambda one: self._used[one])

    def _limit(self, server: int) -> int:
        if self._failures[server] >= EJECT_AFTER:
            return 0
        typical = sorted(self._slow)[len(self._slow) // 2]
        if self._slow[server] > 4 * max(typical, 0.001):
            return 1
        return int(self.sizes.slots)

    def request_ended(self, req: Request, server: int, good: bool) -> None:
        """Give the slot back, or keep it for the next request."""
        took = self.simulation.now - req.arrival_s
        self._slow[server] += 0.1 * (min(took, 1.0) - self._slow[server])
        calm = self._out < 0.6 * self._total
        if self.reuses_slots and calm and good and not self._waiting:
            self._kept[req.entry].append((server, self.simulation.now))
            self.simulation.call_later(KEEP_S, self._lapse, req.entry, server)
            return
        self.simulation.call_later(
            self._message_delay_s(req.entry), self._released, server, good
        )

    def _lapse(self, entry: int, server: int) -> None:
        for at, (kept, since) in enumerate(self._kept[entry]):
            if kept == server and self.simulation.now - since >= KEEP_S - 1e-9:
                del self._kept[entry][at]
                self.simulation.call_later(
                    self._message_delay_s(entry), self._released, server, True
                )
                return

    def _released(self, server: int, good: bool) -> None:
        self._used[server] -= 1
        self._out -= 1
        if good:
            self._failures[server] = 0
        else:
            self._failures[server] += 1
        if not self._absent:
            self._grant()

    def connection_refused(self, req: Request, server: int) -> None:
        """Give the slot back and ask again."""
        self.simulation.call_later(
            self._message_delay_s(req.entry), self._released, server, False
        )
        self.arrive(req)

    def entry_lost(self) -> None:
        """Lose the grantor: asks are refused until another has taken over."""
        if self.is_central:
            return
        for req in self._waiting:
            self.simulation.refuse(req)
        self._waiting.clear()
        self._absent = True
        self.simulation.call_later(TAKEOVER_S, self._taken_over)

    def _taken_over(self) -> None:
        self._absent = False
        self._grantor = 1
        # The dead one used a third of a server's slots at most; those that
        # it may still use stay unused until it is back and says otherwise.
        own = max(1, self.sizes.slots // 3)
        withheld = [
            max(0, min(own, self._limit(server) - self._used[server]))
            for server in self.servers
        ]
        for server, count in zip(self.servers, withheld, strict=True):
            self._used[server] += count
        self.simulation.call_later(
            RESTART_S - TAKEOVER_S, self._restore, withheld
        )

    def _restore(self, withheld: list[int]) -> None:
        for server, count in enumerate(withheld):
            self._used[server] -= count
        self._grant()


class CentralQueue(GrantedSlots):
    """One queue over all slots, without delays: the bound."""

    is_central = True


class GrantedSlotsReused(GrantedSlots):
    """Granted slots that an entry keeps a while when the pool is calm."""

    reuses_slots = True


POLICIES: dict[str, type[Policy]] = {
    "central": CentralQueue,
    "random": Random,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "fixed-owner": FixedOwner,
    "shares": SlotShares,
    "granted": GrantedSlots,
    "granted-kept": GrantedSlotsReused,
}
