"""The headers by which an entry speaks with callers and backend servers."""

from collections.abc import Callable
from typing import NamedTuple

from hyssopfold import http
from hyssopfold.core.balancing import messages

# `running,waiting,slots`, three small numbers.
_MAX_LOAD_LETTERS = 32


def _says_not_run(status: int, headers: dict[bytes, bytes]) -> bool:
    return status == 503 and headers.get(b"hyssop-outcome") == b"not-run"


def _whole_seconds(wait_s: float) -> bytes:
    return str(max(1, round(wait_s))).encode()


class Dialect(NamedTuple):
    """Names of the headers, and what they mean; ours by default.

    Names are in lower case; an empty one is not used. `request_id` is drawn
    anew for each request unless `keeps_request_id`, and then the caller's is
    passed on. `server_id` names to a server who is meant, so that another one
    at its address refuses; `stamp` is what every answer made by a server
    carries; `object_cookie` names the object that a request concerns.
    `needs_echo` says that an answer without the request's id is nobody's.
    `private_prefix` marks headers that are never passed on, `adds_forwarded`
    that a server is told of the caller by `x-forwarded-for` and its kin.
    `status_is_promise` says that a caller takes 503 for a promise that the
    request did not run, and any other failure for none.
    `unframed_answers` that the end of a connection, if it is no reset, is the
    end of an answer without a length. `misdirected_status` is how a server
    answers that it is not the one meant.
    """

    request_id: bytes = b"hyssop-request-id"
    deadline_ms: bytes = b"hyssop-deadline-ms"
    revision: bytes = b"hyssop-revision"
    outcome: bytes = b"hyssop-outcome"
    server_id: bytes = b""
    load: bytes = b""
    stamp: bytes = b""
    object_cookie: bytes = b""
    keeps_request_id: bool = False
    needs_echo: bool = False
    private_prefix: bytes = b"hyssop-"
    adds_forwarded: bool = True
    status_is_promise: bool = False
    unframed_answers: bool = False
    misdirected_status: int = 0
    says_not_run: Callable[[int, dict[bytes, bytes]], bool] = _says_not_run
    retry_after: Callable[[float], bytes] = _whole_seconds

    def object_of(self, headers: http.Headers) -> str:
        """Return the object that a request concerns, or an empty string."""
        if not self.object_cookie:
            return ""
        wanted = self.object_cookie + b"="
        for name, value in headers:
            if name != b"cookie":
                continue
            for pair in map(bytes.strip, value.split(b";")):
                if pair.startswith(wanted):
                    return pair[len(wanted) :].decode("latin-1")
        return ""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another server than the one meant answered."""
        return bool(self.misdirected_status) and (
            status == self.misdirected_status
        )

    def load_of(self, headers: dict[bytes, bytes]) -> messages.Load | None:
        """Return the load that an answer tells, or None when it tells none."""
        value = headers.get(self.load) if self.load else None
        if value is None or len(value) > _MAX_LOAD_LETTERS:
            return None
        parts = value.split(b",")
        if len(parts) != len(messages.Load._fields):
            return None
        numbers = [part.strip() for part in parts]
        if not all(number.isdigit() for number in numbers):
            return None
        return messages.Load(*map(int, numbers))


OURS = Dialect()
