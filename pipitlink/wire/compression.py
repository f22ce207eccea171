"""Compression of the bodies of frames between zones, where bytes are dear."""

from __future__ import annotations

import zlib

from ..errors import WireError

__all__ = ["compress_body", "decompress_body"]

# Shorter bodies gain less than a call costs.
MIN_BODY_BYTES = 400
SAMPLE_BYTES = 1024
# What does not shrink to this part of its size is sent as it is.
MAX_COMPRESSED_RATIO = 0.9
ZLIB_LEVEL = 1


def compress_body(body: bytes) -> bytes | None:
    """Returns a body compressed, or None where that gains too little.

    Of a long body a sample from its middle tells first, so that random bytes cost no more than the sample.
    """
    if len(body) < MIN_BODY_BYTES:
        return None
    if len(body) > 4 * SAMPLE_BYTES:
        middle = len(body) // 2
        if _compress_if_smaller(body[middle : middle + SAMPLE_BYTES]) is None:
            return None
    return _compress_if_smaller(body)


def _compress_if_smaller(data: bytes) -> bytes | None:
    compressed = zlib.compress(data, ZLIB_LEVEL)
    return compressed if len(compressed) <= MAX_COMPRESSED_RATIO * len(data) else None


def decompress_body(data: bytes, max_bytes: int) -> bytes:
    """Returns what was compressed. Raises WireError where it is damaged, or longer than `max_bytes`."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise WireError(f"a compressed body cannot be read: {error}") from error
    if not decompressor.eof:
        raise WireError(f"a compressed body is cut off, or longer than {max_bytes} bytes")
    return body
