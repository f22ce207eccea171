"""Compression of the bodies of frames between zones, where bytes are dear."""

from __future__ import annotations

import zlib

from ..errors import WireError

__all__ = ["compressed_body", "decompressed_body"]

# Shorter bodies gain less than a call costs.
MIN_BYTES = 400
SAMPLE_BYTES = 1024
# What does not shrink to this part of its size is sent as it is.
MAX_RATIO = 0.9
LEVEL = 1


def compressed_body(body: bytes) -> bytes | None:
    """Returns a body compressed, or None where that gains too little.

    Of a long body a sample from its middle tells first, so that random bytes cost no more than the sample.
    """
    if len(body) < MIN_BYTES:
        return None
    if len(body) > 4 * SAMPLE_BYTES:
        middle = len(body) // 2
        if _shrunk(body[middle : middle + SAMPLE_BYTES]) is None:
            return None
    return _shrunk(body)


def _shrunk(data: bytes) -> bytes | None:
    shrunk = zlib.compress(data, LEVEL)
    return shrunk if len(shrunk) <= MAX_RATIO * len(data) else None


def decompressed_body(data: bytes, max_bytes: int) -> bytes:
    """Returns what was compressed. Raises WireError where it is damaged, or longer than `max_bytes`."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise WireError(f"a compressed body cannot be read: {error}") from error
    if not decompressor.eof:
        raise WireError(f"a compressed body is cut off, or longer than {max_bytes} bytes")
    return body
