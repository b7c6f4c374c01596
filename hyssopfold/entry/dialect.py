"""The headers that an entry exchanges with callers and backend servers."""

from collections.abc import Callable
import re
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.core.balancing import messages

# The value is `running,waiting,slots`, three small numbers.
_MAX_LOAD_CHARS = 32
# A decimal number without sign or exponent.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
# Longest time that a server may ask for, so that a faulty value does not take
# it out for ever.
MAX_REST_S = 3600.0
_LEAVING_VALUES = (b"1", b"true")


def _states_not_run(status: int, headers: dict[bytes, bytes]) -> bool:
    return status == 503 and headers.get(b"hyssop-outcome") == b"not-run"


def _whole_seconds(wait_s: float) -> bytes:
    return str(max(1, round(wait_s))).encode()


class Dialect(NamedTuple):
    """Names and meaning of the headers; by default those of hyssopfold.

    Names of headers are in lower case. An empty name means that the header is
    not used.

    Attributes:
        request_id: Header with the id of a request, in both directions.
        deadline_ms: Header with the milliseconds left for a request.
        revision: Header of answers with the revision in force.
        outcome: Header of refusals with the outcome of the request.
        server_id: Header that names the intended server, so that another
            server at its address refuses the request.
        load: Header of answers with the load of the server.
        rate_limit: Header of answers with the requests a second that the
            server accepts from all entries together.
        leaving: Header of answers of a server that leaves.
        signature_header: Header that a server adds to each of its answers.
        credential: Header with the key of the caller's organisation. It is
            never forwarded while there are organisations.
        organisation: Header with the name of the caller's organisation for
            servers; what a caller sends under this name is never forwarded
            while there are organisations.
        object_cookie: Cookie that names the object that a request concerns.
        keeps_request_id: Whether the id sent by the caller is used. Otherwise
            each request gets a new one.
        requires_request_id_echo: Whether an answer without the request's id is
            rejected as the answer to another request.
        private_prefix: Prefix of headers that are never forwarded.
        adds_forwarding_headers: Whether servers get `x-forwarded-for`, `-host`
            and `-proto`.
        status_503_means_not_run: Whether callers take status 503, and no other
            status, as the guarantee that the request did not run.
        not_run_statuses: Statuses that callers take as the guarantee that the
            request did not run, whoever sent them.
        accepts_unframed_answers: Whether the close of a connection, unless it
            is a reset, ends an answer without a length.
        misdirected_status: Status by which a server rejects a request for
            another server, or 0.
        states_not_run: Takes status and headers of an answer and returns
            whether it states that the request did not run.
        format_retry_after: Returns the value of `retry-after` for a time in
            seconds.
    """

    request_id: bytes = b"hyssop-request-id"
    deadline_ms: bytes = b"hyssop-deadline-ms"
    revision: bytes = b"hyssop-revision"
    outcome: bytes = b"hyssop-outcome"
    server_id: bytes = b""
    load: bytes = b""
    rate_limit: bytes = b"hyssop-rate-limit"
    leaving: bytes = b"hyssop-leaving"
    signature_header: bytes = b""
    credential: bytes = b"hyssop-key"
    organisation: bytes = b"hyssop-organisation"
    object_cookie: bytes = b""
    keeps_request_id: bool = False
    requires_request_id_echo: bool = False
    private_prefix: bytes = b"hyssop-"
    adds_forwarding_headers: bool = True
    status_503_means_not_run: bool = False
    not_run_statuses: tuple[int, ...] = ()
    accepts_unframed_answers: bool = False
    misdirected_status: int = 0
    states_not_run: Callable[[int, dict[bytes, bytes]], bool] = _states_not_run
    format_retry_after: Callable[[float], bytes] = _whole_seconds

    def parse_object_key(self, headers: http.Headers) -> str:
        """Return the key of the object that a request concerns, or ""."""
        if not self.object_cookie:
            return ""
        prefix = self.object_cookie + b"="
        for name, value in headers:
            if name != b"cookie":
                continue
            for pair in map(bytes.strip, value.split(b";")):
                if pair.startswith(prefix):
                    return pair[len(prefix) :].decode("latin-1")
        return ""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another server than the intended one answered."""
        return bool(self.misdirected_status) and (
            status == self.misdirected_status
        )

    def parse_load(self, headers: dict[bytes, bytes]) -> messages.Load | None:
        """Return the load reported in an answer, None without a valid one."""
        value = headers.get(self.load) if self.load else None
        if value is None or len(value) > _MAX_LOAD_CHARS:
            return None
        fields = value.split(b",")
        if len(fields) != len(messages.Load._fields):
            return None
        numbers = [field.strip() for field in fields]
        if not all(number.isdigit() for number in numbers):
            return None
        return messages.Load(*map(int, numbers))

    def parse_rate_limit(self, headers: dict[bytes, bytes]) -> float | None:
        """Return the rate limit in an answer, None without a valid one."""
        value = headers.get(self.rate_limit, b"").strip()
        return float(value) if _DECIMAL.fullmatch(value) else None

    def parse_rest_s(self, status: int, headers: dict[bytes, bytes]) -> float:
        """Return the time for which the server wants no requests, or 0.

        It asks for that by `retry-after` in seconds when it turns a request
        away with 503; a date in its place is ignored.
        """
        value = headers.get(b"retry-after", b"").strip()
        if status != 503 or not _DECIMAL.fullmatch(value):
            return 0.0
        return min(float(value), MAX_REST_S)

    def is_leaving(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether an answer says that its server leaves."""
        value = headers.get(self.leaving, b"").strip().lower()
        return value in _LEAVING_VALUES


DEFAULT_DIALECT = Dialect()
