"""The cluster state that controllers agree on, and how other nodes follow it."""

from .cluster_state import ClusterState
from .follower import Cluster

__all__ = ["Cluster", "ClusterState"]
