"""Appends the outputs of items to the logs of their batches."""

from __future__ import annotations

from enum import StrEnum

from ..context import Context
from ..errors import DeadlineExceeded, LeaseNotHeld, StaleEpoch
from ..timers import ms, wall_ms
from ..wire.lots_pb2 import Ended, LogRecord, Output
from .batch_table import BatchListener, BatchTable
from .interfaces import RoutesView
from .owned_batch import OwnedBatch

__all__ = ["ItemState", "OutputWriter"]

# How long outputs wait for more outputs to share their write, unless the batch is due within MIN_TIME_LEFT_MS.
BATCHING_DELAY = ms(100)
MIN_TIME_LEFT_MS = 2000
LEASE_CHECK_INTERVAL = ms(100)


class ItemState(StrEnum):
    """How an item ended. The values are stored in the log."""

    DONE = "done"
    ABANDONED = "abandoned"


class OutputWriter(BatchListener):
    """Records the output of each item, and appends outputs to the log, several in one write where possible."""

    def __init__(self, ctx: Context, routes: RoutesView, table: BatchTable) -> None:
        self._ctx = ctx
        self._routes = routes
        self._table = table

    def batch_adopted(self, batch: OwnedBatch) -> None:
        """Starts writing the end of a batch whose items are all finished."""
        if batch.all_finished():
            self._start_writing(batch)

    def finish_item(self, batch: OwnedBatch, index: int, state: ItemState, text: bytes = b"") -> None:
        """Records the output of an item; only the first output of each item counts."""
        if index in batch.finished:
            return
        batch.finished.add(index)
        batch.timings.finished(index)
        batch.unfinished_tokens -= batch.content.items[index].tokens
        if index in batch.waiting:
            batch.waiting.remove(index)
        batch.calls.pop(index, None)
        batch.pending_outputs.append(Output(item=index, state=state.value, text=text))
        if state == ItemState.ABANDONED and index in batch.running:
            batch.running[index].cancel()
        self._start_writing(batch)

    def _start_writing(self, batch: OwnedBatch) -> None:
        if not batch.is_writing:
            batch.is_writing = True
            self._ctx.run_in_background(self._write(batch), "flush_batch")

    def _may_delay(self, batch: OwnedBatch) -> bool:
        """Returns whether outputs may wait for others: not where no other is expected, or the batch is due soon."""
        content = batch.content
        route = self._routes().get(content.route)
        if route is None or not batch.running or self._table.is_closing:
            return False
        time_left_ms = content.taken_ms + route.due_ms - wall_ms(self._ctx.timers.utc_now())
        return time_left_ms > MIN_TIME_LEFT_MS

    async def _write(self, batch: OwnedBatch) -> None:
        try:
            if self._may_delay(batch):
                await self._ctx.timers.sleep(BATCHING_DELAY)
            await self._write_pending(batch)
        except Exception as error:
            self._invalidate_lease(batch, error)
        finally:
            batch.is_writing = False

    async def _write_pending(self, batch: OwnedBatch) -> None:
        leaseholder = batch.leaseholder
        while not leaseholder.lost and not leaseholder.final and (batch.pending_outputs or batch.all_finished()):
            if not leaseholder.is_held():
                await self._ctx.timers.sleep(LEASE_CHECK_INTERVAL)
                continue
            outputs, batch.pending_outputs = batch.pending_outputs, []
            records = [LogRecord(output=output).SerializeToString() for output in outputs]
            is_final = batch.all_finished()
            if is_final:
                records.append(LogRecord(ended=Ended(reason="done")).SerializeToString())
            try:
                await leaseholder.append(records, final=is_final, reserved=True)
            except DeadlineExceeded:
                await batch.wait_durable()
            batch.timings.appended(output.item for output in outputs)

    def _invalidate_lease(self, batch: OwnedBatch, error: Exception) -> None:
        """Invalidates the lease after outputs could not be appended; the next owner finishes the batch."""
        leaseholder = batch.leaseholder
        if not isinstance(error, (StaleEpoch, LeaseNotHeld)):
            self._ctx.logger.failure("output_write_failed", error, batch=batch.id)
        if not leaseholder.lost and not leaseholder.final:
            leaseholder.invalidate("outputs could not be appended")
