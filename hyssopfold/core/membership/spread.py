"""Spreading who is there between our processes, by gossip."""

from collections.abc import Iterable
import math
import random
from typing import Any
from typing import Literal
from typing import NamedTuple

from hyssopfold.core.membership import beats
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import neighbours

PERIOD_S = 0.5
# By then all that can be reached know of a change (docs/design/placement.md).
SPREAD_S = 3.0
SPARE_ROUNDS = 4
ROUNDS_PER_DOUBLING = 2
# How long news of servers that come are gathered, to travel together.
BATCH_S = 0.2
# Records in one datagram: compressed, some 1,000 bytes.
MAX_RECORDS = 32
# Datagrams of records in one answer to a comparison.
MAX_ANSWERS = 4
# Comparisons that an instance starts in one period when hashes differ.
MAX_COMPARISONS = 2
# How often it is repeated that a server leaves or is gone.
ALARM_REPEATS = 2
# Instances of each other failure domain that pass on what they are told: an
# alarm must get there although one of them has just died.
NEWS_RELAYS = 1
ALARM_RELAYS = 2
# Control instances that are asked to tell all of a new or changed instance.
INTRODUCERS = 2
# How long a server holds whose monitor is silent: it announces itself each
# second, and another instance takes over as monitor.
HANDOVER_S = 5.0
# Share of an instance's lease after which it is named to callers no more. A
# sign of life takes a third of that to reach all: in a minute of calm among 12
# instances nobody is suspected, with half the lease somebody is.
SUSPECT_SHARE = 0.6
# Periods without a sign of life, beyond those that gossip among the members
# of a failure domain takes, after which these suspect one of them.
SPARE_LOCAL_ROUNDS = 3
# Two ticks further apart than this show that the process itself stood still.
STALLED_S = 3 * PERIOD_S
# How long it is remembered that a server is gone: by then all know.
GONE_S = 60.0
# How long servers hold when nothing is heard from their region at all.
CUT_OFF_HOLD_S = 30.0
# A fresh process that hears no one goes on alone after this time.
ALONE_S = 2.0
WANT_EVERY_S = 0.5
MAX_WANTED = 512

Purpose = Literal["gossip", "hint", "want", "compare", "news", "alarm"]


