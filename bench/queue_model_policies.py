"""Placement policies of the queueing model and the simulation they run in."""

from collections import deque
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

WARM_UP_S = 3.0
REPORT_S = 0.1
# Delay until a lost server has refused a connection. A frozen server would not
# refuse it.
CONNECTION_REFUSED_S = 0.002
LEASE_S = 4.0
MAX_WAIT_S = 1.0
SLOW_FACTOR = 10.0
# Seconds without a grantor after it is lost, measured by
# `bench.placement_failover`.
TAKEOVER_S = 1.4
RESTART_S = 5.0
EJECT_AFTER_FAILURES = 3
REUSE_S = 0.05


class Request(NamedTuple):
    """A request: its arrival time, the entry that receives it, its run time."""

    number: int
    arrival_s: float
    entry: int
    service_s: float


class Simulation:
    """A discrete-event simulation of entries and servers, with its counters.

    Args:
        deployment: Sizes and delays.
        case: The fault that occurs at half of `until_s`.
        rng: Source of the policies' random choices.
        until_s: Time of the last arrivals in seconds.
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
        """Schedule a call after a delay."""
        item = (self.now + delay_s, next(self._order), call, args)
        heapq.heappush(self._events, item)

    def failure_domain(self, number: int) -> int:
        """Return the failure domain of an entry or server."""
        return number % 2

    def message_delay_s(self, sender: int, receiver: int) -> float:
        """Return the one-way delay of a message in seconds."""
        same_domain = self.failure_domain(sender) == self.failure_domain(
            receiver
        )
        return 0.0001 if same_domain else float(self.deployment.delay_s)

    def run(self, policy: "Policy", requests: Iterator[Request]) -> None:
        """Simulate all requests under a policy."""
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
        # Callers of a lost entry use the next entry of their look-up.
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
            # The connection is refused, so the request certainly did not run.
            self.call_later(
                CONNECTION_REFUSED_S, policy.connection_refused, req, server
            )
            return
        slots = self.deployment.slots
        if self.busy[server] >= slots:
            self.queued_at_server += 1
            self.queues[server].append(req)
            return
        self.busy[server] += 1
        self._start(policy, req, server)

    def _start(self, policy: "Policy", req: Request, server: int) -> None:
        is_slow = self.case == "slow-server" and self.now >= self.fault_at
        factor = SLOW_FACTOR if is_slow and server == 0 else 1.0
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
        """Count a refusal, unless the request came during warm-up."""
        self.refused += req.arrival_s >= WARM_UP_S


class Policy:
    """A placement policy: its reactions to the events of a simulation."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.deployment = simulation.deployment
        self.servers = list(range(self.deployment.servers))
        self.running = True

    def update_reports(self) -> None:
        """Update the load reports of the servers."""

    def end_arrivals(self) -> None:
        """Handle the end of arrivals: no request follows."""
        self.running = False

    def arrive(self, req: Request) -> None:
        """Place a request."""
        raise NotImplementedError

    def request_ended(self, req: Request, server: int, succeeded: bool) -> None:
        """Handle the end of a request at a server."""

    def connection_refused(self, req: Request, server: int) -> None:
        """Place a request again that a lost server did not accept."""
        self.arrive(req)

    def server_lease_ended(self, server: int) -> None:
        """Handle the end of a lost server's lease."""
        self.servers.remove(server)

    def entry_lost(self) -> None:
        """Handle the loss of entry 0."""


class Random(Policy):
    """Chooses a server at random, where the request may queue."""

    def arrive(self, req: Request) -> None:
        """Place a request."""
        server = self.simulation.rng.choice(self.servers)
        self.simulation.serve(self, req, server)


