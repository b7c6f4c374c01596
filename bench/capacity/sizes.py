"""The two system sizes for which docs/CAPACITY.md states costs."""

from typing import NamedTuple


class Size(NamedTuple):
    """Size of a system: its nodes, servers, load and state."""

    name: str
    nodes: int
    control_instances: int
    regions: int
    failure_domains: int
    servers: int
    client_blocks: int
    sites: int
    lookups_per_s: float
    requests_per_s: float
    changes_per_day: float
    state_bytes: int


class Budget(NamedTuple):
    """Limits that the users set for the cost of control at a node."""

    core_share: float = 0.033
    memory_mb: float = 32.0
    bytes_per_s: float = 10_000.0
    in_force_s: float = 13.0
    instances_set_aside: int = 7


TODAY = Size(
    name="today",
    nodes=12,
    control_instances=3,
    regions=3,
    failure_domains=6,
    servers=44,
    client_blocks=1_000,
    sites=3,
    lookups_per_s=200.0,
    requests_per_s=1_000.0,
    changes_per_day=10.0,
    state_bytes=4_000,
)

# The users gave the numbers of nodes, client blocks, sites, look-ups, regions,
# failure domains and changes. Servers (about 30 a site), requests (one for each
# look-up) and state (about 4 KB of rows a site) are assumptions, which the page
# states as such.
GROWN = Size(
    name="in two years",
    nodes=440,
    control_instances=7,
    regions=7,
    failure_domains=15,
    servers=2_130,
    client_blocks=4_200_000,
    sites=71,
    lookups_per_s=200_000.0,
    requests_per_s=200_000.0,
    changes_per_day=410.0,
    state_bytes=284_000,
)

BUDGET = Budget()
