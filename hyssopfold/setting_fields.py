"""Keys of the settings files: type, unit, default and what they are for."""

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
        "log_lines_per_s",
        documents.number(float, 1, 1_000_000),
        400.0,
        unit="lines a second",
        help="most log lines that are written; failures go before successes,"
        " and what is left out is counted. A line costs some 50 us: 400 are"
        " 2 % of a core",
    ),
    documents.Field(
        "metrics_address",
        documents.address,
        "",
        help="where metrics and status are served beside http_address",
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
        "an IP address and port, IP:PORT",
        help="UDP address on which our processes exchange announcements",
    ),
    documents.Field(
        "gossip_seeds",
        documents.list_of(documents.address),
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
    " where `control_seeds` are given",
)
_CONTROL_SEEDS = documents.Field(
    "control_seeds",
    documents.list_of(documents.address, 7),
    (),
    help="rpc addresses of some control instances, in place of `control`:"
    " the instances then find each other and let newcomers vote by themselves",
)

CONTROL_FIELDS = (
    *_COMMON,
    documents.Field(
        "rpc_address",
        documents.address,
        "",
        True,
        "an IP address and port, IP:PORT",
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
    _CONTROL_SEEDS,
    documents.Field(
        "first_start",
        documents.boolean,
        True,
        help="whether this is the first start of the whole system: only then"
        " do blank control instances form a cluster",
    ),
    documents.Field(
        "voters",
        documents.number(int, 1, 7),
        5,
        help="how many control instances vote where `control_seeds` are"
        " given; 5 bear the loss of two",
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
    _CONTROL_SEEDS,
    documents.Field(
        "lookup_address",
        documents.address,
        "",
        help="where look-ups are answered beside http_address",
    ),
    documents.Field(
        "probe_address",
        documents.address,
        "",
        help="where probes, status and metrics are answered beside"
        " http_address",
    ),
    documents.Field(
        "placement",
        documents.string(choices=("granted", "local")),
        "granted",
        help="`granted`: one entry of a region grants the slots of a pool to"
        " all; `local`: each entry chooses by itself, by who handled an object"
        " lately and by the load that servers tell",
    ),
    documents.Field(
        "stop_serve_s",
        _SECONDS,
        None,
        unit="s",
        help="how long a planned stop goes on taking new requests; left out,"
        " until every look-up that may name this entry has expired",
    ),
    documents.Field(
        "proven_connection_s",
        documents.number(float, 0, 60),
        0.0,
        unit="s",
        help="for so long after a whole answer a connection to a server is"
        " taken for alive, and carries what may not run twice; with 0 that"
        " gets a new connection each time",
    ),
    documents.Field(
        "connect_timeout_s",
        _SECONDS,
        2.0,
        unit="s",
        help="how long a new connection to a server may take; less than the"
        " shortest deadline, so that another server can be tried, and more"
        " than a round trip between the regions that lie furthest apart",
    ),
    documents.Field(
        "retry_share",
        documents.number(float, 0, 1),
        0.1,
        unit="share",
        help="retries for each request of a pool",
    ),
    documents.Field(
        "shared_retry_reserve",
        documents.number(float, 0, 1_000_000),
        0.0,
        help="retries of a pool that all entries together may save up; with 0"
        " each entry saves up 10 of its own",
    ),
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
        documents.mapping_of(documents.number(float, 0, 10_000)),
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
