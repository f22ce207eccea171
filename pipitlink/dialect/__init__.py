"""The names, paths and JSON shapes of the routes interface, in one replaceable class."""

from .batches import BatchWords
from .control import ControlWords
from .headers import HeaderWords

__all__ = ["Dialect"]


class Dialect(HeaderWords, BatchWords, ControlWords):
    """How callers, engines and operators of routes are spoken to; the product's own words, which a platform may
    replace.
    """
