"""A caller's request: validates its head, streams its body."""

from collections.abc import AsyncIterator
import functools
import uuid

from hyssopfold import http
from hyssopfold import request_log
from hyssopfold import serving
from hyssopfold.entry import configuration
from hyssopfold.entry import dialect as dialect_module
from hyssopfold.entry import fingerprints

MAX_BODY_BYTES = 16 * 1024**3
# Requests such as payments or orders are shorter: a buffered body can be sent
# again.
MAX_BUFFERED_BODY_BYTES = fingerprints.MAX_HASHED_BODY_BYTES

_HOP_BY_HOP_HEADERS = frozenset(
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
_FORWARDING_HEADERS = frozenset(
    (
        b"forwarded",
        b"x-forwarded-for",
        b"x-forwarded-proto",
        b"x-forwarded-host",
        b"x-forwarded-port",
        b"x-real-ip",
    )
)
_MAX_REQUEST_ID_CHARS = 128
_SAMPLE_ALL = request_log.Sampler(float("inf"))


class CallerGoneError(Exception):
    """The caller closed its connection before its request was complete."""


class BodyTooLargeError(Exception):
    """A body without a `content-length` exceeded the limit."""


class Exchange:
    """One request of a caller and its state; created by `proxy.Proxy`.

    Args:
        scope: ASGI scope of the request.
        receive: ASGI callable that returns the body.
        send: ASGI callable that takes the answer.
        snapshot: Tables in force, used until the request ends.
        began_at: Monotonic time in seconds at which its head arrived.
        max_body_bytes: Largest accepted body.
        dialect: Names of the headers.
        sampler: Selects the successful requests whose lines are logged.

    Attributes:
        outcome: Outcome of the request, `unknown` at first.
        status: Status of the answer to the caller, 0 at first.
        log: Log lines of the request.
        organisation: Name of the caller's organisation, "" if it has none.
        body_dropped: Whether a part of the body was forwarded and not
            buffered, so that the body can't be sent again.
    """

    def __init__(
        self,
        scope: http.Scope,
        receive: http.Receive,
        send: http.Send,
        snapshot: configuration.Snapshot,
        began_at: float,
        max_body_bytes: int = MAX_BODY_BYTES,
        dialect: dialect_module.Dialect = dialect_module.DEFAULT_DIALECT,
        sampler: request_log.Sampler = _SAMPLE_ALL,
    ) -> None:
        self.dialect = dialect
        self.scope = scope
        self.receive = receive
        self.send = send
        self.snapshot = snapshot
        self.began_at = began_at
        self.method: str = scope["method"]
        self.headers: http.Headers = scope["headers"]
        self.outcome = "unknown"
        self.status = 0
        self._headers_by_name = dict(reversed(self.headers))
        self.request_id = self._caller_request_id() or uuid.uuid4().hex
        self.log = request_log.RequestLog(self.request_id, sampler)
        self.organisation = ""
        self.body_dropped = False
        self._buffered: list[bytes] = []
        self._is_body_complete = False
        self._received_bytes = 0
        self._max_body_bytes = max_body_bytes

    @functools.cached_property
    def _fingerprint(self) -> fingerprints.Fingerprint:
        # Created on first use, when the organisation is known.
        return fingerprints.Fingerprint(self._identifying_parts())

    def _caller_request_id(self) -> str:
        """Return the request id sent by the caller if it is used, or ""."""
        if not self.dialect.keeps_request_id:
            return ""
        value = self.header(self.dialect.request_id) or b""
        text = value.decode("latin-1")
        return text if len(text) <= _MAX_REQUEST_ID_CHARS else ""

    @property
    def object_key(self) -> str:
        """Return the key of the object that the request concerns, or ""."""
        return self.dialect.parse_object_key(self.headers)

    def _identifying_parts(self) -> list[bytes]:
        """Return the parts of the head that equal requests share."""
        header_names = (b"host", *fingerprints.CREDENTIAL_HEADERS)
        headers = [self.header(name) or b"" for name in header_names]
        parts = [self.method.encode(), self.target(), *headers]
        if self.organisation:
            parts.append(self.organisation.encode())
        return parts

    @property
    def fingerprint(self) -> bytes:
        """Return the digest that equal requests share, or b"" if unknown.

        It is known once the part of the body that it covers was read.
        """
        return self._fingerprint.value() if self._has_fingerprint else b""

    @property
    def fingerprint_head(self) -> bytes:
        """Return the part of the fingerprint that depends on the head only."""
        return self._fingerprint.head_digest

    @property
    def _has_fingerprint(self) -> bool:
        return (
            self._is_body_complete
            or not self.has_body
            or self._fingerprint.is_full
        )

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header called `name`, or None."""
        return self._headers_by_name.get(name)

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers called `name`."""
        return [value for key, value in self.headers if key == name]

    @property
    def host(self) -> str:
        """Return the requested host without a port."""
        return parse_host(self.header(b"host") or b"")

    @property
    def pipeline_position(self) -> serving.PipelinePosition | None:
        """Return the request's position on its connection, or None."""
        return position_in_pipeline(self.scope)

    @property
    def caller(self) -> serving.Caller | None:
        """Return the caller's end of the connection, or None if not known."""
        caller: serving.Caller | None
        caller = self.scope.get("extensions", {}).get(serving.CALLER)
        return caller

    @property
    def connection_end(self) -> str:
        """Return why the caller's connection ended without the answer, or ""."""
        position = self.pipeline_position
        if position is None or position.cut_by is None:
            return ""
        return position.cut_by.value

    @property
    def is_cut_by_entry(self) -> bool:
        """Return whether the entry ended the connection without the answer."""
        position = self.pipeline_position
        return (
            position is not None
            and position.cut_by is not None
            and not position.cut_by.is_by_caller
        )

    @property
    def client(self) -> str:
        """Return the caller's IP address, or ""."""
        client: str = (self.scope.get("client") or ("", 0))[0]
        return client

    @property
    def has_body(self) -> bool:
        """Return whether the request has a body."""
        length = self.header(b"content-length")
        chunked = self.header(b"transfer-encoding") is not None
        return chunked or (length is not None and length.strip(b"0") != b"")

    @property
    def length(self) -> int | None:
        """Return the `content-length` of the body in bytes, or None."""
        value = self.header(b"content-length")
        return int(value) if value is not None else None

    async def buffer_for_fingerprint(self) -> None:
        """Read and buffer the part of the body that the fingerprint covers.

        Raises:
            CallerGoneError: when the caller left before the end of the body.
            BodyTooLargeError: when the body exceeds the limit.
        """
        while not self._has_fingerprint:
            part = await self._read()
            if part:
                self._buffered.append(part)

    async def _read(self) -> bytes:
        """Return the next part of the body; the last one may be empty."""
        message = await self.receive()
        if message["type"] != "http.request":
            raise CallerGoneError
        part: bytes = message.get("body", b"")
        self._received_bytes += len(part)
        if self._received_bytes > self._max_body_bytes:
            raise BodyTooLargeError
        self._is_body_complete = not message.get("more_body", False)
        self._fingerprint.add(part)
        return part

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body from its beginning, as they arrive.

        A short body is buffered, so that it can be sent to another server if
        the first one states that it did not run the request. `body_dropped` is
        set once the body is too long for that.

        Raises:
            CallerGoneError: when the caller left before the end of the body.
            BodyTooLargeError: when the body exceeds the limit.
        """
        for part in self._buffered:
            yield part
        while not self._is_body_complete:
            part = await self._read()
            if part:
                self._buffer(part)
                yield part

    def _buffer(self, part: bytes) -> None:
        if self._received_bytes <= MAX_BUFFERED_BODY_BYTES:
            self._buffered.append(part)
        else:
            self.body_dropped = True
            self._buffered.clear()

    def validation_refusal(self) -> http.Refusal | None:
        """Return the refusal of an invalid request, or None for a valid one.

        A request that two programs could parse differently is refused (request
        smuggling): a backend server could read a part of one caller's body as
        another caller's request.
        """
        return self._framing_refusal() or self._target_refusal()

    def _framing_refusal(self) -> http.Refusal | None:
        if self.header(b"transfer-encoding") is not None:
            if self.header(b"content-length") is not None:
                return _bad_request(
                    "send content-length or transfer-encoding, not both"
                )
            if self.scope["http_version"] == "1.0":
                return _bad_request("send no transfer-encoding with HTTP/1.0")
        if not self.header(b"host"):
            return _bad_request("send a host header")
        expect = self.header(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            remedy = "expect nothing but 100-continue"
            return http.Refusal(417, "bad-expectation", "not-run", remedy, 0)
        if (self.length or 0) > self._max_body_bytes:
            return body_too_large("not-run", self._max_body_bytes)
        return None

    def _target_refusal(self) -> http.Refusal | None:
        target: bytes = self.scope["raw_path"]
        if not target.startswith(b"/") and target != b"*":
            return _bad_request(
                "send the path alone in the request line, host in host"
            )
        path: str = self.scope["path"]
        if "/../" in f"{path}/" or "/./" in f"{path}/" or "\0" in path:
            return _bad_request("send the path without . and .. segments")
        return None

    def target(self) -> bytes:
        """Return path and query as sent by the caller."""
        path: bytes = self.scope["raw_path"]
        query: bytes = self.scope["query_string"]
        return path + b"?" + query if query else path

    def request_headers(self, left_s: float, server_id: str) -> http.Headers:
        """Return the headers to send to a backend server.

        Args:
            left_s: Seconds left until the answer must have begun.
            server_id: Id of the intended server.
        """
        dialect = self.dialect
        own_names = {dialect.request_id, dialect.deadline_ms, dialect.server_id}
        if self.snapshot.authenticator.is_required:
            own_names |= {dialect.credential, dialect.organisation}
        headers = [
            (key, value)
            for key, value in end_to_end_headers(self.headers, dialect)
            if key not in own_names
        ]
        if self.header(b"transfer-encoding") is not None:
            headers.append((b"transfer-encoding", b"chunked"))
        left_ms = str(max(0, int(left_s * 1000))).encode()
        headers.append((dialect.request_id, self.request_id.encode("latin-1")))
        headers.append((dialect.deadline_ms, left_ms))
        if dialect.server_id:
            headers.append((dialect.server_id, server_id.encode("latin-1")))
        if self.organisation:
            organisation = self.organisation.encode()
            headers.append((dialect.organisation, organisation))
        if dialect.adds_forwarding_headers:
            headers = self._with_forwarding(headers)
        return headers

    def _with_forwarding(self, headers: http.Headers) -> http.Headers:
        headers = [
            (key, value)
            for key, value in headers
            if key.replace(b"_", b"-") not in _FORWARDING_HEADERS
        ]
        client = (self.scope.get("client") or ("unknown", 0))[0]
        headers.append((b"x-forwarded-for", str(client).encode()))
        headers.append((b"x-forwarded-host", self.header(b"host") or b""))
        headers.append((b"x-forwarded-proto", b"http"))
        return headers

    def answer_headers(self) -> http.Headers:
        """Return the headers that an entry adds to each answer."""
        dialect = self.dialect
        request_id = self.request_id.encode("latin-1")
        headers = [(dialect.request_id, request_id)]
        if dialect.revision:
            revision = str(self.snapshot.revision).encode()
            headers.append((dialect.revision, revision))
        return headers


def position_in_pipeline(scope: http.Scope) -> serving.PipelinePosition | None:
    """Return the position of a request on its connection, or None."""
    position: serving.PipelinePosition | None
    position = scope.get("extensions", {}).get(serving.PLACE)
    return position


def parse_host(header: bytes) -> str:
    """Return the host of a `host` header without the port."""
    value = header.decode("latin-1")
    name, _, port = value.rpartition(":")
    return name if name and port.isdigit() else value


def end_to_end_headers(
    headers: http.Headers,
    dialect: dialect_module.Dialect = dialect_module.DEFAULT_DIALECT,
) -> http.Headers:
    """Return the headers to forward: no hop-by-hop and no private ones.

    Headers listed in `connection` are hop-by-hop too. Private headers are also
    removed when spelled with `_`, which servers may treat as `-`.

    Args:
        headers: Headers of a request or an answer.
        dialect: Defines the prefix of the private headers.
    """
    private_prefix = dialect.private_prefix
    lowered = [(key.lower(), value) for key, value in headers]
    listed_in_connection = {
        token.strip().lower()
        for key, value in lowered
        if key == b"connection"
        for token in value.split(b",")
    } - {b"content-length", b"host"}
    return [
        (key, value)
        for key, value in lowered
        if key not in _HOP_BY_HOP_HEADERS
        and key not in listed_in_connection
        and not (
            private_prefix
            and key.replace(b"_", b"-").startswith(private_prefix)
        )
    ]


def body_too_large(outcome: str, limit: int) -> http.Refusal:
    """Return the refusal of a body that exceeds `limit` bytes."""
    remedy = f"send at most {limit} bytes in one body"
    return http.Refusal(413, "body-too-large", outcome, remedy, 0)


def _bad_request(remedy: str) -> http.Refusal:
    return http.Refusal(400, "bad-request", "not-run", remedy, 0)
