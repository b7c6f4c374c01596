"""Followers, control instances and gossip on a fake network in virtual time."""

import heapq
import itertools
import random

import msgspec

from hyssopfold.core.distribution import follower
from hyssopfold.core.distribution import history
from hyssopfold.core.distribution import messages

GOSSIP_PERIOD_S = 1.0
CONFIRM_PERIOD_S = 1.0
# What HTTP/2, gRPC, TCP and IP add to a message, a round estimate that
# bench/distribution.py measures on real connections.
FRAME_BYTES = 160
DATAGRAM_BYTES = 28


def value_of(revision, row_count=40):
    """Return a value whose rows differ in two places from revision to next."""
    routes = [[f"route-{n:04d}", "host", n] for n in range(row_count)]
    routes[revision % row_count][2] = -revision
    pools = [[f"pool-{n}", n] for n in range(4)]
    pools[revision % 4][1] = -revision
    return msgspec.json.encode([[routes, pools], []])


class Control:
    """A control instance: what it has learned, who waits for more."""

    def __init__(self, name):
        self.name = name
        self.recent = history.History()
        self.confirmed_at = -messages.NEVER_S
        self.waiting = []


class Entry:
    """A follower, and what it has put in force when."""

    def __init__(self, name, core):
        self.name = name
        self.core = core
        self.recent = history.History()
        self.installed = []
        self.reports = []
        self.running = True
        self.woken_for = None


