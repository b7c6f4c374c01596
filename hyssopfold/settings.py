"""Settings of a process, declared with type, unit and default in one place."""

from collections.abc import Mapping
import pathlib
from typing import Any
from typing import NamedTuple

from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import serving

MIN_LEASE_S = 2.0
_LEVELS = ("debug", "info", "warning", "error")
_SECONDS = documents.number(float, 0.001, 86_400)

_COMMON = (
    documents.Field(
        "name",
        documents.string(max_length=63),
        "",
        True,
        "the name of this instance",
        help="unique name of this instance",
    ),
    documents.Field(
        "region",
        documents.string(max_length=63),
        "",
        True,
        "a region",
        help="region this instance runs in",
    ),
    documents.Field(
        "failure_domain",
        documents.string(max_length=63),
        "",
        True,
        "a failure domain",
        help="failure domain this instance runs in",
    ),
    documents.Field(
        "http_address",
        documents.address,
        "",
        True,
        "an IP number and port, IP:PORT",
        help="where callers, backend servers and operators connect",
    ),
    documents.Field(
        "log_level",
        documents.string(choices=_LEVELS),
        "info",
        help="lowest level written to the log",
    ),
    documents.Field(
        "log_decision_sample",
        documents.number(int, 1, 1_000_000),
        1,
        help="write one in this many decision lines",
    ),
    documents.Field(
        "stop_max_s",
        _SECONDS,
        3600.0,
        unit="s",
        help="longest a planned stop waits for requests in flight",
    ),
    documents.Field(
        "stop_second_signal",
        documents.string(choices=("cut", "wait")),
        "cut",
        help="whether a second SIGTERM cuts what is in flight or is ignored",
    ),
    documents.Field(
        "gossip_address",
        documents.address,
        "",
        True,
        "an IP number and port, IP:PORT",
        help="UDP address on which our processes exchange announcements",
    ),
    documents.Field(
        "gossip_seeds",
        documents.listed(documents.address),
        (),
        help="UDP addresses of some other processes of ours",
    ),
    documents.Field(
        "lease_s",
        _SECONDS,
        4.0,
        unit="s",
        help="time after which a silent server or entry is taken for gone",
    ),
    documents.Field(
        "peer_key_file",
        documents.string(max_length=4096),
        "",
        help="file with the keys our processes share, one a line: the first"
        " seals, all open; read again when it changes",
    ),
    documents.Field(
        "announce_token_file",
        documents.string(max_length=4096),
        "",
        help="file with the tokens of backend servers, one a line, each good;"
        " read again when it changes; left out, anyone may announce",
    ),
    documents.Field(
        "tls_certificate_file",
        documents.string(max_length=4096),
        "",
        help="PEM certificate chain for http_address; read again when it"
        " changes; left out, http_address speaks plain HTTP",
    ),
    documents.Field(
        "tls_key_file",
        documents.string(max_length=4096),
        "",
        help="PEM key of tls_certificate_file",
    ),
    documents.Field(
        "peer_certificate_file",
        documents.string(max_length=4096),
        "",
        help="PEM certificate for rpc connections between our processes, which"
        " then use mutual TLS; its names must hold the IP numbers",
    ),
    documents.Field(
        "peer_certificate_key_file",
        documents.string(max_length=4096),
        "",
        help="PEM key of peer_certificate_file",
    ),
    documents.Field(
        "peer_issuers_file",
        documents.string(max_length=4096),
        "",
        help="PEM certificates of who may issue peers' certificates",
    ),
    documents.Field(
        "peer_key_required",
        documents.boolean,
        True,
        help="refuse messages without a proof; false while keys are brought"
        " to one process after another",
    ),
)


class Member(NamedTuple):
    """A control instance as the settings of others name it."""

    name: str
    rpc_address: str


_MEMBER = (
    documents.Field("name", documents.string(), "", True, "a name"),
    documents.Field(
        "rpc_address", documents.address, "", True, "IP number and port"
    ),
)

_MEMBERS = documents.Field(
    "control",
    documents.listed(
        documents.record(_MEMBER, lambda values: Member(**values)), 7
    ),
    (),
    True,
    "a list of control instances, each with name and rpc_address",
    help="the control instances",
)

