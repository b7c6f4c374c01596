"""Spreading who is there between our processes, by gossip."""

from collections.abc import Iterable
import math
import random
from typing import Any
from typing import NamedTuple
import zlib

from hyssopfold.core.membership import beats
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages

PERIOD_S = 0.5
# By then all that can be reached know of a change (docs/design/placement.md).
SPREAD_S = 3.0
FANOUT = 2
SPARE_ROUNDS = 4
ROUNDS_PER_DOUBLING = 2
BUCKETS = 32
# Every so many periods the hashes of all that is known go along.
COMPARE_EVERY = 1
# How often it is repeated that a server leaves or is gone.
URGENT_TIMES = 2
# News in one datagram, and in one answer to a comparison.
MAX_NEWS = 8
MAX_ANSWERS = 4
# How long a server holds whose monitor is silent: it announces itself each
# second, and another instance takes over as monitor.
HANDOVER_S = 5.0
# Share of an instance's lease after which it is named to callers no more. A
# sign of life takes a third of that to reach all: in a minute of calm among 12
# instances nobody is suspected, with half the lease somebody is.
SUSPECT_SHARE = 0.6
# How long it is remembered that a server is gone: by then all know.
GONE_S = 60.0
# How long servers hold when nothing is heard from their region at all.
CUT_OFF_HOLD_S = 30.0
# A fresh process that hears no one goes on alone after this time.
ALONE_S = 2.0
WANT_EVERY_S = 0.5
MAX_WANTED = 512


class Send(NamedTuple):
    """Effect: carry a datagram to a UDP address; it may be lost."""

    address: str
    datagram: messages.Datagram


class Changed(NamedTuple):
    """Effect: log what became of a member."""

    member: str
    region: str
    state: str


