"""Compression of frame bodies for traffic between zones, which costs more than traffic within one."""

from __future__ import annotations

import zlib

from ..errors import WireError

__all__ = ["compress_body", "decompress_body"]

# For shorter bodies, compression costs more than it saves.
MIN_BODY_BYTES = 400
SAMPLE_BYTES = 1024
# Bodies that do not shrink to this fraction of their size are sent uncompressed.
MAX_COMPRESSED_RATIO = 0.9
ZLIB_LEVEL = 1


def compress_body(body: bytes) -> bytes | None:
    """Returns the compressed body, or None if compression saves too little.

    For a long body, a sample from its middle is compressed first, so that incompressible bodies cost only the sample.
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
    """Returns the decompressed body. Raises WireError if it is damaged or longer than `max_bytes`."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise WireError(f"cannot decompress a frame body: {error}") from error
    if not decompressor.eof:
        raise WireError(f"compressed frame body is truncated, or longer than {max_bytes} bytes")
    return body
