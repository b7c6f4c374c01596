"""Tokens that operators and backend servers show, by HTTP."""

import hmac

from hyssopfold import http
from hyssopfold.transport import auth

_SCHEME = b"bearer "


class Guard:
    """Let requests through that carry one of some tokens.

    Args:
        tokens: Tokens of which each is good; none lets all requests through.
        remedy: What the refused one can do.
    """

    def __init__(self, tokens: tuple[bytes, ...], remedy: str) -> None:
        self._tokens = tokens
        self._remedy = remedy

    def replace(self, tokens: tuple[bytes, ...]) -> None:
        """Use other tokens from now on."""
        self._tokens = tokens

    def refuse(self, scope: http.Scope) -> http.Answer | None:
        """Return the refusal of a request, or None when it may pass."""
        if not self._tokens or self._is_good(_shown(scope)):
            return None
        body = {
            "error": "unauthenticated",
            "summary": "the token is missing or not one of ours",
            "remedy": self._remedy,
        }
        answer = http.json_answer(body, 401)
        return answer._replace(headers=((b"www-authenticate", b"Bearer"),))

    def _is_good(self, shown: bytes) -> bool:
        """Compare with every token, each in constant time.

        The time of an early return would tell a guesser how many letters
        were right, or which token was tried.
        """
        good = [hmac.compare_digest(token, shown) for token in self._tokens]
        return any(good)


def load(path: str, remedy: str) -> Guard:
    """Return the guard of a token file; no path lets all through.

    Raises:
        InvalidDocumentError: when the file cannot be used.
    """
    return Guard(auth.read_keys(path) if path else (), remedy)


def _shown(scope: http.Scope) -> bytes:
    for name, value in scope["headers"]:
        if name == b"authorization":
            if value[: len(_SCHEME)].lower() == _SCHEME:
                return bytes(value[len(_SCHEME) :].strip())
            return b""
    return b""
