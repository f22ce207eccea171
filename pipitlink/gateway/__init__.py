"""Gateways of the models interface: live requests, fetches and lots."""

from .node import GatewayNode

__all__ = ["GatewayNode"]
