"""Spreading who is there between our processes, by gossip."""

from collections.abc import Iterable
import math
import random
from typing import Any

from hyssopfold.core.membership import anti_entropy
from hyssopfold.core.membership import broadcasts
from hyssopfold.core.membership import datagram_builder
from hyssopfold.core.membership import directory
from hyssopfold.core.membership import effects as effects_module
from hyssopfold.core.membership import failure_detector
from hyssopfold.core.membership import heartbeats
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import monitoring
from hyssopfold.core.membership import peer_selection
from hyssopfold.core.membership import received_announcements

PERIOD_S = 0.5
# By then all that can be reached know of a change (docs/design/placement.md).
PROPAGATION_S = 3.0
SPARE_ROUNDS = 4
ROUNDS_PER_DOUBLING = 2
# Control instances that are asked to tell all of a new or changed instance.
INTRODUCERS = 2
# Share of an instance's lease after which it is named to callers no more.
SUSPECT_SHARE = 0.6
# A fresh process that hears no one goes on alone after this time.
ALONE_S = 2.0
WANT_EVERY_S = 0.5
MAX_WANTED = 512

Effects = list[effects_module.Effect]


class GossipProtocol:
    """Keep and spread the directory.

    Each server is heard by one instance, its monitor, which tells the others
    only what changes; signs of life of the instances stand for all that they
    monitor. So what is sent does not grow with the servers' announcements.
    News and alarms go to all at once, through relays in other failure domains;
    comparing hashes with others each period finds what was lost on its way.

    Args:
        myself: This instance's own word.
        seeds: UDP addresses of some other instances.
        member_directory: The directory to keep.
        lease_s: Seconds after which a silent server or instance is gone.
        rng: Source of the choice of peers.
        now: Monotonic seconds of the start.
    """

    def __init__(
        self,
        myself: messages.Instance,
        seeds: Iterable[str],
        member_directory: directory.Directory,
        lease_s: float,
        rng: random.Random,
        now: float,
    ) -> None:
        self.directory = member_directory
        self.highest_revision = 0
        self._seeds = tuple(seeds)
        self._lease_s = lease_s
        self._rng = rng
        self._started = now
        self._heartbeats = heartbeats.Heartbeats()
        self._received = received_announcements.ReceivedAnnouncements(lease_s)
        self._peer_selector = peer_selection.PeerSelector(
            myself.name,
            (myself.region, myself.failure_domain),
            member_directory,
            rng,
        )
        self._failure_detector = failure_detector.FailureDetector(
            myself.name,
            PERIOD_S,
            member_directory,
            self._peer_selector,
            self._heartbeats,
            now,
        )
        self._builder = datagram_builder.DatagramBuilder(
            myself, member_directory
        )
        self._broadcasts = broadcasts.Broadcasts(
            self._builder,
            self._peer_selector,
            lambda name, at: not self.is_suspect(name, at),
        )
        self._anti_entropy = anti_entropy.AntiEntropy(
            self._builder, member_directory, rng
        )
        self._monitoring = monitoring.Monitoring(
            myself.name,
            member_directory,
            self._received,
            lease_s,
            self._broadcasts.add_news,
        )
        # Whether signs of life came in the period.
        self._was_fed = True
        self._wanted_at = -math.inf
        self._wanted: dict[str, set[int]] = {}
        self._whole = False
        self._answered: dict[str, float] = {}
        self._note_self(now)

    @property
    def myself(self) -> messages.Instance:
        """Return this instance's own word."""
        return self._builder.myself

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
        size = self.directory.instances.size
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
        if self._heartbeats.is_suspected(name):
            return True
        limit_s = self.instance_lease_s() * SUSPECT_SHARE
        return self._heartbeats.silent_s(name, now) > limit_s

    def update_self(self, now: float, **changes: Any) -> Effects:
        """Change this instance's word; it is spread when it differs.

        That it leaves goes to all at once: look-ups must not name it longer.
        A newer revision is hinted at once: a push that is lost shows by its
        time-out only.
        """
        before = self.myself
        word = before._replace(**changes)
        self._builder.myself = word
        effects: Effects = []
        if word.revision > before.revision:
            effects += [
                effects_module.Send(peer, self._builder.empty(), "hint")
                for peer in self._peers()
            ]
        # The revision goes along with every datagram, and the load of an
        # entry is no ground for a decision elsewhere: neither is news.
        if word._replace(load=before.load, revision=before.revision) == before:
            return effects
        self._builder.myself = word._replace(sequence=word.sequence + 1)
        self._note_self(now)
        if word.state == "leaving":
            return effects + self._broadcasts.alarm([word.name], now)
        return effects + self._ask_introduction()

    def _note_self(self, now: float) -> None:
        me = self.myself
        self.directory.instances.update(me.name, me, now)

    def _ask_introduction(self) -> Effects:
        """Let a few tell of this instance, together with others."""
        me = self._builder.introduction()._replace(introduce=True)
        through = self._peer_selector.nearest(INTRODUCERS, "control")
        return [effects_module.Send(address, me, "news") for address in through]

    def announce(self, server: messages.Server, now: float) -> Effects:
        """Take in what a server says of itself to this instance."""
        last = self._received.get(server.server_id)
        if last is not None and not received_announcements.is_newer(
            server, last
        ):
            return []
        held = self.directory.servers.get(server.server_id)
        if _has_left(held, server):
            # A word that was on its way when the server was dismissed.
            server = server._replace(state="leaving")
        settled = self._received.take(server, now)
        # Another instance may have told already what the server said later.
        is_late = held is not None and received_announcements.is_newer(
            held, server
        )
        cold_again = not is_late and self.directory.record_cold(server, now)
        vouched = held is not None and self._vouched(held, server, settled)
        if held is not None and vouched and not cold_again:
            if held.monitor == self.myself.name:
                self._renew(server.server_id, now, self._lease_s)
            return []
        word = server._replace(monitor=self.myself.name)
        if not self.directory.servers.update(server.server_id, word, now):
            return []
        changed = _changed(server)
        if server.state == "ready":
            # Others send to a server that they know for warm.
            is_alarm = cold_again and held is not None
            self._broadcasts.add_news(server.server_id, is_alarm=is_alarm)
            return [changed]
        return [changed, *self._broadcasts.alarm([server.server_id], now)]

    def dismiss(self, server_id: str, now: float) -> Effects:
        """Take out a server that leaves without a word of its own.

        Its announcements are counted by itself, and others may have heard
        newer ones than this instance: the next number after the newest known
        here is newer than what any instance was told, since a server's usual
        words are not passed on.
        """
        held = self.directory.servers.get(server_id)
        if held is None or held.state != "ready":
            return []
        newest = held
        last = self._received.get(server_id)
        if last is not None and received_announcements.is_newer(last, held):
            newest = last
        word = newest._replace(
            state="leaving", sequence=newest.sequence + 1, monitor=""
        )
        return self.announce(word, now)

    def _renew(self, server_id: str, now: float, lease_s: float) -> None:
        self.directory.servers.renew(server_id, now, lease_s)

    def _vouched(
        self, held: messages.Server, server: messages.Server, settled: bool
    ) -> bool:
        """Return whether the others know already what a server says.

        The monitor of one that has settled here hears it no longer, and would
        not notice its end.
        """
        mine = held.monitor == self.myself.name
        if not mine and self.directory.instances.get(held.monitor) is None:
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
        return self._broadcasts.has_news

    def flush(self, now: float) -> Effects:
        """Tell all of the servers and instances that are new."""
        return self._broadcasts.flush(now)

    def receive(self, datagram: messages.Datagram, now: float) -> Effects:
        """Take in what another instance tells."""
        self.highest_revision = max(self.highest_revision, datagram.revision)
        effects = self._broadcasts.pass_on(datagram)
        fresh: list[str] = []
        for instance in datagram.instances:
            if not self._is_credible(instance, datagram.sender):
                continue
            if self.directory.instances.update(instance.name, instance, now):
                fresh.append(instance.name)
                if datagram.introduce:
                    self._broadcasts.add_news(instance.name)
        for server in datagram.servers:
            effects += self._take_server(server, now)
        self._heartbeats.learn(self.directory)
        for told in datagram.suspects:
            if told.name != self.myself.name and self._heartbeats.suspect(told):
                effects.append(self._suspected(told.name))
        fresh += self._heartbeats.merge(datagram.heartbeats, now)
        self._was_fed = self._was_fed or bool(datagram.heartbeats)
        lease_s = self.instance_lease_s()
        for name in fresh:
            if name != self.myself.name:
                self.directory.instances.renew(name, now, lease_s)
        self._note_part(datagram)
        return effects + self._reply(datagram, now)

    def _take_server(self, server: messages.Server, now: float) -> Effects:
        held = self.directory.servers.get(server.server_id)
        if server.state == "gone":
            if held is None:
                # A tombstone is for those who may hold the server for ready.
                return []
        elif held is None and not self._is_monitored(server):
            return []
        mine = server.monitor == self.myself.name
        if mine and self._received.get(server.server_id) is None:
            # What this instance said in an earlier life: not vouched for.
            server = server._replace(monitor="")
        if not self.directory.servers.update(server.server_id, server, now):
            return []
        self.directory.record_cold(server, now)
        if server.state == "gone":
            self._renew(server.server_id, now, monitoring.GONE_S)
        if server.state == "gone" and self._monitoring.vouch(server, now):
            # Its monitor lost it, but it goes on announcing itself here.
            return []
        return [_changed(server)]

    def _is_credible(self, instance: messages.Instance, sender: str) -> bool:
        name = instance.name
        if name == self.myself.name:
            return False
        alive = self._heartbeats.is_alive(name, instance.incarnation)
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
        return self.directory.instances.get(monitor) is not None

    def _note_part(self, datagram: messages.Datagram) -> None:
        if not datagram.parts:
            return
        parts = self._wanted.setdefault(datagram.sender, set())
        parts.add(datagram.part)
        if len(parts) == datagram.parts:
            self._whole = True

    def _reply(self, datagram: messages.Datagram, now: float) -> Effects:
        asker = self._address(datagram)
        if asker is None:
            return []
        effects: Effects = []
        if datagram.pull:
            effects.append(effects_module.Send(asker, self._signs_of_life(now)))
        return effects + self._reply_about_words(asker, datagram, now)

    def _signs_of_life(self, now: float) -> messages.Datagram:
        packed = self._heartbeats.pack(self.myself.name, self._rng, now)
        return self._builder.introduction()._replace(heartbeats=packed)

    def _reply_about_words(
        self, asker: str, datagram: messages.Datagram, now: float
    ) -> Effects:
        if datagram.want:
            return self._tell_all(asker, now)
        if datagram.buckets:
            return self._anti_entropy.answer(
                asker, datagram.buckets, datagram.compare, now
            )
        if datagram.digest in (
            messages.NO_DIGEST,
            self.directory.digests.whole(),
        ):
            return []
        return self._anti_entropy.ask(asker)

    def _address(self, datagram: messages.Datagram) -> str | None:
        for instance in datagram.instances:
            if instance.name == datagram.sender:
                return instance.gossip_address
        held = self.directory.instances.get(datagram.sender)
        return held.gossip_address if held is not None else None

    def _tell_all(self, address: str, now: float) -> Effects:
        # A peer that asks again and again must not make this one a flood.
        if now - self._answered.get(address, -math.inf) < WANT_EVERY_S / 2:
            return []
        self._answered[address] = now
        keys = [one.name for one in self.directory.instances.records()]
        keys += [one.server_id for one in self.directory.servers.records()]
        answers = self._builder.datagrams(
            keys[: MAX_WANTED * datagram_builder.MAX_RECORDS], now
        )
        return [
            effects_module.Send(
                address,
                answer._replace(part=number, parts=len(answers)),
                "want",
            )
            for number, answer in enumerate(answers)
        ]

    def tick(self, now: float) -> Effects:
        """Spread; due each `PERIOD_S`."""
        self._anti_entropy.renew()
        me = self.myself
        self.directory.instances.renew(me.name, now, self._lease_s)
        self._heartbeats.advance(me.name, me.incarnation, now)
        effects = self._broadcasts.repeat_alarms(now) + self._keep_servers(now)
        suspects = self._failure_detector.find(now)
        effects += self._broadcasts.suspect(suspects, now)
        effects += [self._suspected(one.name) for one in suspects]
        effects += [
            effects_module.Changed(_name(word), word.region, "lease-ended")
            for word in self.directory.expire(now)
            if word.state != "gone"
        ]
        self._heartbeats.learn(self.directory)
        return effects + self._gossip(now)

    def _suspected(self, name: str) -> effects_module.Changed:
        held = self.directory.instances.get(name)
        region = held.region if held is not None else ""
        return effects_module.Changed(name, region, "suspected")

    def _keep_servers(self, now: float) -> Effects:
        gone = self._monitoring.keep(now)
        effects: Effects = [
            effects_module.Changed(server.server_id, server.region, "gone")
            for server in gone
        ]
        keys = [server.server_id for server in gone]
        return effects + self._broadcasts.alarm(keys, now)

    def _gossip(self, now: float) -> Effects:
        datagram = self._signs_of_life(now)._replace(
            digest=self.directory.digests.whole(), pull=not self._was_fed
        )
        self._was_fed = False
        effects: Effects = [
            effects_module.Send(address, datagram) for address in self._peers()
        ]
        if not self._whole and now - self._wanted_at >= WANT_EVERY_S:
            self._wanted_at = now
            effects += self._want()
        return effects

    def _want(self) -> Effects:
        """Ask one for everything, and to tell the others of this instance."""
        question = self._builder.introduction()._replace(
            want=True, introduce=True
        )
        others = set(self._seeds) - {self.myself.gossip_address}
        near = self._peer_selector.nearest(1, "control") or sorted(others)
        near = near or self._peers()
        if not near:
            return []
        return [effects_module.Send(self._rng.choice(near), question, "want")]

    def _peers(self) -> list[str]:
        peers = self._peer_selector.partners()
        # One that was cut off as a whole comes back through a seed.
        known = self._peer_selector.addresses()
        lost = sorted(set(self._seeds) - {self.myself.gossip_address} - known)
        if lost:
            peers.append(self._rng.choice(lost))
        return peers


def _changed(server: messages.Server) -> effects_module.Changed:
    return effects_module.Changed(
        server.server_id,
        server.region,
        server.state,
        round(server.cold_left_s, 3),
    )


def _name(word: messages.Server | messages.Instance) -> str:
    return word.server_id if isinstance(word, messages.Server) else word.name


def _has_left(held: messages.Server | None, server: messages.Server) -> bool:
    if held is None or held.state != "leaving":
        return False
    return held.incarnation == server.incarnation
