"""Retires storage nodes on an operator's request."""

from ..cluster import ClusterState
from ..errors import ApiError, NotFound
from ..wire.cluster_pb2 import Command, StorageNodeEdit
from .orders import HANG_UP_SPAN

__all__ = ["Retiring"]


class Retiring:
    """Mixin: storage nodes are retired by their id or by their name, which outlives their process.

    Offers `retire` and `retirement`.
    Needs of the node: `_ctx`; of Edits: `newest`, `decide`; of Orders: `check_timely`; of Placement:
    `check_retirement`.
    Owns no attributes.
    """

    def _storage_nodes_called(self, cluster_state: ClusterState, name: str) -> list[str]:
        if name in cluster_state.storage_nodes:
            return [name]
        named = {d for d, n in cluster_state.storage_node_names.items() if n == name}
        heard = {m.node for m in self._ctx.membership.all_members() if m.role == "storage" and m.name == name}
        found = sorted((named | heard) & set(cluster_state.storage_nodes))
        if not found and heard:
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

    async def retire(self, name: str, edit: str) -> int:
        """Has the storage node emptied; returns the sequence at which that is in effect. To ask again changes
        nothing. The room that is left is checked again where any storage node changed before this took effect.
        """
        arrived = self._ctx.timers.now()
        self.check_timely(arrived)
        await self._ctx.timers.sleep(HANG_UP_SPAN)
        while True:
            cluster_state = await self.newest()
            serving = self._serving_called(cluster_state, name)
            if not serving:
                return cluster_state.sequence
            self.check_retirement(cluster_state, serving[0])
            self.check_timely(arrived)
            await self._retire_one(serving[0], f"{edit}/{serving[0]}", cluster_state.sequence)

    def _serving_called(self, cluster_state: ClusterState, name: str) -> list[str]:
        called = self._storage_nodes_called(cluster_state, name)
        return [d for d in called if cluster_state.storage_nodes[d] == "serving"]

    async def _retire_one(self, storage_node: str, edit: str, read_at: int):
        """Has one storage node emptied, unless any storage node changed since its room was checked."""
        c = Command(
            edit=edit, storage_node=StorageNodeEdit(storage_node=storage_node, status="retiring"), fencing_token=read_at
        )
        await self.decide(c)

    async def retirement(self, name: str) -> str:
        cluster_state = await self.newest()
        done = all(cluster_state.storage_nodes[d] == "retired" for d in self._storage_nodes_called(cluster_state, name))
        return "retired" if done else "serving"
