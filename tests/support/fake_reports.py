"""Instances that exchange crash reports over a network that loses datagrams."""

import random
from typing import NamedTuple

import trio

from hyssopfold.control import quarantine_records
from hyssopfold.core.membership import messages
from hyssopfold.transport import crash_reports
from hyssopfold.transport import datagram_wire

ONE_WAY_S = 0.055
_INBOX = 10_000


class _Entry(NamedTuple):
    name: str


async def run_at_once(call, *args):
    """Run a blocking call in this thread.

    Virtual time would not wait for a call in another thread.
    """
    await trio.lowlevel.checkpoint()
    return call(*args)


class _Directory:
    def __init__(self, network):
        self._network = network

    def ready_entries(self):
        return self._network.instances


class _FakeGossip:
    """The part of one instance's gossip that crash reports use."""

    def __init__(self, network, name):
        self._network = network
        self.myself = _Entry(name)
        self.directory = _Directory(network)
        self.inbox = None

    def subscribe(self, kind):
        self.inbox, received_messages = trio.open_memory_channel(_INBOX)
        return received_messages

    def live_instances(self):
        return self._network.instances

    def post_all(self, names, message):
        for name in names:
            self._network.send(self.myself.name, name, message)


class Network:
    """A network of instances with crash reports.

    Must be created and run within a trio run with a clock of its own.

    Args:
        count: Number of instances.
        loss: Share of the datagrams that are lost, from 0 to 1.
        seed: Seed of all random choices.

    Attributes:
        instances: All instances.
        reports: Crash reports of the running instances, by name.
        reported_bytes: Bytes of the datagrams that contain reports, and not
            only hashes.
        cut: Names of instances that neither send nor receive.
        folders: Data folders of the instances that have one, by name.
    """

    def __init__(self, count, loss, seed):
        self.instances = [
            _Entry(f"instance-{number}") for number in range(count)
        ]
        self.reports = {}
        self.reported_bytes = 0
        self.cut = set()
        self.folders = {}
        self._running = {}
        self._loss = loss
        self._rng = random.Random(seed)
        self._gossip_services = {}
        self._nursery = None

    def start(self, name, nursery):
        """Start an instance with an empty memory."""
        self._nursery = nursery
        gossip_service = self._gossip_services[name] = _FakeGossip(self, name)
        rng = random.Random(self._rng.random())
        data = self.folders.get(name)
        if data is None:
            instance_reports = crash_reports.CrashReports(gossip_service, rng)
        else:
            records = quarantine_records.QuarantineRecords(
                data, trio.current_time, run_at_once
            )
            instance_reports = crash_reports.CrashReports(
                gossip_service, rng, records.note, records.load()
            )
            nursery.start_soon(self._run, name, records.run)
        self.reports[name] = instance_reports
        nursery.start_soon(self._run, name, instance_reports.run)

    async def _run(self, name, task):
        with trio.CancelScope() as scope:
            self._running.setdefault(name, []).append(scope)
            await task()

    def kill_all(self):
        """End all instances at the same time."""
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
        """Deliver a message after a delay, unless it is lost."""
        data = datagram_wire.encode_message(sender, message)
        assert len(data) <= datagram_wire.MAX_BYTES, len(data)
        if message.reports:
            self.reported_bytes += len(data)
        is_cut = bool({sender, name} & self.cut)
        if is_cut or self._rng.random() < self._loss:
            return
        self._nursery.start_soon(self._deliver, name, data)

    async def _deliver(self, name, data):
        await trio.sleep(self._rng.uniform(0.1, 1.0) * ONE_WAY_S)
        self._gossip_services[name].inbox.send_nowait(
            datagram_wire.decode(data)
        )

    def crash(self, name, number, fingerprint):
        """Let an instance detect that a server crashed during a request."""
        server = messages.Server(
            f"s{number}", "ledger", "10.0.0.1:80", "dar", "dar-1", 3, 330,
            "ready", 1, 1, 0.0,
        )  # fmt: skip
        self.reports[name].crashed(server, fingerprint)

    def blocking_instances(self, fingerprint):
        """Return the names of the instances that quarantine a request."""
        return [
            name
            for name, instance_reports in self.reports.items()
            if instance_reports.holds(fingerprint, "r1 0")
        ]

    def digests(self):
        """Return the set of the hashes of the instances' reports."""
        return {
            instance_reports.table.digest
            for instance_reports in self.reports.values()
        }
