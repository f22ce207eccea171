"""The cluster state that controllers agree on, and how other nodes follow it."""

from .cluster_state import ClusterState, OutcomeCode
from .follower import ClusterFollower

__all__ = ["ClusterFollower", "ClusterState", "OutcomeCode"]
