"""The leader's view of the storage nodes: which are serving, which are lost, and which can be admitted."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from ..cluster import ClusterState
from ..context import Context
from ..timers import secs
from ..wire.membership_pb2 import Member
from .interfaces import ConsensusView, LeaderLog

__all__ = ["StorageNodeView", "StorageStatus"]

REPAIR_DELAY = secs(5)
"""How long a storage node without a replacement must be gone before its replicas are placed elsewhere."""
SUCCESSOR_MAX_AGE = secs(15)
"""Only a storage node discovered within this time is considered the successor of another one."""
SIMULTANEOUS_DISCOVERY_WINDOW = secs(2)
"""Nodes discovered within this time of each other count as discovered together, as at the start of this process."""


class StorageStatus(StrEnum):
    """The status of a storage node in the cluster state; an edit with REMOVED deletes the node."""

    SERVING = "serving"
    RETIRING = "retiring"
    RETIRED = "retired"
    REMOVED = "removed"


class StorageNodeView:
    """Combines cluster state and membership into a view of the storage nodes; stateless."""

    def __init__(self, ctx: Context, consensus: ConsensusView, leader_log: LeaderLog) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._leader_log = leader_log

    def serving(self) -> list[str]:
        """Returns the storage nodes that are serving and alive."""
        return [
            node
            for node, status in self._consensus.cluster_state.storage_nodes.items()
            if status == StorageStatus.SERVING and self._ctx.membership.status(node) == "alive"
        ]

    def candidates(self, cluster_state: ClusterState) -> list[Member]:
        """Returns the live storage nodes that are not yet admitted to this cluster state."""
        return [
            member
            for member in self._ctx.membership.members("storage", statuses=("alive",))
            if member.node not in cluster_state.storage_nodes and not self._is_name_retired(member.name)
        ]

    def is_lost(self, node: str) -> bool:
        """Returns whether a storage node is not expected back, so that its replicas must be placed elsewhere."""
        status = self._ctx.membership.status(node)
        if status == "unknown":
            return self._time_since_election() > REPAIR_DELAY or self.is_replaced(node)
        if status != "gone":
            return False
        gone_for = self._ctx.membership.time_in_status(node)
        return gone_for > REPAIR_DELAY or self.is_replaced(node) or self.has_successor(node)

    def is_replaced(self, node: str) -> bool:
        """Returns whether another storage node has taken over its address or name, so that it cannot come back.

        The name comes from the cluster state, so that it is known even if no controller has discovered the node since
        all controllers were restarted.
        """
        name = self._consensus.cluster_state.storage_node_names.get(node, "")
        replaced: bool = self._ctx.membership.is_replaced(node, name)
        return replaced

    def has_successor(self, node: str) -> bool:
        """Returns whether a serving storage node was discovered recently, and not together with this one.

        Such a node is considered this node's successor, so that the repair need not wait.
        """
        known_for = self._ctx.membership.known_for(node)
        if known_for is None:
            return False
        limit = min(known_for - SIMULTANEOUS_DISCOVERY_WINDOW, SUCCESSOR_MAX_AGE)
        return any(
            self._was_discovered_within(member.node, limit)
            and self._consensus.cluster_state.storage_nodes.get(member.node) == StorageStatus.SERVING
            for member in self._ctx.membership.members("storage", statuses=("alive",))
        )

    def _was_discovered_within(self, node: str, limit: timedelta) -> bool:
        known_for = self._ctx.membership.known_for(node)
        return known_for is not None and known_for < limit

    def _time_since_election(self) -> timedelta:
        return self._ctx.timers.now() - self._leader_log.elected_at

    def _is_name_retired(self, name: str) -> bool:
        """Returns whether a storage node of this name is retiring or retired: no other node of the name is admitted."""
        cluster_state = self._consensus.cluster_state
        return bool(name) and any(
            cluster_state.storage_nodes[node] != StorageStatus.SERVING
            for node, known_name in cluster_state.storage_node_names.items()
            if known_name == name
        )
