from .cluster_state import ClusterState
from .follower import Cluster

__all__ = ["Cluster", "ClusterState"]
