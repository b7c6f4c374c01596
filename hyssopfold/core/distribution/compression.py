"""Compression of the payloads of updates."""

import zlib

from hyssopfold.core.distribution import difference

# Larger decompressed payloads are rejected: a few bytes can decompress to
# gigabytes. Same as the largest uncompressed message between instances.
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024
# Smaller payloads fit into one packet either way.
MIN_COMPRESSED_BYTES = 1024
# The fastest level; rows repeat each other, and higher levels gain little.
_LEVEL = 1


def compress(payload: bytes) -> bytes:
    """Return a compressed payload."""
    return zlib.compress(payload, _LEVEL)


def decompress(compressed: bytes) -> bytes:
    """Return the payload that was compressed.

    Raises:
        MismatchError: if the bytes are invalid or the payload is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(compressed, MAX_PAYLOAD_BYTES)
    except zlib.error as exc:
        raise difference.MismatchError(f"compressed payload: {exc}") from exc
    if not decompressor.eof:
        raise difference.MismatchError(
            "compressed payload: truncated or too large"
        )
    return payload
