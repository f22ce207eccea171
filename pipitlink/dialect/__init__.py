"""The external formats of the routes interface: names, paths and JSON shapes, in one replaceable class."""

from .batches import BatchFormat
from .control import ControlFormat
from .headers import HeaderNames

__all__ = ["Dialect"]


class Dialect(HeaderNames, BatchFormat, ControlFormat):
    """How callers, engines and operators of routes are spoken to: the product's own names, which a platform may
    replace.
    """
