"""Keys of the settings files: type, unit, default and help text."""

from typing import NamedTuple

from hyssopfold import documents

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
        "an IP address and port, IP:PORT",
        help="address to which callers, backend servers and operators connect",
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
        help="write one in this many decision events to the log",
    ),
    documents.Field(
        "log_lines_per_s",
        documents.number(float, 1, 1_000_000),
        400.0,
        unit="lines a second",
        help="largest number of log lines to write; failed requests are written"
        " before successful ones, and dropped lines are counted. A line costs"
        " about 50 us of CPU time, so 400 take 2 % of a core",
    ),
    documents.Field(
        "metrics_address",
        documents.address,
        "",
        help="address that serves metrics and status in addition to"
        " http_address",
    ),
    documents.Field(
        "stop_max_s",
        _SECONDS,
        3600.0,
        unit="s",
        help="longest time that a planned stop waits for requests in flight",
    ),
    documents.Field(
        "stop_second_signal",
        documents.string(choices=("cut", "wait")),
        "cut",
        help="whether a second SIGTERM cuts requests in flight or is ignored",
    ),
    documents.Field(
        "gossip_address",
        documents.address,
        "",
        True,
        "an IP address and port, IP:PORT",
        help="UDP address on which instances exchange announcements",
    ),
    documents.Field(
        "gossip_seeds",
        documents.list_of(documents.address),
        (),
        help="UDP addresses of some other instances",
    ),
    documents.Field(
        "lease_s",
        _SECONDS,
        4.0,
        unit="s",
        help="time without announcements after which a server or entry is"
        " removed",
    ),
    documents.Field(
        "peer_key_file",
        documents.string(max_length=4096),
        "",
        help="file with the keys that all instances share, one per line:"
        " messages are signed with the first and accepted with any; read again"
        " when it changes",
    ),
    documents.Field(
        "announce_token_file",
        documents.string(max_length=4096),
        "",
        help="file with the valid tokens of backend servers, one per line; read"
        " again when it changes; left out, anyone may announce",
    ),
    documents.Field(
        "tls_certificate_file",
        documents.string(max_length=4096),
        "",
        help="PEM certificate chain for http_address; read again when it"
        " changes; left out, http_address serves plain HTTP",
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
        help="PEM certificate for rpc connections between instances, which then"
        " use mutual TLS; its subject names must include the IP addresses",
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
        help="PEM certificates of the CAs that may issue peers' certificates",
    ),
    documents.Field(
        "peer_key_required",
        documents.boolean,
        True,
        help="refuse messages without a signature; false while keys are rolled"
        " out to the instances",
    ),
)


class Member(NamedTuple):
    """A control instance as listed in the settings under `control`."""

    name: str
    rpc_address: str


_MEMBER = (
    documents.Field("name", documents.string(), "", True, "a name"),
    documents.Field(
        "rpc_address", documents.address, "", True, "IP address and port"
    ),
)

_MEMBERS = documents.Field(
    "control",
    documents.list_of(
        documents.record(_MEMBER, lambda values: Member(**values)), 7
    ),
    (),
    help="the control instances, each with name and rpc_address; left out"
    " if `control_seeds` is given",
)
_CONTROL_SEEDS = documents.Field(
    "control_seeds",
    documents.list_of(documents.address, 7),
    (),
    help="rpc addresses of some control instances, in place of `control`: the"
    " instances then discover each other and add new ones as voters on their"
    " own",
)

CONTROL_FIELDS = (
    *_COMMON,
    documents.Field(
        "rpc_address",
        documents.address,
        "",
        True,
        "an IP address and port, IP:PORT",
        help="address to which other instances connect",
    ),
    documents.Field(
        "operators_token_file",
        documents.string(max_length=4096),
        "",
        help="file with the operators' valid tokens, one per line; read again"
        " when it changes; left out, anyone may edit the tables",
    ),
    documents.Field(
        "data_folder",
        documents.string(max_length=4096),
        "",
        True,
        "a folder on this instance's disk",
        help="folder of the durable state",
    ),
    _MEMBERS,
    _CONTROL_SEEDS,
    documents.Field(
        "first_start",
        documents.boolean,
        True,
        help="whether this is the first start of the whole system: only then do"
        " control instances without state form a cluster",
    ),
    documents.Field(
        "form_without_s",
        documents.number(float, 0.0, 3600.0),
        0.0,
        unit="s",
        help="time after which a majority of the control instances in the"
        " settings forms the cluster without the others, which may be lost; if"
        " 0, all are waited for. Only for an environment that sets"
        " `first_start` itself, and only once",
    ),
    documents.Field(
        "voters",
        documents.number(int, 1, 7),
        5,
        help="number of voting control instances if `control_seeds` is given; 5"
        " tolerate the loss of two",
    ),
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
        help="time until an edit whose outcome is open is answered `unknown`",
    ),
)

