"""Keys, tokens and certificates of a process, as its settings name them."""

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


_NAMED = (
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
    """What the parts of a process use to know whom they talk to."""

    links: rpc.ConnectionConfig
    operators: access.Guard
    announcers: access.Guard
    tls: certificates.Server | None
    reloader: reloading.Reloader


def load(
    cfg: settings.ControlSettings | settings.EntrySettings, rng: random.Random
) -> Security:
    """Return what `cfg` names, each file watched for changes.

    Raises:
        InvalidDocumentError: when a file cannot be used.
    """
    reloader = reloading.Reloader()
    announcers = _guard(cfg.announce_token_file, _ANNOUNCERS_REMEDY, reloader)
    operators = _guard(
        getattr(cfg, "operators_token_file", ""), _OPERATORS_REMEDY, reloader
    )
    links = _links(cfg, rng, reloader)
    tls = None
    if cfg.tls_certificate_file:
        files = certificates.Files(cfg.tls_certificate_file, cfg.tls_key_file)
        tls = certificates.Server(files)
        reloader.watch(files[:2], tls.reload)
    return Security(links, operators, announcers, tls, reloader)


def faults(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> list[errors.Fault]:
    """Return what is wrong with the files that `cfg` names, all at once."""
    found: list[errors.Fault] = []
    for named in _NAMED:
        alone = {key: getattr(cfg, key, "") for key in named}
        others: dict[str, Any] = {
            key: ""
            for group in _NAMED
            for key in group
            if key not in named and hasattr(cfg, key)
        }
        try:
            load(cfg._replace(**others), random.Random())
        except errors.InvalidDocumentError as exc:
            if any(alone.values()):
                found += exc.faults
    return found


def unprotected(
    cfg: settings.ControlSettings | settings.EntrySettings,
) -> list[str]:
    """Return what anyone on the network may do with these settings."""
    found = []
    if not cfg.peer_key_file and not _is_loopback(cfg.gossip_address):
        found.append("datagrams of anyone are believed; set peer_key_file")
    if not cfg.announce_token_file and not _is_loopback(cfg.http_address):
        found.append("anyone may announce; set announce_token_file")
    tokens = getattr(cfg, "operators_token_file", "-")
    if not tokens and not _is_loopback(cfg.http_address):
        found.append("anyone may edit the tables; set operators_token_file")
    return found


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


def _links(
    cfg: settings.ControlSettings | settings.EntrySettings,
    rng: random.Random,
    reloader: reloading.Reloader,
) -> rpc.ConnectionConfig:
    keyring = auth.load(cfg.peer_key_file, cfg.peer_key_required)
    if cfg.peer_key_file:
        use = functools.partial(auth.reload, keyring, cfg.peer_key_file)
        reloader.watch((cfg.peer_key_file,), use)
    links = rpc.ConnectionConfig(keyring, rng)
    if not cfg.peer_certificate_file:
        return links
    files = certificates.Files(
        cfg.peer_certificate_file,
        cfg.peer_certificate_key_file,
        cfg.peer_issuers_file,
    )
    server, client = certificates.Server(files), certificates.Client(files)
    reloader.watch(tuple(files), server.reload)
    reloader.watch(tuple(files), client.reload)
    return links._replace(server_tls=server.context, client_tls=client.context)
