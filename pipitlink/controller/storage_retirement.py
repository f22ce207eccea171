"""Retires storage nodes at an operator's request."""

from __future__ import annotations

from ..cluster import ClusterState
from ..context import Context
from ..errors import ApiError, NotFound
from ..timers import secs
from ..wire.cluster_pb2 import Command, StorageNodeEdit
from .edit_fencing import EditFencing
from .edit_submission import EditSubmission
from .storage_nodes import StorageNodeView, StorageStatus

__all__ = ["StorageRetirement"]

RECENT_LOSS_WINDOW = secs(15)
"""A storage node lost within this time may come back."""


class StorageRetirement:
    """Retires storage nodes by node id, or by name, which persists across processes."""

    def __init__(
        self, ctx: Context, submission: EditSubmission, edit_fencing: EditFencing, storage_nodes: StorageNodeView
    ) -> None:
        self._ctx = ctx
        self._submission = submission
        self._edit_fencing = edit_fencing
        self._storage_nodes = storage_nodes

    async def retire(self, name: str, edit: str) -> int:
        """Starts to retire the storage node; returns the sequence at which that is in effect.

        Repeated requests have no further effect. The remaining capacity is checked again if any storage node changed
        before the edit took effect. Raises ApiError.
        """
        arrived_at = await self._edit_fencing.admit()
        while True:
            cluster_state = await self._submission.newest_cluster_state()
            serving = self._serving_nodes_named(cluster_state, name)
            if not serving:
                return cluster_state.sequence
            self.check_capacity(cluster_state, serving[0])
            self._edit_fencing.check_timely(arrived_at)
            await self._retire_node(serving[0], f"{edit}/{serving[0]}", cluster_state.sequence)

    async def status(self, name: str) -> StorageStatus:
        """Returns whether the storage node is retired or still serving. Raises ApiError."""
        cluster_state = await self._submission.newest_cluster_state()
        nodes = self._nodes_named(cluster_state, name)
        if all(cluster_state.storage_nodes[node] == StorageStatus.RETIRED for node in nodes):
            return StorageStatus.RETIRED
        return StorageStatus.SERVING

    def check_capacity(self, cluster_state: ClusterState, leaving: str) -> None:
        """Raises ApiError if too few storage nodes would remain without the leaving one.

        Nodes that are temporarily unreachable and nodes that are not admitted yet count as remaining.
        """
        remaining = [
            node
            for node, status in cluster_state.storage_nodes.items()
            if status == StorageStatus.SERVING and node != leaving and not self._storage_nodes.is_replaced(node)
        ]
        replicas = self._ctx.settings.replica_count
        remaining_count = len(remaining) + len(self._storage_nodes.candidates(cluster_state))
        if remaining_count >= replicas:
            return
        enough_soon = remaining_count + self._recently_lost(cluster_state) >= replicas
        raise ApiError(
            f"only {remaining_count} storage nodes would remain, and each placement group needs {replicas}",
            code="too_few_copies_now" if enough_soon else "too_few_copies",
            status=503 if enough_soon else 409,
            outcome="not_run",
            retry_after=1 if enough_soon else 0,
        )

    def _recently_lost(self, cluster_state: ClusterState) -> int:
        """Returns how many storage nodes were removed from the cluster state recently and may come back."""
        return sum(
            member.node not in cluster_state.storage_nodes
            and self._ctx.membership.time_in_status(member.node) < RECENT_LOSS_WINDOW
            and not self._storage_nodes.is_replaced(member.node)
            for member in self._ctx.membership.members("storage", statuses=("gone",))
        )

    def _nodes_named(self, cluster_state: ClusterState, name: str) -> list[str]:
        """Returns the storage nodes with this id or name. Raises NotFound, or ApiError if none is admitted yet."""
        if name in cluster_state.storage_nodes:
            return [name]
        named = {node for node, known_name in cluster_state.storage_node_names.items() if known_name == name}
        members = {
            member.node
            for member in self._ctx.membership.all_members()
            if member.role == "storage" and member.name == name
        }
        found = sorted((named | members) & set(cluster_state.storage_nodes))
        if not found and members:
            raise ApiError(
                f"storage node {name} is not admitted yet",
                code="not_admitted",
                status=503,
                outcome="not_run",
                retry_after=1,
            )
        if not found:
            raise NotFound("there is no such storage node", code="no_such_storage_node", field="storage_node")
        return found

    def _serving_nodes_named(self, cluster_state: ClusterState, name: str) -> list[str]:
        return [
            node
            for node in self._nodes_named(cluster_state, name)
            if cluster_state.storage_nodes[node] == StorageStatus.SERVING
        ]

    async def _retire_node(self, storage_node: str, edit: str, read_at: int) -> None:
        """Marks one storage node as retiring, unless any storage node has changed since the sequence `read_at`."""
        change = StorageNodeEdit(storage_node=storage_node, status=StorageStatus.RETIRING)
        await self._submission.submit(Command(edit=edit, storage_node=change, fencing_token=read_at))
