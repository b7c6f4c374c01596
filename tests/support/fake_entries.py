"""Placement nodes of entries in a simulated network, in virtual time."""

import heapq
import itertools
import math
import random
import zlib

from hyssopfold import tables
from hyssopfold.core.balancing import messages
from hyssopfold.core.balancing import node
from hyssopfold.core.balancing import voter
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages as membership

POOL = tables.Pool("ledger", 3, 330, 0.2, 0.1, 4000, 0.0, tables.Drains())
TICK_S = 0.1
LEASE_S = 4.0


def server(server_id, incarnation=1, sequence=1, state="ready", slots=3):
    """Return a server's announcement."""
    domain = f"dar-{1 + zlib.crc32(server_id.encode()) % 2}"
    return membership.Server(
        server_id, "ledger", "127.0.0.1:9", "dar", domain, slots, 330,
        state, incarnation, sequence, 0.0,
    )  # fmt: skip


class Entry:
    """One incarnation of an entry, with its node and its directory."""

    def __init__(self, simulation, name, incarnation, region):
        self.me = messages.Member(name, incarnation)
        self.region = region
        self.directory = directory.Directory(LEASE_S)
        cfg = node.Config(
            self.me, region, f"{region}-1", simulation.control_names
        )
        rng = random.Random(simulation.rng.random())
        self.node = node.Node(cfg, self.directory, rng, simulation.now)
        self.node.set_pools([POOL])
        self.frozen = False
        self.deferred_messages = []
        self.grants = {}
        self.answers = {}

    def record(self, now):
        """Return the entry's own announcement."""
        return membership.Instance(
            self.me.name, "entry", "127.0.0.1:1", "127.0.0.1:2", self.region,
            f"{self.region}-1", "ready", self.me.incarnation,
            round(now * 1000), 1, 0.0,
        )  # fmt: skip


