"""TLS contexts whose certificate files can be read again while in use."""

from collections.abc import Callable
from collections.abc import Sequence
import ssl
from typing import Any
from typing import NamedTuple

import trio

from hyssopfold import errors


class Files(NamedTuple):
    """Paths of a certificate, its key and the CA certificates for peers."""

    certificate: str
    key: str
    issuers: str = ""


class ServerContext:
    """TLS context of a server; new connections use the newest certificate.

    Args:
        files: Certificate and key; with issuers, peers must present a
            certificate too.

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
                keeps the previous certificate.
        """
        _load(self.context, self.files)


class ClientContext:
    """TLS context of a client, for mutual TLS between instances.

    Args:
        files: Certificate, key and issuers.

    Raises:
        InvalidDocumentError: when the files cannot be used.
    """

    def __init__(self, files: Files) -> None:
        self.files = files
        self.context = ssl.create_default_context(cafile=files.issuers)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.reload()

    def reload(self) -> None:
        """Read the files again, as `ServerContext.reload`."""
        _load(self.context, self.files)


class TlsStream:
    """A TLS connection with the interface that serving needs of TCP streams.

    Args:
        plain: The TCP connection.
        context: Certificate to present and requirements for the peer's.
    """

    def __init__(self, plain: trio.SocketStream, context: ssl.SSLContext):
        self._plain = plain
        self._tls = trio.SSLStream(
            plain, context, server_side=True, https_compatible=True
        )
        self.socket = plain.socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes; b"" at the end of the stream."""
        return bytes(await self._tls.receive_some(max_bytes))

    async def send_all(self, data: bytes) -> None:
        """Send `data`."""
        await self._tls.send_all(data)

    async def send_eof(self) -> None:
        """Close the sending side on TCP, as TLS cannot close one side only."""
        await self._plain.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._tls.aclose()


class TlsListener(trio.abc.Listener[Any]):
    """Accepts TLS connections.

    Args:
        plain: Listener of the TCP connections.
        server_context: Context with the certificate to present.
    """

    def __init__(
        self, plain: trio.SocketListener, server_context: ServerContext
    ) -> None:
        self._plain = plain
        self._server_context = server_context

    async def accept(self) -> TlsStream:
        """Return the next connection; its first I/O does the handshake."""
        return TlsStream(
            await self._plain.accept(), self._server_context.context
        )

    async def aclose(self) -> None:
        """Stop accepting connections."""
        await self._plain.aclose()


def _load(context: ssl.SSLContext, files: Files) -> None:
    # Loaded into a separate context first: loading a certificate whose key does
    # not match leaves a context with half of the pair.
    trial_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for target in (trial_context, context):
        _load_file(files.certificate, target.load_cert_chain, files[:2])
        if files.issuers:
            _load_file(files.issuers, target.load_verify_locations, files[2:])


def _load_file(
    path: str, load: Callable[..., object], paths: Sequence[str]
) -> None:
    try:
        load(*paths)
    except OSError as exc:  # includes ssl.SSLError
        allowed = "readable PEM files whose certificate and key match"
        fault = errors.Fault(path, 1, "certificate", str(exc), allowed)
        raise errors.InvalidDocumentError([fault]) from exc
