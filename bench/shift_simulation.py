"""Simulation of shifts: traffic shares of real entries, simplified admission.

Requests are drawn once, evenly, and sent again in each step, so traffic only
moves by decisions of the entries and not by random variation. Admission is an
exact count of busy slots for each region, as the grants of the placement keep
it. There are no queues and no network, only shares and capacity.
"""

from collections import Counter
from collections import deque
import random
from typing import NamedTuple
import zlib

from hyssopfold import state
from hyssopfold import tables
from hyssopfold.core.steering import layouts
from hyssopfold.core.steering import plans
from hyssopfold.core.steering import regions
from hyssopfold.core.steering import shares

STEP_S = 1.0
REFUSED = "refused"
UTC_START_S = 1_800_000_000.0
COLD_CAPACITY_SHARE = 0.1
CANDIDATES_PER_KEY = 40
STEPS_PER_MINUTE = int(60 / STEP_S)


class Site(NamedTuple):
    """A region: slots of its servers, and slots that its callers keep busy."""

    name: str
    slots: float
    offered: float


class Node:
    """A simulated entry: its traffic shares and its own clock.

    `clock_s` is the error of the clock in seconds.
    """

    def __init__(self, name, region, keys, clock_s):
        self.name = name
        self.region = region
        self.keys = even_keys(name, keys)
        self.clock_s = clock_s
        self.frozen = False
        self.up = True
        self.has_weights = False
        self.start()

    def start(self):
        """Start the entry without any state."""
        self.shares = shares.TrafficShares()
        self.revision = 0


def even_keys(name, count):
    """Return request ids whose first draws are evenly spaced in (0, 1)."""
    candidates = [
        f"{name}/{index}" for index in range(count * CANDIDATES_PER_KEY)
    ]
    candidates.sort(key=lambda key: regions.hash_draws(key)[0])
    offset = zlib.crc32(name.encode()) % CANDIDATES_PER_KEY
    return candidates[offset::CANDIDATES_PER_KEY]


