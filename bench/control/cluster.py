"""A cluster of control instances in one process, over delayed loopback."""

from collections.abc import AsyncIterator
import contextlib
import functools
import random
import socket
import tempfile
from typing import Any

import trio
import trio_asyncio

from hyssopfold.control import instance as control_instance
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node as consensus_node
from hyssopfold.storage import folder
from hyssopfold.storage import records
from hyssopfold.transport import auth
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import rpc


class Traffic:
    """Counters of the messages and bytes that instances sent to each other."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0


class DelayedClient:
    """An RPC client that adds a fixed delay to each call and each answer.

    Args:
        address: IP number and port of the peer.
        connection_config: Settings of the connection.
        delay_s: One-way delay in seconds.
        traffic: Counters of the messages that are sent.
    """

    def __init__(
        self,
        address: str,
        connection_config: rpc.ConnectionConfig,
        delay_s: float,
        traffic: Traffic,
    ) -> None:
        self._client = rpc.Client(address, connection_config)
        self._delay_s = delay_s
        self._traffic = traffic

    async def call(
        self, method: rpc.Method, req: consensus_wire.Envelope, timeout_s: float
    ) -> Any:
        """Return the peer's answer, with a delay before and after the call."""
        self._traffic.messages += 1
        self._traffic.bytes += len(req.body)
        if self._delay_s:
            await trio.sleep(self._delay_s)
        answer = await self._client.call(method, req, timeout_s)
        if self._delay_s:
            await trio.sleep(self._delay_s)
        return answer


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Cluster:
    """Voting control instances and their traffic.

    Args:
        instances: The instances, all in this process.
        traffic: Counters of what they send to each other.
    """

    def __init__(
        self, instances: list[control_instance.Instance], traffic: Traffic
    ) -> None:
        self.instances = instances
        self.traffic = traffic

    async def edit(self, number: int, value: bytes) -> float:
        """Make an edit through the first instance; return its latency in s."""
        proposer = self.instances[0]
        started_at = trio.current_time()
        result = await proposer.edit(f"edit-{number}", number, value)
        if not isinstance(result, messages.EditAccepted):
            raise TypeError(f"edit {number}: {result!r}")
        return trio.current_time() - started_at


def _instance(
    name: str,
    endpoints: list[messages.Endpoint],
    path: str,
    stack: contextlib.ExitStack,
    connect: Any,
) -> control_instance.Instance:
    rng = random.Random()
    data_folder = stack.enter_context(folder.DataFolder(f"{path}/{name}"))
    member_records = records.MemberRecords(data_folder, name, rng.getrandbits)
    address = dict(endpoints)[name]
    identity, durable = member_records.open(address)
    node = consensus_node.Node(identity, endpoints, durable, rng)
    return control_instance.Instance(node, member_records, connect)


@contextlib.asynccontextmanager
async def running(count: int, delay_s: float) -> AsyncIterator[Cluster]:
    """Run a cluster that writes to disk until the block ends.

    Args:
        count: Number of instances.
        delay_s: One-way delay between any two, in seconds.
    """
    traffic = Traffic()
    connection_config = rpc.ConnectionConfig(
        auth.load("", False), random.Random(1)
    )
    connect = functools.partial(
        DelayedClient,
        connection_config=connection_config,
        delay_s=delay_s,
        traffic=traffic,
    )
    endpoints = [
        messages.Endpoint(f"control-{n}", free_address())
        for n in range(1, count + 1)
    ]
    with contextlib.ExitStack() as stack:
        path = stack.enter_context(tempfile.TemporaryDirectory())
        instances = [
            _instance(endpoint.name, endpoints, path, stack, connect)
            for endpoint in endpoints
        ]
        async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
            for endpoint, instance in zip(endpoints, instances, strict=True):
                handlers = {consensus_wire.DELIVER: instance.deliver}
                await nursery.start(
                    rpc.serve, endpoint.address, handlers, connection_config
                )
                nursery.start_soon(instance.run)
            while not all(i.register.members for i in instances):
                await trio.sleep(0.05)
            yield Cluster(instances, traffic)
            nursery.cancel_scope.cancel()
