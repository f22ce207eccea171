from .node import StorageNode, node_id

__all__ = ["StorageNode", "node_id"]