class Spread:
    """Keep and spread the directory.

    Each server is heard by one instance, its monitor, which tells the others
    only what changes; signs of life of the instances stand for all that they
    monitor. So what is sent does not grow with the servers' announcements.

    Args:
        myself: This instance's own word.
        seeds: UDP addresses of some other instances.
        known: The directory to keep.
        lease_s: Seconds after which a silent server or instance is gone.
        rng: Source of the choice of peers.
        now: Monotonic seconds of the start.
    """

    def __init__(
        self,
        myself: messages.Instance,
        seeds: Iterable[str],
        known: directory.Directory,
        lease_s: float,
        rng: random.Random,
        now: float,
    ) -> None:
        self.myself = myself
        self.known = known
        self.highest_revision = 0
        self._seeds = tuple(seeds)
        self._lease_s = lease_s
        self._rng = rng
        self._started = now
        self._beats = beats.Beats()
        # Announcements that came to this instance itself, and when.
        self._heard: dict[str, messages.Server] = {}
        self._heard_at: dict[str, float] = {}
        # What is still to be sent, and how many times more.
        self._news: dict[str, int] = {}
        self._periods = 0
        self._wanted_at = -math.inf
        self._wanted: dict[str, set[int]] = {}
        self._whole = False
        self._region_heard: dict[str, float] = {}
        self._answered: dict[str, float] = {}
        self._urgent_left: dict[str, int] = {}
        self._note_self(now)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Look for others at these addresses from now on."""
        self._seeds = tuple(seeds)

    @property
    def synced(self) -> bool:
        """Return whether another instance told all that it knows."""
        return self._whole

    def ready(self, now: float) -> bool:
        """Return whether servers are known, or there is no one to ask."""
        return self._whole or now - self._started >= ALONE_S

    def instance_lease_s(self) -> float:
        """Return the seconds after which a silent instance is gone.

        A sign of life needs more rounds of gossip, the more there are.
        """
        size = self.known.instances.size
        rounds = SPARE_ROUNDS + ROUNDS_PER_DOUBLING * math.log2(size + 1)
        return max(self._lease_s, PERIOD_S * rounds)

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether an instance may be dead, long before its lease ends.

        Three fifths of a lease without a sign of life are no ground to forget it, but
        one not to send callers there: to a machine without power they connect
        in vain for a second each.
        """
        if name == self.myself.name:
            return False
        limit_s = self.instance_lease_s() * SUSPECT_SHARE
        return self._beats.silent_s(name, now) > limit_s

    def update_self(self, now: float, **changes: Any) -> list[Send | Changed]:
        """Change this instance's word; it is spread when it differs.

        That it leaves goes to all at once: look-ups must not name it longer.
        A newer revision is hinted at once: a push that is lost shows by its
        time-out only.
        """
        before = self.myself
        word = before._replace(**changes)
        self.myself = word
        hints: list[Send | Changed] = []
        if word.revision > before.revision:
            hints += [Send(peer, self._datagram()) for peer in self._peers()]
        # The revision goes along with every datagram, and the load of an
        # entry is no ground for a decision elsewhere: neither is news.
        if word._replace(load=before.load, revision=before.revision) == before:
            return hints
        self.myself = word._replace(sequence=word.sequence + 1)
        self._note_self(now)
        if word.state != "leaving":
            return hints
        datagram = self._datagram()._replace(instances=(self.myself,))
        return hints + [
            Send(instance.gossip_address, datagram)
            for instance in self.known.instances.words()
            if instance.name != self.myself.name
        ]

    def _note_self(self, now: float) -> None:
        me = self.myself
        self.known.instances.update(me.name, me, now)
        self._tell(me.name)

    def announce(
        self, server: messages.Server, now: float
    ) -> list[Send | Changed]:
        """Take in what a server says of itself to this instance."""
        last = self._heard.get(server.server_id)
        if last is not None and not _is_newer(server, last):
            return []
        held = self.known.servers.get(server.server_id)
        if _has_left(held, server):
            # A word that was on its way when the server was dismissed.
            server = server._replace(state="leaving")
        self._heard[server.server_id] = server
        self._heard_at[server.server_id] = now
        cold_again = self.known.note_cold(server, now)
        if held is not None and not cold_again and self._vouched(held, server):
            if held.monitor == self.myself.name:
                self._renew(server.server_id, now, self._lease_s)
            return []
        word = server._replace(monitor=self.myself.name)
        if not self.known.servers.update(server.server_id, word, now):
            return []
        self._tell(server.server_id)
        state = server.state
        return [
            Changed(server.server_id, server.region, state),
            *self._urgent(server),
        ]

    def dismiss(self, server_id: str, now: float) -> list[Send | Changed]:
        """Take out a server that leaves without a word of its own.

        Its announcements are counted by itself, and others may have heard
        newer ones than this instance: the next number after the newest known
        here is newer than what any instance was told, since a server's usual
        words are not passed on.
        """
        held = self.known.servers.get(server_id)
        if held is None or held.state != "ready":
            return []
        heard = self._heard.get(server_id)
        newest = held
        if heard is not None and _is_newer(heard, held):
            newest = heard
        word = newest._replace(
            state="leaving", sequence=newest.sequence + 1, monitor=""
        )
        return self.announce(word, now)

    def _renew(self, server_id: str, now: float, lease_s: float) -> None:
        self.known.servers.renew(server_id, now, lease_s)

    def _vouched(self, held: messages.Server, server: messages.Server) -> bool:
        """Return whether the others know already what a server says."""
        mine = held.monitor == self.myself.name
        if not mine and self.known.instances.get(held.monitor) is None:
            return False
        if _has_left(held, server):
            return True
        same = held._replace(
            sequence=server.sequence,
            load=server.load,
            monitor="",
            cold_left_s=server.cold_left_s,
        )
        return same == server

    def _urgent(self, server: messages.Server) -> list[Send | Changed]:
        """Tell all instances at once, not at the period.

        One that leaves must get no new work, and in local placement entries
        of any region send to it.
        """
        word = self.known.servers.get(server.server_id)
        if word is None:
            return []
        if server.state != "ready":
            self._urgent_left.setdefault(server.server_id, URGENT_TIMES)
        datagram = self._datagram()._replace(servers=(word,))
        return [
            Send(instance.gossip_address, datagram)
            for instance in self.known.instances.words()
            if instance.name != self.myself.name
        ]

    def _urgent_again(self) -> list[Send | Changed]:
        """Repeat what must not be lost on its way."""
        effects: list[Send | Changed] = []
        for key, left in list(self._urgent_left.items()):
            word = self.known.servers.get(key)
            if not left or word is None:
                del self._urgent_left[key]
                continue
            self._urgent_left[key] = left - 1
            effects += self._urgent(word)
        return effects

    def _tell(self, key: str) -> None:
        size = self.known.instances.size
        self._news[key] = 2 + math.ceil(math.log2(size + 1) / 2)

    def receive(
        self, datagram: messages.Datagram, now: float
    ) -> list[Send | Changed]:
        """Take in what another instance tells."""
        self.highest_revision = max(self.highest_revision, datagram.revision)
        effects: list[Send | Changed] = []
        fresh: list[str] = []
        for instance in datagram.instances:
            if not self._is_credible(instance, datagram.sender):
                continue
            if self.known.instances.update(instance.name, instance, now):
                if datagram.news:
                    self._tell(instance.name)
                fresh.append(instance.name)
        for server in datagram.servers:
            effects += self._take_server(server, datagram.news, now)
        self._beats.learn(self.known)
        fresh += self._beats.merge(datagram.beats, now)
        lease_s = self.instance_lease_s()
        for name in fresh:
            if name != self.myself.name:
                self.known.instances.renew(name, now, lease_s)
        self._note_part(datagram)
        return effects + self._reply(datagram, now)

    def _take_server(
        self, server: messages.Server, is_news: bool, now: float
    ) -> list[Send | Changed]:
        if server.state != "gone" and not self._is_monitored(server):
            return []
        if server.monitor == self.myself.name:
            # What this instance said in an earlier life: not vouched for.
            heard = self._heard.get(server.server_id)
            if heard is None:
                server = server._replace(monitor="")
        if not self.known.servers.update(server.server_id, server, now):
            return []
        self.known.note_cold(server, now)
        if server.state == "gone":
            self._renew(server.server_id, now, GONE_S)
        if is_news:
            self._tell(server.server_id)
        changed = Changed(server.server_id, server.region, server.state)
        if server.state != "gone" or not self._hears(server, now):
            return [changed]
        # Its monitor lost it, but it goes on announcing itself here.
        word = self._heard[server.server_id]._replace(monitor=self.myself.name)
        self.known.servers.update(server.server_id, word, now)
        return []

    def _is_credible(self, instance: messages.Instance, sender: str) -> bool:
        name = instance.name
        if name == self.myself.name:
            return False
        alive = self._beats.is_alive(name, instance.incarnation)
        return alive or name == sender

    def _is_monitored(self, server: messages.Server) -> bool:
        """Return whether someone vouches for a server told of by another.

        Else words of servers whose monitor is gone would go round for ever.
        """
        known = self.known.servers.get(server.server_id) is not None
        monitor = server.monitor
        if known or not monitor or monitor == self.myself.name:
            return True
        if not self._whole:
            # The word of the monitor itself may be on its way.
            return True
        return self.known.instances.get(monitor) is not None

    def _hears(self, server: messages.Server, now: float) -> bool:
        at = self._heard_at.get(server.server_id, -math.inf)
        if now - at > self._lease_s:
            return False
        return _is_newer(self._heard[server.server_id], server)

    def _note_part(self, datagram: messages.Datagram) -> None:
        if not datagram.parts:
            return
        parts = self._wanted.setdefault(datagram.sender, set())
        parts.add(datagram.part)
        if len(parts) == datagram.parts:
            self._whole = True

    def _reply(
        self, datagram: messages.Datagram, now: float
    ) -> list[Send | Changed]:
        asker = self._address(datagram)
        if asker is None:
            return []
        if datagram.want:
            return self._tell_all(asker, now)
        if not datagram.buckets:
            return []
        mine = self._hashes()
        theirs = datagram.buckets
        differ = [
            number
            for number in range(min(len(mine), len(theirs)))
            if mine[number] != theirs[number]
        ]
        if not differ:
            return []
        self._rng.shuffle(differ)
        order = {bucket: place for place, bucket in enumerate(differ)}
        keys = [key for key in self._keys() if _bucket(key) in order]
        keys.sort(key=lambda key: order[_bucket(key)])
        chosen = keys[: MAX_NEWS * MAX_ANSWERS]
        answers = [
            self._with_records(chosen[at : at + MAX_NEWS])
            for at in range(0, len(chosen), MAX_NEWS)
        ] or [self._datagram()]
        if datagram.news:
            # The asker may be the one that knows more: let it answer once.
            answers[0] = answers[0]._replace(buckets=mine)
        return [Send(asker, answer) for answer in answers]

    def _address(self, datagram: messages.Datagram) -> str | None:
        for instance in datagram.instances:
            if instance.name == datagram.sender:
                return instance.gossip_address
        held = self.known.instances.get(datagram.sender)
        return held.gossip_address if held is not None else None

    def _tell_all(self, address: str, now: float) -> list[Send | Changed]:
        # A peer that asks again and again must not make this one a flood.
        if now - self._answered.get(address, -math.inf) < WANT_EVERY_S / 2:
            return []
        self._answered[address] = now
        keys = self._keys()[: MAX_WANTED * MAX_NEWS]
        chunks = [
            keys[at : at + MAX_NEWS] for at in range(0, len(keys), MAX_NEWS)
        ]
        return [
            Send(
                address,
                self._with_records(chunk)._replace(
                    part=number, parts=len(chunks)
                ),
            )
            for number, chunk in enumerate(chunks)
        ]

    def _keys(self) -> list[str]:
        keys = [one.name for one in self.known.instances.words()]
        keys += [one.server_id for one in self.known.servers.words()]
        return keys

    def _hashes(self) -> tuple[int, ...]:
        found = [0] * BUCKETS
        for one in self.known.instances.words():
            found[_bucket(one.name)] ^= _version(
                one.name, one.incarnation, one.sequence, one.state
            )
        for server in self.known.servers.words():
            key = server.server_id
            found[_bucket(key)] ^= _version(
                key, server.incarnation, server.sequence, server.state
            )
        return tuple(found)

    def _datagram(self) -> messages.Datagram:
        return messages.Datagram(self.myself.name, self.myself.revision, (), ())

    def _with_records(self, keys: Iterable[str]) -> messages.Datagram:
        instances = []
        servers = []
        for key in keys:
            instance = self.known.instances.get(key)
            server = self.known.servers.get(key)
            if instance is not None:
                instances.append(instance)
            if server is not None:
                servers.append(server)
        return self._datagram()._replace(
            instances=tuple(instances), servers=tuple(servers)
        )

    def tick(self, now: float) -> list[Send | Changed]:
        """Spread; due each `PERIOD_S`."""
        self._periods += 1
        me = self.myself
        self.known.instances.renew(me.name, now, self._lease_s)
        self._beats.advance(me.name, me.incarnation, now)
        effects = self._keep_servers(now) + self._urgent_again()
        effects += [
            Changed(_name(word), word.region, "lease-ended")
            for word in self.known.expire(now)
            if word.state != "gone"
        ]
        self._beats.learn(self.known)
        return effects + self._gossip(now)

    def _keep_servers(self, now: float) -> list[Send | Changed]:
        alive = {one.name: one for one in self.known.instances.words()}
        for one in alive.values():
            self._region_heard[one.region] = now
        effects: list[Send | Changed] = []
        for server in list(self.known.servers.words()):
            if server.state == "gone":
                continue
            if server.monitor == self.myself.name:
                effects += self._watch(server, now)
            elif server.monitor in alive:
                self._renew(server.server_id, now, HANDOVER_S)
            elif server.monitor:
                self._without_monitor(server, now)
        return effects

    def _watch(
        self, server: messages.Server, now: float
    ) -> list[Send | Changed]:
        """Say that a server is gone when it has stopped announcing itself."""
        at = self._heard_at.get(server.server_id, -math.inf)
        if now - at < self._lease_s:
            self._renew(server.server_id, now, self._lease_s)
            return []
        # Many that fall silent here at once show that this instance is cut
        # off from them, rather than that all of them died: hold them.
        held = now - at < CUT_OFF_HOLD_S
        if held and self._mostly_silent(server.region, now):
            self._renew(server.server_id, now, HANDOVER_S)
            return []
        word = self._heard.get(server.server_id, server)
        word = word._replace(state="gone", monitor=self.myself.name)
        self.known.servers.update(server.server_id, word, now)
        self._renew(server.server_id, now, GONE_S)
        self._tell(server.server_id)
        return [
            Changed(server.server_id, server.region, "gone"),
            *self._urgent(server),
        ]

    def _mostly_silent(self, region: str, now: float) -> bool:
        mine = [
            server.server_id
            for server in self.known.servers.words()
            if server.monitor == self.myself.name
            and server.region == region
            and server.state == "ready"
        ]
        silent = [
            key
            for key in mine
            if now - self._heard_at.get(key, -math.inf) >= self._lease_s / 2
        ]
        return len(mine) >= 3 and len(silent) * 2 > len(mine)

    def _without_monitor(self, server: messages.Server, now: float) -> None:
        if self._hears(server, now):
            word = self._heard[server.server_id]
            word = word._replace(monitor=self.myself.name)
            if self.known.servers.update(server.server_id, word, now):
                self._tell(server.server_id)
            return
        # Nothing at all is heard from its region: it is cut off, or lost as
        # a whole. An empty pool would refuse what could still be served.
        last = self._region_heard.get(server.region, -math.inf)
        silent_s = now - last
        if 0 < silent_s < CUT_OFF_HOLD_S:
            self._renew(server.server_id, now, HANDOVER_S)

    def _gossip(self, now: float) -> list[Send | Changed]:
        datagram = self._with_records(self._due_news())
        datagram = datagram._replace(
            beats=self._beats.pack(self.myself.name, self._rng, now),
            news=True,
        )
        if self._periods % COMPARE_EVERY == 0:
            datagram = datagram._replace(buckets=self._hashes())
        if not self._whole and now - self._wanted_at >= WANT_EVERY_S:
            self._wanted_at = now
            datagram = datagram._replace(want=True)
        if datagram.want or datagram.buckets:
            others = [
                one
                for one in datagram.instances
                if one.name != self.myself.name
            ]
            datagram = datagram._replace(
                instances=(self.myself, *others[: MAX_NEWS - 1])
            )
        return [Send(address, datagram) for address in self._peers()]

    def _due_news(self) -> list[str]:
        chosen = sorted(self._news, key=lambda key: -self._news[key])
        chosen = chosen[:MAX_NEWS]
        for key in chosen:
            self._news[key] -= 1
            if not self._news[key]:
                del self._news[key]
        return chosen

    def _peers(self) -> list[str]:
        known = {
            one.gossip_address
            for one in self.known.instances.words()
            if one.name != self.myself.name
        }
        peers = self._rng.sample(sorted(known), min(FANOUT, len(known)))
        # One that was cut off as a whole comes back through a seed.
        seeds = set(self._seeds) - {self.myself.gossip_address} - known
        lost = sorted(seeds)
        if lost and (not known or self._periods % COMPARE_EVERY == 0):
            peers.append(self._rng.choice(lost))
        return peers


def _name(word: messages.Server | messages.Instance) -> str:
    return word.server_id if isinstance(word, messages.Server) else word.name


def _has_left(held: messages.Server | None, server: messages.Server) -> bool:
    if held is None or held.state != "leaving":
        return False
    return held.incarnation == server.incarnation


def _is_newer(one: messages.Server, other: messages.Server) -> bool:
    mine = (one.incarnation, one.sequence)
    return mine > (other.incarnation, other.sequence)


def _bucket(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKETS


def _version(key: str, *fields: object) -> int:
    return zlib.crc32(repr((key, fields)).encode())
