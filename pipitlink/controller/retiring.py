"""Retires storage nodes on an operator's request."""

from ..cluster import ClusterState
from ..errors import GatewayError, NotFound
from ..wire.cluster_pb2 import Command, StorageNodeEdit

__all__ = ["Retiring"]


class Retiring:
    """Mixin: storage nodes are retired by their id or by their name, which outlives their process.

    Offers `retire` and `retirement`.
    Needs of the node: `_ctx`; of Edits: `newest`, `decide`; of Placement: `check_retirement`.
    Owns no attributes.
    """

    def _storage_nodes_called(self, cluster_state: ClusterState, name: str) -> list[str]:
        if name in cluster_state.storage_nodes:
            return [name]
        named = {d for d, n in cluster_state.storage_node_names.items() if n == name}
        heard = {m.node for m in self._ctx.membership.everyone() if m.role == "storage" and m.name == name}
        found = sorted((named | heard) & set(cluster_state.storage_nodes))
        if not found and heard:
            raise GatewayError(
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
        nothing.
        """
        cluster_state = await self.newest()
        serving = [
            d for d in self._storage_nodes_called(cluster_state, name) if cluster_state.storage_nodes[d] == "serving"
        ]
        for d in serving:
            self.check_retirement(cluster_state, d)
        sequence = cluster_state.sequence
        for n, d in enumerate(serving):
            c = Command(
                edit=f"{edit}/{n}" if n else edit, storage_node=StorageNodeEdit(storage_node=d, status="retiring")
            )
            sequence = (await self.decide(c)).sequence
        return sequence

    async def retirement(self, name: str) -> str:
        cluster_state = await self.newest()
        done = all(cluster_state.storage_nodes[d] == "retired" for d in self._storage_nodes_called(cluster_state, name))
        return "retired" if done else "serving"