class Simulation:
    """Entries, regions and an operator who edits the tables.

    Args:
        initial_tables: Tables in force at the start, with one route and one
            pool.
        sites: The regions.
        nodes: Entries in each region.
        keys: Number of requests that each entry sends in a step.
        seed: Seed of the delays.
        clocks_s: Errors of the entries' clocks in seconds, assigned in turn.
    """

    def __init__(
        self, initial_tables, sites, nodes=2, keys=60, seed=0, clocks_s=(0.0,)
    ):
        self.rng = random.Random(seed)
        self.sites = {site.name: site for site in sites}
        self.now = 0.0
        self.control_clock_s = 0.0
        self.delay_s = 2.0
        self.state = state.State(initial_tables)
        self.revision = 1
        self.nodes = [
            Node(f"{site.name}-{index}", site.name, keys, 0.0)
            for site in sites
            for index in range(nodes)
        ]
        for index, node in enumerate(self.nodes):
            node.clock_s = clocks_s[index % len(clocks_s)]
        self._deliveries = []
        self._history = deque(maxlen=STEPS_PER_MINUTE + 1)
        self.lost = set()
        self._restored_at = {}
        self.served = Counter()
        self.busy = Counter()
        self.most_moved = 0.0
        self._slot_limits_cache = {}
        for node in self.nodes:
            self._install(node, self.revision, self.state)

    @property
    def pool(self):
        """Return the pool's row in force."""
        return self.state.tables.pools[0]

    @property
    def route(self):
        """Return the route's row in force."""
        return self.state.tables.routes[0]

    def utc(self, clock_s=0.0):
        """Return the UTC seconds of a clock with an error of `clock_s`."""
        return UTC_START_S + self.now + clock_s

    def apply(self, new):
        """Accept an edit and send it to all entries with random delays."""
        utc_s = self.utc(self.control_clock_s)
        self.state = plans.after_edit(self.state, new, utc_s)
        self.revision += 1
        for node in self.nodes:
            due = self.now + self.rng.uniform(0, self.delay_s)
            self._deliveries.append((due, node, self.revision, self.state))

    def _install(self, node, revision, new_state):
        if revision > node.revision:
            node.revision = revision
            node.shares.install(new_state, self.now, self.utc(node.clock_s))

    def lose(self, region):
        """Remove all servers of a region."""
        self.lost.add(region)

    def restore(self, region):
        """Restore a lost region's servers, with cold caches."""
        self.lost.discard(region)
        self._restored_at[region] = self.now

    def resize(self, region, slots):
        """Set the number of slots of a region."""
        self.sites[region] = self.sites[region]._replace(slots=slots)

    def restart(self, node, peer=None):
        """Restart an entry; it adopts the shares of `peer` or a random entry."""
        node.start()
        self._install(node, self.revision, self.state)
        peers = [
            other
            for other in self.nodes
            if other is not node and other.up and not other.frozen
        ]
        if peers:
            _adopt(node, peer or self.rng.choice(peers))

    def _catch_up(self, node, running):
        """Let an entry that was frozen adopt the shares of a running one."""
        current = [
            other for other in running if not other.shares.is_stale(self.now)
        ]
        if not current or not node.shares.is_stale(self.now):
            return
        _adopt(node, self.rng.choice(current))

    def capacity(self, region, closed=()):
        """Return the slots that are usable in a region now."""
        if region in self.lost:
            return 0.0
        open_domains = 2 - len(closed)
        slots = self.sites[region].slots * open_domains / 2
        since_restore_s = self.now - self._restored_at.get(region, -1e9)
        warm_up_s = self.pool.warm_up_s or 1e-9
        return slots * min(
            1.0, max(COLD_CAPACITY_SHARE, since_restore_s / warm_up_s)
        )

    def run(self, seconds):
        """Run the simulation for a number of seconds."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def step(self):
        """Run one step: deliver states, step the shares, send the requests."""
        self.now += STEP_S
        pending = [item for item in self._deliveries if item[0] > self.now]
        for due, node, revision, new_state in self._deliveries:
            if due <= self.now and not node.frozen:
                self._install(node, revision, new_state)
            elif due <= self.now:
                pending.append((due, node, revision, new_state))
        self._deliveries = pending
        ready = frozenset(set(self.sites) - self.lost)
        running = [node for node in self.nodes if node.up and not node.frozen]
        for node in running:
            self._catch_up(node, running)
        for node in running:
            utc_s = self.utc(node.clock_s)
            node.shares.step(self.now, utc_s, {self.pool.name: ready})
            parts = node.shares.reports()[0].parts
            node.has_weights = any(
                layouts.weights_by_route(part.layout).get(self.route.name)
                for part in parts
            )
        self._send(running, ready)

    def _send(self, running, ready):
        requests = []
        for site in self.sites.values():
            local_nodes = [node for node in running if node.region == site.name]
            for node in local_nodes:
                others = sorted(ready - {site.name})
                region_names = (
                    (site.name, *others) if site.name in ready else others
                )
                domains = {
                    name: (f"{name}-1", f"{name}-2") for name in region_names
                }
                ctx = regions.SteeringContext(
                    site.name, tuple(region_names), domains
                )
                weight = site.offered / (len(local_nodes) * len(node.keys))
                for key in node.keys:
                    decision = node.shares.decide(self.route, ctx, key)
                    requests.append((decision, weight, node))
        # Requests of all entries in an order that is the same in each step;
        # those at home come first, so moved requests only get the slots left.
        random.Random(1).shuffle(requests)
        requests.sort(key=lambda item: item[0].regions[0].moved)
        self.served, self.busy = Counter(), Counter()
        self._slot_limits_cache = {}
        for decision, weight, node in requests:
            self._admit(decision, weight, node)
        total = sum(self.served.values())
        shares_now = {name: n / total for name, n in self.served.items()}
        self._history.append(shares_now)
        self.most_moved = max(self.most_moved, self.moved_in_minute())

    def _admit(self, decision, weight, node):
        busy = self.busy
        for region in decision.regions:
            name = region.name
            limit, domain_limit, domains = self._slot_limits(region)
            if busy[name] + weight > limit:
                continue
            domain = min(domains, key=busy.__getitem__, default=None)
            if domain is None or busy[domain] + weight > domain_limit:
                continue
            # While weights are added or removed, some layouts in force have
            # them and others do not.
            at_home = node.has_weights or name == node.region
            assert region.moved or at_home, (
                "served away from home, not marked as moved"
            )
            busy[name] += weight
            busy[domain] += weight
            self.served[name] += weight
            if decision.shifted:
                node.shares.record_outcome(
                    self.pool.name, decision, name, domain
                )
            return
        self.served[REFUSED] += weight

    def _slot_limits(self, region):
        """Return a region's slot limit, that of a domain, and open domains."""
        limits = self._slot_limits_cache.get(region)
        if limits is None:
            limit = self.capacity(region.name, region.closed_domains)
            if region.moved:
                limit *= 1.0 - self.pool.headroom
            domain_limit = self.capacity(region.name) / 2 + 1e-9
            domains = [
                name
                for name in (f"{region.name}-1", f"{region.name}-2")
                if name not in region.closed_domains
            ]
            limits = self._slot_limits_cache[region] = (
                limit,
                domain_limit,
                domains,
            )
        return limits

    def share(self, region):
        """Return a region's share of the requests of the last step."""
        return self._history[-1].get(region, 0.0)

    def moved_in_minute(self):
        """Return the share of requests that left a region in the last minute.

        Requests that were refused and are now served don't count, because they
        left no region.
        """
        before, after = self._history[0], self._history[-1]
        losses = (
            before[name] - after.get(name, 0.0)
            for name in before
            if name != REFUSED
        )
        return sum(loss for loss in losses if loss > 0)

    def reset_cap_measurement(self):
        """Restart the measurement after moves to which no cap applies."""
        last = self._history[-1]
        self._history.clear()
        self._history.append(last)
        self.most_moved = 0.0

    def reports(self):
        """Return the report of each entry on the pool."""
        return [node.shares.reports()[0] for node in self.nodes]


def _adopt(node, peer):
    for report in peer.shares.reports():
        seen_regions = (*report.ready, *report.lost)
        node.shares.adopt(report.pool, report.parts, seen_regions)


def with_pool(old, **changes):
    """Return the tables with fields of their only pool changed."""
    return old._replace(pools=(old.pools[0]._replace(**changes),))


def with_drains(old, **changes):
    """Return the tables with new drains of their only pool."""
    drains = tables.Drains(**changes)
    return with_pool(old, drains=drains)


def with_weights(old, weights):
    """Return the tables with new weights of their only route."""
    route = old.routes[0]._replace(weights=weights)
    return old._replace(routes=(route,))
