"""Owns lots by the leases of their result logs."""

from enum import StrEnum

from ..context import Context
from ..disk import frames
from ..errors import DeadlineExceeded, PipitlinkError
from ..replicated_log import Leaseholder
from ..timers import ms, secs, spawn
from ..wire.lots_pb2 import Ended, EndRequest, EndResponse, LogRecord, Result
from .lot_ids import result_log
from .lot_placement import acquire_log, choose_owner
from .open_lots import OpenLot, OpenLots
from .serving_state import ServingState

__all__ = ["ACQUIRE_BACKOFF", "EndStatus", "LotOwnership"]

CHECK_INTERVAL = ms(200)
ACQUIRE_BACKOFF = ms(700)
MAX_ACQUIRING = 8
RELEASE_DELAY = secs(1)


class EndStatus(StrEnum):
    """What became of a request to end a lot; callers see the first two values."""

    ENDED = "ended"
    CLOSED = "closed"
    UNKNOWN = "unknown"
    NOT_OWNED = "not_owned"
    OWNER_UNREACHABLE = "lost"


class LotOwnership:
    """Takes up the lots that are this gateway's by rendezvous hashing, records results, and closes finished lots.

    The owner of a lot is the holder of its result log's lease. It owns all of an OpenLot but its `id` and `lot`.
    """

    def __init__(self, ctx: Context, serving: ServingState, open_lots: OpenLots) -> None:
        self._ctx = ctx
        self._serving = serving
        self._open_lots = open_lots

    def start(self) -> None:
        """Registers the handler of ends, and starts to look for lots to take up or to close."""
        self._ctx.rpc.register_handler("lots.end", EndRequest, self._handle_end)
        timer = self._ctx.timers.call_repeatedly(
            CHECK_INTERVAL, self._check_lots, self._ctx.report("take_lots"), due=self._open_lots.idle_wait
        )
        self._open_lots.add_timer(timer)

    def give_up_all(self) -> None:
        """Cancels the items that run and gives up all lots, for a graceful shutdown."""
        for lot in self._open_lots.all():
            self._give_up(lot)

    async def record_result(self, lot: OpenLot, result: Result) -> None:
        """Appends an item's result, if this gateway still owns the lot and the item has none."""
        if result.item in lot.results or lot.leaseholder is None or lot.leaseholder.final:
            return
        lot.results[result.item] = result
        await lot.leaseholder.append([LogRecord(result=result).SerializeToString()], reserved=True)

    async def finish_if_done(self, lot: OpenLot) -> None:
        """Ends the result log and closes the lot once all results are durable."""
        leaseholder = lot.leaseholder
        if leaseholder is None or leaseholder.lost:
            return
        if not leaseholder.final and self._has_work_left(lot, leaseholder):
            return
        await self._end_log(leaseholder, "done")
        if lot.leaseholder is not leaseholder:
            return
        self._ctx.logger.info("lot_done", lot=lot.id)
        await self._close(lot)

    async def end_local_lot(self, lot_id: str) -> EndStatus:
        """Ends a lot as its owner: first for good in its log, then its running items."""
        lot = self._open_lots.get(lot_id)
        if lot is None:
            return EndStatus.CLOSED if self._open_lots.is_closed(lot_id) else EndStatus.UNKNOWN
        if lot.leaseholder is None:
            await self._acquire(lot)
        if lot.leaseholder is None:
            return EndStatus.CLOSED if self._open_lots.is_closed(lot_id) else EndStatus.NOT_OWNED
        leaseholder = lot.leaseholder
        try:
            await self._end_log(leaseholder, "ended")
        finally:
            if leaseholder.final:
                _cancel_items(lot)
        self._ctx.logger.info("lot_ended", lot=lot_id)
        spawn(self._close(lot)).addErrback(lambda _: None)
        return EndStatus.ENDED

    async def _handle_end(self, _: str, request: EndRequest) -> EndResponse:
        status = await self.end_local_lot(request.lot)
        return EndResponse(state=status.value)

    def _check_lots(self) -> None:
        """Gives up lots whose lease is lost, closes finished ones, and takes up those that are this gateway's."""
        if not self._serving.is_current():
            return
        if self._ctx.cluster.zone_empty(self._ctx.settings.zone):
            self._hand_over_idle_lots()
        now = self._ctx.timers.now()
        lots = self._open_lots.all()
        acquiring = sum(lot.acquiring for lot in lots)
        for lot in sorted(lots, key=lambda lot: lot.lot.limit_ms):
            self._check_owned(lot)
            if lot.leaseholder or lot.acquiring or lot.next_acquire_at > now or acquiring >= MAX_ACQUIRING:
                continue
            if choose_owner(self._ctx, lot.id) == self._ctx.node:
                lot.acquiring = True
                acquiring += 1
                work = spawn(self._acquire(lot))
                work.addErrback(lambda failure: self._ctx.logger.failure("lot_acquire_failed", failure.value))

    def _check_owned(self, lot: OpenLot) -> None:
        if lot.leaseholder is None:
            return
        if lot.leaseholder.lost:
            self._give_up(lot)
        elif lot.leaseholder.final or lot.is_finished():
            self._ctx.run_in_background(self.finish_if_done(lot), "finish")

    async def _acquire(self, lot: OpenLot) -> None:
        """Takes the lease and reads the log; items that another owner had started are recorded as unknown."""
        try:
            leaseholder = await acquire_log(self._ctx, result_log(lot.id))
        except (PipitlinkError, DeadlineExceeded) as error:
            lot.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF
            self._ctx.logger.debug("lot_not_acquired", lot=lot.id, text=error)
            return
        finally:
            lot.acquiring = False
        _replay(lot, leaseholder)
        if leaseholder.final:
            self._ctx.run_in_background(self._ctx.replicated_log.release([leaseholder]), "release")
            self._open_lots.close(lot.id)
            return
        lot.leaseholder = leaseholder
        self._begin_owning(lot, leaseholder)
        await self.finish_if_done(lot)

    def _begin_owning(self, lot: OpenLot, leaseholder: Leaseholder) -> None:
        items = lot.lot.items
        unknown = [item for item in lot.started if item not in lot.results and not items[item].repeatable]
        self._ctx.logger.info(
            "lot_acquired",
            lot=lot.id,
            epoch=leaseholder.epoch,
            items=len(items),
            done=len(lot.results),
            unknown=len(unknown),
        )
        lot.pending = [item for item in range(len(items)) if item not in lot.results and item not in unknown]
        for item in unknown:
            result = Result(item=item, outcome="unknown", code="owner_lost")
            self._ctx.run_in_background(self.record_result(lot, result), "record_unknown")

    def _hand_over_idle_lots(self) -> None:
        """In an emptied zone a gateway gives up its lots once nothing of theirs runs; others take them up."""
        for lot in self._open_lots.all():
            if lot.leaseholder is not None and not lot.running and not lot.leaseholder.lost:
                self._ctx.run_in_background(self._ctx.replicated_log.release([lot.leaseholder]), "hand_over")
                self._give_up(lot)

    def _give_up(self, lot: OpenLot) -> None:
        for work in lot.running.values():
            work.cancel()
        lot.leaseholder = None
        lot.pending = []
        lot.running = {}
        lot.next_acquire_at = self._ctx.timers.now() + ACQUIRE_BACKOFF

    def _has_work_left(self, lot: OpenLot, leaseholder: Leaseholder) -> bool:
        if len(lot.results) < len(lot.lot.items) or lot.running.keys() - lot.results:
            return True
        return leaseholder.committed < len(leaseholder.data)

    async def _end_log(self, leaseholder: Leaseholder, reason: str) -> None:
        """Writes the end record; where that does not get durable, the lot is still open for the next owner."""
        if leaseholder.final:
            await leaseholder.all_durable()
        else:
            record = LogRecord(ended=Ended(reason=reason))
            await leaseholder.append([record.SerializeToString()], final=True, reserved=True)

    async def _close(self, lot: OpenLot) -> None:
        leaseholder, lot.leaseholder = lot.leaseholder, None
        if leaseholder is not None:
            self._open_lots.close(lot.id)
            await self._ctx.timers.sleep(RELEASE_DELAY)
            await self._ctx.replicated_log.release([leaseholder])


def _replay(lot: OpenLot, leaseholder: Leaseholder) -> None:
    """Rebuilds what is known of the items from the result log."""
    lot.results.clear()
    lot.started.clear()
    for _, body, _ in frames(bytes(leaseholder.data)):
        lot.apply(LogRecord.FromString(body))


def _cancel_items(lot: OpenLot) -> None:
    for work in list(lot.running.values()):
        work.cancel()
