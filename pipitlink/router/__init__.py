"""Gateways of the routes interface: opaque requests by route, and batches."""

from .node import RouterNode

__all__ = ["RouterNode"]