class Send(NamedTuple):
    """Effect: carry a datagram to a UDP address; it may be lost.

    `purpose` tells metrics what the bytes are spent on.
    """

    address: str
    datagram: messages.Datagram
    purpose: Purpose = "gossip"


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
    News and alarms go to all at once, through relays in other failure domains;
    comparing hashes with others each period finds what was lost on its way.

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
        self._neighbours = neighbours.Neighbours(
            myself.name, (myself.region, myself.failure_domain), known, rng
        )
        # Servers and instances to tell all of with the next batch.
        self._news: dict[str, None] = {}
        self._comparisons_left = MAX_COMPARISONS
        # Whether signs of life came in the period.
        self._was_fed = True
        self._ticked_at = now
        self._heard_well_since = now
        self._wanted_at = -math.inf
        self._wanted: dict[str, set[int]] = {}
        self._whole = False
        self._region_heard: dict[str, float] = {}
        self._answered: dict[str, float] = {}
        # How often more it is to be told that one leaves or is gone.
        self._alarms_left: dict[str, int] = {}
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
        if self._beats.is_suspected(name):
            return True
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
        effects: list[Send | Changed] = []
        if word.revision > before.revision:
            effects += [
                Send(peer, self._datagram(), "hint") for peer in self._peers()
            ]
        # The revision goes along with every datagram, and the load of an
        # entry is no ground for a decision elsewhere: neither is news.
        if word._replace(load=before.load, revision=before.revision) == before:
            return effects
        self.myself = word._replace(sequence=word.sequence + 1)
        self._note_self(now)
        if word.state == "leaving":
            return effects + self._alarm([word.name], now)
        return effects + self._ask_introduction()

    def _note_self(self, now: float) -> None:
        me = self.myself
        self.known.instances.update(me.name, me, now)

    def _ask_introduction(self) -> list[Send | Changed]:
        """Let a few tell of this instance, together with others."""
        me = self._datagram()._replace(instances=(self.myself,), introduce=True)
        through = self._neighbours.nearest(INTRODUCERS, "control")
        return [Send(address, me, "news") for address in through]

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
        settled = self._is_settled(server, last, now)
        self._heard[server.server_id] = server
        self._heard_at[server.server_id] = now
        cold_again = self.known.note_cold(server, now)
        if (
            held is not None
            and not cold_again
            and (self._vouched(held, server, settled))
        ):
            if held.monitor == self.myself.name:
                self._renew(server.server_id, now, self._lease_s)
            return []
        word = server._replace(monitor=self.myself.name)
        if not self.known.servers.update(server.server_id, word, now):
            return []
        changed = Changed(server.server_id, server.region, server.state)
        if server.state == "ready":
            self._news[server.server_id] = None
            return [changed]
        return [changed, *self._alarm([server.server_id], now)]

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

    def _is_settled(
        self,
        server: messages.Server,
        last: messages.Server | None,
        now: float,
    ) -> bool:
        """Return whether a server announces itself here time and again."""
        if last is None or last.incarnation != server.incarnation:
            return False
        return now - self._heard_at[server.server_id] <= self._lease_s

    def _vouched(
        self, held: messages.Server, server: messages.Server, settled: bool
    ) -> bool:
        """Return whether the others know already what a server says.

        The monitor of one that has settled here hears it no longer, and would
        not notice its end.
        """
        mine = held.monitor == self.myself.name
        if not mine and self.known.instances.get(held.monitor) is None:
            return False
        if not mine and settled and held.state == "ready":
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

    @property
    def has_news(self) -> bool:
        """Return whether a batch of news waits for `flush`."""
        return bool(self._news)

    def flush(self, now: float) -> list[Send | Changed]:
        """Tell all of the servers and instances that are new; see `BATCH_S`."""
        keys, self._news = list(self._news), {}
        return self._tell_everyone(keys, "news", NEWS_RELAYS, now)

    def _alarm(self, keys: list[str], now: float) -> list[Send | Changed]:
        """Tell all at once who leaves or is gone, and a few times more.

        One that leaves must get no new work, and in local placement entries
        of any region send to it.
        """
        for key in keys:
            self._news.pop(key, None)
            self._alarms_left.setdefault(key, ALARM_REPEATS)
        return self._tell_everyone(keys, "alarm", ALARM_RELAYS, now)

    def _repeat_alarms(self, now: float) -> list[Send | Changed]:
        """Repeat what must not be lost on its way."""
        keys = list(self._alarms_left)
        for key in keys:
            self._alarms_left[key] -= 1
            if not self._alarms_left[key]:
                del self._alarms_left[key]
        return self._tell_everyone(keys, "alarm", ALARM_RELAYS, now)

    def _tell_everyone(
        self, keys: list[str], purpose: Purpose, relays: int, now: float
    ) -> list[Send | Changed]:
        effects: list[Send | Changed] = []
        for datagram in self._in_datagrams(keys):
            effects += self._send_everyone(datagram, purpose, relays, now)
        return effects

    def _send_everyone(
        self,
        datagram: messages.Datagram,
        purpose: Purpose,
        relays: int,
        now: float,
    ) -> list[Send | Changed]:
        def is_live(name: str) -> bool:
            return not self.is_suspect(name, now)

        relayed = datagram._replace(relay=True)
        return [
            Send(to.address, relayed if to.relays else datagram, purpose)
            for to in self._neighbours.everyone(relays, is_live)
        ]

    def _in_datagrams(self, keys: list[str]) -> list[messages.Datagram]:
        return [
            self._with_records(keys[at : at + MAX_RECORDS])
            for at in range(0, len(keys), MAX_RECORDS)
        ]

    def receive(
        self, datagram: messages.Datagram, now: float
    ) -> list[Send | Changed]:
        """Take in what another instance tells."""
        self.highest_revision = max(self.highest_revision, datagram.revision)
        effects = self._pass_on(datagram)
        fresh: list[str] = []
        for instance in datagram.instances:
            if not self._is_credible(instance, datagram.sender):
                continue
            if self.known.instances.update(instance.name, instance, now):
                fresh.append(instance.name)
                if datagram.introduce:
                    self._news[instance.name] = None
        for server in datagram.servers:
            effects += self._take_server(server, now)
        self._beats.learn(self.known)
        for suspicion in datagram.suspects:
            if suspicion.name != self.myself.name:
                self._beats.suspect(suspicion)
        fresh += self._beats.merge(datagram.beats, now)
        self._was_fed = self._was_fed or bool(datagram.beats)
        lease_s = self.instance_lease_s()
        for name in fresh:
            if name != self.myself.name:
                self.known.instances.renew(name, now, lease_s)
        self._note_part(datagram)
        return effects + self._reply(datagram, now)

    def _pass_on(self, datagram: messages.Datagram) -> list[Send | Changed]:
        if not datagram.relay:
            return []
        passed = datagram._replace(relay=False)
        purpose: Purpose = "news"
        return [
            Send(one.gossip_address, passed, purpose)
            for one in self._neighbours.own_domain()
        ]

    def _take_server(
        self, server: messages.Server, now: float
    ) -> list[Send | Changed]:
        held = self.known.servers.get(server.server_id)
        if server.state == "gone":
            if held is None:
                # A tombstone is for those who may hold the server for ready.
                return []
        elif held is None and not self._is_monitored(server):
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
        changed = Changed(server.server_id, server.region, server.state)
        if server.state != "gone" or not self._hears(server, now):
            return [changed]
        # Its monitor lost it, but it goes on announcing itself here.
        word = self._heard[server.server_id]._replace(monitor=self.myself.name)
        if self.known.servers.update(server.server_id, word, now):
            self._news[server.server_id] = None
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
        monitor = server.monitor
        if not monitor or monitor == self.myself.name:
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
        effects: list[Send | Changed] = []
        if datagram.pull:
            effects.append(Send(asker, self._signs_of_life(now)))
        return effects + self._reply_about_words(asker, datagram, now)

    def _signs_of_life(self, now: float) -> messages.Datagram:
        packed = self._beats.pack(self.myself.name, self._rng, now)
        return self._datagram()._replace(instances=(self.myself,), beats=packed)

    def _reply_about_words(
        self, asker: str, datagram: messages.Datagram, now: float
    ) -> list[Send | Changed]:
        if datagram.want:
            return self._tell_all(asker, now)
        if datagram.buckets:
            return self._answer_comparison(asker, datagram)
        if datagram.digest in (
            messages.NO_DIGEST,
            self.known.digests.whole(),
        ):
            return []
        return self._ask_comparison(asker)

    def _ask_comparison(self, asker: str) -> list[Send | Changed]:
        if not self._comparisons_left:
            return []
        self._comparisons_left -= 1
        mine = self.known.digests.packed()
        question = self._datagram()._replace(buckets=mine, compare=True)
        return [Send(asker, question, "compare")]

    def _answer_comparison(
        self, asker: str, datagram: messages.Datagram
    ) -> list[Send | Changed]:
        """Tell what is known in the buckets that differ.

        The asker may be the one that knows more: the last datagram brings the
        hashes here, by which it answers once.
        """
        differing = self.known.digests.differing(datagram.buckets)
        if not differing:
            return []
        self._rng.shuffle(differing)
        keys = [
            key
            for number in differing
            for key in self.known.digests.keys(number)
        ]
        answers = self._in_datagrams(keys[: MAX_RECORDS * MAX_ANSWERS])
        if datagram.compare:
            last = answers.pop() if answers else self._datagram()
            mine = self.known.digests.packed()
            answers.append(last._replace(buckets=mine))
        return [Send(asker, answer, "compare") for answer in answers]

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
        keys = [one.name for one in self.known.instances.words()]
        keys += [one.server_id for one in self.known.servers.words()]
        answers = self._in_datagrams(keys[: MAX_WANTED * MAX_RECORDS])
        return [
            Send(
                address,
                answer._replace(part=number, parts=len(answers)),
                "want",
            )
            for number, answer in enumerate(answers)
        ]

    def _datagram(self) -> messages.Datagram:
        return messages.Datagram(self.myself.name, self.myself.revision, (), ())

    def _with_records(self, keys: Iterable[str]) -> messages.Datagram:
        """Return a datagram with some words, and this instance's own.

        Who has not heard of a server's monitor does not take the server in.
        """
        instances = [self.myself]
        servers = []
        for key in keys:
            if key == self.myself.name:
                continue
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
        self._comparisons_left = MAX_COMPARISONS
        me = self.myself
        self.known.instances.renew(me.name, now, self._lease_s)
        self._beats.advance(me.name, me.incarnation, now)
        effects = self._repeat_alarms(now) + self._keep_servers(now)
        effects += self._suspect_silent(now)
        effects += [
            Changed(_name(word), word.region, "lease-ended")
            for word in self.known.expire(now)
            if word.state != "gone"
        ]
        self._beats.learn(self.known)
        return effects + self._gossip(now)

    def _suspect_silent(self, now: float) -> list[Send | Changed]:
        """Tell all which instances of this failure domain have fallen silent.

        Their own failure domain hears them most often. One that hears nobody,
        or has just stood still, is the one at fault itself.
        """
        if now - self._ticked_at > STALLED_S:
            self._heard_well_since = now
        self._ticked_at = now
        mates = self._neighbours.own_domain()
        rounds = SPARE_LOCAL_ROUNDS + math.log2(len(mates) + 2)
        limit_s = PERIOD_S * rounds
        if now - self._heard_well_since < limit_s:
            return []
        silent = [
            one.name
            for one in mates
            if self._beats.silent_s(one.name, now) > limit_s
        ]
        if 2 * len(silent) > len(mates) and self._is_deaf(limit_s, now):
            return []
        told = tuple(
            self._beats.suspicion(name)
            for name in silent
            if not self._beats.is_suspected(name)
        )
        if not told:
            return []
        datagram = self._datagram()._replace(suspects=told)
        return self._send_everyone(datagram, "alarm", ALARM_RELAYS, now)

    def _is_deaf(self, limit_s: float, now: float) -> bool:
        """Return whether most of the other instances seem silent."""
        others = [
            one.name
            for one in self.known.instances.words()
            if one.name != self.myself.name
        ]
        silent = [
            name for name in others if self._beats.silent_s(name, now) > limit_s
        ]
        return 2 * len(silent) > len(others)

    def _keep_servers(self, now: float) -> list[Send | Changed]:
        alive = {one.name: one for one in self.known.instances.words()}
        for one in alive.values():
            self._region_heard[one.region] = now
        effects: list[Send | Changed] = []
        gone: list[str] = []
        for server in list(self.known.servers.words()):
            if server.state == "gone":
                continue
            if server.monitor == self.myself.name:
                if self._watch(server, now):
                    gone.append(server.server_id)
                    effects.append(
                        Changed(server.server_id, server.region, "gone")
                    )
            elif server.monitor in alive:
                self._renew(server.server_id, now, HANDOVER_S)
            elif server.monitor:
                self._without_monitor(server, now)
        return effects + self._alarm(gone, now)

    def _watch(self, server: messages.Server, now: float) -> bool:
        """Return whether a server is gone: it no longer announces itself."""
        at = self._heard_at.get(server.server_id, -math.inf)
        if now - at < self._lease_s:
            self._renew(server.server_id, now, self._lease_s)
            return False
        # Many that fall silent here at once show that this instance is cut
        # off from them, rather than that all of them died: hold them.
        held = now - at < CUT_OFF_HOLD_S
        if held and self._mostly_silent(server.region, now):
            self._renew(server.server_id, now, HANDOVER_S)
            return False
        word = self._heard.get(server.server_id, server)
        word = word._replace(state="gone", monitor=self.myself.name)
        self.known.servers.update(server.server_id, word, now)
        self._renew(server.server_id, now, GONE_S)
        return True

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
                self._news[server.server_id] = None
            return
        # Nothing at all is heard from its region: it is cut off, or lost as
        # a whole. An empty pool would refuse what could still be served.
        last = self._region_heard.get(server.region, -math.inf)
        silent_s = now - last
        if 0 < silent_s < CUT_OFF_HOLD_S:
            self._renew(server.server_id, now, HANDOVER_S)

    def _gossip(self, now: float) -> list[Send | Changed]:
        datagram = self._signs_of_life(now)._replace(
            digest=self.known.digests.whole(), pull=not self._was_fed
        )
        self._was_fed = False
        effects: list[Send | Changed] = [
            Send(address, datagram) for address in self._peers()
        ]
        if not self._whole and now - self._wanted_at >= WANT_EVERY_S:
            self._wanted_at = now
            effects += self._want()
        return effects

    def _want(self) -> list[Send | Changed]:
        """Ask one for everything, and to tell the others of this instance."""
        question = self._datagram()._replace(
            instances=(self.myself,), want=True, introduce=True
        )
        others = set(self._seeds) - {self.myself.gossip_address}
        near = self._neighbours.nearest(1, "control") or sorted(others)
        near = near or self._peers()
        if not near:
            return []
        return [Send(self._rng.choice(near), question, "want")]

    def _peers(self) -> list[str]:
        peers = self._neighbours.partners()
        # One that was cut off as a whole comes back through a seed.
        known = self._neighbours.addresses()
        lost = sorted(set(self._seeds) - {self.myself.gossip_address} - known)
        if lost:
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