CONTROL_FIELDS = (
    *_COMMON,
    documents.Field(
        "rpc_address",
        documents.address,
        "",
        True,
        "an IP number and port, IP:PORT",
        help="where other processes of ours connect",
    ),
    documents.Field(
        "operators_token_file",
        documents.string(max_length=4096),
        "",
        help="file with the operators' tokens, one a line, each good; read"
        " again when it changes; left out, anyone may edit the tables",
    ),
    documents.Field(
        "data_folder",
        documents.string(max_length=4096),
        "",
        True,
        "a folder on this instance's disk",
        help="folder that holds the durable state",
    ),
    _MEMBERS,
    documents.Field(
        "round_timeout_s",
        _SECONDS,
        1.0,
        unit="s",
        help="time for a ballot to reach a majority before it is retried",
    ),
    documents.Field(
        "edit_timeout_s",
        _SECONDS,
        8.0,
        unit="s",
        help="time until an edit whose fate is open is answered `unknown`",
    ),
)

_CALLER_LIMITS = (
    documents.Field(
        "max_body_bytes",
        documents.number(int, 0, 1 << 50),
        16 * 1024**3,
        unit="bytes",
        help="largest body taken from a caller",
    ),
    documents.Field(
        "max_header_bytes",
        documents.number(int, 1024, 1 << 20),
        16_384,
        unit="bytes",
        help="largest request line and headers taken from a caller",
    ),
    documents.Field(
        "header_timeout_s",
        _SECONDS,
        10.0,
        unit="s",
        help="time for a caller to send a whole request head",
    ),
    documents.Field(
        "idle_timeout_s",
        _SECONDS,
        75.0,
        unit="s",
        help="how long a caller's connection may wait between requests",
    ),
    documents.Field(
        "stall_timeout_s",
        _SECONDS,
        60.0,
        unit="s",
        help="how long an upload or a download may make no progress",
    ),
    documents.Field(
        "max_connections",
        documents.number(int, 1, 1_000_000),
        10_000,
        help="callers' connections open at once",
    ),
    documents.Field(
        "max_connections_per_caller",
        documents.number(int, 1, 1_000_000),
        1_000,
        help="connections open at once from one address",
    ),
)

ENTRY_FIELDS = (
    *_COMMON,
    _MEMBERS,
    documents.Field(
        "rpc_address",
        documents.address,
        "",
        help="where other entries may ask for a revision that control cannot"
        " bring them; left out, this entry serves none",
    ),
    documents.Field(
        "poll_s",
        documents.number(float, 0.1, 60),
        10.0,
        unit="s",
        help="longest that a control instance holds a question for a newer"
        " revision",
    ),
    documents.Field(
        "lookup_ttl_s",
        _SECONDS,
        5.0,
        unit="s",
        help="how long callers may cache a look-up",
    ),
    *_CALLER_LIMITS,
    documents.Field(
        "region_delays_ms",
        documents.keyed(documents.number(float, 0, 10_000)),
        None,
        unit="ms",
        help="one-way delay from this entry's region to each other region",
    ),
    documents.Field(
        "client_blocks",
        documents.string(max_length=4096),
        "",
        help="file that `hyssopctl blocks build` wrote: the regions of client"
        " addresses; without it a caller's home is the region of the entry it"
        " asks",
    ),
)


class ControlSettings(NamedTuple):
    """Settings of a control instance; fields as in `CONTROL_FIELDS`."""

    name: str
    region: str
    failure_domain: str
    http_address: str
    log_level: str
    log_decision_sample: int
    stop_max_s: float
    stop_second_signal: str
    gossip_address: str
    gossip_seeds: tuple[str, ...]
    lease_s: float
    peer_key_file: str
    announce_token_file: str
    tls_certificate_file: str
    tls_key_file: str
    peer_certificate_file: str
    peer_certificate_key_file: str
    peer_issuers_file: str
    peer_key_required: bool
    rpc_address: str
    operators_token_file: str
    data_folder: str
    control: tuple[Member, ...]
    round_timeout_s: float
    edit_timeout_s: float


