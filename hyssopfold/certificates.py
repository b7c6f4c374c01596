"""TLS contexts whose certificates are read again without a stop."""

from collections.abc import Callable
from collections.abc import Sequence
import ssl
from typing import NamedTuple

from hyssopfold import errors


class Files(NamedTuple):
    """Where a certificate, its key and the issuers of peers' ones are."""

    certificate: str
    key: str
    issuers: str = ""


class Server:
    """The serving side of TLS; new connections get the newest certificate.

    Args:
        files: Certificate and key; with issuers, peers must show one too.

    Raises:
        InvalidDocumentError: when the files cannot be used.
    """

    def __init__(self, files: Files) -> None:
        self.files = files
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        if files.issuers:
            self.context.verify_mode = ssl.CERT_REQUIRED
        self.reload()

    def reload(self) -> None:
        """Read the files again.

        Raises:
            InvalidDocumentError: when they cannot be used; the context then
                goes on with what it had.
        """
        _load(self.context, self.files)


class Client:
    """The connecting side of mutual TLS between our processes."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.context = ssl.create_default_context(cafile=files.issuers)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.reload()

    def reload(self) -> None:
        """Read the files again, as `Server.reload`."""
        _load(self.context, self.files)


def _load(context: ssl.SSLContext, files: Files) -> None:
    # Tried on a context of its own first: loading a certificate whose key
    # does not fit leaves a context with half of the pair.
    trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for one in (trial, context):
        _guarded(files.certificate, one.load_cert_chain, files[:2])
        if files.issuers:
            _guarded(files.issuers, one.load_verify_locations, files[2:])


def _guarded(
    path: str, load: Callable[..., object], arguments: Sequence[str]
) -> None:
    try:
        load(*arguments)
    except OSError as exc:  # includes ssl.SSLError
        allowed = "PEM files, readable, whose certificate and key fit"
        fault = errors.Fault(path, 1, "certificate", str(exc), allowed)
        raise errors.InvalidDocumentError([fault]) from exc
