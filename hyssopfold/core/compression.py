"""Compression of what instances send each other."""

import zlib

# Smaller data fits into one packet either way.
MIN_COMPRESSED_BYTES = 1024
# The fastest level: rows repeat each other, and higher levels gain little.
_LEVEL = 1


class DecompressError(Exception):
    """Bytes that are no compressed data, or that decompress to too much."""


def compress(data: bytes) -> bytes:
    """Return compressed data."""
    return zlib.compress(data, _LEVEL)


def decompress(compressed: bytes, max_bytes: int) -> bytes:
    """Return the data that was compressed.

    Args:
        compressed: The compressed data.
        max_bytes: Largest size of the data; a few bytes can decompress to
            gigabytes.

    Raises:
        DecompressError: if the bytes are invalid or the data is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, max_bytes)
    except zlib.error as exc:
        raise DecompressError(f"invalid: {exc}") from exc
    if not decompressor.eof:
        raise DecompressError(f"truncated, or larger than {max_bytes} bytes")
    return data
