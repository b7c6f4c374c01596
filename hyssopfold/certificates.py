"""TLS contexts whose certificates are read again without a stop."""

from collections.abc import Callable
from collections.abc import Sequence
import ssl
from typing import Any
from typing import NamedTuple

import trio

from hyssopfold import errors


class Files(NamedTuple):
    """Where a certificate, its key and the issuers of peers' ones are."""

    certificate: str
    key: str
    issuers: str = ""


class ServerContext:
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


class ClientContext:
    """The connecting side of mutual TLS between our processes."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.context = ssl.create_default_context(cafile=files.issuers)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.reload()

    def reload(self) -> None:
        """Read the files again, as `ServerContext.reload`."""
        _load(self.context, self.files)


class TlsStream:
    """A TLS connection with what serving needs of a plain one.

    Args:
        plain: The connection below.
        context: What to show and to ask for.
    """

    def __init__(self, plain: trio.SocketStream, context: ssl.SSLContext):
        self._plain = plain
        self._tls = trio.SSLStream(
            plain, context, server_side=True, https_compatible=True
        )
        self.socket = plain.socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return some bytes, or none at the end."""
        return bytes(await self._tls.receive_some(max_bytes))

    async def send_all(self, data: bytes) -> None:
        """Send `data`."""
        await self._tls.send_all(data)

    async def send_eof(self) -> None:
        """Send no more; TLS has no such word, so TCP says it."""
        await self._plain.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._tls.aclose()


class TlsListener(trio.abc.Listener[Any]):
    """Accept TLS connections.

    Args:
        plain: What accepts the connections below.
        server: The certificate to show.
    """

    def __init__(
        self, plain: trio.SocketListener, server: ServerContext
    ) -> None:
        self._plain = plain
        self._server = server

    async def accept(self) -> TlsStream:
        """Return the next connection; its handshake comes with its bytes."""
        return TlsStream(await self._plain.accept(), self._server.context)

    async def aclose(self) -> None:
        """Accept no more."""
        await self._plain.aclose()


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
