"""Run control instances in one process, over links of limited bandwidth."""

import contextlib
import random

import msgspec
import trio

from hyssopfold import errors
from hyssopfold.control import instance as control_instance
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node
from hyssopfold.transport import codec
from hyssopfold.transport import consensus_wire


class Records:
    """Records in memory, from which an instance can start again."""

    def __init__(self):
        self.durable = node.BLANK

    def save_promise(self, promised):
        """Store a promise."""
        self.durable = self.durable._replace(promised=promised)

    def save_register(self, accepted, register):
        """Store an accepted register."""
        promised = max(self.durable.promised, accepted)
        self.durable = messages.DurableState(promised, accepted, register)

    def save_observed_starts(self, observed_starts):
        """Ignore starts, since each folder is started once."""

    def save_all(self, durable):
        """Store all votes."""
        self.durable = durable


class _Client:
    """A client whose messages take time and are limited as in a real call."""

    def __init__(self, members, address):
        self._members = members
        self._address = address

    async def call(self, method, req, timeout_s):
        data = msgspec.msgpack.encode(req)
        members = self._members
        receiver = members.instances.get(self._address)
        if receiver is None or len(data) > codec.MAX_MESSAGE_BYTES:
            raise errors.PeerUnavailableError(self._address, "not received")
        members.sent_bytes += len(data)
        delay_s = members.delay_s + len(data) / members.bytes_per_s
        with trio.move_on_after(timeout_s) as scope:
            await trio.sleep(delay_s)
        if scope.cancelled_caught:
            raise errors.PeerUnavailableError(self._address, "timeout")
        ack = await receiver.deliver(codec.decode(data, method.request))
        if self._address in members.older:
            return consensus_wire.Ack(accepts_compressed=True)
        return ack


async def run_directly(call, *values):
    """Run a blocking call in this task."""
    await trio.lowlevel.checkpoint()
    call(*values)


class LocalMembers:
    """Control instances that send each other encoded messages.

    Args:
        count: Number of instances that form the cluster.
        seed: Seed of all random choices.
        bytes_per_s: Bandwidth of each link.
        delay_s: Delay of each message, in seconds.

    Attributes:
        instances: The running instances by address.
        records: Their records by address.
        older: Addresses of instances that acknowledge as an older program.
        sent_bytes: Size of all messages.
    """

    def __init__(self, count, seed=1, bytes_per_s=1e9, delay_s=0.002):
        self.bytes_per_s = bytes_per_s
        self.delay_s = delay_s
        self.addresses = [f"127.0.0.1:{n}" for n in range(1, count + 1)]
        self.instances = {}
        self.records = {}
        self.older = set()
        self.sent_bytes = 0
        self._rng = random.Random(seed)
        self._nursery = None
        self._scopes = {}

    @contextlib.asynccontextmanager
    async def running(self):
        """Run all instances."""
        async with trio.open_nursery() as self._nursery:
            for address in self.addresses:
                self.start(address)
            yield
            self._nursery.cancel_scope.cancel()

    def start(self, address, durable=node.BLANK):
        """Start an instance with a blank disk, or with votes on it."""
        number = address.rpartition(":")[2]
        incarnation = f"i{number}-{self._rng.getrandbits(32):08x}"
        member = messages.Member(address, address, incarnation)
        endpoints = [messages.Endpoint(a, a) for a in self.addresses]
        consensus_node = node.Node(
            messages.Identity(member, 1, incarnation),
            endpoints,
            durable,
            random.Random(self._rng.random()),
            round_timeout_s=0.6,
            operation_timeout_s=3.0,
            wanted_members=len(self.addresses),
        )
        self.records[address] = Records()
        self.instances[address] = control_instance.Instance(
            consensus_node,
            self.records[address],
            lambda to: _Client(self, to),
            operation_timeout_s=3.0,
            run_blocking=run_directly,
        )
        self._nursery.start_soon(self._run, address)

    async def _run(self, address):
        with trio.CancelScope() as self._scopes[address]:
            await self.instances[address].run()

    def stop(self, address):
        """Stop an instance as a kill does."""
        self._scopes.pop(address).cancel()
        del self.instances[address]

    async def wait_until(self, condition, seconds):
        """Wait until `condition()`; return whether it came true."""
        with trio.move_on_after(seconds):
            while not condition():
                await trio.sleep(0.05)
        return condition()

    def all_vote(self):
        """Return whether all instances vote and know each other's votes."""
        return all(
            instance.node.replica.is_settled
            and instance.node.replica.is_voter
            and len(instance.node.learned.members) == len(self.addresses)
            for instance in self.instances.values()
        )
