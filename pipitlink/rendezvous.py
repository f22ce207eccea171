"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

__all__ = ["rank"]

CACHED_RANKS = 16384
RANK_BYTES = 8


@lru_cache(maxsize=CACHED_RANKS)
def rank(key: str, name: str) -> bytes:
    """Returns the weight of a name for a key; nodes that know the same names rank them in the same order."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=RANK_BYTES).digest()
