"""Authentication of messages between instances by shared keys.

A sealed message starts with a header and a message authentication code (MAC)
over the header, the kind of the message and its data. It is not encrypted.
"""

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

# First byte of a sealed message. MessagePack never uses it, so it distinguishes
# a sealed message from a plain one.
_MARK = 0xC1
_VERSION = 1
# Mark, version, key id, UTC in milliseconds and a nonce.
_HEADER = struct.Struct(">BB4sQ8s")
_MAC_BYTES = 16
OVERHEAD_BYTES = _HEADER.size + _MAC_BYTES
MAX_AGE_S = 30.0
MAX_REMEMBERED_MACS = 100_000
MIN_KEY_CHARACTERS = 16
MAX_KEYS = 8
_CONTEXT = b"hyssopfold-message-1"


class UnauthenticatedError(msgspec.DecodeError):
    """A message without a valid, recent and unused proof of its sender."""


def read_keys(path: str) -> tuple[bytes, ...]:
    """Return the keys in a file.

    Args:
        path: A text file with one key per line; `#` begins a comment.

    Raises:
        InvalidDocumentError: if the file is unreadable or a key is invalid; the
            error lists the faults but shows no key.
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
        if len(key) < MIN_KEY_CHARACTERS:
            allowed = f"{MIN_KEY_CHARACTERS} characters or more"
            faults.append(
                errors.Fault(path, number, "key", "(hidden)", allowed)
            )
        keys.append(key.encode())
    if not 1 <= len(keys) <= MAX_KEYS:
        allowed = f"1 to {MAX_KEYS} keys, one per line"
        shown = f"{len(keys)} keys"
        faults.append(errors.Fault(path, 1, "file", shown, allowed))
    if faults:
        raise errors.InvalidDocumentError(faults)
    return tuple(keys)


class Keyring:
    """Shared keys that seal and verify the messages between instances.

    Gossip and gRPC use one keyring per process. It seals messages with the
    first key and accepts messages sealed with any of the keys. Without keys it
    seals nothing and accepts all messages, sealed ones too; this allows an
    operator to add keys to one process after another.

    Args:
        keys: Shared secrets; the first one seals.
        required: Whether to reject plain messages once there is a key.
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
        self._seen_macs: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.replace(keys)

    def replace(self, keys: tuple[bytes, ...]) -> None:
        """Replace the keys."""
        self._keys = {_key_id(key): _derive_key(key) for key in keys}
        self._sealing_key_id = _key_id(keys[0]) if keys else b""

    def seal(self, kind: str, data: bytes) -> bytes:
        """Return `data` with a header and a MAC; unchanged without keys.

        Args:
            kind: Kind of the message, which the MAC covers.
            data: The encoded message.
        """
        if not self._sealing_key_id:
            return data
        utc_ms = int(self._clock() * 1000)
        header = _HEADER.pack(
            _MARK, _VERSION, self._sealing_key_id, utc_ms, os.urandom(8)
        )
        return (
            header + self._mac(self._sealing_key_id, header, kind, data) + data
        )

    def open(self, kind: str, sealed: bytes) -> bytes:
        """Verify a message and return its data.

        Args:
            kind: Kind that the message must have been sealed as.
            sealed: The message as received.

        Raises:
            UnauthenticatedError: if the seal is missing, wrong, too old or a
                replay.
        """
        if not sealed or sealed[0] != _MARK:
            if self._keys and self._required:
                raise UnauthenticatedError(
                    "message is not sealed; configure our key at the peer"
                )
            return sealed
        if len(sealed) < OVERHEAD_BYTES:
            raise UnauthenticatedError("truncated message")
        header, rest = sealed[: _HEADER.size], sealed[_HEADER.size :]
        mac, data = rest[:_MAC_BYTES], rest[_MAC_BYTES:]
        if self._keys:
            self._verify(kind, header, mac, data)
        return data

    def _verify(
        self, kind: str, header: bytes, mac: bytes, data: bytes
    ) -> None:
        _, version, key_id, utc_ms, _ = _HEADER.unpack(header)
        if version != _VERSION or key_id not in self._keys:
            raise UnauthenticatedError("sealed with a key we do not hold")
        if not hmac.compare_digest(mac, self._mac(key_id, header, kind, data)):
            raise UnauthenticatedError("the MAC does not match the message")
        now = self._clock()
        if abs(now - utc_ms / 1000) > MAX_AGE_S:
            raise UnauthenticatedError(
                f"sealed {now - utc_ms / 1000:.0f} s ago; set the clocks"
            )
        self._reject_replay(mac, now)

    def _reject_replay(self, mac: bytes, now: float) -> None:
        """Reject a message that was received before.

        An attacker between two processes can record a message and send it
        again. Its MAC is remembered for twice `MAX_AGE_S`, since its time stamp
        may be `MAX_AGE_S` ahead; later its time stamp is rejected. If more
        messages arrive than `MAX_REMEMBERED_MACS`, the oldest MAC is forgotten.
        This is acceptable, since all messages are safe when received twice; UDP
        may duplicate them too.
        """
        while self._seen_macs:
            oldest, expires = next(iter(self._seen_macs.items()))
            if expires > now and len(self._seen_macs) < MAX_REMEMBERED_MACS:
                break
            del self._seen_macs[oldest]
        if mac in self._seen_macs:
            raise UnauthenticatedError("received before")
        self._seen_macs[mac] = now + 2 * MAX_AGE_S

    def _mac(
        self, key_id: bytes, header: bytes, kind: str, data: bytes
    ) -> bytes:
        message = b"".join((header, kind.encode(), b"\0", data))
        mac = hmac.digest(self._keys[key_id], message, "sha256")
        return mac[:_MAC_BYTES]


def load(
    path: str, required: bool, clock: Callable[[], float] = time.time
) -> Keyring:
    """Return the keyring of a key file.

    Args:
        path: The key file; if empty, the keyring has no keys.
        required: Whether to reject plain messages once there is a key.
        clock: Returns UTC in seconds since 1970.

    Raises:
        InvalidDocumentError: if the file is unreadable or invalid.
    """
    return Keyring(read_keys(path) if path else (), required, clock)


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"hyssopfold-key-id" + key).digest()[:4]


def _derive_key(key: bytes) -> bytes:
    """Return a key for messages that differs from other uses of the secret."""
    return hmac.digest(key, _CONTEXT, "sha256")


def reload(keyring: Keyring, path: str) -> None:
    """Read a key file again.

    Args:
        keyring: Gets the new keys; unchanged if the file is invalid.
        path: The key file.

    Raises:
        InvalidDocumentError: if the file is unreadable or invalid.
    """
    keyring.replace(read_keys(path))
    logger.info(logs.Event("keys-read", path=path))
