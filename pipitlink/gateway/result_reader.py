"""Reads batches and their results, whichever gateway stored or owns them."""

from __future__ import annotations

from datetime import timedelta

import attrs
from twisted.internet import defer

from ..cache.tail import Tail
from ..context import Context
from ..errors import CorruptData, NotFound, ServiceUnavailable
from ..timers import ms, secs
from ..wire.lots_pb2 import LogRecord, Lot, Result
from .batch_ids import BatchLocation, parse_batch_id, result_log
from .open_batches import OpenBatches

__all__ = ["BatchResults", "ResultReader"]

UNUSED_RESULTS_RETENTION = secs(30)
DROP_INTERVAL = secs(5)
RECONFIRM_AFTER = ms(400)
MAX_STALENESS = secs(1)
MAX_TAIL_LAG = secs(1)
MAX_CACHED_SPECS = 256
MAX_SPEC_READS = 20
GONE = 410


@attrs.define(eq=False)
class BatchResults:
    """The results of one batch, read in order and kept while clients request them."""

    tail: Tail
    used_at: timedelta
    results: list[Result] = attrs.field(factory=list)
    recorded_items: set[int] = attrs.field(factory=set)
    end_reason: str = ""
    lock: defer.DeferredLock = attrs.field(factory=defer.DeferredLock)

    def apply(self, record: LogRecord) -> None:
        """Applies the next record of the result log.

        Only an item's first result counts, and none after the end record.
        """
        kind = record.WhichOneof("of")
        if kind == "result" and record.result.item not in self.recorded_items and not self.end_reason:
            self.recorded_items.add(record.result.item)
            self.results.append(record.result)
        elif kind == "ended":
            self.end_reason = self.end_reason or record.ended.reason


class ResultReader:
    """Reads batches from batch logs and results from result logs, through the caches."""

    def __init__(self, ctx: Context, open_batches: OpenBatches) -> None:
        self._ctx = ctx
        self._open_batches = open_batches
        self._results: dict[str, BatchResults] = {}
        self._spec_cache: dict[str, Lot] = {}

    def open(self) -> None:
        """Starts to remove results that are no longer requested."""
        self._ctx.timers.call_repeatedly(DROP_INTERVAL, self._drop_unused, self._ctx.error_reporter("expire_readers"))

    async def find_batch(self, batch_id: str) -> Lot:
        """Returns a batch by its id.

        Raises BadRequest or NotFound if there is none, ServiceUnavailable if that cannot be determined.
        """
        open_batch = self._open_batches.get(batch_id)
        if open_batch is not None:
            return open_batch.spec
        if batch_id in self._spec_cache:
            return self._spec_cache[batch_id]
        location = parse_batch_id(batch_id)
        tail = self._ctx.cache.tail(location.log)
        try:
            spec = await self._read_spec(tail, location)
        finally:
            tail.close()
        if len(self._spec_cache) > MAX_CACHED_SPECS:
            self._spec_cache.clear()
        self._spec_cache[batch_id] = spec
        return spec

    async def read_results(self, batch_id: str) -> BatchResults:
        """Reads a batch's results at least up to the durable end of their log at the time of the call.

        Raises ServiceUnavailable if that end cannot be determined, NotFound if the results were removed.
        """
        now = self._ctx.timers.now()
        results = self._results.get(batch_id)
        if results is None:
            tail = self._ctx.cache.tail(result_log(batch_id), MAX_TAIL_LAG)
            results = self._results[batch_id] = BatchResults(tail, now)
        results.used_at = now
        lengths = results.tail.lengths
        if lengths.confirmed_at is None or now - lengths.confirmed_at > RECONFIRM_AFTER:
            await self._ctx.cache.poller.confirm_durable([results.tail.path])
        if lengths.confirmed_at is None or self._ctx.timers.now() - lengths.confirmed_at > MAX_STALENESS:
            raise ServiceUnavailable("the store cannot be read now", code="no_majority", outcome="unknown")
        if lengths.final and not lengths.durable:
            raise NotFound(
                "the results of the batch were removed after their retention time", code="results_removed", status=GONE
            )
        async with results.lock:
            try:
                await self.read_to(results, lengths.durable)
            except CorruptData:
                self._drop(batch_id, results)
                raise
        return results

    async def read_to(self, results: BatchResults, end: int) -> None:
        """Reads results at least up to an offset of their log, and any cached records beyond it."""
        tail = results.tail
        lengths = tail.lengths
        while tail.position < end or lengths.cached > tail.position:
            before = tail.position
            for _, body in await tail.read_records():
                results.apply(LogRecord.FromString(body))
            if tail.position == before:
                await tail.wait_for_growth()
        tail.check_end()

    async def _read_spec(self, tail: Tail, location: BatchLocation) -> Lot:
        await self._ctx.cache.poller.confirm_durable([location.log])
        if tail.lengths.confirmed_at is None:
            raise ServiceUnavailable("the store cannot be read now", code="no_majority", outcome="unknown")
        if tail.lengths.durable <= location.offset:
            raise _no_such_batch()
        tail.position = location.offset
        for _ in range(MAX_SPEC_READS):
            for offset, body in await tail.read_records():
                record = LogRecord.FromString(body)
                if offset == location.offset and record.WhichOneof("of") == "lot":
                    return record.lot
            if tail.position >= tail.lengths.durable:
                break
            if tail.readable_end() <= tail.position:
                await tail.wait_for_growth()
        raise _no_such_batch()

    def _drop_unused(self) -> None:
        now = self._ctx.timers.now()
        for batch_id, results in list(self._results.items()):
            if now - results.used_at > UNUSED_RESULTS_RETENTION:
                self._drop(batch_id, results)

    def _drop(self, batch_id: str, results: BatchResults) -> None:
        """Drops what was read of a batch; the next read starts from the beginning of the log."""
        results.tail.close()
        if self._results.get(batch_id) is results:
            del self._results[batch_id]


def _no_such_batch() -> NotFound:
    return NotFound("there is no such batch", code="no_such_lot", field="lot")
