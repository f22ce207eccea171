"""Ownership of batches by the leases of their result logs."""

from __future__ import annotations

from enum import StrEnum

from ..context import Context
from ..disk import decode_frames
from ..errors import DeadlineExceeded, PipitlinkError
from ..replicated_log import Leaseholder
from ..timers import ms, secs, spawn
from ..wire.lots_pb2 import Ended, EndRequest, EndResponse, LogRecord, Result
from .batch_ids import result_log
from .open_batches import OpenBatch, OpenBatches
from .owner_selection import acquire_log, choose_owner
from .serving_state import ServingState

__all__ = ["ACQUIRE_BACKOFF", "CancelResult", "BatchOwnership"]

CHECK_INTERVAL = ms(200)
ACQUIRE_BACKOFF = ms(700)
MAX_ACQUIRING = 8
RELEASE_DELAY = secs(1)


class CancelResult(StrEnum):
    """The result of a request to cancel a batch. The first two values are visible to clients."""

    CANCELLED = "ended"
    ALREADY_ENDED = "closed"
    UNKNOWN = "unknown"
    NOT_OWNED = "not_owned"
    OWNER_UNREACHABLE = "lost"


class BatchOwnership:
    """Acquires the batches assigned to this gateway by rendezvous hashing, records results, closes finished batches.

    The owner of a batch is the leaseholder of its result log. Of an OpenBatch, this class maintains all fields
    except `id` and `spec`.
    """

    def __init__(self, ctx: Context, serving: ServingState, open_batches: OpenBatches) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_batches = open_batches

    def open(self) -> None:
        """Registers the handler of cancellations, and starts to look for batches to acquire or to close."""
        self._ctx.rpc.register_handler("lots.end", EndRequest, self._handle_cancel)
        timer = self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL,
            self._check_batches,
            self._ctx.error_reporter("adopt_lots"),
            idle_time=self._open_batches.idle_wait,
        )
        self._open_batches.add_timer(timer)

    def release_all(self) -> None:
        """Cancels all running items and releases all batches, for a graceful shutdown."""
        for batch in self._open_batches.all():
            self._release(batch)

    async def record_result(self, batch: OpenBatch, result: Result) -> None:
        """Appends an item's result if this gateway still owns the batch and the item has no result yet."""
        if result.item in batch.results or batch.leaseholder is None or batch.leaseholder.final:
            return
        batch.results[result.item] = result
        await batch.leaseholder.append([LogRecord(result=result).SerializeToString()], reserved=True)

    async def finish_if_done(self, batch: OpenBatch) -> None:
        """Ends the result log and closes the batch once all results are durable."""
        leaseholder = batch.leaseholder
        if leaseholder is None or leaseholder.lost:
            return
        if not leaseholder.final and self._has_work_left(batch, leaseholder):
            return
        await self._end_log(leaseholder, "done")
        if batch.leaseholder is not leaseholder:
            return
        self._ctx.logger.info("lot_completed", lot=batch.id)
        await self._close(batch)

    async def cancel_local_batch(self, batch_id: str) -> CancelResult:
        """Cancels a batch as its owner: first durably in its result log, then its running items."""
        batch = self._open_batches.get(batch_id)
        if batch is None:
            return CancelResult.ALREADY_ENDED if self._open_batches.is_closed(batch_id) else CancelResult.UNKNOWN
        if batch.leaseholder is None:
            await self._acquire(batch)
        if batch.leaseholder is None:
            return CancelResult.ALREADY_ENDED if self._open_batches.is_closed(batch_id) else CancelResult.NOT_OWNED
        leaseholder = batch.leaseholder
        try:
            await self._end_log(leaseholder, "ended")
        finally:
            if leaseholder.final:
                _cancel_items(batch)
        self._ctx.logger.info("lot_cancelled", lot=batch_id)
        spawn(self._close(batch)).addErrback(lambda _: None)
        return CancelResult.CANCELLED

    async def _handle_cancel(self, _: str, request: EndRequest) -> EndResponse:
        result = await self.cancel_local_batch(request.lot)
        return EndResponse(state=result.value)

    def _check_batches(self) -> None:
        """Releases batches whose lease is lost, closes finished ones, and acquires those assigned to this gateway."""
        if not self._serving.is_current():
            return
        if self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            self._hand_over_idle_batches()
        now = self._ctx.timers.now()
        batches = self._open_batches.all()
        acquiring = sum(batch.acquiring for batch in batches)
        for batch in sorted(batches, key=lambda batch: batch.spec.limit_ms):
            self._check_owned(batch)
            if batch.leaseholder or batch.acquiring or batch.next_acquire_at > now or acquiring >= MAX_ACQUIRING:
                continue
            if choose_owner(self._ctx, batch.id) == self._ctx.node:
                batch.acquiring = True
                acquiring += 1
                work = spawn(self._acquire(batch))
                work.addErrback(lambda failure: self._ctx.logger.failure("lot_acquire_failed", failure.value))

    def _check_owned(self, batch: OpenBatch) -> None:
        if batch.leaseholder is None:
            return
        if batch.leaseholder.lost:
            self._release(batch)
        elif batch.leaseholder.final or batch.is_finished():
            self._ctx.run_in_background(self.finish_if_done(batch), "finish_lot")

    async def _acquire(self, batch: OpenBatch) -> None:
        """Acquires the lease and replays the log.

        Items that an earlier owner started and that are not idempotent get the outcome `unknown`.
        """
        try:
            leaseholder = await acquire_log(self._ctx, result_log(batch.id))
        except (PipitlinkError, DeadlineExceeded) as error:
            batch.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF
            self._ctx.logger.debug("lot_not_acquired", lot=batch.id, text=error)
            return
        finally:
            batch.acquiring = False
        _replay(batch, leaseholder)
        if leaseholder.final:
            self._ctx.run_in_background(self._ctx.replicated_log.release([leaseholder]), "release_lease")
            self._open_batches.close(batch.id)
            return
        batch.leaseholder = leaseholder
        self._begin_owning(batch, leaseholder)
        await self.finish_if_done(batch)

    def _begin_owning(self, batch: OpenBatch, leaseholder: Leaseholder) -> None:
        items = batch.spec.items
        unknown = [item for item in batch.started if item not in batch.results and not items[item].repeatable]
        self._ctx.logger.info(
            "lot_acquired",
            lot=batch.id,
            epoch=leaseholder.epoch,
            items=len(items),
            done=len(batch.results),
            doubtful=len(unknown),
        )
        batch.pending = [item for item in range(len(items)) if item not in batch.results and item not in unknown]
        for item in unknown:
            result = Result(item=item, outcome="unknown", code="owner_lost")
            self._ctx.run_in_background(self.record_result(batch, result), "record_unknown")

    def _hand_over_idle_batches(self) -> None:
        """Releases the batches without running items, for a gateway in an emptied zone; other gateways acquire them."""
        for batch in self._open_batches.all():
            if batch.leaseholder is not None and not batch.running and not batch.leaseholder.lost:
                self._ctx.run_in_background(self._ctx.replicated_log.release([batch.leaseholder]), "hand_over")
                self._release(batch)

    def _release(self, batch: OpenBatch) -> None:
        for work in batch.running.values():
            work.cancel()
        batch.leaseholder = None
        batch.pending = []
        batch.running = {}
        batch.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF

    def _has_work_left(self, batch: OpenBatch, leaseholder: Leaseholder) -> bool:
        if len(batch.results) < len(batch.spec.items) or batch.running.keys() - batch.results:
            return True
        return leaseholder.committed < len(leaseholder.data)

    async def _end_log(self, leaseholder: Leaseholder, reason: str) -> None:
        """Appends the end record; if that does not become durable, the batch stays open for the next owner."""
        if leaseholder.final:
            await leaseholder.wait_durable()
        else:
            record = LogRecord(ended=Ended(reason=reason))
            await leaseholder.append([record.SerializeToString()], final=True, reserved=True)

    async def _close(self, batch: OpenBatch) -> None:
        leaseholder, batch.leaseholder = batch.leaseholder, None
        if leaseholder is not None:
            self._open_batches.close(batch.id)
            await self._ctx.timers.sleep(RELEASE_DELAY)
            await self._ctx.replicated_log.release([leaseholder])


def _replay(batch: OpenBatch, leaseholder: Leaseholder) -> None:
    """Restores the items' starts and results from the result log."""
    batch.results.clear()
    batch.started.clear()
    for _, body, _ in decode_frames(bytes(leaseholder.data)):
        batch.apply(LogRecord.FromString(body))


def _cancel_items(batch: OpenBatch) -> None:
    for work in list(batch.running.values()):
        work.cancel()