_CALLER_LIMITS = (
    documents.Field(
        "max_body_bytes",
        documents.number(int, 0, 1 << 50),
        16 * 1024**3,
        unit="bytes",
        help="largest request body accepted from a caller",
    ),
    documents.Field(
        "max_header_bytes",
        documents.number(int, 1024, 1 << 20),
        16_384,
        unit="bytes",
        help="largest request line and headers accepted from a caller",
    ),
    documents.Field(
        "header_timeout_s",
        _SECONDS,
        10.0,
        unit="s",
        help="longest time for a caller to send a whole request head",
    ),
    documents.Field(
        "idle_timeout_s",
        _SECONDS,
        75.0,
        unit="s",
        help="longest time that a caller's connection may be idle between"
        " requests",
    ),
    documents.Field(
        "stall_timeout_s",
        _SECONDS,
        60.0,
        unit="s",
        help="longest time that an upload or a download may make no progress",
    ),
    documents.Field(
        "max_connections",
        documents.number(int, 1, 1_000_000),
        10_000,
        help="largest number of open connections from callers",
    ),
    documents.Field(
        "max_connections_per_caller",
        documents.number(int, 1, 1_000_000),
        1_000,
        help="largest number of open connections from one address",
    ),
)

ENTRY_FIELDS = (
    *_COMMON,
    _MEMBERS,
    _CONTROL_SEEDS,
    documents.Field(
        "lookup_address",
        documents.address,
        "",
        help="address that answers look-ups in addition to http_address",
    ),
    documents.Field(
        "probe_address",
        documents.address,
        "",
        help="address that answers probes, status and metrics in addition to"
        " http_address",
    ),
    documents.Field(
        "placement",
        documents.string(choices=("granted", "local")),
        "granted",
        help="`granted`: one entry of a region grants the slots of a pool to"
        " all; `local`: each entry chooses on its own, by which server handled"
        " an object recently and by the load that servers report",
    ),
    documents.Field(
        "stop_serve_s",
        _SECONDS,
        None,
        unit="s",
        help="how long a planned stop goes on accepting new requests, but for"
        " those whose time limit ends after the stop; left out, until every"
        " cached look-up that may name this entry has expired",
    ),
    documents.Field(
        "proven_connection_s",
        documents.number(float, 0, 60),
        0.0,
        unit="s",
        help="time after a whole answer for which a connection to a server"
        " counts as alive and is reused for requests that must not run twice;"
        " with 0 each of these gets a new connection",
    ),
    documents.Field(
        "connect_timeout_s",
        _SECONDS,
        2.0,
        unit="s",
        help="longest time to open a connection to a server; less than the"
        " shortest deadline, so that another server can be tried, and more"
        " than a round trip between the two most distant regions",
    ),
    documents.Field(
        "retry_share",
        documents.number(float, 0, 1),
        0.1,
        unit="share",
        help="retries allowed for each request of a pool",
    ),
    documents.Field(
        "shared_retry_reserve",
        documents.number(float, 0, 1_000_000),
        0.0,
        help="largest number of unused retries of a pool that all entries keep"
        " together; with 0 each entry keeps 10 of its own",
    ),
    documents.Field(
        "limit_slack",
        documents.number(float, 0, 1_000_000),
        0.0,
        unit="requests",
        help="requests that each organisation may send beyond its limit in 5 s,"
        " from all entries; half of them serve small organisations, whose"
        " requests come to ever other entries, the rest covers what is sent"
        " before entries learn that a limit is near",
    ),
    documents.Field(
        "max_key_age_s",
        documents.number(float, 0, 86_400),
        0.0,
        unit="s",
        help="keys of organisations are refused once no majority of control has"
        " confirmed the tables for this time; 0 accepts them until newer tables"
        " remove them",
    ),
    documents.Field(
        "rpc_address",
        documents.address,
        "",
        help="address at which other entries may ask for a revision if they"
        " cannot reach control, and for the traffic shares when they start;"
        " left out, this entry serves neither",
    ),
    documents.Field(
        "poll_s",
        documents.number(float, 0.1, 60),
        10.0,
        unit="s",
        help="longest time that a control instance holds a poll for a newer"
        " revision; a third of `max_key_age_s` at most, if that is set",
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
        documents.mapping_of(documents.number(float, 0, 10_000)),
        None,
        unit="ms",
        help="one-way delay from this entry's region to each other region",
    ),
    documents.Field(
        "client_blocks",
        documents.string(max_length=4096),
        "",
        help="file written by `hyssopctl blocks build`: the regions of client"
        " addresses; without it a caller's home is the region of the entry it"
        " asks",
    ),
)
