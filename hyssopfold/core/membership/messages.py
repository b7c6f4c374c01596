"""Announcements of backend servers and instances, as they are spread."""

from typing import Literal
from typing import NamedTuple

State = Literal["ready", "leaving", "gone"]
InstanceState = Literal["starting", "ready", "leaving"]
Role = Literal["control", "entry"]
NO_DIGEST = -1


class Server(NamedTuple):
    """A backend server's own word about itself.

    `load` is the number of requests it says it runs; `sequence` grows with
    each announcement of an `incarnation`. `monitor` is the instance of ours
    that hears the announcements and vouches for them to the others; it says
    `gone` when they stop. `cold_left_s` is how much longer the server stays
    cold, in seconds from when it said so.
    """

    server_id: str
    pool: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    state: State
    incarnation: int
    sequence: int
    load: float
    monitor: str = ""
    cold_left_s: float = 0.0


class Instance(NamedTuple):
    """The word of one of our own processes about itself.

    `rpc_address` is where others may ask it for its revision, if anywhere.
    """

    name: str
    role: Role
    address: str
    gossip_address: str
    region: str
    failure_domain: str
    state: InstanceState
    incarnation: int
    sequence: int
    revision: int
    load: float
    rpc_address: str = ""


class Suspicion(NamedTuple):
    """No sign of life of an instance has come for long; `heartbeats` is the last."""

    name: str
    incarnation: int
    heartbeats: int


class Datagram(NamedTuple):
    """What one process tells another; `revision` is the one in force.

    `heartbeats` are signs of life of instances, packed (see `heartbeats`). `digest` is
    one hash of all that the sender knows, `buckets` a hash of each part of it
    (see `digests`); with `compare` the receiver is to answer with what it
    knows in the parts that differ. `want` asks for everything, in datagrams
    numbered `part` out of `parts`. `introduce` asks the receiver to tell the
    sender's word to all. `relay` asks it to pass the datagram on to its
    failure domain. `pull` asks for the receiver's signs of life. `suspects`
    are instances that their own failure domain no longer hears.
    """

    sender: str
    revision: int
    instances: tuple[Instance, ...]
    servers: tuple[Server, ...]
    heartbeats: bytes = b""
    digest: int = NO_DIGEST
    buckets: bytes = b""
    compare: bool = False
    want: bool = False
    part: int = 0
    parts: int = 0
    introduce: bool = False
    relay: bool = False
    pull: bool = False
    suspects: tuple[Suspicion, ...] = ()
