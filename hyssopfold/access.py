"""Checks the bearer tokens of operators and backend servers over HTTP."""

import hmac

from hyssopfold import http
from hyssopfold.transport import auth

_SCHEME = b"bearer "


class Guard:
    """Refuses HTTP requests without a valid bearer token.

    Args:
        tokens: Valid tokens; if empty, all requests pass.
        remedy: Text for a refused caller: how to get access.
    """

    def __init__(self, tokens: tuple[bytes, ...], remedy: str) -> None:
        self._tokens = tokens
        self._remedy = remedy

    def replace(self, tokens: tuple[bytes, ...]) -> None:
        """Accept these tokens from now on, in place of the previous ones."""
        self._tokens = tokens

    def refuse(self, scope: http.Scope) -> http.Answer | None:
        """Return the 401 answer for a request, or None if it may pass."""
        if not self._tokens or self._is_valid(_bearer_token(scope)):
            return None
        body = {
            "error": "unauthenticated",
            "summary": "the token is missing or not valid",
            "remedy": self._remedy,
        }
        answer = http.json_answer(body, 401)
        return answer._replace(headers=((b"www-authenticate", b"Bearer"),))

    def _is_valid(self, received: bytes) -> bool:
        """Compare with every token, each in constant time.

        The time of an early return would reveal to an attacker how many
        characters were right, or which token matched.
        """
        matches = [
            hmac.compare_digest(token, received) for token in self._tokens
        ]
        return any(matches)


def load(path: str, remedy: str) -> Guard:
    """Return a guard with the tokens of a file.

    Args:
        path: Token file; if empty, the guard lets all requests pass.
        remedy: Text for a refused caller: how to get access.

    Raises:
        InvalidDocumentError: when the file cannot be used.
    """
    return Guard(auth.read_keys(path) if path else (), remedy)


def _bearer_token(scope: http.Scope) -> bytes:
    for name, value in scope["headers"]:
        if name == b"authorization":
            if value[: len(_SCHEME)].lower() == _SCHEME:
                return bytes(value[len(_SCHEME) :].strip())
            return b""
    return b""
