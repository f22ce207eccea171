"""Copies the committed bytes of a log from its leaseholder into the cache."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from twisted.internet import defer
from twisted.python.failure import Failure

from ..context import Context
from ..timers import ms, spawn
from ..wire.cache_pb2 import Lengths
from .chunks import CHUNK_BYTES, chunk_key
from .uncached_records import UncachedRecords

if TYPE_CHECKING:
    from .cache import Cache

__all__ = ["CommittedLog", "LogCacheWriter"]

RETRY_INTERVAL = ms(250)
# The delay between a commit and its write to the cache. Work that waits for the commit runs first, and commits within
# the delay share their writes.
WRITE_DELAY = ms(20)
# How many writes are started in one turn of the reactor.
MAX_WRITES_PER_TURN = 8


class CommittedLog(Protocol):
    """The part of a leaseholder's log that the cache uses.

    The first `committed` bytes of `data` are committed under `epoch` or an earlier one; `lost` is the reason why the
    lease was lost, "" while it is held.
    """

    data: bytearray
    epoch: int
    committed: int
    lost: str

    def watch(self, callback: Callable[[CommittedLog], None]) -> None:
        """Registers a callback that is called with the log after each change."""


class LogCacheWriter:
    """Copies a log's committed bytes into the caches while this process holds its lease.

    It writes asynchronously after the commits, and always from the start of a chunk. Chunks that lie entirely within a
    record whose payload begins with `uncached_prefix` are not written; readers get them from the storage nodes.
    """

    def __init__(self, ctx: Context, cache: Cache, path: str, log: CommittedLog, uncached_prefix: bytes = b"") -> None:
        self._ctx = ctx
        self._cache = cache
        self._path = path
        self._log = log
        self._uncached = UncachedRecords(uncached_prefix)
        self._scheduled_end = 0
        self._is_write_scheduled = False
        self._cached = 0
        self._last_writes: dict[int, defer.Deferred[None]] = {}
        self._written: dict[int, int] = {}
        log.watch(self._log_changed)
        self._log_changed(log)

    def _log_changed(self, log: CommittedLog) -> None:
        if log.committed > self._scheduled_end and not log.lost and not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._ctx.timers.call_later(WRITE_DELAY, self._start_write)

    def _start_write(self) -> None:
        self._is_write_scheduled = False
        if not self._log.lost:
            start, self._scheduled_end = self._scheduled_end, self._log.committed
            spawn(self._write_range(start, self._scheduled_end)).addErrback(self._log_failure)

    def _log_failure(self, failure: Failure) -> None:
        self._ctx.logger.failure("cache_write_failed", failure.value, path=self._path)

    async def _write_range(self, start: int, end: int) -> None:
        self._uncached.scan(self._log.data, self._log.committed)
        first, last = start // CHUNK_BYTES, (end - 1) // CHUNK_BYTES
        spawn(self._publish(durable=end)).addErrback(self._log_failure)
        writes = [spawn(self._write_serialized(number)) for number in {first, last}]
        for number in range(first + 1, last):
            if len(writes) % MAX_WRITES_PER_TURN == 0:
                await self._ctx.timers.yield_to_reactor()
            writes.append(spawn(self._write(number)))
        await defer.gatherResults(writes)
        await self._advance_cached_length()

    async def _write_serialized(self, number: int) -> None:
        """Writes a partial chunk after earlier writes of the same chunk, so that its prefix stays correct."""
        done: defer.Deferred[None] = defer.Deferred()
        before = self._last_writes.get(number)
        self._last_writes[number] = done
        try:
            if before is not None:
                await before
            await self._write(number)
        finally:
            if self._last_writes.get(number) is done:
                del self._last_writes[number]
            done.callback(None)

    async def _write(self, number: int) -> None:
        """Writes the committed part of a chunk, and retries until a majority of its replicas has stored it."""
        if self._uncached.covers(number * CHUNK_BYTES, (number + 1) * CHUNK_BYTES):
            self._written[number] = CHUNK_BYTES
            return
        while not self._log.lost:
            end = min((number + 1) * CHUNK_BYTES, self._log.committed)
            data = bytes(self._log.data[number * CHUNK_BYTES : end])
            if self._written.get(number, 0) >= len(data):
                return
            key = chunk_key(self._path, number)
            if key in await self._cache.store_chunks({key: data}):
                self._written[number] = max(self._written.get(number, 0), len(data))
                return
            await self._ctx.timers.sleep(RETRY_INTERVAL)

    async def _advance_cached_length(self) -> None:
        """Publishes the length up to which every chunk is written, if it has grown."""
        cached = self._written_length()
        if cached <= self._cached:
            return
        self._cached = cached
        for number in [number for number in self._written if (number + 1) * CHUNK_BYTES <= cached]:
            del self._written[number]
        await self._publish(durable=self._log.committed, cached=cached)

    def _written_length(self) -> int:
        """Returns the length up to which every chunk is written."""
        length = self._cached
        while True:
            number = length // CHUNK_BYTES
            written_to = number * CHUNK_BYTES + self._written.get(number, 0)
            if written_to <= length:
                return length
            length = written_to
            if length < (number + 1) * CHUNK_BYTES:
                return length

    async def _publish(self, durable: int, cached: int = 0) -> None:
        lengths = Lengths(
            path=self._path, durable=durable, durable_epoch=self._log.epoch, cached=cached, writer=self._ctx.node
        )
        await self._cache.store_lengths({self._path: lengths})
