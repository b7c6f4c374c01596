"""Digests that identify a request when its caller sends it again."""

from collections.abc import Iterable
import hashlib

from hyssopfold.core.attempts import quarantine

# Headers that distinguish callers.
CREDENTIAL_HEADERS = (b"authorization", b"cookie", b"x-api-key")
# Longer bodies are distinguished by their first bytes only.
MAX_HASHED_BODY_BYTES = 64 * 1024

_BODY_DIGEST_BYTES = 8


def digest(parts: Iterable[bytes], size: int = 16) -> bytes:
    """Return a digest of several parts, which may contain any bytes.

    Args:
        parts: The parts; another division into parts gives another digest.
        size: Length of the digest in bytes.
    """
    sized = b"".join(b"%d:%s" % (len(part), part) for part in parts)
    return hashlib.blake2b(sized, digest_size=size).digest()


class Fingerprint:
    """Incremental digest of a request's head and of its body as it is read.

    Args:
        head: Parts of the head that are equal in two equal requests.

    Attributes:
        head_digest: Digest of these parts.
    """

    def __init__(self, head: Iterable[bytes]) -> None:
        self.head_digest = digest(head, quarantine.HEAD_BYTES)
        self._hash = hashlib.blake2b(digest_size=_BODY_DIGEST_BYTES)
        self._remaining_bytes = MAX_HASHED_BODY_BYTES

    def add(self, part: bytes) -> None:
        """Add the next part of the body."""
        if self._remaining_bytes:
            self._hash.update(part[: self._remaining_bytes])
            self._remaining_bytes = max(0, self._remaining_bytes - len(part))

    @property
    def is_full(self) -> bool:
        """Return whether the rest of the body no longer affects the digest."""
        return not self._remaining_bytes

    def value(self) -> bytes:
        """Return the digest of the head, then that of the body added so far."""
        return self.head_digest + self._hash.digest()
