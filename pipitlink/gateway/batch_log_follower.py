"""Follows the batch logs of all gateways, so that each of them knows the open batches."""

from __future__ import annotations

import attrs

from ..cache.tail import Tail
from ..context import Context
from ..errors import PipitlinkError
from ..timers import secs, wall_ms
from ..wire.lots_pb2 import Ended, LogRecord
from .batch_ids import BATCH_LOG_PREFIX, KEYED_LOG_PREFIX, batch_id_at, batch_of_result_log, result_log
from .batch_log import BatchLog
from .open_batches import OpenBatches
from .owner_selection import choose_owner

__all__ = ["BatchLogFollower"]

LIST_INTERVAL = secs(1)
CLOSE_INTERVAL = secs(10)
READ_BACKOFF = secs(1)
DAY_MS = 86_400_000
MAX_LOGS_PER_CALL = 2000


@attrs.define(eq=False)
class _FollowedLog:
    """A batch log that is being followed, and the batches that were found in it."""

    tail: Tail
    batch_ids: set[str] = attrs.field(factory=set)


class BatchLogFollower:
    """Follows all batch logs, so that any gateway can take over a batch, and ends logs that no longer have a writer."""

    def __init__(self, ctx: Context, open_batches: OpenBatches, own_log: BatchLog) -> None:
        self._ctx = ctx
        self._open_batches = open_batches
        self._own_log = own_log
        self._followed: dict[str, _FollowedLog] = {}

    def open(self) -> None:
        """Starts to list the batch logs periodically, and to end those that are no longer used."""
        timers = self._ctx.timers
        timers.call_repeatedly(LIST_INTERVAL, self._list_logs, self._ctx.error_reporter("list_logs"))
        timers.call_repeatedly(CLOSE_INTERVAL, self._end_idle_logs, self._ctx.error_reporter("finalize_lot_logs"))

    async def _list_logs(self) -> None:
        if not self._ctx.cluster.ready():
            return
        await self._close_finished_batches()
        for log, state in (await self._ctx.replicated_log.list(BATCH_LOG_PREFIX)).items():
            followed = self._followed.get(log)
            if followed is None and not state.final:
                self._followed[log] = _FollowedLog(self._ctx.cache.tail(log))
                self._ctx.run_in_background(self._follow(log), "follow_lot_log")
            elif followed is not None and state.final and followed.tail.position >= state.committed:
                self._stop_following(log)

    async def _close_finished_batches(self) -> None:
        """Closes batches that another gateway finished or cancelled."""
        not_owned = [
            batch.id for batch in self._open_batches.all() if batch.leaseholder is None and not batch.acquiring
        ]
        for start in range(0, len(not_owned), MAX_LOGS_PER_CALL):
            logs = [result_log(batch_id) for batch_id in not_owned[start : start + MAX_LOGS_PER_CALL]]
            for log, state in (await self._ctx.replicated_log.states(logs)).items():
                if state.final:
                    self._open_batches.close(batch_of_result_log(log))

    def _stop_following(self, log: str) -> None:
        followed = self._followed.pop(log)
        followed.tail.close()
        self._open_batches.remove_closed(followed.batch_ids)

    def end_idle_logs(self) -> None:
        """Ends logs now that are otherwise ended some time after their batches."""
        self._ctx.run_in_background(self._end_idle_logs(), "finalize_lot_logs")

    async def _end_idle_logs(self) -> None:
        """Ends batch logs that no longer have a writer, once every batch in them is closed."""
        for log, followed in list(self._followed.items()):
            idle = self._is_idle(log)
            tail = followed.tail
            unread = tail.lengths.confirmed_at is None or tail.position < tail.lengths.durable
            if not idle or unread or not self._open_batches.all_closed(followed.batch_ids):
                continue
            if choose_owner(self._ctx, log) != self._ctx.node:
                continue
            try:
                await self._end_log(log)
                self._ctx.logger.info("lot_log_finalized", log=log, lots=len(followed.batch_ids))
                self._stop_following(log)
            except PipitlinkError as error:
                self._ctx.logger.debug("lot_log_not_finalized", log=log, text=error)

    def _is_idle(self, log: str) -> bool:
        """Returns whether a batch log no longer has a writer."""
        writer, _, number = log.removeprefix(BATCH_LOG_PREFIX).partition(".")
        if writer.startswith(KEYED_LOG_PREFIX):
            return int(number) < wall_ms(self._ctx.timers.utc_now()) // DAY_MS - 1
        if writer == self._ctx.node:
            return int(number) < self._own_log.number
        return self._ctx.membership.status(writer) in ("gone", "unknown")

    async def _end_log(self, log: str) -> None:
        replicated_log = self._ctx.replicated_log
        leaseholder = replicated_log.leaseholders.get(log) or await replicated_log.acquire(log)
        if not leaseholder.final:
            record = LogRecord(ended=Ended(reason="done"))
            await leaseholder.append([record.SerializeToString()], final=True, reserved=True)
        await replicated_log.release([leaseholder])

    async def _follow(self, log: str) -> None:
        """Reads one batch log in order while it is followed."""
        followed = self._followed[log]
        tail = followed.tail
        while not self._ctx.timers.stopped and self._followed.get(log) is followed:
            try:
                for offset, body in await tail.read_records():
                    self._process_record(log, followed, offset, body)
            except PipitlinkError as error:
                self._ctx.logger.failure("lot_log_unreadable", error, log=log)
                await self._ctx.timers.sleep(READ_BACKOFF)
            await tail.wait_for_growth()

    def _process_record(self, log: str, followed: _FollowedLog, offset: int, body: bytes) -> None:
        record = LogRecord.FromString(body)
        if record.WhichOneof("of") == "lot":
            batch_id = batch_id_at(log, offset)
            followed.batch_ids.add(batch_id)
            self._open_batches.add(batch_id, record.lot)
