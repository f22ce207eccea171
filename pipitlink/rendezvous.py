"""Rendezvous (highest random weight) hashing."""

from hashlib import blake2b

__all__ = ["rank"]


def rank(key: str, name: str) -> bytes:
    """The rendezvous rank of a name for a key: whoever knows the same names picks the same one."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
