"""Gateways of the models interface: live requests, fetches and lots.

A lot is a batch job of this interface: items that run within hours in the capacity that live requests leave. The
interface, the stored records and this package call it a lot, since a batch is what the routes interface has
(`pipitlink.router`).
"""

from .node import GatewayNode

__all__ = ["GatewayNode"]
