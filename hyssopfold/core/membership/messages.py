"""Announcements of backend servers and instances, as they are spread."""

from typing import Literal
from typing import NamedTuple

State = Literal["ready", "leaving", "gone"]
InstanceState = Literal["starting", "ready", "leaving"]
Role = Literal["control", "entry"]


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


class Datagram(NamedTuple):
    """What one process tells another; `revision` is the one in force.

    `beats` are signs of life of instances, packed (see `beats`). `buckets`
    are hashes of all that the sender knows, for comparison; empty in a reply.
    `want` asks for everything, in datagrams numbered `part` out of `parts`.
    `news` marks what is to be told on; what comes in answer to a question is
    known widely already.
    """

    sender: str
    revision: int
    instances: tuple[Instance, ...]
    servers: tuple[Server, ...]
    beats: bytes = b""
    buckets: tuple[int, ...] = ()
    want: bool = False
    part: int = 0
    parts: int = 0
    news: bool = False
