"""Reads a batch from its log at a gateway that does not own it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from twisted.internet import defer

from ..cache.chunks import CHUNK_BYTES
from ..cache.poller import KnownLengths
from ..cache.tail import Tail
from ..wire.lots_pb2 import LogRecord
from .batch_progress import BATCH_RECORD_PREFIX, BatchProgress

__all__ = ["BatchFollower"]


class BatchFollower:
    """A batch that another gateway owns, or that has no owner any more, read in order from its log.

    Bodies of items are only read on request. `used_at` is the time of the last request for the batch, and `held_bytes`
    the length of the records that it keeps.
    """

    def __init__(self, tail: Tail, used_at: timedelta) -> None:
        self.tail = tail
        self.used_at = used_at
        self.progress = BatchProgress()
        self.is_closed = False
        self.held_bytes = 0
        self._batch_extent: tuple[int, int] | None = None
        self._lock = defer.DeferredLock()
        self._reader_count = 0

    def close(self) -> None:
        """Stops reading."""
        self.is_closed = True
        self.tail.close()

    @contextmanager
    def in_use(self) -> Iterator[None]:
        """Polls the lengths of the log for as long as the context is open; they are not polled otherwise."""
        self._reader_count += 1
        if not self.is_closed:
            self.tail.resume()
        try:
            yield
        finally:
            self._reader_count -= 1
            if not self._reader_count:
                self.tail.pause()

    def has_ended(self) -> bool:
        """Returns whether the batch has ended and all of it has been read, apart from the bodies of its items."""
        return bool(self.progress.end_reason) and self.progress.head is not None

    def has_only_head(self) -> bool:
        """Returns whether the durable log, as far as it is known here, consists only of a head without its batch."""
        return self.progress.announced is not None and self.tail.at_record_boundary()

    async def catch_up(self, known: KnownLengths) -> None:
        """Reads up to the length known to be durable by the time the lock is acquired, and whatever more is cached.

        Raises CorruptData if what was read is not the log; this follower must then be dropped.
        """
        async with self._lock:
            await self._read_up_to(known.durable)
            self.tail.check_end()

    async def _read_up_to(self, end: int) -> None:
        known = self.tail.lengths
        while not self.is_closed and (self.tail.position < end or known.cached > self.tail.position):
            before = self.tail.position
            if self.progress.head is None:
                await self._read_head()
            else:
                self._apply(await self.tail.read_records())
            if self.tail.position == before:
                await self.tail.wait_for_growth()

    def _apply(self, records: Iterable[tuple[int, bytes]]) -> None:
        for _, body in records:
            self.held_bytes += len(body)
            self.progress.apply(LogRecord.FromString(body))

    async def _read_head(self) -> None:
        """Reads only as much as is needed to know the items of the batch, and skips their bodies."""
        missing = self.tail.missing_bytes()
        max_bytes = missing if self.progress.announced is not None else max(CHUNK_BYTES, missing)
        self._apply(await self.tail.read_records(max_bytes))
        if self.progress.head is None and self.progress.announced is not None:
            self._batch_extent = self.tail.skip_record(BATCH_RECORD_PREFIX)
            if self._batch_extent is not None:
                self.progress.skip_batch()

    def missing_body_bytes(self) -> int:
        """Returns the length of the record with the bodies of the items if it was skipped, else 0."""
        if self.progress.batch is not None or self._batch_extent is None:
            return 0
        start, end = self._batch_extent
        return end - start

    async def read_bodies(self) -> None:
        """Reads the bodies of the items if they were skipped before."""
        async with self._lock:
            if self.progress.batch is None and self._batch_extent is not None:
                start, end = self._batch_extent
                self.held_bytes += end - start
                self.progress.batch = LogRecord.FromString(await self.tail.read_record(start, end)).batch
