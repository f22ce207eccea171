"""Storage nodes: durable replicas of logs, and the leases on them."""

from .node import StorageNode
from .node_identity import node_id

__all__ = ["StorageNode", "node_id"]
