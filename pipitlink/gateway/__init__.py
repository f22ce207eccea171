"""Gateways of the models interface: live requests, fetches and batch jobs.

A batch job holds items that run within hours, in the capacity that live requests leave. Callers, settings, metrics,
log events and stored records call it a lot; this package says job, since a batch is what the routes interface has
(`pipitlink.router`).
"""

from .node import GatewayNode

__all__ = ["GatewayNode"]
