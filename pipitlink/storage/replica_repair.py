"""Decides when a storage node updates its replicas from those of its peers."""

from __future__ import annotations

from datetime import timedelta

import attrs

from ..context import Context
from ..replicated_log.placement_group import PlacementGroup
from ..timers import ZERO, RepeatingCall, ms, secs
from ..wire.frame_pb2 import Empty
from ..wire.replicated_log_pb2 import CaughtUp
from .lease_grants import LeaseGrants
from .replica_transfer import ReplicaTransfer

__all__ = ["ReplicaRepair"]

TRANSFER_INTERVAL: timedelta = ms(100)
REPORT_INTERVAL: timedelta = ms(500)
REPORT_TIMEOUT: timedelta = ms(500)
RETRY_INTERVAL: timedelta = ms(300)
LEADER_CHECK_INTERVAL: timedelta = ms(300)
REPAIR_INTERVAL: timedelta = secs(3)


@attrs.frozen
class _CaughtUpReport:
    sequence: int
    reported_at: timedelta


class ReplicaRepair:
    """Starts transfers when this node joins a placement group, after a time without a leader, and periodically."""

    def __init__(self, ctx: Context, lease_grants: LeaseGrants, transfer: ReplicaTransfer) -> None:
        self._ctx = ctx
        self._lease_grants = lease_grants
        self._transfer = transfer
        self._own_groups: set[int] = set()
        self._outdated_groups: set[int] = set()
        self._had_leader = False
        self._next_repair_at = ZERO
        self._reports: dict[int, _CaughtUpReport] = {}
        self._transfers: RepeatingCall | None = None

    def open(self) -> None:
        """Starts to watch the placement, and starts the periodic tasks."""
        self._ctx.cluster.add_listener(self._placement_changed)
        timers, report = self._ctx.timers, self._ctx.error_reporter
        self._transfers = timers.call_repeatedly(
            TRANSFER_INTERVAL, self._transfer_all, report("replica_transfer"), idle_time=self._time_until_transfer
        )
        timers.call_repeatedly(LEADER_CHECK_INTERVAL, self._check_leader_contact, report("leader_check"))
        timers.call_repeatedly(REPAIR_INTERVAL, self._repair_all, report("replica_repair"))

    def _placement_groups(self) -> list[PlacementGroup]:
        """Returns the placement groups that this node belongs to or is joining."""
        cluster = self._ctx.cluster
        groups = [cluster.placement_group(number) for number in sorted(cluster.cluster_state.placement_groups)]
        return [group for group in groups if self._ctx.node in group.all_nodes]

    def _placement_changed(self) -> None:
        own_groups = {group.number for group in self._placement_groups()}
        for number in own_groups - self._own_groups:
            self._lease_grants.joined_placement_group(number)
        self._own_groups = own_groups
        self._wake()

    def _wake(self) -> None:
        if self._transfers is not None:
            self._transfers.wake()

    def _time_until_transfer(self) -> timedelta | None:
        """Returns the time until the next transfer, or None if only a placement change or a repair can cause one."""
        if any(self._ctx.node in group.transfer_targets for group in self._placement_groups()):
            return ZERO
        if not self._outdated_groups:
            return None
        return max(ZERO, self._next_repair_at - self._ctx.timers.now())

    async def _transfer_all(self) -> None:
        """Transfers missing data of this node's placement groups: first those that change, then outdated ones."""
        for placement_group in sorted(self._placement_groups(), key=lambda group: not group.is_moving):
            if self._ctx.node in placement_group.transfer_targets:
                await self._join(placement_group)
            elif placement_group.number in self._outdated_groups and self._ctx.timers.now() >= self._next_repair_at:
                await self._repair(placement_group)

    async def _join(self, placement_group: PlacementGroup) -> None:
        if self._reported_recently(placement_group):
            return
        if await self._transfer.transfer_placement_group(placement_group, True):
            await self._report_caught_up(placement_group)

    async def _repair(self, placement_group: PlacementGroup) -> None:
        if await self._transfer.transfer_placement_group(placement_group, False):
            self._outdated_groups.discard(placement_group.number)
        else:
            self._next_repair_at = self._ctx.timers.now() + RETRY_INTERVAL

    def _check_leader_contact(self) -> None:
        """Starts a repair after a start or a time without a leader, since this node may have missed writes."""
        has_leader = self._ctx.cluster.has_live_lease()
        if has_leader and not self._had_leader:
            self._repair_all()
        self._had_leader = has_leader

    def _repair_all(self) -> None:
        self._outdated_groups = {group.number for group in self._placement_groups()}
        self._wake()

    def _reported_recently(self, placement_group: PlacementGroup) -> bool:
        report = self._reports.get(placement_group.number)
        if report is None or report.sequence != placement_group.sequence:
            return False
        return self._ctx.timers.now() - report.reported_at < REPORT_INTERVAL

    async def _report_caught_up(self, placement_group: PlacementGroup) -> None:
        """Reports to the controllers that this node has all durable data of a placement group."""
        caught_up = CaughtUp(
            storage_node=self._ctx.node, placement_group=placement_group.number, sequence=placement_group.sequence
        )
        self._reports[placement_group.number] = _CaughtUpReport(placement_group.sequence, self._ctx.timers.now())
        controllers = [member.node for member in self._ctx.membership.members("controller", include_self=False)]
        await self._ctx.replicated_log.call_each(controllers, "controller.caught_up", caught_up, Empty, REPORT_TIMEOUT)
