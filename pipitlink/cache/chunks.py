"""The division of logs into chunks for the data cache."""

from __future__ import annotations

from hashlib import blake2b

__all__ = ["CHUNK_BYTES", "chunk_key"]

CHUNK_BYTES = 4096
KEY_BYTES = 16


def chunk_key(path: str, number: int) -> bytes:
    """Returns the 16-byte cache key of a chunk of a log: its bytes from `number * CHUNK_BYTES` on."""
    return blake2b(f"{path}\0{number}".encode(), digest_size=KEY_BYTES).digest()