class FakeEntries:
    """Entries and control voters; asserts that no server exceeds its slots.

    Args:
        seed: Seed of all random choices.
        entries: Number of entries in the region of the servers.
        servers: Number of servers, of 3 slots each.
        control: Number of control instances.
        far: Number of entries in another region.
    """

    def __init__(self, seed, entries=4, servers=3, control=3, far=0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.control_names = tuple(f"control-{n}" for n in range(control))
        self.control = {}
        self.disks = {}
        self.incarnations = itertools.count(1)
        for name in self.control_names:
            self.start_control(name)
        self.servers = {f"s{n}": server(f"s{n}") for n in range(servers)}
        self.entries = {}
        self.cut_links = set()
        self.loss = self.duplication = 0.0
        self.delay_s = (0.0005, 0.002)
        self.dead = set()
        self.missing_records = set()
        self.logged_decisions = []
        self.max_used = 0
        self._queue = []
        self._order = itertools.count()
        self._tickets = itertools.count()
        self._next_tick = 0.0
        for n in range(entries):
            self.start(f"e{n}", "dar")
        for n in range(far):
            self.start(f"f{n}", "arusha")

    def start(self, name, region="dar"):
        """Start an entry, or a new incarnation of it."""
        self.entries[name] = Entry(self, name, next(self.incarnations), region)
        self.dead.discard(name)

    def start_control(self, name):
        """Start a control instance with the state on its disk."""
        me = messages.Member(name, next(self.incarnations))
        disk = self.disks.get(name)
        self.control[name] = voter.Voter(me, self.now, states=disk)
        if hasattr(self, "dead"):
            self.dead.discard(name)

    def kill(self, name):
        """End a process, and with it the requests that it ran at servers."""
        self.dead.add(name)

    def separate(self, group, other_group):
        """Drop all messages between two groups."""
        for pair in itertools.product(group, other_group):
            self.cut_links |= {pair, pair[::-1]}

    def heal(self):
        """Stop dropping messages between groups."""
        self.cut_links.clear()

    def freeze(self, name):
        """Suspend a process without ending it."""
        self.entries[name].frozen = True

    def thaw(self, name):
        """Resume a frozen process; it receives the messages sent meanwhile."""
        entry = self.entries[name]
        entry.frozen = False
        for sender, message in entry.deferred_messages:
            self._push(self.now, name, sender, message)
        entry.deferred_messages = []

    def request_slot(
        self, name, moved=False, priority=5, deadline_s=5.0, avoid=()
    ):
        """Let an entry request a slot; return the ticket."""
        ticket = next(self._tickets)
        regions = (messages.Region("dar", moved),)
        req = messages.Request(
            str(ticket), "ledger", regions, priority, self.now + deadline_s,
            avoid,
        )  # fmt: skip
        self.submit(name, node.Acquire(ticket, req))
        return ticket

    def release(
        self, name, ticket, kind="answered", seconds=0.05, rate_limit=None
    ):
        """End the attempt on the slot of a granted ticket."""
        grant = self.entries[name].grants.pop(ticket)
        result = messages.AttemptResult(kind, seconds, rate_limit=rate_limit)
        self.submit(name, node.Release(grant, result))

    def submit(self, name, event):
        """Pass an event to an entry, unless it is dead or frozen."""
        entry = self.entries[name]
        if name in self.dead or entry.frozen:
            return
        for effect in entry.node.handle(event, self.now):
            self._execute(name, entry, effect)
        self.check()

    def _execute(self, name, entry, effect):
        match effect:
            case messages.Send():
                self._send(name, effect.to, effect.message)
            case messages.Answer():
                entry.answers[effect.ticket] = effect.result
                if isinstance(effect.result, messages.Grant):
                    entry.grants[effect.ticket] = effect.result
            case messages.LogDecision():
                self.logged_decisions.append((self.now, name, effect))

    def _send(self, sender, to, message):
        if (sender, to) in self.cut_links or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            due_at = self.now + self.rng.uniform(*self.delay_s)
            self._push(due_at, to, sender, message)

    def _push(self, due_at, to, sender, message):
        item = (due_at, next(self._order), to, sender, message)
        heapq.heappush(self._queue, item)

    def _deliver(self, to, sender, message):
        if to in self.dead:
            return
        if to in self.control:
            self._vote(to, sender, message)
        elif to in self.entries:
            entry = self.entries[to]
            if entry.frozen:
                entry.deferred_messages.append((sender, message))
            else:
                self.submit(to, node.Received(sender, message))

    def _vote(self, to, sender, message):
        if isinstance(message, messages.Claim):
            vote = self.control[to].vote(message, self.now)
            self.disks[to] = self.control[to].durable()
            self._send(to, sender, vote)
        elif isinstance(message, messages.Resign):
            self.control[to].resign(message, self.now)

    def run(self, seconds):
        """Deliver messages and advance the time."""
        until = self.now + seconds
        while True:
            due = self._queue[0][0] if self._queue else math.inf
            if min(due, self._next_tick) > until:
                break
            if self._next_tick <= due:
                self.now = self._next_tick
                self._next_tick += TICK_S
                self._tick()
            else:
                self.now, _, to, sender, message = heapq.heappop(self._queue)
                self._deliver(to, sender, message)
        self.now = until

    def _tick(self):
        self._update_directories()
        for name in list(self.entries):
            self.submit(name, node.Tick())

    def _update_directories(self):
        """Update every entry's directory, as membership would."""
        for name, entry in self.entries.items():
            if name in self.dead or entry.frozen:
                continue
            for other_name, other_entry in self.entries.items():
                is_unreachable = other_name in self.dead or other_entry.frozen
                if (
                    not is_unreachable
                    and (name, other_name) not in self.cut_links
                ):
                    record = other_entry.record(self.now)
                    entry.directory.instances.update(
                        other_name, record, self.now
                    )
            for server in self.servers.values():
                if (name, server.server_id) not in self.missing_records:
                    record = server._replace(
                        sequence=round(self.now * 1000) + 1
                    )
                    entry.directory.servers.update(
                        server.server_id, record, self.now
                    )
            entry.directory.expire(self.now)

    def in_use(self):
        """Return the slots in use by server, over all live entries."""
        used = dict.fromkeys(self.servers, 0)
        for name, entry in self.entries.items():
            if name in self.dead:
                continue
            for slot in entry.node.holder.held_slots():
                server = self.servers[slot.server_id]
                if slot.server_incarnation == server.incarnation:
                    used[slot.server_id] += 1
        return used

    def check(self):
        """Assert that no server has more requests in flight than slots."""
        for server_id, used in self.in_use().items():
            slots = self.servers[server_id].slots
            assert used <= slots, (self.now, server_id, used)

    def grantors(self):
        """Return the names of the live entries that grant slots."""
        pool_region = messages.PoolRegion("ledger", "dar")
        return [
            name
            for name, entry in self.entries.items()
            if name not in self.dead
            and entry.node.own_grantor(pool_region) is not None
        ]
