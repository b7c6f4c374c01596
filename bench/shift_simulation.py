"""A small world for shares: nodes' own cores, fluid traffic, fake admission.

Requests are drawn once, evenly, and sent again each step, so what moves is
what the cores decide, not chance. Admission is one exact count for each region, as
placement's grants keep it. No queue, no network: only shares and capacity.
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
COLD_SHARE = 0.1
CANDIDATES = 40
MINUTE_STEPS = int(60 / STEP_S)


class Site(NamedTuple):
    """A region: slots of its servers and what its callers keep busy."""

    name: str
    slots: float
    offered: float


class Node:
    """An entry's shares with a clock of its own."""

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
        """Begin a life without memory."""
        self.shares = shares.TrafficShares()
        self.revision = 0


def even_keys(name, count):
    """Return request ids whose first draws lie evenly between 0 and 1."""
    tries = [f"{name}/{index}" for index in range(count * CANDIDATES)]
    tries.sort(key=lambda key: regions.hash_draws(key)[0])
    offset = zlib.crc32(name.encode()) % CANDIDATES
    return tries[offset::CANDIDATES]


class Simulation:
    """Nodes, regions and an operator.

    Args:
        first: Tables in force at the start, of one route and one pool.
        sites: The regions.
        nodes: Entries in each region.
        keys: Requests that each entry sends in a step.
        seed: Seed of delays.
        clocks_s: Errors of the entries' clocks, in seconds, in turn.
    """

    def __init__(self, first, sites, nodes=2, keys=60, seed=0, clocks_s=(0.0,)):
        self.rng = random.Random(seed)
        self.sites = {site.name: site for site in sites}
        self.now = 0.0
        self.control_clock_s = 0.0
        self.delay_s = 2.0
        self.held = state.State(first)
        self.revision = 1
        self.nodes = [
            Node(f"{site.name}-{index}", site.name, keys, 0.0)
            for site in sites
            for index in range(nodes)
        ]
        for index, node in enumerate(self.nodes):
            node.clock_s = clocks_s[index % len(clocks_s)]
        self._deliveries = []
        self._history = deque(maxlen=MINUTE_STEPS + 1)
        self.lost = set()
        self._restored = {}
        self.served = Counter()
        self.busy = Counter()
        self.most_moved = 0.0
        self._room = {}
        for node in self.nodes:
            self._install(node, self.revision, self.held)

    @property
    def pool(self):
        """Return the pool's row in force."""
        return self.held.tables.pools[0]

    @property
    def route(self):
        """Return the route's row in force."""
        return self.held.tables.routes[0]

    def utc(self, clock_s=0.0):
        """Return the time of day of a clock that is wrong by `clock_s`."""
        return UTC_START_S + self.now + clock_s

    def apply(self, new):
        """Accept an edit and send it to every entry, some later."""
        utc_s = self.utc(self.control_clock_s)
        self.held = plans.after_edit(self.held, new, utc_s)
        self.revision += 1
        for node in self.nodes:
            due = self.now + self.rng.uniform(0, self.delay_s)
            self._deliveries.append((due, node, self.revision, self.held))

    def _install(self, node, revision, held):
        if revision > node.revision:
            node.revision = revision
            node.shares.install(held, self.now, self.utc(node.clock_s))

    def lose(self, region):
        """Take all servers of a region away."""
        self.lost.add(region)

    def restore(self, region):
        """Bring a lost region's servers back, cold."""
        self.lost.discard(region)
        self._restored[region] = self.now

    def resize(self, region, slots):
        """Give a region more or fewer slots."""
        self.sites[region] = self.sites[region]._replace(slots=slots)

    def restart(self, node, adopt=True):
        """Start an entry anew; it asks a running one for the shares."""
        node.start()
        self._install(node, self.revision, self.held)
        peers = [
            one
            for one in self.nodes
            if one is not node and one.up and not one.frozen
        ]
        if adopt and peers:
            for report in self.rng.choice(peers).shares.reports():
                node.shares.adopt(report.pool, report.parts)

    def _catch_up(self, node, running):
        """Let an entry that stood still take over a running one's shares."""
        fresh = [one for one in running if not one.shares.is_stale(self.now)]
        if not fresh or not node.shares.is_stale(self.now):
            return
        for report in self.rng.choice(fresh).shares.reports():
            node.shares.adopt(report.pool, report.parts)

    def capacity(self, region, closed=()):
        """Return the slots that a region can use now."""
        if region in self.lost:
            return 0.0
        open_domains = 2 - len(closed)
        slots = self.sites[region].slots * open_domains / 2
        since = self.now - self._restored.get(region, -1e9)
        warm_up_s = self.pool.warm_up_s or 1e-9
        return slots * min(1.0, max(COLD_SHARE, since / warm_up_s))

    def run(self, seconds):
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def step(self):
        """Let one step pass: news, shares, requests."""
        self.now += STEP_S
        late = [item for item in self._deliveries if item[0] > self.now]
        for due, node, revision, held in self._deliveries:
            if due <= self.now and not node.frozen:
                self._install(node, revision, held)
            elif due <= self.now:
                late.append((due, node, revision, held))
        self._deliveries = late
        ready = frozenset(set(self.sites) - self.lost)
        running = [node for node in self.nodes if node.up and not node.frozen]
        for node in running:
            self._catch_up(node, running)
        for node in running:
            utc_s = self.utc(node.clock_s)
            node.shares.step(self.now, utc_s, {self.pool.name: ready})
            parts = node.shares.reports()[0].parts
            node.has_weights = any(
                layouts.weights_of(part.layout, self.route.name)
                for part in parts
            )
        self._send(running, ready)

    def _send(self, running, ready):
        asked = []
        for site in self.sites.values():
            near = [node for node in running if node.region == site.name]
            for node in near:
                others = sorted(ready - {site.name})
                names = (site.name, *others) if site.name in ready else others
                domains = {name: (f"{name}-1", f"{name}-2") for name in names}
                place = regions.SteeringContext(
                    site.name, tuple(names), domains
                )
                weight = site.offered / (len(near) * len(node.keys))
                for key in node.keys:
                    decision = node.shares.decide(self.route, place, key)
                    asked.append((decision, weight, node))
        # Requests of all entries mixed, always alike, but at home first: what is moved finds the home traffic in place.
        random.Random(1).shuffle(asked)
        asked.sort(key=lambda item: item[0].regions[0].moved)
        self.served, self.busy = Counter(), Counter()
        self._room = {}
        for decision, weight, node in asked:
            self._admit(decision, weight, node)
        total = sum(self.served.values())
        now = {name: n / total for name, n in self.served.items()}
        self._history.append(now)
        self.most_moved = max(self.most_moved, self.moved_in_minute())

    def _admit(self, decision, weight, node):
        busy = self.busy
        for region in decision.regions:
            name = region.name
            room, half, domains = self._rooms(region)
            if busy[name] + weight > room:
                continue
            domain = min(domains, key=busy.__getitem__, default=None)
            if domain is None or busy[domain] + weight > half:
                continue
            # While weights come or go, some layouts in force still have them.
            at_home = node.has_weights or name == node.region
            assert region.moved or at_home, "moved and not said so"
            busy[name] += weight
            busy[domain] += weight
            self.served[name] += weight
            if decision.shifted:
                node.shares.record_outcome(
                    self.pool.name, decision, name, domain
                )
            return
        self.served[REFUSED] += weight

    def _rooms(self, region):
        """Return the room of a region and of each of its open domains."""
        found = self._room.get(region)
        if found is None:
            room = self.capacity(region.name, region.closed_domains)
            if region.moved:
                room *= 1.0 - self.pool.headroom
            half = self.capacity(region.name) / 2 + 1e-9
            domains = [
                name
                for name in (f"{region.name}-1", f"{region.name}-2")
                if name not in region.closed_domains
            ]
            found = self._room[region] = (room, half, domains)
        return found

    def share(self, region):
        """Return the share of requests that a region serves now."""
        return self._history[-1].get(region, 0.0)

    def moved_in_minute(self):
        """Return the share of requests that left a region in a minute.

        Requests that were refused and find room are served at once: they
        leave no region.
        """
        before, after = self._history[0], self._history[-1]
        lost = (
            before[name] - after.get(name, 0.0)
            for name in before
            if name != REFUSED
        )
        return sum(one for one in lost if one > 0)

    def reset_cap_measurement(self):
        """Begin to watch the cap anew, after what was urgent."""
        last = self._history[-1]
        self._history.clear()
        self._history.append(last)
        self.most_moved = 0.0

    def reports(self):
        """Return each entry's report on the pool."""
        return [node.shares.reports()[0] for node in self.nodes]


def with_pool(old, **changes):
    """Return tables with fields of their only pool changed."""
    return old._replace(pools=(old.pools[0]._replace(**changes),))


def with_drains(old, **changes):
    """Return tables with other drains of their only pool."""
    drains = tables.Drains(**changes)
    return with_pool(old, drains=drains)


def with_weights(old, weights):
    """Return tables with other weights of their only route."""
    route = old.routes[0]._replace(weights=weights)
    return old._replace(routes=(route,))
