"""Client of the operators' API, which asks one instance after another."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import errors

CONNECT_TIMEOUT_S = 1.0
# A frozen or cut-off instance takes the connection and never answers. All are
# asked with little patience first; only when none settled it, with more than
# an instance itself takes until it gives an edit up.
PATIENCE_S = (3.0, 11.0)


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: dict[str, Any]


class _Attempt:
    """What was learned from the instances that settled nothing."""

    def __init__(self) -> None:
        self.unsure = False
        self.is_silent = False
        self.refusal = ""
        self.last = "no instance is configured"


class Client:
    """Call the control instances over HTTP.

    Args:
        urls: Base URLs of the instances.
        token: Operators' token, or empty.
    """

    def __init__(self, urls: Sequence[str], token: str = "") -> None:
        self._urls = tuple(urls)
        self._token = token

    def get_confirmed(self, path: str) -> Reply:
        """Return the first answer that a majority has confirmed, else any.

        Raises:
            PeerUnavailableError: when no instance gave one.
        """
        found = None
        for url in self._urls:
            client = Client([url], self._token)
            try:
                reply = client.get(path)
            except errors.HyssopError:
                continue
            if reply.body.get("confirmed"):
                return reply
            found = found or reply
        return found or self.get(path)

    def get(self, path: str) -> Reply:
        """Return the first good answer of any instance.

        Raises:
            PeerUnavailableError: when no instance gave one.
        """
        return self._ask("GET", path, None)

    def put(self, path: str, body: dict[str, Any]) -> Reply:
        """Send an edit to one instance after another until one settles it.

        The body names a change id, so asking twice is safe.

        Raises:
            OutcomeUnknownError: when an instance may have taken it.
            PeerUnavailableError: when none did for certain.
        """
        return self._ask("PUT", path, body)

    def delete(self, path: str, name: str) -> Reply:
        """Send a removal to one instance after another until one settles it.

        Raises:
            OutcomeUnknownError: when an instance may have taken it.
            PeerUnavailableError: when none did for certain.
        """
        return self._ask("DELETE", path, {"change_id": name})

    def _ask(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> Reply:
        attempt = _Attempt()
        for patience_s in PATIENCE_S:
            for url in self._urls:
                reply = self._try(method, url + path, body, patience_s, attempt)
                if reply is not None:
                    return reply
            if not attempt.is_silent:
                break
        if attempt.unsure and body is not None:
            raise errors.OutcomeUnknownError(str(body.get("change_id", path)))
        if attempt.refusal:
            raise errors.NotAcceptedError(attempt.refusal)
        raise errors.PeerUnavailableError(", ".join(self._urls), attempt.last)

    def _try(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        patience_s: float,
        attempt: "_Attempt",
    ) -> Reply | None:
        """Return what one instance settled, or None to ask the next."""
        try:
            reply = self._call(method, url, body, patience_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            attempt.last = f"{type(exc).__name__} {exc}".strip()
            return None
        except (httpcore.NetworkError, httpcore.TimeoutException,
                httpcore.ProtocolError) as exc:  # fmt: skip
            attempt.unsure = True
            attempt.is_silent = True
            attempt.last = f"{type(exc).__name__} {exc}".strip()
            return None
        if reply.status < 500:
            return reply
        attempt.last = str(reply.body.get("error", reply.status))
        if reply.status == 503:
            attempt.refusal = str(reply.body.get("summary", attempt.last))
        else:
            attempt.unsure = True
        return None

    def _call(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
        patience_s: float,
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
                "timeout": {"connect": CONNECT_TIMEOUT_S, "read": patience_s}
            },
        )
        try:
            decoded = msgspec.json.decode(answer.content)
        except msgspec.DecodeError:
            decoded = {"error": "unreadable answer"}
        return Reply(answer.status, decoded)
