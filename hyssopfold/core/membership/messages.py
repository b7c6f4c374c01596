"""Records of backend servers and instances, and the datagrams of gossip."""

from typing import Literal
from typing import NamedTuple

State = Literal["ready", "leaving", "gone"]
InstanceState = Literal["starting", "ready", "leaving"]
Role = Literal["control", "entry"]
NO_DIGEST = -1


class Server(NamedTuple):
    """The announcement of a backend server, and its record in the directory.

    `load` is the number of requests that it runs, as it announced; `sequence`
    grows with each announcement of an `incarnation`. `monitor` is the name of
    the instance that receives the announcements and vouches for the server to
    the other instances; it sets the state `gone` when they stop.
    `cold_left_s` is the number of seconds that the server stays cold from the
    moment of the announcement.
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
    """The record of an instance, which only the instance itself changes.

    `rpc_address` is the address at which other instances may poll it for its
    revision, or "".
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
    """Suspicion that an instance is dead; `heartbeats` is its last count."""

    name: str
    incarnation: int
    heartbeats: int


class Datagram(NamedTuple):
    """A datagram of the gossip protocol; `revision` is the one in force.

    `heartbeats` are the heartbeats of instances, packed (see `heartbeats`).
    `digest` is one hash of all records of the sender, `buckets` a hash of
    each bucket of them (see `digests`); with `compare` the receiver is to
    answer with its records in the buckets that differ. `want` asks for all
    records; each datagram of the answer has its number `part`, from 0, and
    their count `parts`. `introduce` asks the receiver to broadcast the
    sender's record. `relay` asks it to forward the datagram to its failure
    domain. `pull` asks for the receiver's heartbeats. `suspects` are instances
    that their own failure domain suspects.
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
