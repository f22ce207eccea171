"""The gateway of the routes interface: forwards opaque requests by route, and runs batches."""

from .node import RouterNode

__all__ = ["RouterNode"]
