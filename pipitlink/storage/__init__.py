"""Storage nodes, which keep durable replicas of logs and grant leases on them."""

from .node import StorageNode
from .node_identity import node_id

__all__ = ["StorageNode", "node_id"]
