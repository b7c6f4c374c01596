"""Proof that a message comes from a process that holds a shared key."""

import collections
from collections.abc import Callable
import hashlib
import hmac
import logging
import os
import pathlib
import struct
import time

import msgspec

from hyssopfold import errors
from hyssopfold import logs

logger = logging.getLogger(__name__)

# MessagePack never uses this byte, so that a sealed message is told from a
# plain one by its first byte.
_MARK = 0xC1
_VERSION = 1
_HEAD = struct.Struct(">BB4sQ8s")
_MAC_BYTES = 16
OVERHEAD_BYTES = _HEAD.size + _MAC_BYTES
MAX_AGE_S = 30.0
MAX_REMEMBERED = 100_000
MIN_KEY_LETTERS = 16
MAX_KEYS = 8
_CONTEXT = b"hyssopfold-message-1"


class UnauthenticatedError(msgspec.DecodeError):
    """A message that no holder of our keys has sent just now."""


def read_keys(path: str) -> tuple[bytes, ...]:
    """Return the keys of a file: one a line, `#` begins a comment.

    Raises:
        InvalidDocumentError: listing what is wrong, without showing a key.
    """
    faults: list[errors.Fault] = []
    keys: list[bytes] = []
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        fault = errors.Fault(path, 1, "file", str(exc), "a readable UTF-8 file")
        raise errors.InvalidDocumentError([fault]) from exc
    for number, line in enumerate(text.splitlines(), 1):
        key = line.strip()
        if not key or key.startswith("#"):
            continue
        if len(key) < MIN_KEY_LETTERS:
            allowed = f"{MIN_KEY_LETTERS} letters or more"
            faults.append(
                errors.Fault(path, number, "key", "(hidden)", allowed)
            )
        keys.append(key.encode())
    if not 1 <= len(keys) <= MAX_KEYS:
        allowed = f"1 to {MAX_KEYS} keys, one a line"
        shown = f"{len(keys)} keys"
        faults.append(errors.Fault(path, 1, "file", shown, allowed))
    if faults:
        raise errors.InvalidDocumentError(faults)
    return tuple(keys)


class Keyring:
    """Seal messages with the first key; open those sealed with any.

    Without keys nothing is sealed and everything is opened, also what others
    sealed: so that keys can be brought to one process after another.

    Args:
        keys: Shared secrets; the first one seals.
        required: Refuse what is not sealed, once there is a key.
        clock: Returns UTC in seconds since 1970.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...] = (),
        required: bool = True,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._required = required
        self._clock = clock
        self._seen: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.replace(keys)

    def replace(self, keys: tuple[bytes, ...]) -> None:
        """Use other keys from now on."""
        self._keys = {_key_id(key): _derived(key) for key in keys}
        self._first = _key_id(keys[0]) if keys else b""

    def seal(self, kind: str, data: bytes) -> bytes:
        """Return `data` with the proof that we sent it as a `kind`, now."""
        if not self._first:
            return data
        stamp = int(self._clock() * 1000)
        head = _HEAD.pack(_MARK, _VERSION, self._first, stamp, os.urandom(8))
        return head + self._mac(self._first, head, kind, data) + data

    def open(self, kind: str, sealed: bytes) -> bytes:
        """Return the data in a sealed message of a `kind`.

        Raises:
            UnauthenticatedError: when the proof is missing, wrong, too old
                or was shown before.
        """
        if not sealed or sealed[0] != _MARK:
            if self._keys and self._required:
                raise UnauthenticatedError("not sealed; give the peer our key")
            return sealed
        if len(sealed) < OVERHEAD_BYTES:
            raise UnauthenticatedError("cut short")
        head, rest = sealed[: _HEAD.size], sealed[_HEAD.size :]
        mac, data = rest[:_MAC_BYTES], rest[_MAC_BYTES:]
        if self._keys:
            self._check(kind, head, mac, data)
        return data

    def _check(self, kind: str, head: bytes, mac: bytes, data: bytes) -> None:
        _, version, key_id, stamp, _ = _HEAD.unpack(head)
        if version != _VERSION or key_id not in self._keys:
            raise UnauthenticatedError("sealed with a key we do not hold")
        if not hmac.compare_digest(mac, self._mac(key_id, head, kind, data)):
            raise UnauthenticatedError("the proof does not fit the message")
        now = self._clock()
        if abs(now - stamp / 1000) > MAX_AGE_S:
            raise UnauthenticatedError(
                f"sealed {now - stamp / 1000:.0f} s ago; set the clocks"
            )
        self._refuse_replay(mac, now)

    def _refuse_replay(self, mac: bytes, now: float) -> None:
        """Refuse a message that was taken in before.

        Someone between two processes can record a message and send it again.
        Within `MAX_AGE_S` its proof is remembered; after that its time is
        refused. When more messages come than are remembered the oldest is
        forgotten: our messages are safe when doubled, as UDP may do that too.
        """
        while self._seen:
            oldest, until = next(iter(self._seen.items()))
            if until > now and len(self._seen) < MAX_REMEMBERED:
                break
            del self._seen[oldest]
        if mac in self._seen:
            raise UnauthenticatedError("shown before")
        self._seen[mac] = now + 2 * MAX_AGE_S

    def _mac(self, key_id: bytes, head: bytes, kind: str, data: bytes) -> bytes:
        message = b"".join((head, kind.encode(), b"\0", data))
        mac = hmac.digest(self._keys[key_id], message, "sha256")
        return mac[:_MAC_BYTES]


def load(
    path: str, required: bool, clock: Callable[[], float] = time.time
) -> Keyring:
    """Return the keyring of a key file; no path gives one without keys.

    Raises:
        InvalidDocumentError: when the file cannot be used.
    """
    return Keyring(read_keys(path) if path else (), required, clock)


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"hyssopfold-key-id" + key).digest()[:4]


def _derived(key: bytes) -> bytes:
    """Return the key for messages, apart from other uses of a secret."""
    return hmac.digest(key, _CONTEXT, "sha256")


def reload(keyring: Keyring, path: str) -> None:
    """Read a key file again; a file that cannot be used changes nothing.

    Raises:
        InvalidDocumentError: when the file cannot be used.
    """
    keyring.replace(read_keys(path))
    logger.info(logs.Event("keys-read", path=path))