class EntrySettings(NamedTuple):
    """Settings of an entry; fields as in `ENTRY_FIELDS`."""

    name: str
    region: str
    failure_domain: str
    http_address: str
    log_level: str
    log_decision_sample: int
    stop_max_s: float
    stop_second_signal: str
    gossip_address: str
    gossip_seeds: tuple[str, ...]
    lease_s: float
    peer_key_file: str
    announce_token_file: str
    tls_certificate_file: str
    tls_key_file: str
    peer_certificate_file: str
    peer_certificate_key_file: str
    peer_issuers_file: str
    peer_key_required: bool
    control: tuple[Member, ...]
    rpc_address: str
    poll_s: float
    lookup_ttl_s: float
    max_body_bytes: int
    max_header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    stall_timeout_s: float
    max_connections: int
    max_connections_per_caller: int
    region_delays_ms: Mapping[str, float]
    client_blocks: str

    @property
    def limits(self) -> serving.Limits:
        """Return what one caller may take."""
        return serving.Limits(
            header_bytes=self.max_header_bytes,
            header_s=self.header_timeout_s,
            idle_s=self.idle_timeout_s,
            stall_s=self.stall_timeout_s,
            connections=self.max_connections,
            connections_per_caller=self.max_connections_per_caller,
        )


def load_control(path: str) -> ControlSettings:
    """Return the checked settings of a control instance.

    Raises:
        InvalidDocumentError: listing every fault with file and line.
    """
    reader, values = _load(path, CONTROL_FIELDS)
    _check_common(reader, values)
    addresses = {one.name: one.rpc_address for one in values["control"]}
    name, mine = values["name"], values["rpc_address"]
    if name and name not in addresses:
        _fault(reader, "control", f"a list without {name}", "this one too")
    elif mine and addresses.get(name, mine) != mine:
        allowed = f"{addresses[name]}, as under control"
        _fault(reader, "rpc_address", mine, allowed)
    reader.raise_faults()
    return ControlSettings(**values)


def load_entry(path: str) -> EntrySettings:
    """Return the checked settings of an entry.

    Raises:
        InvalidDocumentError: listing every fault with file and line.
    """
    reader, values = _load(path, ENTRY_FIELDS)
    _check_common(reader, values)
    if "control" in reader.lines and not values["control"]:
        _fault(reader, "control", "an empty list", "one member or more")
    reader.raise_faults()
    values["region_delays_ms"] = values["region_delays_ms"] or {}
    return EntrySettings(**values)


def _fault(
    reader: documents.Reader, where: str, value: str, allowed: str
) -> None:
    reader.fault_at(reader.lines.get(where, 1), where, value, allowed)


_TOGETHER = (
    ("tls_certificate_file", "tls_key_file"),
    (
        "peer_certificate_file",
        "peer_certificate_key_file",
        "peer_issuers_file",
    ),
)


def _check_common(reader: documents.Reader, values: dict[str, Any]) -> None:
    """Note faults between keys, for every daemon."""
    names = [member.name for member in values["control"]]
    addresses = [member.rpc_address for member in values["control"]]
    for kind, held in (("name", names), ("rpc_address", addresses)):
        for twice in sorted({one for one in held if held.count(one) > 1}):
            value = f"{kind} {twice} twice"
            _fault(reader, "control", value, "each member once")
    if values["http_address"] == values["rpc_address"] != "":
        allowed = "an address other than http_address"
        _fault(reader, "rpc_address", values["rpc_address"], allowed)
    for keys in _TOGETHER:
        if any(values[key] for key in keys):
            for key in keys:
                if not values[key]:
                    allowed = f"a file, as {' and '.join(keys)} go together"
                    _fault(reader, key, "(missing)", allowed)
    if values["lease_s"] < MIN_LEASE_S:
        allowed = f"{MIN_LEASE_S:g} or more: a word comes each second"
        _fault(reader, "lease_s", f"{values['lease_s']:g}", allowed)


def _load(
    path: str, fields: tuple[documents.Field, ...]
) -> tuple[documents.Reader, dict[str, Any]]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = errors.Fault(path, 1, "file", str(exc), "a readable UTF-8 file")
        raise errors.InvalidDocumentError([fault]) from exc
    reader, node = documents.compose(text, path)
    return reader, reader.mapping(node, fields, "")
