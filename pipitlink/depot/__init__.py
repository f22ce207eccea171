from .node import DepotNode, node_id

__all__ = ["DepotNode", "node_id"]
