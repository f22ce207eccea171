"""The volatile cache of log bytes, kept in the gateways' memory."""

from .cache import Cache

__all__ = ["Cache"]
