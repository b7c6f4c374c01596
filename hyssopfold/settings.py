"""Settings of a process: their types and the checks of settings files.

`setting_fields` declares units, defaults and help texts.
"""

from collections.abc import Mapping
import pathlib
from typing import Any
from typing import NamedTuple

from hyssopfold import documents
from hyssopfold import errors
from hyssopfold import serving
from hyssopfold import setting_fields

MIN_LEASE_S = 2.0


class ControlSettings(NamedTuple):
    """Settings of a control instance; see `setting_fields`."""

    name: str
    region: str
    failure_domain: str
    http_address: str
    log_level: str
    log_decision_sample: int
    log_lines_per_s: float
    metrics_address: str
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
    control: tuple[setting_fields.Member, ...]
    control_seeds: tuple[str, ...]
    first_start: bool
    form_without_s: float
    voters: int
    round_timeout_s: float
    edit_timeout_s: float


class EntrySettings(NamedTuple):
    """Settings of an entry; see `setting_fields`."""

    name: str
    region: str
    failure_domain: str
    http_address: str
    log_level: str
    log_decision_sample: int
    log_lines_per_s: float
    metrics_address: str
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
    control: tuple[setting_fields.Member, ...]
    control_seeds: tuple[str, ...]
    lookup_address: str
    probe_address: str
    placement: str
    stop_serve_s: float | None
    proven_connection_s: float
    connect_timeout_s: float
    retry_share: float
    shared_retry_reserve: float
    limit_slack: float
    max_key_age_s: float
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
        """Return the limits on callers' connections and requests."""
        return serving.Limits(
            max_header_bytes=self.max_header_bytes,
            header_timeout_s=self.header_timeout_s,
            idle_timeout_s=self.idle_timeout_s,
            stall_timeout_s=self.stall_timeout_s,
            max_connections=self.max_connections,
            max_connections_per_caller=self.max_connections_per_caller,
        )


def load_control(path: str) -> ControlSettings:
    """Load and check the settings of a control instance.

    Args:
        path: YAML file.

    Raises:
        InvalidDocumentError: listing every fault with file and line.
    """
    return parse_control(_read(path), path)


def parse_control(text: str, source: str) -> ControlSettings:
    """Parse and check the settings of a control instance.

    Args:
        text: YAML text.
        source: Name of the text in faults.

    Raises:
        InvalidDocumentError: listing every fault with its line.
    """
    reader, values = _parse(text, source, setting_fields.CONTROL_FIELDS)
    _check_common(reader, values)
    addresses = {
        member.name: member.rpc_address for member in values["control"]
    }
    name, rpc_address = values["name"], values["rpc_address"]
    if addresses and name and name not in addresses:
        _add_fault(
            reader, "control", f"a list without {name}", "this instance too"
        )
    elif rpc_address and addresses.get(name, rpc_address) != rpc_address:
        allowed = f"{addresses[name]}, as under control"
        _add_fault(reader, "rpc_address", rpc_address, allowed)
    reader.raise_faults()
    return ControlSettings(**values)


def load_entry(path: str) -> EntrySettings:
    """Load and check the settings of an entry.

    Args:
        path: YAML file.

    Raises:
        InvalidDocumentError: listing every fault with file and line.
    """
    return parse_entry(_read(path), path)


def parse_entry(text: str, source: str) -> EntrySettings:
    """Parse and check the settings of an entry.

    Args:
        text: YAML text.
        source: Name of the text in faults.

    Raises:
        InvalidDocumentError: listing every fault with its line.
    """
    reader, values = _parse(text, source, setting_fields.ENTRY_FIELDS)
    _check_common(reader, values)
    reader.raise_faults()
    values["region_delays_ms"] = values["region_delays_ms"] or {}
    return EntrySettings(**values)


def _add_fault(
    reader: documents.Reader, where: str, value: str, allowed: str
) -> None:
    reader.add_fault_at(reader.lines.get(where, 1), where, value, allowed)


_KEYS_SET_TOGETHER = (
    ("tls_certificate_file", "tls_key_file"),
    (
        "peer_certificate_file",
        "peer_certificate_key_file",
        "peer_issuers_file",
    ),
)


def _check_common(reader: documents.Reader, values: dict[str, Any]) -> None:
    """Check keys that both daemons have; record faults in `reader`."""
    if bool(values["control"]) == bool(values["control_seeds"]):
        given = "both" if values["control"] else "neither is given"
        allowed = "the members under control, or control_seeds"
        _add_fault(reader, "control", given, allowed)
    names = [member.name for member in values["control"]]
    addresses = [member.rpc_address for member in values["control"]]
    for field, values_of_key in (("name", names), ("rpc_address", addresses)):
        for duplicate in sorted(
            {item for item in values_of_key if values_of_key.count(item) > 1}
        ):
            value = f"{field} {duplicate} twice"
            _add_fault(reader, "control", value, "each member once")
    if values["http_address"] == values["rpc_address"] != "":
        allowed = "an address other than http_address"
        _add_fault(reader, "rpc_address", values["rpc_address"], allowed)
    for keys in _KEYS_SET_TOGETHER:
        if any(values[key] for key in keys):
            for key in keys:
                if not values[key]:
                    allowed = f"a file, as {' and '.join(keys)} go together"
                    _add_fault(reader, key, "(missing)", allowed)
    if values["lease_s"] < MIN_LEASE_S:
        allowed = (
            f"{MIN_LEASE_S:g} or more: announcements are sent once a second"
        )
        _add_fault(reader, "lease_s", f"{values['lease_s']:g}", allowed)


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = errors.Fault(path, 1, "file", str(exc), "a readable UTF-8 file")
        raise errors.InvalidDocumentError([fault]) from exc


def _parse(
    text: str, source: str, fields: tuple[documents.Field, ...]
) -> tuple[documents.Reader, dict[str, Any]]:
    reader, node = documents.compose(text, source)
    return reader, reader.mapping(node, fields, "")
