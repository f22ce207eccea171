from .follower import Cluster
from .cluster_state import ClusterState

__all__ = ["Cluster", "ClusterState"]
