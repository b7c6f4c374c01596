"""Instances that share crash reports over a network that loses datagrams."""

import random
from typing import NamedTuple

import trio

from hyssopfold.control import quarantine_records
from hyssopfold.core.membership import messages
from hyssopfold.transport import crash_reports
from hyssopfold.transport import datagram_wire

ONE_WAY_S = 0.055
_MAX_INBOX_MESSAGES = 10_000


class _Entry(NamedTuple):
    name: str


async def run_at_once(call, *args):
    """Run a blocking call in this task, since virtual time ignores threads."""
    await trio.lowlevel.checkpoint()
    return call(*args)


class _Directory:
    def __init__(self, network):
        self._network = network

    def ready_entries(self):
        return self._network.instances


class _FakeGossip:
    """The part of an instance's gossip that crash reports use."""

    def __init__(self, network, name):
        self._network = network
        self.myself = _Entry(name)
        self.directory = _Directory(network)
        self.inbox = None

    def subscribe(self, kind):
        self.inbox, received_messages = trio.open_memory_channel(
            _MAX_INBOX_MESSAGES
        )
        return received_messages

    def live_instances(self):
        return self._network.instances

    def post_all(self, names, message):
        for name in names:
            self._network.send(self.myself.name, name, message)


class Network:
    """Instances that exchange crash reports over a lossy network.

    Must be created and run within a trio run with a clock of its own.

    Args:
        count: Number of instances.
        lost: Share of the datagrams that is lost.
        seed: Seed of the network and the instances.
    """

    def __init__(self, count, lost, seed):
        self.instances = [
            _Entry(f"instance-{number}") for number in range(count)
        ]
        self.reports = {}
        # Size of the datagrams that contain reports, not only digests.
        self.reported_bytes = 0
        # Names of the instances that lose all datagrams.
        self.partitioned = set()
        # Data folders of the instances that have one, by name.
        self.folders = {}
        self._running = {}
        self._lost = lost
        self._rng = random.Random(seed)
        self._gossip_services = {}
        self._nursery = None

    def start(self, name, nursery):
        """Start an instance with empty memory."""
        self._nursery = nursery
        gossip_service = self._gossip_services[name] = _FakeGossip(self, name)
        rng = random.Random(self._rng.random())
        data = self.folders.get(name)
        if data is None:
            reports = crash_reports.CrashReports(gossip_service, rng)
        else:
            records = quarantine_records.QuarantineRecords(
                data, trio.current_time, run_at_once
            )
            reports = crash_reports.CrashReports(
                gossip_service, rng, records.schedule_write, records.load()
            )
            nursery.start_soon(self._run, name, records.run)
        self.reports[name] = reports
        nursery.start_soon(self._run, name, reports.run)

    async def _run(self, name, task):
        with trio.CancelScope() as scope:
            self._running.setdefault(name, []).append(scope)
            await task()

    def kill_all(self):
        """End all instances at the same moment."""
        for scopes in self._running.values():
            for scope in scopes:
                scope.cancel()
        self._running.clear()
        self.reports.clear()

    def start_all(self, nursery):
        """Start all instances."""
        for instance in self.instances:
            self.start(instance.name, nursery)

    def send(self, sender, name, message):
        """Deliver a message after a random delay, unless it is lost."""
        data = datagram_wire.encode_message(sender, message)
        assert len(data) <= datagram_wire.MAX_BYTES, len(data)
        if message.reports:
            self.reported_bytes += len(data)
        is_partitioned = bool({sender, name} & self.partitioned)
        if is_partitioned or self._rng.random() < self._lost:
            return
        self._nursery.start_soon(self._deliver, name, data)

    async def _deliver(self, name, data):
        await trio.sleep(self._rng.uniform(0.1, 1.0) * ONE_WAY_S)
        self._gossip_services[name].inbox.send_nowait(
            datagram_wire.decode(data)
        )

    def crash(self, name, number, fingerprint):
        """Make an instance record that a server crashed under a request."""
        server = messages.Server(
            f"s{number}", "ledger", "10.0.0.1:80", "dar", "dar-1", 3, 330,
            "ready", 1, 1, 0.0,
        )  # fmt: skip
        self.reports[name].record_crash(server, fingerprint)

    def blocking(self, fingerprint):
        """Return the names of the instances that block a request."""
        return [
            name
            for name, reports in self.reports.items()
            if reports.is_blocked(fingerprint, "r1 0")
        ]

    def digests(self):
        """Return the distinct digests of the instances."""
        return {reports.table.digest for reports in self.reports.values()}
