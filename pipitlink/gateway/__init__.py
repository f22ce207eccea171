from .node import GatewayNode

__all__ = ["GatewayNode"]
