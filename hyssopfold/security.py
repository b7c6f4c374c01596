"""Keys, tokens and certificates of a process, as its settings name them."""

import functools
import random
from typing import NamedTuple

from hyssopfold import access
from hyssopfold import certificates
from hyssopfold import reloading
from hyssopfold import settings
from hyssopfold.transport import auth
from hyssopfold.transport import rpc

_OPERATORS_REMEDY = "give hyssopctl the operators' token by --token-file"
_ANNOUNCERS_REMEDY = (
    "send `authorization: Bearer TOKEN` with a token of announce_token_file"
)


class Security(NamedTuple):
    """What the parts of a process use to know whom they talk to."""

    links: rpc.Links
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
) -> rpc.Links:
    keyring = auth.load(cfg.peer_key_file, cfg.peer_key_required)
    if cfg.peer_key_file:
        use = functools.partial(auth.reload, keyring, cfg.peer_key_file)
        reloader.watch((cfg.peer_key_file,), use)
    links = rpc.Links(keyring, rng)
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
