"""Reports the state of each owned batch and its items, and detects items that make no progress."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from enum import StrEnum

import attrs

from ..context import Context
from ..timers import RepeatingCall, secs, to_ms
from ..wire.cluster_pb2 import Route
from .batch_table import BatchListener, BatchTable
from .batch_timings import ItemPhase
from .interfaces import ItemCapacity, RoutesView
from .owned_batch import OwnedBatch
from .waiting_tokens import WaitingTokens

__all__ = ["BatchMonitor", "ItemStage", "ItemStatus", "WaitReason"]

CHECK_INTERVAL = secs(1)
# An item counts as stalled after this long without progress while the engines of its route have room.
STALL_TIMEOUT = secs(5)


class ItemStage(StrEnum):
    """Where an item that has no durable output is. The values are shown to operators."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    WRITING = "writing"
    UNTRACKED = "untracked"
    """Neither waiting nor in an attempt nor finished, so that nothing will start it."""


class WaitReason(StrEnum):
    """Why a waiting item is not started. The values are shown to operators."""

    NONE = "none"
    NOT_DURABLE = "not_durable"
    LEASE_LOST = "lease_lost"
    LEASE_NOT_VALID = "lease_not_valid"
    LOG_ENDED = "log_ended"
    CLOSING = "closing"
    STATE_NOT_CURRENT = "state_not_current"
    NO_ROUTE = "no_route"
    BACKOFF = "backoff"
    NO_CAPACITY = "no_capacity"


@attrs.frozen
class ItemStatus:
    """The state of one item of an owned batch. `idle` is the time since its last progress."""

    index: int
    stage: ItemStage
    idle: timedelta
    engine: str = ""
    reason: WaitReason = WaitReason.NONE


@attrs.frozen
class _LoggedStall:
    """A stall that was logged, of one item. It lasts until the item makes progress, whether or not there is room."""

    batch_id: str
    index: int
    stage: ItemStage
    progressed_at: timedelta


