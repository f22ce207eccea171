"""Rendezvous (highest random weight) hashing."""

from functools import lru_cache
from hashlib import blake2b

__all__ = ["rank"]


@lru_cache(maxsize=16384)
def rank(key: str, name: str) -> bytes:
    """The rendezvous rank of a name for a key: whoever knows the same names picks the same one."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
