"""The volatile cache of log contents in the memory of the gateways."""

from .cache import Cache

__all__ = ["Cache"]
