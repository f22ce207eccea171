"""The batches that a gateway owns because it holds the leases of their logs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from twisted.internet import defer

from ..client_memory import MemoryUse
from ..context import Context
from ..timers import ms, secs
from .batch_progress import BATCH_RECORD_PREFIX, batch_log
from .batch_timings import ItemPhase, ItemTimings
from .owned_batch import OwnedBatch

__all__ = ["BatchListener", "BatchTable"]

ResultT = TypeVar("ResultT")

DRAIN_TIMEOUT = secs(3)
DRAIN_CHECK_INTERVAL = ms(25)
# The lease of an ended batch is released after this delay, so that the last replica can catch up.
RELEASE_DELAY = secs(1)
# An owned batch is held as the content of its log and twice as the messages that are parsed from it.
KEPT_COPIES = 3


class BatchListener:
    """Is notified of changes to owned batches; the default methods do nothing."""

    def batch_adopted(self, batch: OwnedBatch) -> None:
        """Called after the lease of a log that holds a batch, and has not ended, was acquired."""

    def work_changed(self) -> None:
        """Called when there may be items to start."""

    def batch_closed(self, batch: OwnedBatch) -> None:
        """Called once the end of a batch is durable."""


class BatchTable:
    """The batches that this gateway owns. Each batch has its own log, whose leaseholder owns the batch.

    `is_closing` is set when the gateway shuts down; no new work is started after that.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.batches: dict[str, OwnedBatch] = {}
        self.is_closing = False
        self._counted_bytes: dict[str, int] = {}
        self._locks: dict[str, defer.DeferredLock] = {}
        self._listeners: list[BatchListener] = []

    def add_listener(self, listener: BatchListener) -> None:
        """Registers a listener for changes to the batches."""
        self._listeners.append(listener)

    def get(self, batch_id: str) -> OwnedBatch | None:
        """Returns a batch of this table, whether or not its lease is still valid, or None."""
        return self.batches.get(batch_id)

    def get_valid(self, batch_id: str) -> OwnedBatch | None:
        """Returns a batch of this table that is durable and whose lease is valid, or None."""
        batch = self.batches.get(batch_id)
        if batch is not None and batch.is_durable() and batch.leaseholder.is_held():
            return batch
        return None

    def holds_lease(self, batch_id: str) -> bool:
        """Returns whether a batch is in this table with a lease that is not lost."""
        batch = self.batches.get(batch_id)
        return batch is not None and not batch.leaseholder.lost

    def owns(self, batch: OwnedBatch) -> bool:
        """Returns whether a batch is still owned under this lease."""
        return self.batches.get(batch.id) is batch

    async def run_exclusively(self, batch_id: str, work: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Runs work on the lease of one batch after all earlier work on it has ended; returns its result."""
        lock = self._locks.setdefault(batch_id, defer.DeferredLock())
        try:
            async with lock:
                return await work()
        finally:
            if not lock.locked and not lock.waiting and self._locks.get(batch_id) is lock:
                del self._locks[batch_id]

    async def acquire(self, batch_id: str, lost_leaseholder: str | None = None) -> OwnedBatch:
        """Returns a batch whose lease is held here, acquiring the lease if needed; the batch is empty where its log is.

        `lost_leaseholder` is the node that held the lease and is known to be gone. Raises ReplicatedLogError or
        WireError.
        """
        batch = self.batches.get(batch_id)
        if batch is not None and not batch.leaseholder.lost:
            return batch
        if batch is not None:
            self.remove(batch)
        leaseholder = await self._ctx.replicated_log.acquire(batch_log(batch_id), lost_leaseholder)
        batch = OwnedBatch(batch_id, leaseholder, ItemTimings(self._ctx.timers))
        batch.read_durable()
        batch.batch = batch.progress.batch
        if batch.batch is not None:
            batch.queue_unfinished()
            self.add(batch)
            self._log_adoption(batch)
            self._announce_adoption(batch)
        return batch

    def _log_adoption(self, batch: OwnedBatch) -> None:
        self._ctx.logger.info(
            "batch_adopted",
            batch=batch.id,
            epoch=batch.leaseholder.epoch,
            items=len(batch.content.items),
            finished=len(batch.finished),
            final=batch.leaseholder.final,
        )

    def _announce_adoption(self, batch: OwnedBatch) -> None:
        if batch.leaseholder.final:
            self._on_progress(batch)
            return
        for listener in self._listeners:
            listener.batch_adopted(batch)

    def add(self, batch: OwnedBatch) -> None:
        """Adds a batch whose lease is held here, and starts following its log."""
        self.batches[batch.id] = batch
        self._count_memory(batch)
        self._ctx.cache.start_log_writer(batch.leaseholder.log, batch.leaseholder, BATCH_RECORD_PREFIX)
        batch.leaseholder.watch(lambda _: self._on_progress(batch))
        self.announce_work()

    def has_room_for(self, body_bytes: int) -> bool:
        """Returns whether there is memory to keep a batch that is submitted with a body of this size."""
        return self._ctx.client_memory.has_room_for(MemoryUse.BATCHES, KEPT_COPIES * body_bytes)

    def _count_memory(self, batch: OwnedBatch) -> None:
        """Counts the memory of a batch: its log, and what is parsed from it."""
        size = KEPT_COPIES * len(batch.leaseholder.data) if self.owns(batch) else 0
        self._ctx.client_memory.count_use(MemoryUse.BATCHES, size - self._counted_bytes.get(batch.id, 0))
        if size:
            self._counted_bytes[batch.id] = size
        else:
            self._counted_bytes.pop(batch.id, None)

    def announce_work(self) -> None:
        """Notifies the listeners that there may be items to start."""
        for listener in self._listeners:
            listener.work_changed()

    def _on_progress(self, batch: OwnedBatch) -> None:
        was_durable = batch.is_durable()
        batch.read_durable()
        self._count_memory(batch)
        if batch.leaseholder.lost:
            self.remove(batch)
        elif batch.leaseholder.final and batch.progress.end_reason and not batch.is_closing:
            batch.is_closing = True
            self._ctx.run_in_background(self._close(batch), "close_batch")
        elif not was_durable:
            batch.timings.batch_durable()
            self.announce_work()

    def remove(self, batch: OwnedBatch) -> None:
        """Removes a batch whose lease is no longer held, and cancels its items."""
        if self.owns(batch):
            del self.batches[batch.id]
            self._count_memory(batch)
        batch.waiting.clear()
        batch.cancel_running()

    async def _close(self, batch: OwnedBatch) -> None:
        """Releases the lease of a batch that has ended."""
        for listener in self._listeners:
            listener.batch_closed(batch)
        progress = batch.progress
        self._ctx.logger.info(
            "batch_closed",
            batch=batch.id,
            reason=progress.end_reason,
            finished=len(progress.outputs),
            attempts=batch.timings.attempts,
            waiting_ms=batch.timings.summary(ItemPhase.WAITING),
            first_event_ms=batch.timings.summary(ItemPhase.FIRST_EVENT),
            running_ms=batch.timings.summary(ItemPhase.RUNNING),
            append_ms=batch.timings.summary(ItemPhase.APPEND),
            rpc_sent_bytes=self._ctx.rpc.sent_bytes,
        )
        await self._ctx.timers.sleep(RELEASE_DELAY)
        await self._ctx.replicated_log.release([batch.leaseholder])

    async def drain(self) -> None:
        """Starts no new work, gives running attempts a short time to finish, and then releases all leases."""
        self.is_closing = True
        deadline = self._ctx.timers.now() + DRAIN_TIMEOUT
        while self.batches and self._ctx.timers.now() < deadline:
            idle = [batch.leaseholder for batch in self.batches.values() if batch.is_idle()]
            self._ctx.run_in_background(self._ctx.replicated_log.release(idle), "hand_over")
            await self._ctx.timers.sleep(DRAIN_CHECK_INTERVAL)
        await self.release_all()

    async def release_all(self) -> None:
        """Releases the leases of all batches."""
        await self._ctx.replicated_log.release([batch.leaseholder for batch in list(self.batches.values())])

    def metrics(self) -> dict[str, tuple[str, float]]:
        """Returns the description and value of each batch metric, by name."""
        unfinished = [batch for batch in self.batches.values() if not batch.leaseholder.final]
        waiting = sum(len(batch.waiting) for batch in unfinished)
        running = sum(len(batch.running) for batch in unfinished)
        return {
            "batches_owned": ("Batches this gateway owns", len(unfinished)),
            "batch_items_waiting": ("Items that wait for an engine here", waiting),
            "batch_items_running": ("Items on engines from here", running),
        }
