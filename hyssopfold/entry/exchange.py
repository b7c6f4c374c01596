"""A caller's request as it came in: its head checked, its body streamed."""

from collections.abc import AsyncIterator
import uuid

from hyssopfold import http
from hyssopfold import request_log
from hyssopfold import serving
from hyssopfold.entry import configuration
from hyssopfold.entry import dialect as dialect_module
from hyssopfold.entry import fingerprints

MAX_BODY_BYTES = 16 * 1024**3
# A payment or an order is shorter; keeping it lets it be sent again.
KEPT_BODY_BYTES = fingerprints.MAX_HASHED_BODY_BYTES

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_FORWARDING = frozenset(
    (
        b"forwarded",
        b"x-forwarded-for",
        b"x-forwarded-proto",
        b"x-forwarded-host",
        b"x-forwarded-port",
        b"x-real-ip",
    )
)
_MAX_ID_LETTERS = 128
_WRITE_ALL = request_log.Sampler(float("inf"))


class CallerGoneError(Exception):
    """The caller closed its connection before its request was whole."""


class BodyTooLargeError(Exception):
    """A body without a stated length grew beyond the limit."""


class Exchange:
    """One request: what came in, and what is known of it so far.

    Args:
        scope: Head of the request.
        receive: Gives its body.
        send: Takes the answer.
        snapshot: Tables in force, for all of the request.
        now: When it came.
        max_body_bytes: Largest body taken.
        dialect: Headers in use.
        sampler: Draws the good requests whose lines are written.
    """

    def __init__(
        self,
        scope: http.Scope,
        receive: http.Receive,
        send: http.Send,
        snapshot: configuration.Snapshot,
        now: float,
        max_body_bytes: int = MAX_BODY_BYTES,
        dialect: dialect_module.Dialect = dialect_module.OURS,
        sampler: request_log.Sampler = _WRITE_ALL,
    ) -> None:
        self.dialect = dialect
        self.scope = scope
        self.receive = receive
        self.send = send
        self.snapshot = snapshot
        self.began = now
        self.method: str = scope["method"]
        self.headers: http.Headers = scope["headers"]
        self.outcome = "unknown"
        self.status = 0
        self._by_name = dict(reversed(self.headers))
        self.request_id = self._take_id() or uuid.uuid4().hex
        self.log = request_log.RequestLog(self.request_id, sampler)
        self.dropped = False
        self._kept: list[bytes] = []
        self._whole = False
        # Bytes of the body that came.
        self._size = 0
        self._max_body_bytes = max_body_bytes
        self._print = fingerprints.Fingerprint(self._identity())

    def _take_id(self) -> str:
        """Return the caller's own id of the request, if it counts here."""
        if not self.dialect.keeps_request_id:
            return ""
        given = self.header(self.dialect.request_id) or b""
        text = given.decode("latin-1")
        return text if len(text) <= _MAX_ID_LETTERS else ""

    @property
    def object_key(self) -> str:
        """Return the object that the request concerns, if it names one."""
        return self.dialect.object_of(self.headers)

    def _identity(self) -> list[bytes]:
        """Return what the heads of two equal requests have in common."""
        names = (b"host", *fingerprints.CREDENTIAL_HEADERS)
        headers = [self.header(name) or b"" for name in names]
        return [self.method.encode(), self.target(), *headers]

    @property
    def fingerprint(self) -> bytes:
        """Return the digest that equal requests share; empty if not known.

        It takes the body, or as much of it as is looked at.
        """
        return self._print.value() if self._is_recognised else b""

    @property
    def fingerprint_head(self) -> bytes:
        """Return the part of the fingerprint that the head alone decides."""
        return self._print.head_digest

    @property
    def _is_recognised(self) -> bool:
        return self._whole or not self.has_body or self._print.is_full

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called `name`."""
        return self._by_name.get(name)

    @property
    def host(self) -> str:
        """Return the host asked for, without a port."""
        return host_of(self.header(b"host") or b"")

    @property
    def place(self) -> serving.Place | None:
        """Return where the request stood on its connection, if known."""
        return place_of(self.scope)

    @property
    def client(self) -> str:
        """Return the caller's IP number, or an empty string."""
        client: str = (self.scope.get("client") or ("", 0))[0]
        return client

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the request's head."""
        length = self.header(b"content-length")
        chunked = self.header(b"transfer-encoding") is not None
        return chunked or (length is not None and length.strip(b"0") != b"")

    @property
    def length(self) -> int | None:
        """Return the stated size of the body in bytes, if there is one."""
        value = self.header(b"content-length")
        return int(value) if value is not None else None

    async def read_ahead(self) -> None:
        """Read as much of the body as the fingerprint takes, and keep it.

        Raises:
            CallerGoneError: when it will never be whole.
            BodyTooLargeError: when it is longer than allowed.
        """
        while not self._is_recognised:
            part = await self._read()
            if part:
                self._kept.append(part)

    async def _read(self) -> bytes:
        """Return the next part of the body; the last one may be empty."""
        message = await self.receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        part: bytes = message.get("body", b"")
        self._size += len(part)
        if self._size > self._max_body_bytes:
            raise BodyTooLargeError
        self._whole = not message.get("more_body", False)
        self._print.add(part)
        return part

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request's body as it comes, from its beginning.

        A short one is kept, so that it can go to another server when the
        first says that it did not run it; `dropped` says that it is not.

        Raises:
            CallerGoneError: when it will never be whole.
            BodyTooLargeError: when it is longer than allowed.
        """
        for part in self._kept:
            yield part
        while not self._whole:
            part = await self._read()
            if part:
                self._keep(part)
                yield part

    def _keep(self, part: bytes) -> None:
        if self._size <= KEPT_BODY_BYTES:
            self._kept.append(part)
        else:
            self.dropped = True
            self._kept.clear()

    def fault(self) -> http.Refusal | None:
        """Return why the request can't be taken as it is, if so.

        Where two readers of one request could see two different requests, it
        is refused: a server behind would read a part of one caller's body as
        another caller's request.
        """
        return self._framing_fault() or self._target_fault()

    def _framing_fault(self) -> http.Refusal | None:
        if self.header(b"transfer-encoding") is not None:
            if self.header(b"content-length") is not None:
                return _bad(
                    "send content-length or transfer-encoding, not both"
                )
            if self.scope["http_version"] == "1.0":
                return _bad("send no transfer-encoding with HTTP/1.0")
        if not self.header(b"host"):
            return _bad("send a host header")
        expect = self.header(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            remedy = "expect nothing but 100-continue"
            return http.Refusal(417, "bad-expectation", "not-run", remedy, 0)
        if (self.length or 0) > self._max_body_bytes:
            return too_large("not-run", self._max_body_bytes)
        return None

    def _target_fault(self) -> http.Refusal | None:
        target: bytes = self.scope["raw_path"]
        if not target.startswith(b"/") and target != b"*":
            return _bad("send the path alone in the request line, host in host")
        path: str = self.scope["path"]
        if "/../" in f"{path}/" or "/./" in f"{path}/" or "\0" in path:
            return _bad("send the path without . and .. segments")
        return None

    def target(self) -> bytes:
        """Return path and query as the caller wrote them."""
        path: bytes = self.scope["raw_path"]
        query: bytes = self.scope["query_string"]
        return path + b"?" + query if query else path

    def request_headers(self, left_s: float, server_id: str) -> http.Headers:
        """Return the head for a backend server.

        Args:
            left_s: Seconds that are left until the answer must be there.
            server_id: Who is meant to serve it.
        """
        names = self.dialect
        ours = {names.request_id, names.deadline_ms, names.server_id}
        headers = [
            (key, value)
            for key, value in end_to_end(self.headers, names)
            if key not in ours
        ]
        if self.header(b"transfer-encoding") is not None:
            headers.append((b"transfer-encoding", b"chunked"))
        left_ms = str(max(0, int(left_s * 1000))).encode()
        headers.append((names.request_id, self.request_id.encode("latin-1")))
        headers.append((names.deadline_ms, left_ms))
        if names.server_id:
            headers.append((names.server_id, server_id.encode("latin-1")))
        if names.adds_forwarded:
            headers = self._with_forwarding(headers)
        return headers

    def _with_forwarding(self, headers: http.Headers) -> http.Headers:
        headers = [
            (key, value)
            for key, value in headers
            if key.replace(b"_", b"-") not in _FORWARDING
        ]
        client = (self.scope.get("client") or ("unknown", 0))[0]
        headers.append((b"x-forwarded-for", str(client).encode()))
        headers.append((b"x-forwarded-host", self.header(b"host") or b""))
        headers.append((b"x-forwarded-proto", b"http"))
        return headers

    def answer_headers(self) -> http.Headers:
        """Return what every answer of an entry carries."""
        names = self.dialect
        request_id = self.request_id.encode("latin-1")
        found = [(names.request_id, request_id)]
        if names.revision:
            revision = str(self.snapshot.revision).encode()
            found.append((names.revision, revision))
        return found


def place_of(scope: http.Scope) -> serving.Place | None:
    """Return where a request stood on its connection, if that is known."""
    place: serving.Place | None
    place = scope.get("extensions", {}).get(serving.PLACE)
    return place


def host_of(header: bytes) -> str:
    """Return the host that a `host` header names, without a port."""
    value = header.decode("latin-1")
    name, _, port = value.rpartition(":")
    return name if name and port.isdigit() else value


def end_to_end(
    headers: http.Headers,
    dialect: dialect_module.Dialect = dialect_module.OURS,
) -> http.Headers:
    """Return `headers` without those of one hop and without our own.

    What `connection` names is of one hop too; ours are dropped in any
    spelling that a server could take for them.
    """
    private = dialect.private_prefix
    lowered = [(key.lower(), value) for key, value in headers]
    named = {
        token.strip().lower()
        for key, value in lowered
        if key == b"connection"
        for token in value.split(b",")
    } - {b"content-length", b"host"}
    return [
        (key, value)
        for key, value in lowered
        if key not in _HOP_BY_HOP
        and key not in named
        and not (private and key.replace(b"_", b"-").startswith(private))
    ]


def too_large(outcome: str, limit: int) -> http.Refusal:
    """Return the refusal of a body that is too large."""
    remedy = f"send at most {limit} bytes in one body"
    return http.Refusal(413, "body-too-large", outcome, remedy, 0)


def _bad(remedy: str) -> http.Refusal:
    return http.Refusal(400, "bad-request", "not-run", remedy, 0)
