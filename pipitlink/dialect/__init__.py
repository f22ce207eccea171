"""The names, paths and JSON shapes of the routes interface, in one replaceable class."""

from .batches import BatchFormat
from .control import ControlFormat
from .headers import HeaderNames

__all__ = ["Dialect"]


class Dialect(HeaderNames, BatchFormat, ControlFormat):
    """How callers, engines and operators of routes are spoken to; the product's own words, which a platform may
    replace.
    """
