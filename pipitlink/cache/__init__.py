from .cache import Cache

__all__ = ["Cache"]
