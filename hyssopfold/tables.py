"""Tables of routes, pools and organisations: parsing, checks, encoding."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import Any
from typing import NamedTuple

import msgspec
import yaml

from hyssopfold import decoding
from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import organisations as organisations_module

IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
METHODS = (*IDEMPOTENT_METHODS, "POST", "PATCH")
_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}\Z")


class Route(NamedTuple):
    """A row of the table of routes: which requests go to which pool.

    `repeatable` says whether requests may run twice; None means by method.
    `deadline_ms` is the longest time that a caller waits. Requests with a
    lower `priority` are served first. `weights` are the shares of the regions;
    an empty mapping means nearest first. `split` are the shares of several
    pools, used instead of `pool`. `attempts` is the largest number of servers
    to which one request may be sent, `latency_goal_ms` the time within which
    an answer has its full value, 0 if there is none. With `sticky`, requests
    for an object go to the servers that handled the object before. Requests go
    to `allowed_regions` only; empty means any. If there are organisations, a
    request carries the key of one, except on a `public` route.
    """

    name: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    pool: str
    repeatable: bool | None
    deadline_ms: int
    priority: int
    weights: dict[str, float]
    split: dict[str, float] = {}  # noqa: RUF012 - never changed
    attempts: int = 3
    latency_goal_ms: int = 0
    sticky: bool = False
    allowed_regions: tuple[str, ...] = ()
    public: bool = False

    def is_repeatable(self, method: str) -> bool:
        """Return whether a request of this method may safely run twice."""
        if self.repeatable is not None:
            return self.repeatable
        return method in IDEMPOTENT_METHODS


class Drains(NamedTuple):
    """Servers, failure domains and regions that operators want emptied."""

    servers: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()
    regions: tuple[str, ...] = ()


class Pool(NamedTuple):
    """A row of the table of pools: backend servers of a kind and their limits.

    `slots` and `connections` are per server. `headroom` is the share of the
    pool's slots kept free, `shift_cap` the share of the pool's traffic that
    may move in a minute, `link_cap_mbit` the capacity in Mbit/s between two
    regions each way, and `warm_up_s` the seconds until a cold server can take
    its full load. `cold_rate` is the number of requests a second that a cold
    server can take from all entries together; 0 means no limit.
    """

    name: str
    slots: int
    connections: int
    headroom: float
    shift_cap: float
    link_cap_mbit: int
    warm_up_s: float
    drains: Drains
    cold_rate: float = 0.0


# Defaults for pools that are made from another source than these tables.
DEFAULT_POOL = Pool(
    name="",
    slots=1,
    connections=330,
    headroom=0.1,
    shift_cap=0.1,
    link_cap_mbit=4000,
    warm_up_s=30.0,
    drains=Drains(),
)


class Tables(NamedTuple):
    """The tables of routes, pools and organisations, each sorted by name."""

    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[organisations_module.Organisation, ...] = ()

    def pool(self, name: str) -> Pool | None:
        """Return the pool called `name`, or None if there is none."""
        for pool in self.pools:
            if pool.name == name:
                return pool
        return None


def _name(reader: documents.Reader, node: yaml.Node, where: str) -> str:
    value = str(getattr(node, "value", ""))
    if not _NAME.match(value):
        reader.add_fault(
            node, where, "a name of lower case letters, digits, '.', '_', '-'"
        )
    return value


def _host(reader: documents.Reader, node: yaml.Node, where: str) -> str:
    value = str(getattr(node, "value", "")).lower()
    if not re.match(r"[a-z0-9*][a-z0-9.-]{0,252}\Z", value):
        reader.add_fault(node, where, "a host name, or * for any")
    return value


def _prefix(reader: documents.Reader, node: yaml.Node, where: str) -> str:
    value = str(getattr(node, "value", ""))
    if not re.match(r"/[!-~]{0,1023}\Z", value):
        reader.add_fault(node, where, "a path that begins with /")
    if value.startswith("/hyssop/"):
        reader.add_fault(
            node, where, "a path outside /hyssop/, which is reserved"
        )
    return value


_DRAINS = (
    documents.Field("servers", documents.list_of(documents.string()), ()),
    documents.Field(
        "failure_domains", documents.list_of(documents.string()), ()
    ),
    documents.Field("regions", documents.list_of(documents.string()), ()),
)

ROUTE_FIELDS = (
    documents.Field("name", _name, "", True, "a name", help="unique name"),
    documents.Field(
        "host", _host, "*", help="host of the request, or * for any"
    ),
    documents.Field(
        "path_prefix",
        _prefix,
        "/",
        help="longest prefix wins, compared with the path as sent",
    ),
    documents.Field(
        "methods",
        documents.list_of(documents.string(choices=METHODS)),
        METHODS,
        help="methods that the route takes",
    ),
    documents.Field(
        "pool", _name, "", True, "the name of a pool", help="serving pool"
    ),
    documents.Field(
        "repeatable",
        documents.boolean,
        None,
        help="whether a request may run twice; by method if omitted",
    ),
    documents.Field(
        "deadline_ms",
        documents.number(int, 1, 86_400_000),
        30_000,
        unit="ms",
        help="longest time until the answer begins",
    ),
    documents.Field(
        "priority",
        documents.number(int, 0, 9),
        5,
        help="0 is served first and refused last",
    ),
    documents.Field(
        "weights",
        documents.mapping_of(documents.number(float, 0, 1_000_000)),
        None,
        help="share of each region; nearest region first if omitted",
    ),
    documents.Field(
        "split",
        documents.mapping_of(documents.number(float, 0, 1_000_000)),
        None,
        help="share of each of several pools, `pool` among them; all go to"
        " `pool` if omitted",
    ),
    documents.Field(
        "attempts",
        documents.number(int, 1, 10),
        3,
        help="largest number of servers to which a request may be sent",
    ),
    documents.Field(
        "latency_goal_ms",
        documents.number(int, 0, 86_400_000),
        0,
        unit="ms",
        help="time within which an answer has its full value; 0 if none",
    ),
    documents.Field(
        "sticky",
        documents.boolean,
        False,
        help="requests for an object go to the servers that handled it before",
    ),
    documents.Field(
        "allowed_regions",
        documents.list_of(documents.string()),
        (),
        help="regions whose servers may serve the route; any if omitted",
    ),
    documents.Field(
        "public",
        documents.boolean,
        False,
        help="whether requests need no key of an organisation",
    ),
)

POOL_FIELDS = (
    documents.Field("name", _name, "", True, "a name", help="unique name"),
    documents.Field(
        "slots",
        documents.number(int, 1, 100_000),
        0,
        True,
        "a whole number from 1",
        help="requests a server runs at once",
    ),
    documents.Field(
        "connections",
        documents.number(int, 1, 1_000_000),
        330,
        help="connections to a server, from all entries together",
    ),
    documents.Field(
        "headroom",
        documents.number(float, 0, 0.9),
        0.1,
        unit="share",
        help="share of slots that decisions of the system keep free",
    ),
    documents.Field(
        "shift_cap",
        documents.number(float, 0.0001, 1),
        0.1,
        unit="share a minute",
        help="share of the pool's traffic that may move in a minute",
    ),
    documents.Field(
        "link_cap_mbit",
        documents.number(int, 1, 1_000_000),
        4000,
        unit="Mbit/s",
        help="traffic between two regions each way",
    ),
    documents.Field(
        "warm_up_s",
        documents.number(float, 0, 86_400),
        30.0,
        unit="s",
        help="time until a cold server can take its full load",
    ),
    documents.Field(
        "drains",
        documents.record(_DRAINS, lambda values: Drains(**values)),
        Drains(),
        help="servers, failure_domains and regions to empty",
    ),
    documents.Field(
        "cold_rate",
        documents.number(float, 0, 1_000_000),
        0.0,
        unit="requests a second",
        help="requests a cold server can take, from all entries; 0 if unlimited",
    ),
)


_TABLES = ("routes", "pools", "organisations")


def _build_route(values: Mapping[str, Any]) -> Route:
    mappings = {key: values[key] or {} for key in ("weights", "split")}
    return Route(**{**values, **mappings})


_FIELDS = (
    documents.Field(
        "routes",
        documents.list_of(documents.record(ROUTE_FIELDS, _build_route)),
        (),
    ),
    documents.Field(
        "pools",
        documents.list_of(
            documents.record(POOL_FIELDS, lambda values: Pool(**values))
        ),
        (),
    ),
    documents.Field(
        "organisations",
        documents.list_of(
            documents.record(
                organisations_module.FIELDS,
                lambda values: organisations_module.Organisation(**values),
            )
        ),
        (),
    ),
    documents.Field(
        "revision",
        documents.number(int, 0, 2**53),
        0,
        help="written by `tables get`; ignored when the tables are read",
    ),
)


def parse(text: str, source: str = "tables") -> Tables:
    """Return the validated tables of a YAML document.

    Args:
        text: The document.
        source: Name of the document for the faults.

    Raises:
        InvalidDocumentError: listing every fault with its line.
    """
    reader, node = documents.compose(text, source)
    values = reader.mapping(node, _FIELDS, "")
    rows = [values[key] for key in _TABLES]
    row_lines = {key: _row_lines(node, key) for key in _TABLES}
    for fault in row_faults(*rows):
        line = row_lines[fault.table][fault.row]
        reader.add_fault_at(line, fault.where, fault.value, fault.allowed)
    reader.raise_faults()
    return ordered(*rows)


def ordered(
    routes: Iterable[Route],
    pools: Iterable[Pool],
    organisation_rows: Iterable[organisations_module.Organisation] = (),
) -> Tables:
    """Return tables of validated rows, sorted by name."""
    return Tables(
        tuple(sorted(routes, key=lambda route: route.name)),
        tuple(sorted(pools, key=lambda pool: pool.name)),
        tuple(sorted(organisation_rows, key=lambda row: row.name)),
    )


def _row_lines(node: yaml.Node | None, key: str) -> list[int]:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == key and isinstance(
                value_node, yaml.SequenceNode
            ):
                return [row.start_mark.line + 1 for row in value_node.value]
    return []


class RowFault(NamedTuple):
    """A fault of a row in relation to the other rows.

    `key` is the faulty key, empty if the fault concerns the whole row.
    """

    table: str
    row: int
    key: str
    value: str
    allowed: str

    @property
    def where(self) -> str:
        """Return the path of the key in a document."""
        row = f"{self.table}[{self.row}]"
        return f"{row}.{self.key}" if self.key else row


def row_faults(
    routes: Sequence[Route],
    pools: Sequence[Pool],
    organisation_rows: Sequence[organisations_module.Organisation] = (),
) -> Iterator[RowFault]:
    """Yield faults between rows: duplicates, matches, missing pools, keys."""
    for organisation_fault in organisations_module.faults(organisation_rows):
        yield RowFault("organisations", *organisation_fault)
    yield from _duplicate_names("routes", [route.name for route in routes])
    yield from _duplicate_names("pools", [pool.name for pool in pools])
    pool_names = {pool.name for pool in pools}
    routes_by_match: dict[tuple[str, str, str], str] = {}
    for index, route in enumerate(routes):
        for key, value, allowed in _route_faults(route, pool_names):
            yield RowFault("routes", index, key, value, allowed)
        for method in route.methods:
            match = (route.host, route.path_prefix, method)
            if match in routes_by_match:
                allowed = f"a match other than that of {routes_by_match[match]}"
                yield RowFault("routes", index, "", " ".join(match), allowed)
            routes_by_match[match] = route.name


def _duplicate_names(table: str, names: Sequence[str]) -> Iterator[RowFault]:
    previous_names: set[str] = set()
    for index, name in enumerate(names):
        if name in previous_names:
            yield RowFault(table, index, "name", repr(name), "a unique name")
        previous_names.add(name)


def _route_faults(
    route: Route, pools: Collection[str]
) -> Iterator[tuple[str, str, str]]:
    """Yield (key, value, allowed values) for each fault of a route."""
    if not route.host:
        yield "host", "''", "a host name, or * for any"
    if route.deadline_ms < 1:
        yield "deadline_ms", str(route.deadline_ms), "1 ms or more"
    if route.pool not in pools:
        yield "pool", repr(route.pool), "the name of a row in pools"
    if route.weights and not any(route.weights.values()):
        yield "weights", "all zero", "one weight above 0"
    if route.split:
        yield from _split_faults(route, pools)


def _split_faults(
    route: Route, pools: Collection[str]
) -> Iterator[tuple[str, str, str]]:
    for name, share in route.split.items():
        if name not in pools:
            yield "split", repr(name), "the name of a row in pools"
        # This form of the comparison refuses NaN as well.
        if not share >= 0:
            yield "split", f"{share:g}", "shares of 0 or more"
    if not any(route.split.values()):
        yield "split", "all zero", "one share above 0"
    if route.pool not in route.split:
        yield "split", f"no share of {route.pool}", "a share of `pool` too"


def to_plain(tables: Tables) -> dict[str, Any]:
    """Return the tables as mappings and lists, in the format for operators.

    What only deployments with organisations use is left out of others: earlier
    releases refuse unknown keys.
    """
    plain: dict[str, Any] = {
        "routes": [_route_to_plain(route) for route in tables.routes],
        "pools": [
            {**pool._asdict(), "drains": pool.drains._asdict()}
            for pool in tables.pools
        ],
    }
    if tables.organisations:
        plain["organisations"] = [
            _without_none(row._asdict()) for row in tables.organisations
        ]
    return plain


def _route_to_plain(route: Route) -> dict[str, Any]:
    plain = _without_none(route._asdict())
    if not route.public:
        del plain["public"]
    return plain


def _without_none(values: Mapping[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in values.items() if value is not None}


def to_yaml(tables: Tables, revision: int) -> str:
    """Return a YAML document that `parse` reads back to the same tables."""
    plain = msgspec.to_builtins(to_plain(tables))
    return str(yaml.safe_dump({"revision": revision, **plain}, sort_keys=False))


def encode(tables: Tables) -> bytes:
    """Return the canonical encoding: equal tables have equal bytes."""
    return msgspec.json.encode(encodable(tables), order="deterministic")


def encodable(tables: Tables) -> tuple[Any, ...]:
    """Return the tables as they are encoded.

    Fields that only deployments with organisations use are left out where they
    have their default: releases that don't know them refuse longer rows.
    """
    routes = [
        route if route.public else tuple(route)[:-1] for route in tables.routes
    ]
    if not tables.organisations:
        return (routes, tables.pools)
    return (routes, tables.pools, tables.organisations)


def decode_routes(rows: Sequence[bytes]) -> list[Route]:
    """Return the routes of encoded rows.

    Raises:
        InvalidDocumentError: if a row doesn't encode a route.
    """
    try:
        routes = decoding.from_json(b"[" + b",".join(rows) + b"]", list[Route])
    except msgspec.DecodeError as exc:
        raise _not_canonical(exc) from exc
    # Most routes have the same methods, half of the memory of a route.
    return [
        route._replace(methods=METHODS) if route.methods == METHODS else route
        for route in routes
    ]


def decode(data: bytes) -> Tables:
    """Return the tables of a canonical encoding.

    Raises:
        InvalidDocumentError: if the bytes don't encode tables.
    """
    try:
        decoded: Tables = decoding.from_json(data, Tables)
    except msgspec.DecodeError as exc:
        raise _not_canonical(exc) from exc
    return decoded


def _not_canonical(
    exc: msgspec.DecodeError,
) -> errors.InvalidDocumentError:
    fault = errors.Fault("tables", 1, "canonical", str(exc), "tables")
    return errors.InvalidDocumentError([fault])
