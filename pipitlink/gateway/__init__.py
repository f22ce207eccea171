"""Gateways of the models interface: live requests, fetches and batches.

A batch holds items that run within hours, in the capacity that live requests leave. The HTTP interface, settings,
metrics, log events and stored records call it a lot. The batches of the routes interface are separate: see
`pipitlink.router`.
"""

from .node import GatewayNode

__all__ = ["GatewayNode"]
