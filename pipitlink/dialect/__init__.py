"""The external formats of the routes interface: header names, paths and JSON formats, in one replaceable class."""

from .batches import BatchFormat
from .control import ControlFormat
from .headers import HeaderNames

__all__ = ["Dialect"]


class Dialect(HeaderNames, BatchFormat, ControlFormat):
    """The formats for clients, engines and operators of routes.

    These are the product's own names, which a platform may replace in a subclass.
    """
