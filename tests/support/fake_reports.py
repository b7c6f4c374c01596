"""Instances that share crash reports over a network that loses datagrams."""

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
    """Run a blocking call in place: virtual time waits for no thread."""
    await trio.lowlevel.checkpoint()
    return call(*args)


class _Directory:
    def __init__(self, network):
        self._network = network

    def ready_entries(self):
        return self._network.names


class _Spread:
    """What crash reports need of the gossip of one instance."""

    def __init__(self, network, name):
        self._network = network
        self.myself = _Entry(name)
        self.directory = _Directory(network)
        self.inbox = None

    def subscribe(self, kind):
        self.inbox, parcels = trio.open_memory_channel(_INBOX)
        return parcels

    def live_instances(self):
        return self._network.names

    def post_all(self, names, message):
        for name in names:
            self._network.send(self.myself.name, name, message)


class Network:
    """Instances by name; `lost` is the share of the datagrams that is lost.

    Must be made and run within a trio run with a clock of its own.
    """

    def __init__(self, count, lost, seed):
        self.names = [_Entry(f"instance-{number}") for number in range(count)]
        self.reports = {}
        # Of datagrams that bring reports, not hashes alone.
        self.reported_bytes = 0
        self.cut = set()
        # Data folders of the instances that have one, by name.
        self.folders = {}
        self._running = {}
        self._lost = lost
        self._rng = random.Random(seed)
        self._spreads = {}
        self._nursery = None

    def start(self, name, nursery):
        """Start an instance, with nothing in its memory."""
        self._nursery = nursery
        spread = self._spreads[name] = _Spread(self, name)
        rng = random.Random(self._rng.random())
        data = self.folders.get(name)
        if data is None:
            made = crash_reports.CrashReports(spread, rng)
        else:
            kept = quarantine_records.QuarantineRecords(
                data, trio.current_time, run_at_once
            )
            made = crash_reports.CrashReports(
                spread, rng, kept.schedule_write, kept.load()
            )
            nursery.start_soon(self._run, name, kept.run)
        self.reports[name] = made
        nursery.start_soon(self._run, name, made.run)

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
        for one in self.names:
            self.start(one.name, nursery)

    def send(self, sender, name, message):
        """Deliver a message a little later, or not at all."""
        data = datagram_wire.encode_message(sender, message)
        assert len(data) <= datagram_wire.MAX_BYTES, len(data)
        if message.reports:
            self.reported_bytes += len(data)
        is_cut = bool({sender, name} & self.cut)
        if is_cut or self._rng.random() < self._lost:
            return
        self._nursery.start_soon(self._deliver, name, data)

    async def _deliver(self, name, data):
        await trio.sleep(self._rng.uniform(0.1, 1.0) * ONE_WAY_S)
        self._spreads[name].inbox.send_nowait(datagram_wire.decode(data))

    def crash(self, name, number, fingerprint):
        """Let an instance see that a server crashed under a request."""
        server = messages.Server(
            f"s{number}", "ledger", "10.0.0.1:80", "dar", "dar-1", 3, 330,
            "ready", 1, 1, 0.0,
        )  # fmt: skip
        self.reports[name].record_crash(server, fingerprint)

    def holding(self, fingerprint):
        """Return the instances that hold a request back."""
        return [
            name
            for name, one in self.reports.items()
            if one.is_blocked(fingerprint, "r1 0")
        ]

    def digests(self):
        """Return the hashes of what the instances know, each once."""
        return {one.table.digest for one in self.reports.values()}
