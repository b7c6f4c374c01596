"""Client of the operators' API that tries the control instances in turn."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import decoding
from hyssopfold import errors

CONNECT_TIMEOUT_S = 1.0
# Read timeouts in seconds, one for each round over all instances. A frozen or
# cut-off instance accepts connections and never answers, so the first timeout
# is short. The second is used only if no instance settled the request; it is
# longer than the time after which an instance itself gives up an edit.
READ_TIMEOUTS_S = (3.0, 11.0)


class Reply(NamedTuple):
    """Status and decoded JSON body of an answer."""

    status: int
    body: dict[str, Any]


class _Failures:
    """Failures of the instances tried so far for one request.

    Attributes:
        may_be_accepted: Whether an instance may have accepted the request.
        any_silent: Whether an instance did not answer in time or broke the
            connection.
        refusal: Summary of the last refusal, or empty.
        last: The last failure.
    """

    def __init__(self) -> None:
        self.may_be_accepted = False
        self.any_silent = False
        self.refusal = ""
        self.last = "no instance is configured"


class Client:
    """Client of the control instances over HTTP, used by `hyssopctl`.

    Args:
        urls: Base URLs of the instances.
        token: Operators' token, or empty.
    """

    def __init__(self, urls: Sequence[str], token: str = "") -> None:
        self._urls = tuple(urls)
        self._token = token

    def get_confirmed(self, path: str) -> Reply:
        """Return the first answer that a majority confirmed, else any answer.

        Args:
            path: Path of the request.

        Raises:
            PeerUnavailableError: if no instance answered.
        """
        unconfirmed = None
        for url in self._urls:
            client = Client([url], self._token)
            try:
                reply = client.get(path)
            except errors.HyssopError:
                continue
            if reply.body.get("confirmed"):
                return reply
            unconfirmed = unconfirmed or reply
        return unconfirmed or self.get(path)

    def get(self, path: str) -> Reply:
        """Return the first answer with a status below 500.

        Args:
            path: Path of the request.

        Raises:
            NotAcceptedError: if an instance refused and none answered.
            PeerUnavailableError: if no instance answered.
        """
        return self._ask("GET", path, None)

    def put(self, path: str, body: dict[str, Any]) -> Reply:
        """Send an edit to one instance after another until one settles it.

        Args:
            path: Path of the request.
            body: The edit. It has a change id, so sending it twice is safe.

        Raises:
            OutcomeUnknownError: if an instance may have accepted it.
            NotAcceptedError: if an instance refused it and none accepted it.
            PeerUnavailableError: if no instance accepted it or may have.
        """
        return self._ask("PUT", path, body)

    def delete(self, path: str, name: str) -> Reply:
        """Send a removal to one instance after another until one settles it.

        Args:
            path: Path of the request.
            name: Name of the removed object, for the error.

        Raises:
            OutcomeUnknownError: if an instance may have accepted it.
            NotAcceptedError: if an instance refused it and none accepted it.
            PeerUnavailableError: if no instance accepted it or may have.
        """
        return self._ask("DELETE", path, {"change_id": name})

    def _ask(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> Reply:
        failures = _Failures()
        for read_timeout_s in READ_TIMEOUTS_S:
            for url in self._urls:
                reply = self._try(
                    method, url + path, body, read_timeout_s, failures
                )
                if reply is not None:
                    return reply
            if not failures.any_silent:
                break
        if failures.may_be_accepted and body is not None:
            raise errors.OutcomeUnknownError(str(body.get("change_id", path)))
        if failures.refusal:
            raise errors.NotAcceptedError(failures.refusal)
        raise errors.PeerUnavailableError(", ".join(self._urls), failures.last)

    def _try(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        read_timeout_s: float,
        failures: "_Failures",
    ) -> Reply | None:
        """Send a request to one instance.

        Returns:
            Its answer, or None if the next instance shall be tried; `failures`
            is updated in this case.
        """
        try:
            reply = self._call(method, url, body, read_timeout_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            failures.last = f"{type(exc).__name__} {exc}".strip()
            return None
        except (httpcore.NetworkError, httpcore.TimeoutException,
                httpcore.ProtocolError) as exc:  # fmt: skip
            failures.may_be_accepted = True
            failures.any_silent = True
            failures.last = f"{type(exc).__name__} {exc}".strip()
            return None
        if reply.status < 500:
            return reply
        failures.last = str(reply.body.get("error", reply.status))
        if reply.status == 503:
            failures.refusal = str(reply.body.get("summary", failures.last))
        else:
            failures.may_be_accepted = True
        return None

    def _call(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        read_timeout_s: float,
    ) -> Reply:
        headers: dict[bytes | str, bytes | str] = {
            "content-type": "application/json"
        }
        if self._token:
            headers["authorization"] = f"Bearer {self._token}"
        answer = httpcore.request(
            method,
            url,
            headers=headers,
            content=msgspec.json.encode(body) if body is not None else None,
            extensions={
                "timeout": {
                    "connect": CONNECT_TIMEOUT_S,
                    "read": read_timeout_s,
                }
            },
        )
        try:
            decoded = decoding.from_json(answer.content)
        except msgspec.DecodeError:
            decoded = {"error": "unreadable answer"}
        return Reply(answer.status, decoded)
