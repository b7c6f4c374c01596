"""Client of the operators' API, which asks one instance after another."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import httpcore
import msgspec

from hyssopfold import errors

TIMEOUT_S = 15.0


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: dict[str, Any]


class Client:
    """Call the control instances over HTTP.

    Args:
        urls: Base URLs of the instances.
        token: Operators' token, or empty.
    """

    def __init__(self, urls: Sequence[str], token: str = "") -> None:
        self._urls = tuple(urls)
        self._token = token

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

    def _ask(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> Reply:
        unsure = False
        last = "no instance is configured"
        for url in self._urls:
            try:
                reply = self._call(method, url + path, body)
            except (httpcore.NetworkError, httpcore.TimeoutException,
                    httpcore.ProtocolError) as exc:  # fmt: skip
                unsure = unsure or not isinstance(exc, httpcore.ConnectError)
                last = f"{type(exc).__name__} {exc}".strip()
                continue
            if reply.status < 500:
                return reply
            unsure = unsure or reply.status == 504
            last = str(reply.body.get("error", reply.status))
        if unsure and body is not None:
            raise errors.OutcomeUnknownError(body["change_id"])
        raise errors.PeerUnavailableError(", ".join(self._urls), last)

    def _call(
        self, method: str, url: str, body: dict[str, Any] | None
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
            extensions={"timeout": {"connect": 2.0, "read": TIMEOUT_S}},
        )
        try:
            decoded = msgspec.json.decode(answer.content)
        except msgspec.DecodeError:
            decoded = {"error": "unreadable answer"}
        return Reply(answer.status, decoded)
