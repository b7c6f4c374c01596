"""Digests by which requests are recognised when they come again."""

from collections.abc import Iterable
import hashlib

from hyssopfold.core.attempts import quarantine

# What tells one caller from another.
CREDENTIAL_HEADERS = (b"authorization", b"cookie", b"x-api-key")
# Longer bodies are told apart by their first bytes alone.
MAX_HASHED_BODY_BYTES = 64 * 1024

_BODY_DIGEST_BYTES = 8


def digest(parts: Iterable[bytes], size: int = 16) -> bytes:
    """Return one digest of some parts, whatever bytes are in them."""
    sized = b"".join(b"%d:%s" % (len(part), part) for part in parts)
    return hashlib.blake2b(sized, digest_size=size).digest()


class Fingerprint:
    """The digest of a request's head and body, as far as it was read.

    Args:
        head: Parts of the head that two equal requests share.
    """

    def __init__(self, head: Iterable[bytes]) -> None:
        self.head_digest = digest(head, quarantine.HEAD_BYTES)
        self._hash = hashlib.blake2b(digest_size=_BODY_DIGEST_BYTES)
        self._room = MAX_HASHED_BODY_BYTES

    def add(self, part: bytes) -> None:
        """Take in the next part of the body."""
        if self._room:
            self._hash.update(part[: self._room])
            self._room = max(0, self._room - len(part))

    @property
    def is_full(self) -> bool:
        """Return whether the rest of the body makes no difference."""
        return not self._room

    def value(self) -> bytes:
        """Return the digests of the head and of what was taken in."""
        return self.head_digest + self._hash.digest()