class BatchMonitor(BatchListener):
    """Determines the state of the items of owned batches.

    Logs and counts each item that makes no progress for STALL_TIMEOUT although the engines of its route have room.
    """

    def __init__(
        self, ctx: Context, table: BatchTable, waiting: WaitingTokens, capacity: ItemCapacity, routes: RoutesView
    ) -> None:
        self._ctx = ctx
        self._table = table
        self._waiting = waiting
        self._capacity = capacity
        self._routes = routes
        self._check_timer: RepeatingCall | None = None
        self._logged: set[_LoggedStall] = set()
        self.stall_count = 0

    def open(self) -> None:
        """Starts to look for stalled items while this gateway owns batches."""
        self._check_timer = self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL, self.check, self._ctx.error_reporter("check_batches"), idle_time=self._idle_time
        )

    def _idle_time(self) -> timedelta | None:
        return CHECK_INTERVAL if self._table.batches else None

    def work_changed(self) -> None:
        """Checks again once there are batches."""
        if self._check_timer is not None:
            self._check_timer.wake()

    def check(self) -> None:
        """Logs and counts the items that are stalled and were not logged for this stall before."""
        self._logged = {stall for stall in self._logged if self._lasts(stall)}
        for batch in self._table.batches.values():
            for status in self.stalled_items(batch):
                stall = self._stall(batch, status)
                if stall not in self._logged:
                    self._logged.add(stall)
                    self.stall_count += 1
                    self._log_stall(batch, status)

    def _lasts(self, stall: _LoggedStall) -> bool:
        batch = self._table.get(stall.batch_id)
        if batch is None or stall.index in batch.progress.finished_items:
            return False
        return batch.timings.progress(stall.index).progressed_at == stall.progressed_at

    def _stall(self, batch: OwnedBatch, status: ItemStatus) -> _LoggedStall:
        progressed_at = batch.timings.progress(status.index).progressed_at
        return _LoggedStall(batch.id, status.index, status.stage, progressed_at)

    def _log_stall(self, batch: OwnedBatch, status: ItemStatus) -> None:
        self._ctx.logger.warning(
            "item_stalled",
            batch=batch.id,
            epoch=batch.leaseholder.epoch,
            item=batch.content.items[status.index].id,
            state=status.stage.value,
            idle_ms=to_ms(status.idle),
            engine=status.engine,
            reason=status.reason.value,
        )

    def stalled_items(self, batch: OwnedBatch) -> list[ItemStatus]:
        """Returns the items of a batch that make no progress although there is room for them."""
        if not batch.is_durable() or batch.leaseholder.final:
            return []
        stalled = [status for status in self.item_statuses(batch) if self._is_stalled(status)]
        route = self._routes().get(batch.content.route)
        has_room = route is not None and self._capacity.has_room(route)
        return stalled if has_room else [status for status in stalled if status.stage == ItemStage.UNTRACKED]

    def _is_stalled(self, status: ItemStatus) -> bool:
        return status.stage == ItemStage.UNTRACKED or status.idle >= STALL_TIMEOUT

    def item_statuses(self, batch: OwnedBatch) -> list[ItemStatus]:
        """Returns the state of each item of a durable batch that has no durable output."""
        waiting = set(batch.waiting)
        batch_reason = self._batch_reason(batch) if waiting else WaitReason.NONE
        indexes = range(len(batch.content.items))
        return [
            self._item_status(batch, index, waiting, batch_reason)
            for index in indexes
            if index not in batch.progress.finished_items
        ]

    def _item_status(self, batch: OwnedBatch, index: int, waiting: set[int], batch_reason: WaitReason) -> ItemStatus:
        now = self._ctx.timers.now()
        progress = batch.timings.progress(index)
        idle = now - progress.progressed_at
        if index in batch.finished:
            return ItemStatus(index, ItemStage.WRITING, idle)
        if index in batch.running:
            is_running = progress.phase == ItemPhase.RUNNING
            call = batch.calls.get(index)
            engine = call.engine_name if call is not None else ""
            return ItemStatus(index, ItemStage.RUNNING if is_running else ItemStage.STARTING, idle, engine)
        if index not in waiting:
            return ItemStatus(index, ItemStage.UNTRACKED, idle)
        is_backing_off = batch.retry_at.get(index, now) > now
        reason = WaitReason.BACKOFF if is_backing_off and batch_reason == WaitReason.NONE else batch_reason
        return ItemStatus(index, ItemStage.WAITING, idle, reason=reason)

    def _batch_reason(self, batch: OwnedBatch) -> WaitReason:
        """Returns why none of the waiting items of a batch are started, or NONE."""
        route = self._routes().get(batch.content.route)
        conditions = (
            (batch.leaseholder.lost != "", WaitReason.LEASE_LOST),
            (not batch.is_durable(), WaitReason.NOT_DURABLE),
            (batch.leaseholder.final, WaitReason.LOG_ENDED),
            (not batch.leaseholder.is_held(), WaitReason.LEASE_NOT_VALID),
            (self._table.is_closing, WaitReason.CLOSING),
            (not self._ctx.cluster.usable(), WaitReason.STATE_NOT_CURRENT),
            (route is None or not self._has_capacity(route), WaitReason.NO_CAPACITY),
        )
        if route is None:
            return WaitReason.NO_ROUTE
        return next((reason for applies, reason in conditions if applies), WaitReason.NONE)

    def _has_capacity(self, route: Route) -> bool:
        return self._capacity.available(route, self._waiting.backlog(route.name)) > 0

    def reported_state(self) -> dict[str, str]:
        """Returns the owner, epoch and items by state of each owned batch that has not ended, for operators."""
        return {
            batch.id: self._describe(batch)
            for batch in self._table.batches.values()
            if batch.is_durable() and not batch.leaseholder.final
        }

    def _describe(self, batch: OwnedBatch) -> str:
        statuses = self.item_statuses(batch)
        counts = Counter(status.stage.value for status in statuses)
        text = f"{self._ctx.node}@{batch.leaseholder.epoch} items={len(batch.content.items)}"
        for stage, count in sorted(counts.items()):
            text += f" {stage}={count}"
        if not statuses:
            return text
        oldest = max(statuses, key=lambda status: status.idle)
        item_id = batch.content.items[oldest.index].id
        text += f" oldest={item_id} {oldest.stage.value} idle_ms={to_ms(oldest.idle)} reason={oldest.reason.value}"
        return f"{text} engine={oldest.engine}" if oldest.engine else text

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and value of each metric about stalled items, by name."""
        stalled = sum(len(self.stalled_items(batch)) for batch in self._table.batches.values())
        return {
            "batch_items_stalled": ("Items here without progress although engines have room", stalled),
            "batch_item_stalls": ("Stalls of items here since the start", self.stall_count),
        }
