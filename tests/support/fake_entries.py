"""Entries' placement cores joined by a fake network, in virtual time."""

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
    """Return a server's word."""
    domain = f"dar-{1 + zlib.crc32(server_id.encode()) % 2}"
    return membership.Server(
        server_id, "ledger", "127.0.0.1:9", "dar", domain, slots, 330,
        state, incarnation, sequence, 0.0,
    )  # fmt: skip


class Entry:
    """One life of an entry: its core, and what it knows."""

    def __init__(self, world, name, incarnation, region):
        self.me = messages.Member(name, incarnation)
        self.region = region
        self.known = directory.Directory(LEASE_S)
        cfg = node.Config(self.me, region, f"{region}-1", world.control_names)
        rng = random.Random(world.rng.random())
        self.node = node.Node(cfg, self.known, rng, world.now)
        self.node.set_pools([POOL])
        self.frozen = False
        self.held_back = []
        self.grants = {}
        self.answers = {}

    def word(self, now):
        """Return what the entry says of itself."""
        return membership.Instance(
            self.me.name, "entry", "127.0.0.1:1", "127.0.0.1:2", self.region,
            f"{self.region}-1", "ready", self.me.incarnation,
            round(now * 1000), 1, 0.0,
        )  # fmt: skip


class FakeEntries:
    """Run entries and control voters; assert that no slot is over-run."""

    def __init__(self, seed, entries=4, servers=3, control=3, far=0):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.control_names = tuple(f"control-{n}" for n in range(control))
        self.control = {}
        self.disks = {}
        self.lives = itertools.count(1)
        for name in self.control_names:
            self.start_control(name)
        self.servers = {f"s{n}": server(f"s{n}") for n in range(servers)}
        self.entries = {}
        self.cut = set()
        self.loss = self.doubling = 0.0
        self.delay_s = (0.0005, 0.002)
        self.dead = set()
        self.lost_words = set()
        self.decided = []
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
        """Start an entry, or a new life of it."""
        self.entries[name] = Entry(self, name, next(self.lives), region)
        self.dead.discard(name)

    def start_control(self, name):
        """Start a control instance with what its disk holds."""
        me = messages.Member(name, next(self.lives))
        disk = self.disks.get(name)
        self.control[name] = voter.Voter(me, self.now, states=disk)
        if hasattr(self, "dead"):
            self.dead.discard(name)

    def kill(self, name):
        """End a process; what it ran at servers ends with it."""
        self.dead.add(name)

    def separate(self, ones, others):
        """Cut all messages between two groups."""
        for pair in itertools.product(ones, others):
            self.cut |= {pair, pair[::-1]}

    def heal(self):
        """Let all messages through again."""
        self.cut.clear()

    def freeze(self, name):
        """Stop a process without ending it."""
        self.entries[name].frozen = True

    def thaw(self, name):
        """Let a frozen process go on; what came meanwhile is there."""
        entry = self.entries[name]
        entry.frozen = False
        for sender, message in entry.held_back:
            self._push(self.now, name, sender, message)
        entry.held_back = []

    def ask(self, name, moved=False, priority=5, deadline_s=5.0, avoid=()):
        """Let an entry ask for a slot; return the ticket."""
        ticket = next(self._tickets)
        regions = (messages.Region("dar", moved),)
        req = messages.Request(
            str(ticket), "ledger", regions, priority, self.now + deadline_s,
            avoid,
        )  # fmt: skip
        self.submit(name, node.Acquire(ticket, req))
        return ticket

    def release(self, name, ticket, kind="answered", seconds=0.05):
        """End the attempt of a granted ticket."""
        grant = self.entries[name].grants.pop(ticket)
        done = messages.AttemptResult(kind, seconds)
        self.submit(name, node.Release(grant, done))

    def submit(self, name, event):
        """Hand an event to a live entry."""
        entry = self.entries[name]
        if name in self.dead or entry.frozen:
            return
        for effect in entry.node.handle(event, self.now):
            self._carry(name, entry, effect)
        self.check()

    def _carry(self, name, entry, effect):
        match effect:
            case messages.Send():
                self._send(name, effect.to, effect.message)
            case messages.Answer():
                entry.answers[effect.ticket] = effect.result
                if isinstance(effect.result, messages.Grant):
                    entry.grants[effect.ticket] = effect.result
            case messages.LogDecision():
                self.decided.append((self.now, name, effect))

    def _send(self, sender, to, message):
        if (sender, to) in self.cut or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            at = self.now + self.rng.uniform(*self.delay_s)
            self._push(at, to, sender, message)

    def _push(self, at, to, sender, message):
        item = (at, next(self._order), to, sender, message)
        heapq.heappush(self._queue, item)

    def _deliver(self, to, sender, message):
        if to in self.dead:
            return
        if to in self.control:
            self._vote(to, sender, message)
        elif to in self.entries:
            entry = self.entries[to]
            if entry.frozen:
                entry.held_back.append((sender, message))
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
        """Deliver messages and pass time."""
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
        self._spread()
        for name in list(self.entries):
            self.submit(name, node.Tick())

    def _spread(self):
        """Tell every entry who is there, as membership would."""
        for name, entry in self.entries.items():
            if name in self.dead or entry.frozen:
                continue
            for other, word in self.entries.items():
                gone = other in self.dead or word.frozen
                if not gone and (name, other) not in self.cut:
                    said = word.word(self.now)
                    entry.known.instances.update(other, said, self.now)
            for one in self.servers.values():
                if (name, one.server_id) not in self.lost_words:
                    said = one._replace(sequence=round(self.now * 1000) + 1)
                    entry.known.servers.update(one.server_id, said, self.now)
            entry.known.expire(self.now)

    def in_use(self):
        """Return the slots in use by server, at all processes that live."""
        used = dict.fromkeys(self.servers, 0)
        for name, entry in self.entries.items():
            if name in self.dead:
                continue
            for hold in entry.node.holder.held_slots():
                one = self.servers[hold.server_id]
                if hold.server_incarnation == one.incarnation:
                    used[hold.server_id] += 1
        return used

    def check(self):
        """Assert that no server has more in flight than slots."""
        for server_id, used in self.in_use().items():
            slots = self.servers[server_id].slots
            assert used <= slots, (self.now, server_id, used)

    def grantors(self):
        """Return the names of the live entries that grant."""
        key = messages.PoolRegion("ledger", "dar")
        return [
            name
            for name, entry in self.entries.items()
            if name not in self.dead and entry.node.own_grantor(key) is not None
        ]
