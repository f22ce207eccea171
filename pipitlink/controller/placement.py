"""Assigns placement groups to storage nodes, and moves them away from lost or retiring nodes."""

from __future__ import annotations

from datetime import timedelta

from ..context import Context
from ..timers import RepeatingCall, ms, secs
from ..wire.cluster_pb2 import Command, PlacementGroupRow
from ..wire.cluster_pb2 import Placement as PlacementChange
from ..wire.replicated_log_pb2 import CaughtUp
from .interfaces import ConsensusView, LeaderLog
from .leadership import may_change_placement
from .placement_planner import CaughtUpReplica, PlacementPlanner
from .storage_nodes import StorageNodeView

__all__ = ["PlacementController"]

FEWER_REPLICAS_AFTER = secs(5)
"""A new cluster starts with fewer replicas than configured only after this time."""
MIN_REPLICAS = 3
CHECK_INTERVAL = ms(100)
IDLE_CHECK_INTERVAL = ms(300)


class PlacementController:
    """Runs on the leader: creates the placement groups, and proposes the changes that the planner chooses."""

    def __init__(
        self,
        ctx: Context,
        consensus: ConsensusView,
        leader_log: LeaderLog,
        storage_nodes: StorageNodeView,
        planner: PlacementPlanner,
    ) -> None:
        self._ctx = ctx
        self._consensus = consensus
        self._leader_log = leader_log
        self._storage_nodes = storage_nodes
        self._planner = planner
        self._timer: RepeatingCall | None = None

    def open(self) -> None:
        """Registers the RPC handler for reports from storage nodes."""
        self._ctx.rpc.register_handler("controller.caught_up", CaughtUp, self._handle_caught_up)

    def start_timer(self) -> RepeatingCall:
        """Starts the timer and returns it, so that it can be woken after an election."""
        self._timer = self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL,
            self._update_placement,
            self._ctx.error_reporter("check_placement"),
            idle_time=self._next_check,
        )
        return self._timer

    async def _handle_caught_up(self, _node: str, report: CaughtUp) -> None:
        replica = CaughtUpReplica(report.placement_group, report.sequence, report.storage_node)
        self._planner.add_caught_up(replica)
        if self._timer is not None:
            self._timer.wake()

    def _next_check(self) -> timedelta | None:
        return IDLE_CHECK_INTERVAL if self._consensus.is_leader else None

    async def _update_placement(self) -> None:
        if not may_change_placement(self._ctx, self._consensus, self._leader_log):
            return
        if not self._consensus.cluster_state.placement_groups:
            await self._create_groups()
            return
        changes = self._planner.next_changes()
        if changes:
            await self._propose(changes)
            for change in changes:
                self._log_change(change)

    async def _propose(self, groups: list[PlacementGroupRow]) -> None:
        await self._leader_log.propose(Command(placement=PlacementChange(placement_groups=groups)))

    def _log_change(self, group: PlacementGroupRow) -> None:
        self._ctx.logger.info(
            "placement_group_changed",
            placement_group=group.number,
            sequence=group.sequence,
            storage_nodes=",".join(group.storage_nodes),
            joining=group.joining,
            leaving=group.leaving,
        )

    async def _create_groups(self) -> None:
        """Proposes the first placement groups, once enough storage nodes are admitted."""
        if self._storage_nodes.candidates(self._consensus.cluster_state):
            return
        storage_nodes = self._storage_nodes.serving()
        replicas = self._ctx.settings.replica_count
        if len(storage_nodes) < replicas:
            waited = self._ctx.timers.now() - self._leader_log.elected_at
            if waited <= FEWER_REPLICAS_AFTER or len(storage_nodes) < MIN_REPLICAS:
                return
            replicas = MIN_REPLICAS
        groups = self._planner.initial_groups(storage_nodes, replicas)
        await self._propose(groups)
        self._ctx.logger.info(
            "placement_groups_created", placement_groups=len(groups), storage_nodes=len(storage_nodes)
        )
