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
# Bytes that HTTP/2, gRPC, TCP and IP add to a message: a rough estimate, which
# bench/distribution.py measures on real connections.
FRAME_BYTES = 160
DATAGRAM_BYTES = 28


def value_of(revision, row_count=40):
    """Return the value of a revision; the next one differs in two rows."""
    routes = [[f"route-{n:04d}", "host", n] for n in range(row_count)]
    routes[revision % row_count][2] = -revision
    pools = [[f"pool-{n}", n] for n in range(4)]
    pools[revision % 4][1] = -revision
    return msgspec.json.encode([[routes, pools], []])


class Control:
    """A control instance: its revisions, and the polls pending here."""

    def __init__(self, name):
        self.name = name
        self.recent = history.History()
        self.confirmed_at = -messages.NEVER_S
        self.pending = []


class Entry:
    """A follower, and the revisions that it installed, with their times."""

    def __init__(self, name, core):
        self.name = name
        self.core = core
        self.recent = history.History()
        self.installed = []
        self.reports = []
        self.running = True
        self.tick_due = None


class FakeNetwork:
    """Control instances and entries on a network with loss, cuts and stops.

    `cut` holds pairs (from, to) between which all messages are lost; `loss`
    is the share of the other messages lost; `delay` the least and the most
    seconds that a message takes; `make_value` returns the value of a revision.
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
        make_value=value_of,
    ):
        self.rng = random.Random(seed)
        self.modes, self.loss, self.delay = modes, loss, delay
        self.fanout, self.timing = fanout, timing
        self._make_value = make_value
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
                self._schedule(offset, self._gossip, name)
        for name in self.control:
            self._confirm_period(name)

    # Time

    def _schedule(self, delay, call, *arguments):
        item = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._queue, item)

    def run(self, seconds):
        """Let virtual time pass."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done, seconds):
        """Let virtual time pass until `done()`, for `seconds` at most.

        Returns:
            The seconds that passed, None if it was not done in time.
        """
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
        self._schedule(self.rng.uniform(*self.delay), call, *arguments)

    def isolate(self, name):
        """Cut `name` off from all others, both ways."""
        for other in [*self.control, *self.entries]:
            if other != name:
                self.cut |= {(name, other), (other, name)}

    def cut_between(self, some, others):
        """Cut every pair of `some` and `others`, both ways."""
        for name, other in itertools.product(some, others):
            self.cut |= {(name, other), (other, name)}

    # Control

    def _has_majority(self, name):
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
                if self._has_majority(name):
                    self._publish(control, revision)

    def _publish(self, control, newest):
        for revision in range(control.recent.revision + 1, newest + 1):
            control.recent.add(revision, self._make_value(revision))
        control.confirmed_at = self.now
        pending, control.pending = control.pending, []
        for poll in pending:
            self._answer(control, *poll)

    def _confirm_period(self, name):
        control = self.control[name]
        if self._has_majority(name):
            self._publish(control, self.newest())
        self._schedule(CONFIRM_PERIOD_S, self._confirm_period, name)

    def _receive_poll(self, control, entry, core, effect):
        strong = effect.strong and self._has_majority(control.name)
        if strong:
            self._publish(control, self.newest())
        poll = (entry, core, effect, strong, self.now)
        if control.recent.revision > effect.have or not effect.wait_s:
            self._answer(control, *poll)
            return
        control.pending.append(poll)
        self._schedule(effect.wait_s, self._end_wait, control, poll)

    def _end_wait(self, control, poll):
        if poll in control.pending:
            control.pending.remove(poll)
            self._answer(control, *poll)

    def _answer(self, control, entry, core, effect, strong, received_at):
        update = control.recent.update_since(
            effect.have, effect.digest, compress=True
        )
        age = self.now - control.confirmed_at
        waited = self.now - received_at
        if self.push_lost and waited > 0 and update.payload:
            return
        answered = messages.PollAnswered(
            effect.poll_id, update, strong, age, waited
        )
        size = FRAME_BYTES + len(msgspec.msgpack.encode(answered))
        arguments = (entry, core, answered)
        self._send("answer", control.name, entry, size, self._feed, *arguments)

    # Entries

    def boot(self, name):
        """Start an entry without a revision."""
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
        """Let a stopped process continue."""
        self.entries[name].running = True
        self._feed(name, self.entries[name].core, messages.Tick())

    def _feed(self, name, core, event):
        """Let an entry handle an event, unless it has restarted since.

        Args:
            name: Name of the entry.
            core: Its follower when the event was caused.
            event: The event.
        """
        entry = self.entries[name]
        if entry.core is not core:
            return
        if not entry.running:
            # The kernel buffers what arrives until the process continues.
            self._schedule(0.5, self._feed, name, core, event)
            return
        for effect in entry.core.handle(event, self.now):
            self._execute(entry, effect)
        self._schedule_tick(entry)

    def _schedule_tick(self, entry):
        due = entry.core.next_deadline()
        if due != entry.tick_due:
            entry.tick_due = due
            delay = max(0.0, due - self.now)
            self._schedule(delay, self._tick, entry.name, entry.core, due)

    def _tick(self, name, core, due):
        if self.entries[name].tick_due == due:
            self.entries[name].tick_due = None
            self._feed(name, core, messages.Tick())

    def _execute(self, entry, effect):
        match effect:
            case messages.SendPoll():
                self._send_poll(entry, effect)
            case messages.Install():
                entry.installed.append((effect.revision, self.now))
                entry.recent.add(effect.revision, effect.value)
            case messages.Report():
                entry.reports.append(effect)

    def _send_poll(self, entry, effect):
        size = FRAME_BYTES + len(msgspec.msgpack.encode(effect))
        arguments = (entry.name, entry.core, effect)
        if effect.source in self.control:
            source = self.control[effect.source]
            call = self._receive_poll
        else:
            source = self.entries[effect.source]
            call = self._receive_poll_at_peer
        self._send(
            "ask", entry.name, effect.source, size, call, source, *arguments
        )

    def _receive_poll_at_peer(self, peer, entry, core, effect):
        if not peer.running:
            return
        update = peer.recent.update_since(
            effect.have, effect.digest, compress=True
        )
        age = peer.core.age_s(self.now)
        answered = messages.PollAnswered(effect.poll_id, update, False, age)
        size = FRAME_BYTES + len(msgspec.msgpack.encode(answered))
        arguments = (entry, core, answered)
        self._send("answer", peer.name, entry, size, self._feed, *arguments)

    # Gossip

    def _gossip(self, name):
        jitter = self.rng.uniform(0.9, 1.1)
        self._schedule(GOSSIP_PERIOD_S * jitter, self._gossip, name)
        if name in self.entries and not self.entries[name].running:
            return
        member = self.entries.get(name) or self.control[name]
        others = [other for other in self.entries if other != name]
        if self.fanout is not None:
            others = self.rng.sample(others, min(self.fanout, len(others)))
        for other in others:
            # Counts the revision alone: gossip sends the datagram anyway.
            revision = member.recent.revision
            report = messages.RevisionReported(name, revision)
            arguments = (other, self.entries[other].core, report)
            self._send("gossip", name, other, 5, self._feed, *arguments)

    # Queries of the tests

    def in_force(self, name):
        """Return the revision that an entry has in force."""
        return self.entries[name].core.revision

    def all_at(self, revision, names=None):
        """Return whether all of `names` have `revision` or more in force."""
        names = self.entries if names is None else names
        return all(self.in_force(name) >= revision for name in names)
