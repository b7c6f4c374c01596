"""Steps of platform/wire.feature."""

import copy
import json
import pathlib
import shutil
import tempfile

from behave import given
from behave import then
from behave import when
from hyssop_platform import entry_api
from hyssop_platform import settings as platform_settings
from hyssop_platform import wire

from hyssopfold import announcements
from hyssopfold import errors
from hyssopfold import organisations
from hyssopfold import state

REGIONS = {"dar-1": "dar", "mwanza-1": "mwanza"}
HEARTBEAT = {
    "service": "ledger",
    "addr": "10.1.0.9:8080",
    "zone": "dar-1",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_s": 1.5,
    "sequence": 4,
    "born": 1700000000000,
}
_ROUTE = {
    "name": "r-1",
    "host": "books.example",
    "path_prefix": "/pay/",
    "kind": "unsafe",
    "timeout_s": 1.2,
    "target_latency_s": 0.3,
    "priority": 1,
    "service": "ledger",
    "attempts": 2,
    "sticky": True,
    "allowed_regions": [],
}
_SPLIT = [
    {"service": "ledger", "weight": 90},
    {"service": "catalogue", "weight": 10},
]
_SERVICE = {
    "name": "ledger",
    "health_path": "/health",
    "max_conns": 330,
    "protocol": "h1",
    "tls": False,
    "cold_start_s": 3.0,
    "cold_per_s": 9.9,
}
CONFIG = {
    "version": "00000007",
    "routes": [
        _ROUTE,
        {
            **{key: _ROUTE[key] for key in _ROUTE if key != "service"},
            "name": "r-2",
            "path_prefix": "/read/",
            "kind": "safe",
            "split": _SPLIT,
        },
    ],
    "services": [_SERVICE, {**_SERVICE, "name": "catalogue"}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
}
_TENANTS = [
    {
        "name": "press",
        "api_keys": ["k-1", "k-2"],
        "priority": 1,
        "rate_per_s": 210,
        "burst": 21,
        "allowed_regions": ["dar"],
    },
    {"name": "school", "api_keys": ["k-3"]},
]
SETTINGS = """
node_name = "front-dar-1-1"
ip = "10.1.0.35"
zone = "dar-1"
region = "dar"
port_range = [7660,7675]
seeds = ["10.1.0.37:8146","10.2.0.30:8146"]
bootstrap = false
heartbeat_s = 1.5
data_dir = "/data/x"
bounds = ["grace_s=6","retry_ratio=0.2","retry_slack=56","ttl_max_s=5"]
unheard_of = 1
[zones]
dar-1 = "dar"
[listen]
front = "10.1.0.35:8144"
readiness_addr = "10.1.0.35:8140"
directory = "10.1.0.35:8143"
control = "10.1.0.35:8146"
[limits]
cpu_share = 0.86
"""


def _parse_server(heartbeat):
    body = json.dumps(heartbeat).encode()
    return announcements.check(wire.parse_heartbeat("i-1", body, REGIONS))


@given("a platform heartbeat")
def _(context):
    context.heartbeat = HEARTBEAT


@given('a platform heartbeat in which "{field}" is {value}')
def _(context, field, value):
    context.heartbeat = {**HEARTBEAT, field: json.loads(value)}


@given('a platform heartbeat without "{field}"')
def _(context, field):
    context.heartbeat = {
        key: HEARTBEAT[key] for key in HEARTBEAT if key != field
    }


@then(
    "it announces a server with its start, sequence number and failure domain"
)
def _(context):
    server = _parse_server(context.heartbeat)
    assert server.server_id == "i-1"
    assert server.incarnation == HEARTBEAT["born"]
    assert server.sequence == HEARTBEAT["sequence"]
    assert (server.region, server.failure_domain) == ("dar", "dar-1")
    assert server.cold_left_s == HEARTBEAT["cold_left_s"]
    leaving = _parse_server({**HEARTBEAT, "state": "draining"})
    assert leaving.state == "leaving"


@then('the platform\'s body is refused for "{field}"')
def _(context, field):
    try:
        _parse_server(context.heartbeat)
    except errors.InvalidDocumentError as exc:
        message = str(exc).replace("address", "addr").replace("pool", "service")
        assert field in message, message
    else:
        raise AssertionError("the heartbeat was accepted")


@given('a platform configuration of version "{version}" on base "{base}"')
def _(context, version, base):
    body = json.dumps({**CONFIG, "version": version}).encode()
    context.platform_edit = wire.parse_put(body, base)
    context.platform_document = context.platform_edit.build(())


@then("it is an edit of version {version:d} on base {base:d}")
def _(context, version, base):
    edit = context.platform_edit
    assert (edit.version, edit.base) == (version, base)


@then("its tables have the timeouts, splits and kinds that were sent")
def _(context):
    first, second = context.platform_document.tables.routes
    assert (first.deadline_ms, first.latency_goal_ms) == (1200, 300)
    assert (first.repeatable, second.repeatable) == (False, True)
    assert (first.attempts, first.sticky) == (2, True)
    assert second.split == {"ledger": 90, "catalogue": 10}
    pool = context.platform_document.tables.pools[0]
    assert (pool.cold_rate, pool.warm_up_s, pool.connections) == (9.9, 3, 330)


def _rendered(context, version):
    document = context.platform_document
    current = state.State(document.tables, (), version, document.rows)
    # Instances replicate the encoded state, so encoding must lose nothing.
    return json.loads(wire.render(state.decode(state.encode(current))))


@then("it is returned as it was sent")
def _(context):
    sent = getattr(context, "platform_config", CONFIG)
    assert _rendered(context, 7) == sent


_ROUTE_DEFECTS = {
    "first route names an unknown service": ("service", "nobody"),
    "first timeout is 0": ("timeout_s", 0),
    "first host is empty": ("host", ""),
    "first kind is unknown": ("kind", "perhaps"),
}


_TENANT_DEFECTS = {
    "tenants share a key": (1, "api_keys", ["k-3", "k-2"]),
    "first tenant has a negative rate": (0, "rate_per_s", -1),
    "tenants have the same name": (1, "name", "press"),
}


@given("a platform configuration with tenants")
def _(context):
    context.platform_config = {**CONFIG, "tenants": _TENANTS}
    body = json.dumps(context.platform_config).encode()
    context.platform_document = wire.parse_put(body, "00000005").build(())


@then("its tables have the organisations that were sent")
def _(context):
    document = context.platform_document
    assert document.tables.organisations == (
        organisations.Organisation(
            "press", ("k-1", "k-2"), 210.0, 21.0, 1, ("dar",)
        ),
        organisations.Organisation("school", ("k-3",)),
    ), [tuple(row) for row in document.tables.organisations]


@then("the refusal does not contain the key")
def _(context):
    try:
        wire.parse_put(context.platform_body, "00000005").build(())
    except errors.InvalidDocumentError as exc:
        text = " ".join([str(exc), *map(str, exc.faults)])
        assert "k-2" not in text, text
        return
    raise AssertionError("the configuration was accepted")


@when('a platform patch gives tenant "{name}" the keys "{keys}" only')
def _(context, name, keys):
    rows = context.platform_document.rows
    patch = {
        "version": "00000009",
        "upsert": {"tenants": [{"name": name, "api_keys": keys.split(",")}]},
    }
    edit = wire.parse_patch(json.dumps(patch).encode(), "00000007")
    context.platform_patched = edit.build(rows)


@then('the organisation "{name}" has the keys "{keys}"')
def _(context, name, keys):
    rows = context.platform_patched.tables.organisations
    assert {row.name: row.keys for row in rows}[name] == tuple(keys.split(","))


@given("a platform configuration whose {defect}")
def _(context, defect):
    config = copy.deepcopy(CONFIG)
    first, second = config["routes"]
    if defect in _ROUTE_DEFECTS:
        key, value = _ROUTE_DEFECTS[defect]
        first[key] = value
    elif defect == "split weights add up to 0":
        second["split"] = [{**part, "weight": 0} for part in _SPLIT]
    elif defect == "split has a weight below 0":
        second["split"][1]["weight"] = -1
    elif defect == "first two routes match the same":
        second["path_prefix"] = first["path_prefix"]
    elif defect == "version is not a number":
        config["version"] = "seven"
    elif defect in _TENANT_DEFECTS:
        config["tenants"] = copy.deepcopy(_TENANTS)
        index, key, value = _TENANT_DEFECTS[defect]
        config["tenants"][index][key] = value
    context.platform_body = json.dumps(config).encode()
    if defect == "text is truncated":
        context.platform_body = context.platform_body[:-20]


@then("the platform's configuration is refused")
def _(context):
    try:
        wire.parse_put(context.platform_body, "00000005").build(())
    except errors.InvalidDocumentError:
        return
    raise AssertionError("the configuration was accepted")


@when(
    'a platform patch replaces route "{changed}" and removes route "{removed}"'
)
def _(context, changed, removed):
    route = {**CONFIG["routes"][1], "name": changed, "timeout_s": 0.5}
    patch = {
        "version": "00000009",
        "upsert": {"routes": [route]},
        "remove": {"routes": [removed]},
    }
    edit = wire.parse_patch(json.dumps(patch).encode(), "00000007")
    context.platform_document = edit.build(context.platform_document.rows)


@then('the patched document contains "{changed}" changed and not "{removed}"')
def _(context, changed, removed):
    (route,) = context.platform_document.tables.routes
    assert (route.name, route.deadline_ms) == (changed, 500), route
    body = _rendered(context, 9)
    assert [row["name"] for row in body["routes"]] == [changed]
    assert body["services"] == CONFIG["services"]
    assert body["limits"] == CONFIG["limits"]


def _write_settings(context, text):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.boot = pathlib.Path(folder) / "boot.toml"
    context.boot.write_text(text, encoding="utf-8")


@given("a settings file of the platform")
def _(context):
    _write_settings(context, SETTINGS)


@given('a settings file of the platform with the bounds "{bounds}"')
def _(context, bounds):
    lines = [
        f"bounds = {json.dumps(bounds.split(', '))}"
        if line.startswith("bounds =")
        else line
        for line in SETTINGS.splitlines()
    ]
    _write_settings(context, "\n".join(lines))


@then(
    "keys are valid for {age:d} s without control, and the slack is {slack:d}"
)
def _(context, age, slack):
    cfg = platform_settings.load_entry(str(context.boot))
    assert (cfg.max_key_age_s, cfg.limit_slack) == (age, slack)


@given('a settings file of the platform without "{field}"')
def _(context, field):
    lines = SETTINGS.splitlines()
    kept = [line for line in lines if not line.startswith(f"{field} =")]
    _write_settings(context, "\n".join(kept))


@then("an entry's settings have its addresses, seeds and bounds")
def _(context):
    cfg = platform_settings.load_entry(str(context.boot))
    assert cfg.http_address == "10.1.0.35:8144"
    assert cfg.lookup_address == "10.1.0.35:8143"
    assert cfg.probe_address == "10.1.0.35:8140"
    assert cfg.control_seeds == ("10.1.0.37:7675", "10.2.0.30:7675")
    assert cfg.gossip_seeds == ("10.1.0.37:7660", "10.2.0.30:7660")
    assert cfg.stop_serve_s < cfg.stop_max_s < 6
    assert (cfg.retry_share, cfg.shared_retry_reserve) == (0.1, 28)
    # The cost of the log lines is one per cent of the 0.86 cores.
    assert cfg.log_lines_per_s == 172


@then("a control instance forms a cluster only at the first start")
def _(context):
    cfg = platform_settings.load_control(str(context.boot))
    assert not cfg.first_start
    assert cfg.data_folder == "/data/x"


@then("a control instance's stop outlasts an order, and ends before the kill")
def _(context):
    cfg = platform_settings.load_control(str(context.boot))
    boot = platform_settings.load_boot(str(context.boot))
    assert cfg.edit_timeout_s < cfg.stop_max_s < boot.bound("grace_s", 6.0)


@then('the platform\'s settings are refused, naming "{field}"')
def _(context, field):
    try:
        platform_settings.load_entry(str(context.boot))
    except errors.InvalidDocumentError as exc:
        assert field in str(exc), exc
        return
    raise AssertionError("the settings were accepted")


@when(
    'a platform server answers with the headers "{load_line}" and "{limit_line}"'
)
def _(context, load_line, limit_line):
    lines = [line.encode().split(b": ") for line in (load_line, limit_line)]
    headers = {name.lower(): value for name, value in lines}
    context.rate_limit = entry_api.DIALECT.parse_rate_limit(headers)
    context.load = entry_api.DIALECT.parse_load(headers)


@then(
    "the answer's rate limit is {rate:g}, and its load {running:d} of {slots:d} slots"
)
def _(context, rate, running, slots):
    assert context.rate_limit == rate, context.rate_limit
    assert (context.load.running, context.load.slots) == (running, slots)