class RoundRobin(Policy):
    """Each entry uses the servers in turn."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        size = self.deployment.entries
        self._next = [simulation.rng.randrange(999) for _ in range(size)]

    def arrive(self, req: Request) -> None:
        """Place a request."""
        self._next[req.entry] += 1
        position = self._next[req.entry] % len(self.servers)
        self.simulation.serve(self, req, self.servers[position])


class TwoChoices(Policy):
    """Chooses the less loaded of two random servers.

    Load is the larger of the last report and the entry's requests in flight.
    """

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._reports = [0.0] * self.deployment.servers
        self._in_flight = [
            [0] * self.deployment.servers
            for _ in range(self.deployment.entries)
        ]

    def update_reports(self) -> None:
        """Update the load reports of the servers."""
        simulation = self.simulation
        fault_active = simulation.now >= simulation.fault_at
        if not (fault_active and simulation.case == "reports-frozen"):
            for server in self.servers:
                load = simulation.busy[server] + len(simulation.queues[server])
                self._reports[server] = load
            if fault_active and simulation.case == "reports-lie":
                self._reports[0] = 0.0
        if self.running:
            simulation.call_later(REPORT_S, self.update_reports)

    def arrive(self, req: Request) -> None:
        """Place a request."""
        candidates = self.simulation.rng.sample(self.servers, 2)
        in_flight = self._in_flight[req.entry]
        server = min(
            candidates,
            key=lambda candidate: max(
                self._reports[candidate], in_flight[candidate]
            ),
        )
        in_flight[server] += 1
        self.simulation.serve(self, req, server)

    def request_ended(self, req: Request, server: int, succeeded: bool) -> None:
        """Handle the end of a request at a server."""
        self._in_flight[req.entry][server] -= 1

    def connection_refused(self, req: Request, server: int) -> None:
        """Place a request again that a lost server did not accept."""
        self._in_flight[req.entry][server] -= 1
        self.arrive(req)


class Partitioned(Policy):
    """Base of policies in which each slot belongs to one entry's queue."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._free: list[list[int]] = [
            [] for _ in range(self.deployment.entries)
        ]
        self._waiting: list[deque[Request]] = [
            deque() for _ in range(self.deployment.entries)
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

    def request_ended(self, req: Request, server: int, succeeded: bool) -> None:
        """Give the slot to the next request in the entry's queue."""
        entry = self._entry_of(req)
        if self.simulation.lost_servers[server]:
            return
        waiting = self._waiting[entry]
        while waiting:
            next_req = waiting.popleft()
            if self.simulation.now - next_req.arrival_s > MAX_WAIT_S:
                self.simulation.refuse(next_req)
                continue
            self.simulation.serve(self, next_req, server)
            return
        self._free[entry].append(server)

    def server_lease_ended(self, server: int) -> None:
        """Remove the free slots of a server whose lease ended."""
        for free in self._free:
            free[:] = [candidate for candidate in free if candidate != server]

    def entry_lost(self) -> None:
        """Refuse the requests queued at the lost entry; its slots stay idle."""
        for req in self._waiting[0]:
            self.simulation.refuse(req)
        self._waiting[0].clear()


class SlotShares(Partitioned):
    """Each entry has a share of the slots of each server."""

    def _split(self) -> None:
        entries = itertools.cycle(range(self.deployment.entries))
        for _ in range(self.deployment.slots):
            for server in self.servers:
                self._free[next(entries)].append(server)


class FixedOwner(Partitioned):
    """All slots of a server belong to one entry, chosen by request hash."""

    def _split(self) -> None:
        for server in self.servers:
            owner = server % self.deployment.entries
            self._free[owner] += [server] * self.deployment.slots

    def _entry_of(self, req: Request) -> int:
        owners = min(self.deployment.entries, self.deployment.servers)
        req_hash = req.number * 2654435761 % 2**32
        return req_hash % owners


class GrantedSlots(Policy):
    """One entry, the grantor, grants slots to all in the order of requests.

    `reuses_slots` lets an entry reuse a granted slot, `is_central` removes the
    message delays and the loss of the grantor.
    """

    reuses_slots = False
    is_central = False

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._used = [0] * self.deployment.servers
        self._waiting: deque[Request] = deque()
        self._failures = [0] * self.deployment.servers
        self._mean_latency_s = [0.0] * self.deployment.servers
        self._grantor = 0
        self._grantor_lost = False
        self._reusable: list[list[tuple[int, float]]] = [
            [] for _ in range(self.deployment.entries)
        ]
        self._slot_total = self.deployment.servers * self.deployment.slots
        self._used_total = 0

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
        """Use a slot kept for reuse, or request one from the grantor."""
        reusable = self._reusable[req.entry]
        if reusable:
            server, _ = reusable.pop()
            self.simulation.serve(self, req, server)
            return
        self.simulation.call_later(
            self._message_delay_s(req.entry), self._receive_request, req
        )

    def _receive_request(self, req: Request) -> None:
        if self._grantor_lost:
            self.simulation.refuse(req)
            return
        self._waiting.append(req)
        self._grant()

    def _grant(self) -> None:
        while self._waiting:
            req = self._waiting[0]
            if self.simulation.now - req.arrival_s > MAX_WAIT_S:
                self.simulation.refuse(self._waiting.popleft())
                continue
            server = self._pick(req)
            if server is None:
                return
            self._waiting.popleft()
            self._used[server] += 1
            self._used_total += 1
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
        same_domain = [
            candidate
            for candidate in free
            if self.simulation.failure_domain(candidate) == domain
        ]
        return min(
            same_domain or free, key=lambda candidate: self._used[candidate]
        )

    def _limit(self, server: int) -> int:
        if self._failures[server] >= EJECT_AFTER_FAILURES:
            return 0
        median_latency_s = sorted(self._mean_latency_s)[
            len(self._mean_latency_s) // 2
        ]
        if self._mean_latency_s[server] > 4 * max(median_latency_s, 0.001):
            return 1
        return int(self.deployment.slots)

    def request_ended(self, req: Request, server: int, succeeded: bool) -> None:
        """Release the slot, or keep it for the entry's next request."""
        latency_s = self.simulation.now - req.arrival_s
        self._mean_latency_s[server] += 0.1 * (
            min(latency_s, 1.0) - self._mean_latency_s[server]
        )
        is_lightly_loaded = self._used_total < 0.6 * self._slot_total
        if (
            self.reuses_slots
            and is_lightly_loaded
            and succeeded
            and not self._waiting
        ):
            self._reusable[req.entry].append((server, self.simulation.now))
            self.simulation.call_later(
                REUSE_S, self._end_reuse, req.entry, server
            )
            return
        self.simulation.call_later(
            self._message_delay_s(req.entry),
            self._receive_release,
            server,
            succeeded,
        )

    def _end_reuse(self, entry: int, server: int) -> None:
        for position, (kept_server, since) in enumerate(self._reusable[entry]):
            if (
                kept_server == server
                and self.simulation.now - since >= REUSE_S - 1e-9
            ):
                del self._reusable[entry][position]
                self.simulation.call_later(
                    self._message_delay_s(entry),
                    self._receive_release,
                    server,
                    True,
                )
                return

    def _receive_release(self, server: int, succeeded: bool) -> None:
        self._used[server] -= 1
        self._used_total -= 1
        if succeeded:
            self._failures[server] = 0
        else:
            self._failures[server] += 1
        if not self._grantor_lost:
            self._grant()

    def connection_refused(self, req: Request, server: int) -> None:
        """Release the slot and request another one."""
        self.simulation.call_later(
            self._message_delay_s(req.entry),
            self._receive_release,
            server,
            False,
        )
        self.arrive(req)

    def entry_lost(self) -> None:
        """Lose the grantor; requests are refused until another takes over."""
        if self.is_central:
            return
        for req in self._waiting:
            self.simulation.refuse(req)
        self._waiting.clear()
        self._grantor_lost = True
        self.simulation.call_later(TAKEOVER_S, self._take_over)

    def _take_over(self) -> None:
        self._grantor_lost = False
        self._grantor = 1
        # The lost entry used a third of a server's slots at most. Slots that it
        # may still use are withheld until it has restarted and reports its use.
        max_used = max(1, self.deployment.slots // 3)
        withheld = [
            max(0, min(max_used, self._limit(server) - self._used[server]))
            for server in self.servers
        ]
        for server, count in zip(self.servers, withheld, strict=True):
            self._used[server] += count
        self.simulation.call_later(
            RESTART_S - TAKEOVER_S, self._restore_withheld, withheld
        )

    def _restore_withheld(self, withheld: list[int]) -> None:
        for server, count in enumerate(withheld):
            self._used[server] -= count
        self._grant()


class CentralQueue(GrantedSlots):
    """One queue for all slots without message delays: the lower bound."""

    is_central = True


class GrantedSlotsReused(GrantedSlots):
    """Granted slots, which an entry keeps briefly while the load is low."""

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
