"""How logs are cut into chunks for the data cache."""

from hashlib import blake2b

__all__ = ["CHUNK", "chunk_key"]

CHUNK = 4096


def chunk_key(path: str, n: int) -> bytes:
    """Returns the 16-byte cache key of chunk `n`, bytes `n * CHUNK` on, of a log."""
    return blake2b(f"{path}\0{n}".encode(), digest_size=16).digest()
