"""The cluster state that the controllers replicate, and the client with which other nodes follow it."""

from .cluster_state import ClusterState, OutcomeCode
from .follower import ClusterFollower

__all__ = ["ClusterFollower", "ClusterState", "OutcomeCode"]
