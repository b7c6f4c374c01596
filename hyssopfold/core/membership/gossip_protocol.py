"""Gossip protocol that replicates the directory between the instances."""

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
from hyssopfold.core.membership import leave_conflicts
from hyssopfold.core.membership import leaves
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import monitoring
from hyssopfold.core.membership import peer_selection
from hyssopfold.core.membership import received_announcements

PERIOD_S = 0.5
# By then a change has reached all instances that can be reached
# (docs/design/placement.md).
PROPAGATION_S = 3.0
# Rounds of gossip that the lease of an instance spans: these, and for each
# doubling of the number of instances `ROUNDS_PER_DOUBLING` more.
SPARE_ROUNDS = 4
ROUNDS_PER_DOUBLING = 2
# Control instances that are asked to broadcast a new or changed instance.
INTRODUCERS = 2
# Share of its lease after which a silent instance is no longer in answers to
# look-ups.
SUSPECT_SHARE = 0.6
# A new process that has not received all records is ready after this time.
START_ALONE_S = 2.0
WANT_INTERVAL_S = 0.5
# Datagrams of an answer to a request for all records.
MAX_WANT_DATAGRAMS = 512

Effects = list[effects_module.Effect]


class GossipProtocol:
    """The directory of one instance and its exchange with other instances.

    Each server announces itself to one instance, its monitor, which sends the
    others only what changes; the heartbeats of an instance stand for all
    servers that it monitors. So the traffic does not grow with the servers'
    announcements. Changes are broadcast at once, through relays in other
    failure domains; comparing hashes with peers each period finds what was
    lost on the way. `transport.gossip.Gossip` calls it and executes its
    effects.

    Args:
        myself: This instance's own record.
        seeds: UDP addresses of some other instances.
        member_directory: The directory to update.
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
        self._started_at = now
        self._heartbeats = heartbeats.Heartbeats()
        self._received = received_announcements.ReceivedAnnouncements(lease_s)
        self._leaves = leaves.Leaves(
            myself.name, member_directory, self._received
        )
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
        # Whether heartbeats were received in this period.
        self._got_heartbeats = True
        self._wanted_at = -math.inf
        # Numbers of the datagrams received of each peer's full answer.
        self._received_parts: dict[str, set[int]] = {}
        self._synced = False
        self._answered_at: dict[str, float] = {}
        self._record_self(now)

    @property
    def myself(self) -> messages.Instance:
        """Return this instance's own record."""
        return self._builder.myself

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses of the seeds."""
        self._seeds = tuple(seeds)

    @property
    def synced(self) -> bool:
        """Return whether another instance has sent all its records."""
        return self._synced

    def age_s(self, now: float) -> float:
        """Return the seconds since this instance started."""
        return now - self._started_at

    def ready(self, now: float) -> bool:
        """Return whether all records were received or the wait for them ended."""
        return self._synced or self.age_s(now) >= START_ALONE_S

    def instance_lease_s(self) -> float:
        """Return the seconds after which a silent instance is gone.

        They grow with the number of instances, since a heartbeat then needs
        more rounds of gossip to reach all.
        """
        size = self.directory.instances.size
        rounds = SPARE_ROUNDS + ROUNDS_PER_DOUBLING * math.log2(size + 1)
        return max(self._lease_s, PERIOD_S * rounds)

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether an instance may be dead, long before its lease ends.

        Three fifths of a lease without a heartbeat are too few to drop the
        instance, but enough to send no callers there: each attempt to connect
        to a machine without power costs them a second.
        """
        if name == self.myself.name:
            return False
        if self._heartbeats.is_suspected(name):
            return True
        limit_s = self.instance_lease_s() * SUSPECT_SHARE
        return self._heartbeats.silent_s(name, now) > limit_s

    def update_self(self, now: float, **changes: Any) -> Effects:
        """Change this instance's record, and send it if it differs.

        A record with the state `leaving` is sent as an alarm, since look-ups
        must no longer return this instance. A newer revision is sent at once
        as a hint, since followers would notice a lost push only by a time-out.
        """
        before = self.myself
        record = before._replace(**changes)
        self._builder.myself = record
        effects: Effects = []
        if record.revision > before.revision:
            effects += [
                effects_module.Send(peer, self._builder.empty(), "hint")
                for peer in self._peers()
            ]
        # Every datagram contains the revision, and other instances decide
        # nothing by the load of an entry: changes of these are not broadcast.
        if (
            record._replace(load=before.load, revision=before.revision)
            == before
        ):
            return effects
        self._builder.myself = record._replace(sequence=record.sequence + 1)
        self._record_self(now)
        if record.state == "leaving":
            return effects + self._broadcasts.alarm([record.name], now)
        return effects + self._request_introduction()

    def _record_self(self, now: float) -> None:
        me = self.myself
        self.directory.instances.update(me.name, me, now)

    def _request_introduction(self) -> Effects:
        """Ask control instances to broadcast this instance's record."""
        introduction = self._builder.introduction()._replace(introduce=True)
        addresses = self._peer_selector.nearest(INTRODUCERS, "control")
        return [
            effects_module.Send(address, introduction, "news")
            for address in addresses
        ]

    def announce(self, server: messages.Server, now: float) -> Effects:
        """Process an announcement that a server sent to this instance."""
        last = self._received.get(server.server_id)
        if last is not None and not received_announcements.is_newer(
            server, last
        ):
            return []
        record = self.directory.servers.get(server.server_id)
        was_dismissed = self._leaves.take_dismissal(server.server_id, now)
        if was_dismissed or self._leaves.has_left(server):
            # `leaving` is final: an announcement may have been sent before
            # the server left or was dismissed.
            server = server._replace(state="leaving")
        is_regular = self._received.record(server, now)
        # A newer announcement may have come from another instance already.
        is_late = record is not None and received_announcements.is_newer(
            record, server
        )
        cold_again = not is_late and self.directory.record_cold(server, now)
        unchanged = record is not None and self._is_unchanged(
            record, server, is_regular
        )
        if record is not None and unchanged and not cold_again:
            if record.monitor == self.myself.name:
                self._renew(server.server_id, now, self._lease_s)
            return []
        new_record = server._replace(monitor=self.myself.name)
        if not self.directory.servers.update(server.server_id, new_record, now):
            return []
        # The server may have left before, by an older record.
        server = self.directory.servers.get(server.server_id) or new_record
        changed = _changed(server)
        if server.state == "ready":
            # Other instances send to a server that they take for warm.
            is_alarm = cold_again and record is not None
            self._broadcasts.add_news(server.server_id, is_alarm=is_alarm)
            return [changed]
        return [changed, *self._broadcasts.alarm([server.server_id], now)]

    def dismiss(self, server_id: str, now: float) -> Effects:
        """Mark a server as leaving that has not announced so itself.

        Without a record, the first one that arrives is marked.
        """
        announcement = self._leaves.dismiss(server_id, now)
        return self.announce(announcement, now) if announcement else []

    def restore_left(
        self, servers: Iterable[messages.Server], now: float
    ) -> None:
        """Record servers that left before this instance started.

        Args:
            servers: Their last known records.
            now: Monotonic time in seconds.
        """
        self._leaves.restore(servers, now)

    def has_left(self, server_id: str, now: float) -> bool:
        """Return whether a server leaves or is gone.

        So is one without a record, once this instance has run long enough to
        have received each record that another instance has.
        """
        record = self.directory.servers.get(server_id)
        if record is None:
            return self.age_s(now) >= PROPAGATION_S
        return record.state != "ready"

    def _renew(self, server_id: str, now: float, lease_s: float) -> None:
        self.directory.servers.renew(server_id, now, lease_s)

    def _is_unchanged(
        self,
        record: messages.Server,
        server: messages.Server,
        is_regular: bool,
    ) -> bool:
        """Return whether an announcement contains nothing to broadcast.

        False also when the server regularly announces itself here but has
        another monitor: that monitor no longer receives the announcements,
        and would not notice when the server dies.
        """
        is_monitor = record.monitor == self.myself.name
        if (
            not is_monitor
            and self.directory.instances.get(record.monitor) is None
        ):
            return False
        if not is_monitor and is_regular and record.state == "ready":
            return False
        if self._leaves.has_left(server):
            return True
        expected = record._replace(
            sequence=server.sequence,
            load=server.load,
            monitor="",
            cold_left_s=server.cold_left_s,
        )
        return expected == server

    @property
    def has_news(self) -> bool:
        """Return whether a batch of news waits for `flush`."""
        return self._broadcasts.has_news

    def flush(self, now: float) -> Effects:
        """Broadcast the batch of new servers and instances."""
        return self._broadcasts.flush(now)

    def receive(self, datagram: messages.Datagram, now: float) -> Effects:
        """Process a datagram of another instance."""
        self.highest_revision = max(self.highest_revision, datagram.revision)
        effects = self._broadcasts.relay(datagram)
        alive: list[str] = []
        for instance in datagram.instances:
            if not self._is_acceptable(instance, datagram.sender):
                continue
            if self.directory.instances.update(instance.name, instance, now):
                alive.append(instance.name)
                if datagram.introduce:
                    self._broadcasts.add_news(instance.name)
        for server in datagram.servers:
            known = self.directory.servers.get(server.server_id)
            effects += self._receive_server(server, now)
            kept = self.directory.servers.get(server.server_id)
            effects += leave_conflicts.find(
                known, server, kept, datagram.sender
            )
            effects += self._apply_dismissal(server.server_id, now)
        self._heartbeats.follow(self.directory)
        for suspicion in datagram.suspects:
            if suspicion.name != self.myself.name and self._heartbeats.suspect(
                suspicion
            ):
                effects.append(self._suspected(suspicion.name))
        alive += self._heartbeats.merge(datagram.heartbeats, now)
        self._got_heartbeats = self._got_heartbeats or bool(datagram.heartbeats)
        lease_s = self.instance_lease_s()
        for name in alive:
            if name != self.myself.name:
                self.directory.instances.renew(name, now, lease_s)
        self._record_part(datagram)
        return effects + self._reply(datagram, now)

    def _receive_server(self, server: messages.Server, now: float) -> Effects:
        record = self.directory.servers.get(server.server_id)
        if server.state == "gone":
            if record is None:
                # Only instances that have a record of the server need its
                # tombstone.
                return []
        elif record is None and not self._is_monitored(server):
            return []
        self._leaves.expect_announcements(server, now)
        if not self.directory.servers.update(server.server_id, server, now):
            return []
        kept = self.directory.servers.get(server.server_id) or server
        if not received_announcements.is_newer(kept, server):
            self.directory.record_cold(server, now)
        if server.state == "gone":
            self._renew(server.server_id, now, monitoring.GONE_S)
        if server.state == "gone" and self._monitoring.vouch(server, now):
            # Its monitor lost it, but it still announces itself here.
            return []
        return [_changed(kept)]

    def _apply_dismissal(self, server_id: str, now: float) -> Effects:
        """Dismiss a server whose record came after it was dismissed."""
        if self.directory.servers.get(server_id) is None:
            return []
        if not self._leaves.take_dismissal(server_id, now):
            return []
        return self.dismiss(server_id, now)

    def _is_acceptable(self, instance: messages.Instance, sender: str) -> bool:
        """Return whether a received record of an instance is accepted."""
        name = instance.name
        if name == self.myself.name:
            return False
        is_alive = self._heartbeats.is_alive(name, instance.incarnation)
        return is_alive or name == sender

    def _is_monitored(self, server: messages.Server) -> bool:
        """Return whether an instance vouches for a server not known here.

        Otherwise instances would send each other the records of servers
        without a monitor forever.
        """
        monitor = server.monitor
        if not monitor or monitor == self.myself.name:
            return True
        if not self._synced:
            # The record of the monitor may come with a later datagram.
            return True
        return self.directory.instances.get(monitor) is not None

    def _record_part(self, datagram: messages.Datagram) -> None:
        if not datagram.parts:
            return
        parts = self._received_parts.setdefault(datagram.sender, set())
        parts.add(datagram.part)
        if len(parts) == datagram.parts:
            self._synced = True

    def _reply(self, datagram: messages.Datagram, now: float) -> Effects:
        address = self._sender_address(datagram)
        if address is None:
            return []
        effects: Effects = []
        if datagram.pull:
            effects.append(
                effects_module.Send(address, self._heartbeat_datagram(now))
            )
        return effects + self._reply_with_records(address, datagram, now)

    def _heartbeat_datagram(self, now: float) -> messages.Datagram:
        packed = self._heartbeats.pack(self.myself.name, self._rng, now)
        return self._builder.introduction()._replace(heartbeats=packed)

    def _reply_with_records(
        self, address: str, datagram: messages.Datagram, now: float
    ) -> Effects:
        if datagram.want:
            return self._send_all_records(address, now)
        if datagram.buckets:
            return self._anti_entropy.answer(
                address, datagram.buckets, datagram.compare, now
            )
        if datagram.digest in (
            messages.NO_DIGEST,
            self.directory.digests.combined(),
        ):
            return []
        return self._anti_entropy.ask(address)

    def _sender_address(self, datagram: messages.Datagram) -> str | None:
        for instance in datagram.instances:
            if instance.name == datagram.sender:
                return instance.gossip_address
        sender = self.directory.instances.get(datagram.sender)
        return sender.gossip_address if sender is not None else None

    def _send_all_records(self, address: str, now: float) -> Effects:
        # Limits the traffic that a peer causes by asking repeatedly.
        if (
            now - self._answered_at.get(address, -math.inf)
            < WANT_INTERVAL_S / 2
        ):
            return []
        self._answered_at[address] = now
        keys = [
            instance.name for instance in self.directory.instances.records()
        ]
        keys += [
            server.server_id for server in self.directory.servers.records()
        ]
        answers = self._builder.datagrams(
            keys[: MAX_WANT_DATAGRAMS * datagram_builder.MAX_RECORDS], now
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
        """Run one round of gossip; due each `PERIOD_S`."""
        self._anti_entropy.renew()
        me = self.myself
        self.directory.instances.renew(me.name, now, self._lease_s)
        self._heartbeats.advance(me.name, me.incarnation, now)
        effects = self._broadcasts.repeat_alarms(now) + self._check_servers(now)
        suspects = self._failure_detector.detect(now)
        effects += self._broadcasts.suspect(suspects, now)
        effects += [self._suspected(suspicion.name) for suspicion in suspects]
        effects += [
            effects_module.Changed(_key(record), record.region, "lease-ended")
            for record in self.directory.expire(now)
            if record.state != "gone"
        ]
        self._heartbeats.follow(self.directory)
        return effects + self._gossip(now)

    def _suspected(self, name: str) -> effects_module.Changed:
        record = self.directory.instances.get(name)
        region = record.region if record is not None else ""
        return effects_module.Changed(name, region, "suspected")

    def _check_servers(self, now: float) -> Effects:
        gone = self._monitoring.renew_leases(now)
        effects: Effects = [
            effects_module.Changed(server.server_id, server.region, "gone")
            for server in gone
        ]
        keys = [server.server_id for server in gone]
        return effects + self._broadcasts.alarm(keys, now)

    def _gossip(self, now: float) -> Effects:
        datagram = self._heartbeat_datagram(now)._replace(
            digest=self.directory.digests.combined(),
            pull=not self._got_heartbeats,
        )
        self._got_heartbeats = False
        effects: Effects = [
            effects_module.Send(address, datagram) for address in self._peers()
        ]
        if not self._synced and now - self._wanted_at >= WANT_INTERVAL_S:
            self._wanted_at = now
            effects += self._want()
        return effects

    def _want(self) -> Effects:
        """Ask an instance for all records and to broadcast this instance."""
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
        peers = self._peer_selector.gossip_peers()
        # After a partition in which all other instances were dropped, a seed
        # makes the two sides known to each other again.
        addresses = self._peer_selector.addresses()
        unknown_seeds = sorted(
            set(self._seeds) - {self.myself.gossip_address} - addresses
        )
        if unknown_seeds:
            peers.append(self._rng.choice(unknown_seeds))
        return peers


def _changed(server: messages.Server) -> effects_module.Changed:
    return effects_module.Changed(
        server.server_id,
        server.region,
        server.state,
        round(server.cold_left_s, 3),
    )


def _key(record: messages.Server | messages.Instance) -> str:
    return (
        record.server_id if isinstance(record, messages.Server) else record.name
    )
