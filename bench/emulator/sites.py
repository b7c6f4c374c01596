"""Simulated deployments: regions, servers and kinds of request."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """One kind of request; times in seconds, `rate` in requests a second.

    `service_s` is the mean service time for an object that the server doesn't
    have cached. `goal_s` is the latency goal, `deadline_s` the deadline, and
    `timeout_s` the time after which a caller gives up. `objects` is the number
    of objects in each region. `worth` is the value of an answer within
    `goal_s`; a later one has a fifth of it.
    """

    name: str
    pool: str
    rate: float
    service_s: float
    goal_s: float
    deadline_s: float
    timeout_s: float
    worth: float
    priority: int
    objects: int
    repeatable: bool


class Pool(NamedTuple):
    """A pool of servers: their number by region, and the capacity of each.

    A server has `slots` slots and a cache of `cached_objects` objects. It can
    handle `cold_rate` requests a second while it is cold.
    """

    name: str
    servers: dict[str, int]
    slots: int
    cached_objects: int
    cold_rate: float


class Site(NamedTuple):
    """A simulated deployment.

    `entries` is the number of entries by region. Delays are one way, in
    seconds: from a caller to an entry, and from an entry to a server of its own
    region or of another one. `load_swing` is the relative amplitude of the
    load's periodic change.
    """

    name: str
    entries: dict[str, int]
    caller_delay_s: float
    local_delay_s: float
    remote_delay_s: float
    load_swing: float
    kinds: tuple[RequestKind, ...]
    pools: tuple[Pool, ...]


MARKET = Site(
    "market",
    {"dar": 3, "arusha": 3, "mwanza": 2},
    0.008,
    0.0005,
    0.035,
    0.55,
    (
        RequestKind("browse", "cat", 179, 0.24, 0.25, 1.2, 1.0, 1, 2, 44, True),
        RequestKind("pay", "cat", 99, 0.312, 0.3, 1.5, 1.2, 2, 1, 24, False),
        RequestKind("upload", "led", 71, 0.168, 0.2, 0.8, 1.0, 3, 0, 24, False),
        RequestKind("edit", "led", 21, 0.192, 0.2, 1.0, 1.0, 1, 2, 24, False),
    ),
    (
        Pool("cat", {"dar": 10, "arusha": 2, "mwanza": 8}, 3, 42, 9.9),
        Pool("led", {"dar": 6, "arusha": 2, "mwanza": 4}, 3, 50, 9.9),
    ),
)

SHOPS = Site(
    "shops",
    {"andina": 4, "caribe": 4, "pacifico": 4},
    0.003,
    0.0009,
    0.055,
    0.55,
    (
        RequestKind("stock", "inv", 257, 0.64, 0.5, 3.0, 2.0, 1, 2, 44, True),
        RequestKind("order", "inv", 79, 0.84, 0.6, 4.0, 2.5, 2, 1, 24, False),
        RequestKind("upload", "ped", 58, 0.44, 0.4, 2.0, 1.5, 3, 0, 24, False),
        RequestKind("history", "ped", 26, 0.52, 0.5, 2.5, 2.0, 1, 2, 24, False),
    ),
    (
        Pool("inv", {"andina": 4, "caribe": 12, "pacifico": 16}, 6, 35, 7.5),
        Pool("ped", {"andina": 2, "caribe": 4, "pacifico": 6}, 3, 50, 7.5),
    ),
)

CASTING = Site(
    "casting",
    {"dakar": 4, "thies": 4, "stlouis": 3},
    0.008,
    0.0009,
    0.012,
    0.55,
    (
        RequestKind("browse", "ann", 179, 0.88, 0.6, 4.0, 4.0, 1, 2, 44, True),
        RequestKind("book", "res", 63, 1.16, 0.8, 6.0, 1.2, 2, 1, 24, False),
        RequestKind("status", "can", 56, 2.2, 1.5, 12.0, 2.5, 1, 2, 24, True),
        RequestKind("search", "can", 49, 0.352, 0.25, 2.0, 2.0, 2, 1, 24, True),
    ),
    (
        Pool("ann", {"dakar": 2, "thies": 6, "stlouis": 6}, 9, 39, 6.8),
        Pool("res", {"dakar": 2, "thies": 4, "stlouis": 6}, 5, 25, 6.8),
        Pool("can", {"dakar": 2, "thies": 6, "stlouis": 6}, 9, 46, 6.8),
    ),
)

# The market and the shops, several times as large and with many small entries:
# each entry sends only a small part of the requests that a server receives.
LARGE_MARKET = Site(
    "large-market",
    {"dar": 27, "arusha": 25, "mwanza": 28},
    0.008,
    0.0005,
    0.035,
    0.55,
    (
        RequestKind("browse", "cat", 521, 0.576, 0.4, 2.5, 1.5, 1, 2, 80, True),
        RequestKind("pay", "cat", 289, 0.72, 0.5, 3.0, 2.0, 2, 1, 45, False),
        RequestKind(
            "upload", "led", 208, 0.394, 0.3, 1.5, 1.5, 3, 0, 32, False
        ),
        RequestKind("edit", "led", 60, 0.446, 0.3, 2.0, 1.5, 1, 2, 9, False),
    ),
    (
        Pool("cat", {"dar": 51, "arusha": 10, "mwanza": 42}, 3, 22, 5.1),
        Pool("led", {"dar": 11, "arusha": 2, "mwanza": 9}, 3, 34, 5.1),
    ),
)

LARGE_SHOPS = Site(
    "large-shops",
    {"andina": 25, "caribe": 26, "pacifico": 25},
    0.001,
    0.0014,
    0.055,
    0.55,
    (
        RequestKind("stock", "inv", 661, 1.392, 0.8, 6.0, 3.0, 1, 2, 102, True),
        RequestKind("order", "inv", 203, 1.824, 1.0, 8.0, 4.0, 2, 1, 31, False),
        RequestKind("upload", "ped", 149, 0.96, 0.6, 4.0, 2.0, 3, 0, 22, False),
        RequestKind(
            "history", "ped", 66, 1.104, 0.8, 5.0, 2.5, 1, 2, 10, False
        ),
    ),
    (
        Pool("inv", {"andina": 20, "caribe": 78, "pacifico": 94}, 6, 19, 4.1),
        Pool("ped", {"andina": 3, "caribe": 14, "pacifico": 16}, 6, 28, 4.1),
    ),
)

# The casting site, several times as large: long and short requests share a
# pool.
LARGE_CASTING = Site(
    "large-casting",
    {"dakar": 20, "thies": 21, "stlouis": 21},
    0.008,
    0.0009,
    0.012,
    0.55,
    (
        RequestKind(
            "browse", "ann", 556, 1.104, 0.64, 5.3, 1.2, 1, 2, 90, True
        ),
        RequestKind(
            "book", "res", 196, 1.392, 0.857, 6.4, 1.45, 2, 1, 40, False
        ),
        RequestKind(
            "status", "can", 174, 2.688, 1.52, 12.0, 5.0, 1, 2, 40, True
        ),
        RequestKind(
            "search", "can", 153, 0.432, 0.271, 2.1, 2.0, 2, 1, 40, True
        ),
    ),
    (
        Pool("ann", {"dakar": 7, "thies": 17, "stlouis": 17}, 9, 30, 6.8),
        Pool("res", {"dakar": 3, "thies": 7, "stlouis": 9}, 9, 30, 6.8),
        Pool("can", {"dakar": 6, "thies": 15, "stlouis": 16}, 9, 30, 6.8),
    ),
)

SITES = {
    site.name: site
    for site in (
        MARKET,
        SHOPS,
        CASTING,
        LARGE_MARKET,
        LARGE_SHOPS,
        LARGE_CASTING,
    )
}
