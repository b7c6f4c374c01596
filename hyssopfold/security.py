"""Loads the keys, tokens and certificates that a process's settings name."""

import functools
import ipaddress
import random
from typing import Any
from typing import NamedTuple

from hyssopfold import access
from hyssopfold import certificates
from hyssopfold import errors
from hyssopfold import reloading
from hyssopfold import settings
from hyssopfold.transport import auth
from hyssopfold.transport import rpc

_OPERATORS_REMEDY = "give hyssopctl the operators' token by --token-file"
_ANNOUNCERS_REMEDY = (
    "send `authorization: Bearer TOKEN` with a token of announce_token_file"
)


_FILE_KEY_GROUPS = (
    ("peer_key_file",),
    ("announce_token_file",),
    ("operators_token_file",),
    ("tls_certificate_file", "tls_key_file"),
    (
        "peer_certificate_file",
        "peer_certificate_key_file",
        "peer_issuers_file",
    ),
)


class Security(NamedTuple):
    """Authentication of a process: its peers, operators and servers.

    Attributes:
        connection_config: Keys and TLS contexts for other instances.
        operators: Checks the tokens of operators.
        announcers: Checks the tokens of backend servers.
        tls: Context of `http_address`, or None for plain HTTP.
        reloader: Reads the files again when they change.
    """

    connection_config: rpc.ConnectionConfig
    operators: access.Guard
    announcers: access.Guard
    tls: certificates.ServerContext | None
    reloader: reloading.Reloader


def load(
    cfg: settings.ControlSettings | settings.EntrySettings, rng: random.Random
) -> Security:
    """Load the files that `cfg` names and watch each for changes.

    Args:
        cfg: Settings of the process.
        rng: Source of random numbers of the connections to other instances.

    Raises:
        InvalidDocumentError: when a file cannot be used.
    """
    reloader = reloading.Reloader()
    announcers = _guard(cfg.announce_token_file, _ANNOUNCERS_REMEDY, reloader)
    operators = _guard(
        getattr(cfg, "operators_token_file", ""), _OPERATORS_REMEDY, reloader
    )
    connection_config = _connection_config(cfg, rng, reloader)
    tls = None
    if cfg.tls_certificate_file:
        files = certificates.Files(cfg.tls_certificate_file, cfg.tls_key_file)
        tls = certificates.ServerContext(files)
        reloader.watch(files[:2], tls.reload)
    return Security(connection_config, operators, announcers, tls, reloader)


def faults(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> list[errors.Fault]:
    """Return the faults of all files that `cfg` names.

    `load` stops at the first file that cannot be used, so the files of each
    group are loaded with the keys of all other groups left empty.
    """
    all_faults: list[errors.Fault] = []
    for group in _FILE_KEY_GROUPS:
        paths = {key: getattr(cfg, key, "") for key in group}
        cleared: dict[str, Any] = {
            key: ""
            for other_group in _FILE_KEY_GROUPS
            for key in other_group
            if key not in group and hasattr(cfg, key)
        }
        try:
            load(cfg._replace(**cleared), random.Random())
        except errors.InvalidDocumentError as exc:
            if any(paths.values()):
                all_faults += exc.faults
    return all_faults


def unprotected(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> list[str]:
    """Return a warning for each action that needs no authentication."""
    warnings = []
    if not cfg.peer_key_file and not _is_loopback(cfg.gossip_address):
        warnings.append(
            "datagrams of any sender are accepted; set peer_key_file"
        )
    if not cfg.announce_token_file and not _is_loopback(cfg.http_address):
        warnings.append("anyone may announce; set announce_token_file")
    token_file = getattr(cfg, "operators_token_file", "-")
    if not token_file and not _is_loopback(cfg.http_address):
        warnings.append("anyone may edit the tables; set operators_token_file")
    return warnings


def _is_loopback(address: str) -> bool:
    host = address.rpartition(":")[0].strip("[]")
    return ipaddress.ip_address(host).is_loopback


def _guard(
    path: str, remedy: str, reloader: reloading.Reloader
) -> access.Guard:
    guard = access.load(path, remedy)
    if path:
        reloader.watch((path,), lambda: guard.replace(auth.read_keys(path)))
    return guard


def _connection_config(
    cfg: settings.ControlSettings | settings.EntrySettings,
    rng: random.Random,
    reloader: reloading.Reloader,
) -> rpc.ConnectionConfig:
    keyring = auth.load(cfg.peer_key_file, cfg.peer_key_required)
    if cfg.peer_key_file:
        reload_keys = functools.partial(auth.reload, keyring, cfg.peer_key_file)
        reloader.watch((cfg.peer_key_file,), reload_keys)
    connection_config = rpc.ConnectionConfig(keyring, rng)
    if not cfg.peer_certificate_file:
        return connection_config
    files = certificates.Files(
        cfg.peer_certificate_file,
        cfg.peer_certificate_key_file,
        cfg.peer_issuers_file,
    )
    server_context, client_context = (
        certificates.ServerContext(files),
        certificates.ClientContext(files),
    )
    reloader.watch(tuple(files), server_context.reload)
    reloader.watch(tuple(files), client_context.reload)
    return connection_config._replace(
        server_tls=server_context.context, client_tls=client_context.context
    )
