"""Admits storage nodes to the cluster state and removes them, one change of the set of witnesses at a time."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..timers import ZERO, RepeatingCall, ms, secs
from ..wire.cluster_pb2 import Command, StorageNodeEdit
from .interfaces import ConsensusView, EditDelivery, LeaderLog
from .leadership import may_change_placement
from .placement_planner import replicas_per_node
from .storage_nodes import StorageNodeView, StorageStatus

__all__ = ["WitnessChanges"]

CHECK_INTERVAL = ms(100)
IDLE_CHECK_INTERVAL = ms(300)
CHANGE_TIMEOUT = secs(3)


class WitnessChanges:
    """Runs on the leader: changes the set of witnesses, which are the storage nodes that are not retired.

    Each change must be in effect at more than half of the witnesses before the next one starts.
    """

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusView,
        leader_log: LeaderLog,
        delivery: EditDelivery,
        storage_nodes: StorageNodeView,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._leader_log = leader_log
        self._delivery = delivery
        self._storage_nodes = storage_nodes

    def start_timer(self) -> RepeatingCall:
        """Starts the timer and returns it, so that it can be woken after an election."""
        return self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL,
            self._update_witnesses,
            self._ctx.error_reporter("check_witnesses"),
            idle_time=self._next_check,
        )

    def _next_check(self) -> timedelta | None:
        if not self._consensus.is_leader:
            return None
        return IDLE_CHECK_INTERVAL if self._is_confirmed() else ZERO

    def _is_confirmed(self) -> bool:
        """Returns whether the cluster state records that the last change of the witnesses is in effect."""
        cluster_state = self._consensus.cluster_state
        return cluster_state.confirmed_witness_change == cluster_state.witnesses_changed_at

    async def _update_witnesses(self) -> None:
        """Confirms the last change of the witnesses, then proposes the next."""
        if not may_change_placement(self._ctx, self._consensus, self._leader_log):
            return
        await self._confirm_change()
        if not self._is_confirmed():
            return
        admitted = await self._admit_storage_node()
        if not admitted:
            await self._release_storage_node()

    async def _confirm_change(self) -> None:
        """Records in the cluster state, once the last change of the witnesses is in effect, that it is.

        Until then, an edit is in effect only at more than half of the witnesses; afterwards, half of them are enough.
        """
        changed_at = self._consensus.cluster_state.witnesses_changed_at
        if not self._is_confirmed() and self._delivery.is_in_effect(changed_at):
            await self._leader_log.propose(Command(witness_change=changed_at))

    async def _admit_storage_node(self) -> bool:
        """Admits one live storage node that follows the cluster state; returns whether there was one."""
        for member in self._storage_nodes.candidates(self._consensus.cluster_state):
            if member.node in self._delivery.followers:
                await self._change(
                    StorageNodeEdit(storage_node=member.node, status=StorageStatus.SERVING, name=member.name)
                )
                self._ctx.logger.info("storage_node_admitted", storage_node=member.node, zone=member.zone)
                return True
        return False

    async def _release_storage_node(self) -> None:
        """Releases one storage node without replicas: a retiring node becomes retired, a lost node is removed."""
        for node, status in self._consensus.cluster_state.storage_nodes.items():
            target = self._release_target(node, status)
            if target is not None:
                await self._change(StorageNodeEdit(storage_node=node, status=target))
                self._ctx.logger.info("storage_node_released", storage_node=node, status=target.value)
                return

    def _release_target(self, node: str, status: str) -> StorageStatus | None:
        """Returns the status to which a storage node is released, or None if it stays."""
        cluster_state = self._consensus.cluster_state
        if not cluster_state.placement_groups or replicas_per_node(cluster_state)[node]:
            return None
        if status == StorageStatus.RETIRING:
            return StorageStatus.RETIRED
        if status != StorageStatus.RETIRED and self._storage_nodes.is_lost(node):
            return StorageStatus.REMOVED
        return None

    async def _change(self, edit: StorageNodeEdit) -> None:
        """Returns once the change is in effect at more than half of the witnesses."""
        await self._delivery.edit(Command(storage_node=edit), CHANGE_TIMEOUT)