class FakeNetwork:
    """Control instances and entries; loss, cuts, stops.

    `cut` holds pairs (from, to) that lose everything; `loss` is the share
    of the other messages lost; `delay` gives the seconds a message takes.
    """

    def __init__(
        self,
        seed,
        control=3,
        entries=4,
        modes=follower.ALL_MODES,
        loss=0.0,
        delay=(0.02, 0.06),
        fanout=None,
        timing=follower.USUAL_TIMING,
    ):
        self.rng = random.Random(seed)
        self.modes, self.loss, self.delay = modes, loss, delay
        self.fanout, self.timing = fanout, timing
        self.now = 0.0
        self.cut = set()
        self.push_lost = False
        self.sent_bytes = dict.fromkeys(("ask", "answer", "gossip"), 0)
        self.sent_count = dict.fromkeys(("ask", "answer", "gossip"), 0)
        self._queue = []
        self._order = itertools.count()
        self.control = {
            f"control-{n}": Control(f"control-{n}")
            for n in range(1, control + 1)
        }
        self.entries = {}
        for n in range(1, entries + 1):
            self.boot(f"entry-{n}")
        for name in [*self.control, *self.entries]:
            if modes.piggyback:
                offset = self.rng.uniform(0, GOSSIP_PERIOD_S)
                self._at(offset, self._gossip, name)
        for name in self.control:
            self._confirm_period(name)

    # Time

    def _at(self, delay, call, *arguments):
        item = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._queue, item)

    def run(self, seconds):
        """Let time pass."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done, seconds):
        """Let time pass until `done()`; return the seconds, or None."""
        began, until = self.now, self.now + seconds
        while not done():
            if not self._queue or self._queue[0][0] > until:
                self.now = until
                return None
            self.now, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        return self.now - began

    # Messages

    def _send(self, kind, sender, to, size, call, *arguments):
        self.sent_bytes[kind] += size
        self.sent_count[kind] += 1
        if (sender, to) in self.cut or self.rng.random() < self.loss:
            return
        self._at(self.rng.uniform(*self.delay), call, *arguments)

    def isolate(self, name):
        """Cut `name` off from all others, both ways."""
        for other in [*self.control, *self.entries]:
            if other != name:
                self.cut |= {(name, other), (other, name)}

    def cut_between(self, some, others):
        """Cut every pair of `some` and `others`, both ways."""
        for one, other in itertools.product(some, others):
            self.cut |= {(one, other), (other, one)}

    # Control

    def _majority(self, name):
        reached = [
            other
            for other in self.control
            if other == name or not {(name, other), (other, name)} & self.cut
        ]
        return len(reached) > len(self.control) // 2

    def newest(self):
        """Return the newest revision that was accepted."""
        return max(c.recent.revision for c in self.control.values())

    def change(self, count=1):
        """Accept `count` changes at once."""
        for _ in range(count):
            revision = self.newest() + 1
            for name, control in self.control.items():
                if self._majority(name):
                    self._learn(control, revision)

    def _learn(self, control, revision):
        for held in range(control.recent.revision + 1, revision + 1):
            control.recent.add(held, value_of(held))
        control.confirmed_at = self.now
        waiting, control.waiting = control.waiting, []
        for question in waiting:
            self._answer(control, *question)

    def _confirm_period(self, name):
        control = self.control[name]
        if self._majority(name):
            self._learn(control, self.newest())
        self._at(CONFIRM_PERIOD_S, self._confirm_period, name)

    def _serve(self, control, entry, life, ask):
        strong = ask.strong and self._majority(control.name)
        if strong:
            self._learn(control, self.newest())
        question = (entry, life, ask, strong, self.now)
        if control.recent.revision > ask.have or not ask.wait_s:
            self._answer(control, *question)
            return
        control.waiting.append(question)
        self._at(ask.wait_s, self._let_go, control, question)

    def _let_go(self, control, question):
        if question in control.waiting:
            control.waiting.remove(question)
            self._answer(control, *question)

    def _answer(self, control, entry, life, ask, strong, asked_at):
        update = control.recent.update_since(ask.have, ask.digest)
        age = self.now - control.confirmed_at
        waited = self.now - asked_at
        if self.push_lost and waited > 0 and update.payload:
            return
        answered = messages.PollAnswered(
            ask.poll_id, update, strong, age, waited
        )
        size = FRAME_BYTES + len(msgspec.msgpack.encode(answered))
        arguments = (entry, life, answered)
        self._send("answer", control.name, entry, size, self._feed, *arguments)

    # Entries

    def boot(self, name):
        """Start an entry that holds nothing."""
        core = follower.Follower(
            list(self.control),
            random.Random(self.rng.random()),
            self.modes,
            self.timing,
        )
        self.entries[name] = Entry(name, core)
        self._feed(name, core, messages.Tick())

    def freeze(self, name):
        """Stop a process without ending it."""
        self.entries[name].running = False

    def thaw(self, name):
        """Let a stopped process go on."""
        self.entries[name].running = True
        self._feed(name, self.entries[name].core, messages.Tick())

    def _feed(self, name, life, event):
        entry = self.entries[name]
        if entry.core is not life:
            return
        if not entry.running:
            # The kernel keeps what comes until the process goes on.
            self._at(0.5, self._feed, name, life, event)
            return
        for effect in entry.core.handle(event, self.now):
            self._carry(entry, effect)
        self._wake(entry)

    def _wake(self, entry):
        due = entry.core.next_deadline()
        if due != entry.woken_for:
            entry.woken_for = due
            delay = max(0.0, due - self.now)
            self._at(delay, self._tick, entry.name, entry.core, due)

    def _tick(self, name, life, due):
        if self.entries[name].woken_for == due:
            self.entries[name].woken_for = None
            self._feed(name, life, messages.Tick())

    def _carry(self, entry, effect):
        match effect:
            case messages.SendPoll():
                self._ask(entry, effect)
            case messages.Install():
                entry.installed.append((effect.revision, self.now))
                entry.recent.add(effect.revision, effect.value)
            case messages.Report():
                entry.reports.append(effect)

    def _ask(self, entry, ask):
        size = FRAME_BYTES + len(msgspec.msgpack.encode(ask))
        arguments = (entry.name, entry.core, ask)
        if ask.source in self.control:
            source = self.control[ask.source]
            call = self._serve
        else:
            source = self.entries[ask.source]
            call = self._serve_peer
        self._send(
            "ask", entry.name, ask.source, size, call, source, *arguments
        )

    def _serve_peer(self, peer, entry, life, ask):
        if not peer.running:
            return
        update = peer.recent.update_since(ask.have, ask.digest)
        age = peer.core.age_s(self.now)
        answered = messages.PollAnswered(ask.poll_id, update, False, age)
        size = FRAME_BYTES + len(msgspec.msgpack.encode(answered))
        arguments = (entry, life, answered)
        self._send("answer", peer.name, entry, size, self._feed, *arguments)

    # Gossip

    def _gossip(self, name):
        spread = self.rng.uniform(0.9, 1.1)
        self._at(GOSSIP_PERIOD_S * spread, self._gossip, name)
        if name in self.entries and not self.entries[name].running:
            return
        member = self.entries.get(name) or self.control[name]
        others = [other for other in self.entries if other != name]
        if self.fanout is not None:
            others = self.rng.sample(others, min(self.fanout, len(others)))
        for other in others:
            # The revision itself; the datagram is sent in any case.
            revision = member.recent.revision
            heard = messages.RevisionReported(name, revision)
            arguments = (other, self.entries[other].core, heard)
            self._send("gossip", name, other, 5, self._feed, *arguments)

    # What a test asks

    def in_force(self, name):
        """Return the revision that an entry has in force."""
        return self.entries[name].core.revision

    def all_at(self, revision, names=None):
        """Return whether all of `names` have `revision` or more in force."""
        names = self.entries if names is None else names
        return all(self.in_force(name) >= revision for name in names)
